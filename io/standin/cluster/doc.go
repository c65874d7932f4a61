// Package cluster starts the programs of this project as processes on
// loopback, for the demo, the measurements and the tests of failures. It can
// kill, freeze and restart a process, remove its data folder, and cut the
// connections between daemons without a sign to either end.
//
// Each daemon has a loopback address of its own. Others reach it through a
// relay that knows by the source address who is calling; a cut is made there.
package cluster
