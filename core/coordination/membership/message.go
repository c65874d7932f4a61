package membership

import (
	"time"

	"papayaspoke/core/ident"
)

// Request is one side of the exchange between two daemons.
type Request struct {
	// From and Incarnation name the run of the process that asks.
	From        ident.Daemon
	Incarnation ident.Incarnation
	// Root is the digest of From's whole table.
	Root uint64
	// Records are new, or were asked for.
	Records []Record
	// Suspicions are daemons that From could not reach by a new connection.
	Suspicions []Suspicion
	// Compare asks for the digests of the receiver's buckets.
	Compare bool
	// Repair tells that Versions lists all that From has in Buckets.
	Repair   bool
	Buckets  []int
	Versions []KeyVersion
}

// Response answers a [Request].
type Response struct {
	// From and Incarnation name the run of the process that answers.
	From        ident.Daemon
	Incarnation ident.Incarnation
	// Sums are the digests of From's buckets, nil if they were
	// not asked for or the roots were equal.
	Sums []uint64
	// Records are new, or newer than those that the request listed.
	Records []Record
	// Suspicions are as in [Request].
	Suspicions []Suspicion
	// Want names records that From lacks.
	Want []Key
}

// KeyVersion tells which version of a record somebody has.
type KeyVersion struct {
	Key     Key
	Version Version
}

// Suspicion names a run of a daemon that could not be reached.
type Suspicion struct {
	Daemon      ident.Daemon
	Incarnation ident.Incarnation
}

// Event is something that happened; [Membership.Step] takes it.
type Event interface{ event() }

// Seeds replaces the addresses to join through.
type Seeds struct{ Peers []string }

// Tick tells only that time has passed. It is due every 50 ms or so.
type Tick struct{}

// RequestReceived brings a request of another daemon, to be answered by a [Reply]
// with the same token.
type RequestReceived struct {
	Token   uint64
	Request Request
}

// ResponseReceived brings the response to a request sent.
type ResponseReceived struct{ Response Response }

// CallFailed tells that an exchange of whatever kind with a daemon failed or
// passed its deadline.
type CallFailed struct{ Daemon ident.Daemon }

// ProbeResult tells how a [ProbeNewConnection] came out.
type ProbeResult struct {
	Daemon ident.Daemon
	OK     bool
}

// Announce brings what an upstream has said of itself to this daemon.
type Announce struct{ Upstream Upstream }

// LoadUpdate brings this daemon's own counts of requests.
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

// Effect is something that the caller of [Membership.Step] carries out, in
// order.
type Effect interface{ effect() }

// Send asks for an exchange. To is empty for an address of the settings whose
// daemon has not been heard of.
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

// ProbeNewConnection asks whether a daemon answers over a new connection. A
// [ProbeResult] must follow.
type ProbeNewConnection struct {
	Daemon  ident.Daemon
	Address string
}

// Changed tells that records or suspicions have changed.
type Changed struct{}

// Superseded tells that a later process has this daemon's name. This one
// should end.
type Superseded struct{ By ident.Incarnation }

func (Send) effect()               {}
func (Reply) effect()              {}
func (ProbeNewConnection) effect() {}
func (Changed) effect()            {}
func (Superseded) effect()         {}
