// Package peerpb holds the generated wire types that daemons exchange. They
// are mapped by hand in package peer and used nowhere else. "make generate"
// makes them anew from the .proto files; the build does not need it.
package peerpb
