// Package terminal implements the operators' command line client. It parses the
// command line, calls the operators' interface of a daemon, and prints tables or
// JSON.
//
// Each command is defined by one row of a table, so that its help, its flags and its
// behaviour stay consistent. The exit status is that of [result.Exit].
package terminal
