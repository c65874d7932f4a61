package membership

import (
	"time"

	"papayaspoke/core/ident"
)

// Request is the message that opens a gossip exchange between two daemons.
type Request struct {
	// From and Incarnation identify the sending process.
	From        ident.Daemon
	Incarnation ident.Incarnation
	// Root is the digest of From's whole table.
	Root uint64
	// Records are new to the sender, or were requested by the receiver.
	Records []Record
	// Suspicions are daemons that From could not reach over a new connection.
	Suspicions []Suspicion
	// Compare asks for the digests of the receiver's buckets.
	Compare bool
	// Repair is true if Versions lists all records that From has in Buckets.
	Repair   bool
	Buckets  []int
	Versions []KeyVersion
}

// Response answers a [Request].
type Response struct {
	// From and Incarnation identify the responding process.
	From        ident.Daemon
	Incarnation ident.Incarnation
	// Sums are the digests of From's buckets, nil if they were not requested or
	// the roots were equal.
	Sums []uint64
	// Records are new to From, or newer than those that the request listed.
	Records []Record
	// Suspicions are as in [Request].
	Suspicions []Suspicion
	// Want lists the keys of records that From lacks or has in an older version.
	Want []Key
}

// KeyVersion is the version of a record that a daemon has.
type KeyVersion struct {
	Key     Key
	Version Version
}

// Suspicion identifies a run of a daemon that could not be reached.
type Suspicion struct {
	Daemon      ident.Daemon
	Incarnation ident.Incarnation
}

// Event is an input of [Membership.Step].
type Event interface{ event() }

// Seeds replaces the peer addresses to join through.
type Seeds struct{ Peers []string }

// Tick drives the timers. It is due about every 50 ms.
type Tick struct{}

// RequestReceived delivers a request of another daemon. It is answered by a [Reply]
// with the same token.
type RequestReceived struct {
	Token   uint64
	Request Request
}

// ResponseReceived delivers the response to a request sent.
type ResponseReceived struct{ Response Response }

// CallFailed reports that a call of any kind to a daemon failed or passed its
// deadline.
type CallFailed struct{ Daemon ident.Daemon }

// ProbeResult reports the outcome of a probe.
type ProbeResult struct {
	Daemon ident.Daemon
	OK     bool
}

// Announce delivers a record that an upstream announced to this daemon.
type Announce struct{ Upstream Upstream }

// LoadUpdate updates the request counts in this daemon's record.
type LoadUpdate struct{ Waiting, Running uint32 }

// Drain marks this daemon as draining.
type Drain struct{ ReachableUntil time.Time }

func (Tick) event()             {}
func (Seeds) event()            {}
func (RequestReceived) event()  {}
func (ResponseReceived) event() {}
func (CallFailed) event()       {}
func (ProbeResult) event()      {}
func (Announce) event()         {}
func (LoadUpdate) event()       {}
func (Drain) event()            {}

// Effect is an action for the caller of [Membership.Step] to carry out, in
// order.
type Effect interface{ effect() }

// Send starts an exchange. To is empty for a configured seed whose daemon is
// not known.
type Send struct {
	To      ident.Daemon
	Address string
	Request Request
}

// Reply answers a [RequestReceived].
type Reply struct {
	Token    uint64
	Response Response
}

// ProbeNewConnection checks whether a daemon answers over a new connection. A
// [ProbeResult] must follow.
type ProbeNewConnection struct {
	Daemon  ident.Daemon
	Address string
}

// Changed reports that records or suspicions have changed.
type Changed struct{}

// Superseded reports that a later process has this daemon's name. This process
// should end.
type Superseded struct{ By ident.Incarnation }

func (Send) effect()               {}
func (Reply) effect()              {}
func (ProbeNewConnection) effect() {}
func (Changed) effect()            {}
func (Superseded) effect()         {}
