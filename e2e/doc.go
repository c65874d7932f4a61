// Package e2e holds the tests of failures with real processes on loopback:
// kills, freezes, lost data folders and silent cuts. Each test starts a
// cluster of its own from the programs that TestMain builds.
package e2e
