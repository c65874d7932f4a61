// Package docs holds the pages for operators and developers; its tests check
// the pages against the code.
package docs
