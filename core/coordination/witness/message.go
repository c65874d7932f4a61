package witness

import (
	"time"

	"papayaspoke/core/coordination/entry"
	"papayaspoke/core/ident"
)

// Request is one side of the exchange between two daemons. It is a poll, an
// offer of entries or a fetch, which differ only in the fields that are set.
type Request struct {
	// From and Incarnation identify the process run that sends the request.
	From        ident.Daemon
	Incarnation ident.Incarnation
	// Round is repeated in the response.
	Round uint64
	// Applied is the last index that From's state machine has applied.
	Applied uint64
	// Visible is the highest index that From knows to be visible.
	Visible uint64
	// Digest is the digest of From's vector, even if Vector is omitted.
	Digest uint64
	// Vector is nil if the receiver is known to have it already.
	Vector Vector
	// Entries are committed and have no gaps. They need not directly follow the
	// receiver's last entry.
	Entries []entry.Entry
	// WantEntries requests the entries after Applied, or a snapshot.
	WantEntries bool
}

// Response answers a [Request].
type Response struct {
	// From and Incarnation identify the process run that sends the response.
	From        ident.Daemon
	Incarnation ident.Incarnation
	// Round is copied from the request.
	Round uint64
	// Active reports whether From counted as a witness when it responded.
	Active bool
	// Applied is the last index that From's state machine had applied.
	Applied uint64
	// Floor is the index above which From counts as a witness.
	Floor uint64
	// Visible is the highest index that From knew to be visible.
	Visible uint64
	// Digest is the digest of From's vector.
	Digest uint64
	// Vector is nil only if the request had the same digest.
	Vector Vector
	// Missing is the size in bytes of what From has applied after the request's
	// Applied, 0 if nothing, or if the request wants it.
	Missing uint64
	// Entries follow the request's Applied without gaps.
	Entries []entry.Entry
	// Snapshot has index zero if there is none.
	Snapshot Snapshot
}

// Snapshot is the encoded state machine as of an index.
type Snapshot struct {
	// Index and Term are those of the last entry applied to it.
	Index, Term uint64
	// Data must not be modified once the snapshot is made.
	Data []byte
}

// Event is an input of [Witness.Step].
type Event interface{ event() }

// Tick reports only that time has passed. It is due about every 50 ms.
type Tick struct{}

// RequestReceived delivers a request of another daemon. A [Reply] with the same
// token answers it.
type RequestReceived struct {
	Token   uint64
	Request Request
}

// ResponseReceived delivers the response to a request that this process run sent.
type ResponseReceived struct{ Response Response }

// SendFailed reports that a [Send] got no response.
type SendFailed struct {
	To          ident.Daemon
	WantEntries bool
}

// Committed delivers entries that the voters have committed.
type Committed struct{ Entries []entry.Entry }

// CommittedSnapshot delivers a snapshot that consensus has installed on this
// daemon.
type CommittedSnapshot struct{ Snapshot Snapshot }

// Applied reports that the state machine has carried out the last [Apply] or
// [Install]. It must be sent before any other event.
type Applied struct {
	Index     uint64
	Witnesses Witnesses
}

// LinearizableRead reports that every entry committed before some moment after
// the start of this process has an index of at most Index. It answers a
// [ReadWanted].
type LinearizableRead struct{ Index uint64 }

// Leading reports whether this daemon is the leader of the voters.
type Leading struct{ On bool }

// Peers lists all daemons in the cluster membership. They are polled for
// entries while not enough witnesses respond.
type Peers struct{ Daemons []ident.Daemon }

func (Tick) event()              {}
func (RequestReceived) event()   {}
func (ResponseReceived) event()  {}
func (SendFailed) event()        {}
func (Committed) event()         {}
func (CommittedSnapshot) event() {}
func (Applied) event()           {}
func (LinearizableRead) event()  {}
func (Leading) event()           {}
func (Peers) event()             {}

// Effect is an action that the caller of [Witness.Step] carries out, in order.
type Effect interface{ effect() }

// Send requests an exchange with another daemon. Its response, if there is one,
// must be returned as an event.
type Send struct {
	To      ident.Daemon
	Request Request
}

// Reply answers a request with the same token.
type Reply struct {
	Token    uint64
	Response Response
	// WithSnapshot asks the caller to add a snapshot of the current state
	// machine to the response.
	WithSnapshot bool
	// Behind is the size in bytes of what the other daemon lacks if the response
	// holds only a part of it, else 0. A snapshot that is smaller should take the
	// place of the entries.
	Behind uint64
}

// Apply asks the state machine to apply entries, the first of which follows the
// last one applied.
type Apply struct{ Entries []entry.Entry }

// Install asks the state machine to replace its state by a later snapshot.
type Install struct{ Snapshot Snapshot }

// Visible reports that a majority of the witnesses has applied all entries up
// to Index.
type Visible struct{ Index uint64 }

// Fresh reports that new work may be taken until Until. The time never
// decreases, except that zero means that no work may be taken any more.
type Fresh struct{ Until time.Time }

// Activated reports that this process run counts as a witness from now on.
type Activated struct{}

// ReadWanted requests a linearizable read through the voters; committing a
// no-op serves as one. If it fails, nothing needs to be done.
type ReadWanted struct{}

// NoopWanted asks the leader to commit an entry, because the existing ones
// cannot become visible: too many witnesses count only for later entries.
type NoopWanted struct{}

// Superseded reports that a later process uses this daemon's name. This process
// takes no further part and should exit.
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
