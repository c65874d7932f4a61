// Package measure measures the daemons as processes on loopback, by package
// cluster, and the pure parts by benchmarks. It prints tables for
// docs/CAPACITY.md. A measurement fails only if it could not be made; no
// figure is held to a limit here.
package measure
