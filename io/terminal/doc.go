// Package terminal is the operators' client as seen from a terminal: it reads
// the command line, calls the operators' interface and prints tables for
// people or JSON for scripts.
//
// Every command is one row of a table, so help, flags and behaviour cannot
// drift apart. The exit status is that of [result.Exit].
package terminal
