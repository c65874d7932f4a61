// Package daemon runs a daemon: it feeds events to the coordination packages
// and executes the effects that they return.
//
// One goroutine, the control loop, owns all control state: the voter's
// consensus node, the witness, membership, the replicated state machine, the
// dispatcher, the load budget and the owner assigner. Other goroutines post
// functions to its inbox and never access that state directly. Goroutines that
// serve requests read an immutable [view], which the control loop replaces
// through an atomic pointer.
//
// A view can be out of date by the time a goroutine acts on it. Before an order
// or request is written to an upstream, the goroutine therefore checks the
// replica's write guard (core/coordination/ownership) against the newest
// view.
package daemon
