// Package measure produces the figures of docs/CAPACITY.md. It measures daemons
// that run as processes on loopback, with package cluster, and the parts that
// need no process with benchmarks. It prints tables. A measurement fails only if
// it cannot be made; no figure is checked against a limit here.
package measure
