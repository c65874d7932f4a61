// Package routes holds the routing table that operators state: which requests
// go to which service, how long they may take and how often they may be tried.
//
// A [Table] is made once from an operator's document and never changed, so
// that traffic goroutines share it without locks. Looking a route up takes one
// map access for each segment of the path, however many routes there are.
package routes
