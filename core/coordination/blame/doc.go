// Package blame tells the requests that crash replicas from those that were
// merely in flight when a replica ended.
package blame
