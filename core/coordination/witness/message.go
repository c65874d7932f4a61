package witness

import (
	"time"

	"papayaspoke/core/coordination/entry"
	"papayaspoke/core/ident"
)

// Request is one side of the exchange between two daemons: a poll, an offer
// of entries or a fetch of them, told apart only by what is filled in.
type Request struct {
	// From and Incarnation name the run of the process that asks.
	From        ident.Daemon
	Incarnation ident.Incarnation
	// Round is given back in the response.
	Round uint64
	// Applied is the last index that From's state machine has applied.
	Applied uint64
	// Visible is the greatest index that From knows to be visible.
	Visible uint64
	// Digest is that of From's vector, also if Vector is left out.
	Digest uint64
	// Vector is nil if the receiver is known to have it already.
	Vector Vector
	// Entries are committed and without gaps. They need not join on to what
	// the receiver has.
	Entries []entry.Entry
	// WantEntries asks for the entries after Applied, or a snapshot.
	WantEntries bool
}

// Response answers a [Request].
type Response struct {
	// From and Incarnation name the run of the process that answers.
	From        ident.Daemon
	Incarnation ident.Incarnation
	// Round is that of the request.
	Round uint64
	// Active reports whether From's word counted as a witness when it
	// answered.
	Active bool
	// Applied is the last index that From's state machine had applied.
	Applied uint64
	// Floor is the index that From's word counts above only.
	Floor uint64
	// Visible is the greatest index that From knew to be visible.
	Visible uint64
	// Digest is that of From's vector.
	Digest uint64
	// Vector is nil only if the request had the same digest.
	Vector Vector
	// Entries follow on the request's Applied, without gaps.
	Entries []entry.Entry
	// Snapshot has index zero if there is none.
	Snapshot Snapshot
}

// Snapshot is the encoded state machine after an index.
type Snapshot struct {
	// Index and Term are those of the last entry applied to it.
	Index, Term uint64
	// Data is not changed once the snapshot is made.
	Data []byte
}

// Event is something that happened; [Witness.Step] takes it.
type Event interface{ event() }

// Tick tells only that time has passed. It is due every 50 ms or so.
type Tick struct{}

// RequestReceived brings a request of another daemon, to be answered by a [Reply]
// with the same token.
type RequestReceived struct {
	Token   uint64
	Request Request
}

// ResponseReceived brings the response to a request that this run of the process
// sent.
type ResponseReceived struct{ Response Response }

// Committed brings entries that the voters' consensus has committed.
type Committed struct{ Entries []entry.Entry }

// CommittedSnapshot brings a snapshot that consensus has taken over.
type CommittedSnapshot struct{ Snapshot Snapshot }

// Applied tells that the state machine has carried out the last [Apply] or
// [Install]. It must follow before the next event of another kind.
type Applied struct {
	Index     uint64
	Witnesses Witnesses
}

// LinearizableRead tells that every entry committed before some moment after
// this process's start has an index up to Index. It answers a [ReadWanted].
type LinearizableRead struct{ Index uint64 }

// Leading tells whether this daemon leads the voters.
type Leading struct{ On bool }

// Peers names all daemons that membership knows. They are asked for entries
// while the witnesses can't be.
type Peers struct{ Daemons []ident.Daemon }

func (Tick) event()              {}
func (RequestReceived) event()   {}
func (ResponseReceived) event()  {}
func (Committed) event()         {}
func (CommittedSnapshot) event() {}
func (Applied) event()           {}
func (LinearizableRead) event()  {}
func (Leading) event()           {}
func (Peers) event()             {}

// Effect is something that the caller of [Witness.Step] carries out, in
// order.
type Effect interface{ effect() }

// Send asks for an exchange with another daemon. Its response, if one comes,
// is given back as [ResponseReceived].
type Send struct {
	To      ident.Daemon
	Request Request
}

// Reply answers a [RequestReceived].
type Reply struct {
	Token    uint64
	Response Response
	// WithSnapshot asks the caller to put a snapshot of its state machine,
	// as it stands, into the response.
	WithSnapshot bool
}

// Apply asks the state machine to apply entries, the first of which follows
// on what it has.
type Apply struct{ Entries []entry.Entry }

// Install asks the state machine to replace itself by a later snapshot.
type Install struct{ Snapshot Snapshot }

// Visible tells that all entries up to Index are applied by a majority of the
// witnesses.
type Visible struct{ Index uint64 }

// Fresh tells that new work may be taken until Until, which is never earlier
// than the time told before, unless it is zero: then no work may be taken.
type Fresh struct{ Until time.Time }

// Activated tells that this run of the process counts as a witness from now on.
type Activated struct{}

// ReadWanted asks for a linearizable read through the voters. A committed
// no-op is one. If it can't be had nothing need be done.
type ReadWanted struct{}

// NoopWanted asks the leader to commit an entry, since those that there are
// can't be found visible: too many witnesses count for later ones only.
type NoopWanted struct{}

// Superseded tells that a later process has this daemon's name. This one
// takes no more part and should end.
type Superseded struct{ By ident.Incarnation }

func (Send) effect()       {}
func (Reply) effect()      {}
func (Apply) effect()      {}
func (Install) effect()    {}
func (Visible) effect()    {}
func (Fresh) effect()      {}
func (Activated) effect()  {}
func (ReadWanted) effect() {}
func (NoopWanted) effect() {}
func (Superseded) effect() {}
