// Package cluster runs the programs of this project as processes on loopback,
// for the demo, the measurements and the failure tests. It can kill, suspend
// and restart a process, remove its data folder, and drop the traffic between
// daemons while their connections stay open.
//
// Each daemon has a loopback IP address of its own. Other daemons reach it
// through a relay, which identifies them by their source address and drops
// their traffic during a partition.
package cluster
