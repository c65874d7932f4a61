// Package broken is a stand-in for a faulty upstream: it answers with any bytes,
// before it has read the body of a request, and ends the connection in any way.
package broken
