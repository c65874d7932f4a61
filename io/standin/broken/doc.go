// Package broken is a stand-in for an upstream in trouble: it answers with any bytes,
// before it has read the body of a request, and ends the connection in any way.
package broken
