// Package routes holds the routing table of the operators: which requests go to
// which service, how long they may take and how often they may be tried.
//
// A [Table] is built once from an operator's document and is immutable, so that
// the goroutines that serve requests share it without locks. A lookup takes one
// map access for the host and at most one for each slash in the path,
// regardless of the number of routes.
package routes
