// Package daemon runs a daemon: it feeds events to the coordination packages
// and carries out their effects.
//
// One goroutine, the control loop, owns all control state: the voter's
// consensus node, the witness, membership, the replicated state machine, the
// dispatcher, the load budget and the assigner of owners. Other goroutines
// hand it functions through its inbox and never touch that state. Traffic
// goroutines decide from an immutable [view], swapped by an atomic pointer.
//
// What a traffic goroutine decides from a view can be out of date by the time
// it acts. Where that matters, before an order or request is written to an
// upstream, it checks the guard of core/coordination/ownership against the
// newest view.
package daemon
