// Package memory limits the bytes that messages hold in memory while they arrive, wait
// and are handled, over all connections that share a [Budget].
package memory
