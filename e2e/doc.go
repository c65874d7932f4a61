// Package e2e holds failure tests with real processes on loopback: killed and
// suspended processes, lost data folders and network partitions. Each test
// starts its own cluster from the programs that TestMain builds.
package e2e
