package peer

import (
	"time"

	"google.golang.org/protobuf/proto"
	"papayaspoke/core/ident"
	"papayaspoke/core/result"
	"papayaspoke/core/state"
	"papayaspoke/io/protocol/peer/peerpb"
)

// EncodeCommand returns the bytes of a command. Equal commands have equal
// bytes.
func EncodeCommand(c state.Command) ([]byte, error) {
	p, err := commandToWire(c)
	if err != nil {
		return nil, err
	}
	return encode(p)
}

// DecodeCommand reads the bytes of a command.
func DecodeCommand(b []byte) (state.Command, error) {
	p := &peerpb.Command{}
	if err := proto.Unmarshal(b, p); err != nil {
		return nil, result.New(result.Malformed, "command: %w", err)
	}
	return commandFromWire(p, true)
}

func encode(m proto.Message) ([]byte, error) {
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		return nil, result.New(result.Malformed, "encode: %w", err)
	}
	return b, nil
}

// timeToWire returns t in nanoseconds since 1970, 0 for the zero time.
func timeToWire(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixNano()
}

func timeFromWire(n int64) time.Time {
	if n == 0 {
		return time.Time{}
	}
	return time.Unix(0, n).UTC()
}

func commandToWire(c state.Command) (*peerpb.Command, error) {
	switch c := c.(type) {
	case state.Change:
		p, err := changeToWire(c)
		return &peerpb.Command{Kind: &peerpb.Command_Change{Change: p}}, err
	case state.Batch:
		p, err := batchToWire(c)
		return &peerpb.Command{Kind: &peerpb.Command_Batch{Batch: p}}, err
	case state.Assign:
		return &peerpb.Command{Kind: &peerpb.Command_Assign{Assign: assignToWire(c)}}, nil
	case state.Revoke:
		return &peerpb.Command{Kind: &peerpb.Command_Revoke{Revoke: &peerpb.Revoke{
			Upstream: string(c.Upstream),
			Fence:    uint64(c.Fence),
		}}}, nil
	case state.Yield:
		return &peerpb.Command{Kind: &peerpb.Command_Yield{Yield: &peerpb.Yield{
			Upstream: string(c.Upstream),
			Fence:    uint64(c.Fence),
		}}}, nil
	case state.Release:
		return &peerpb.Command{Kind: &peerpb.Command_Release{Release: &peerpb.Release{
			Upstream: string(c.Upstream),
			After:    c.RevokedIndex,
		}}}, nil
	case state.Expire:
		return &peerpb.Command{Kind: &peerpb.Command_Expire{Expire: &peerpb.Expire{Until: timeToWire(c.Until)}}}, nil
	case state.Quarantine:
		return &peerpb.Command{Kind: &peerpb.Command_Quarantine{Quarantine: &peerpb.QuarantineDigest{
			Digest: c.Digest,
			Until:  timeToWire(c.Until),
		}}}, nil
	}
	if p, ok := platformToWire(c); ok {
		return p, nil
	}
	return ledgerToWire(c)
}

func ledgerToWire(c state.Command) (*peerpb.Command, error) {
	switch c := c.(type) {
	case state.Begin:
		return &peerpb.Command{Kind: &peerpb.Command_Begin{Begin: beginToWire(c)}}, nil
	case state.Finish:
		return &peerpb.Command{Kind: &peerpb.Command_Finish{Finish: &peerpb.Finish{
			Scope:   c.Scope,
			Key:     string(c.Key),
			Attempt: string(c.Attempt),
			Answer:  answerToWire(c.Answer),
		}}}, nil
	case state.Abandon:
		return &peerpb.Command{Kind: &peerpb.Command_Abandon{Abandon: &peerpb.Abandon{
			Scope:    c.Scope,
			Key:      string(c.Key),
			Attempt:  string(c.Attempt),
			Deadline: timeToWire(c.Deadline),
		}}}, nil
	case state.MarkUnknown:
		return &peerpb.Command{Kind: &peerpb.Command_Unknown{Unknown: &peerpb.MarkUnknown{
			Scope:   c.Scope,
			Key:     string(c.Key),
			Attempt: string(c.Attempt),
		}}}, nil
	case state.FormWitnesses:
		return &peerpb.Command{Kind: &peerpb.Command_FormWitnesses{FormWitnesses: &peerpb.FormWitnesses{
			Names: namesToWire(c.Names), Forced: c.Forced,
		}}}, nil
	case state.Orphan:
		return &peerpb.Command{Kind: &peerpb.Command_Orphan{Orphan: &peerpb.Orphan{
			Owner:       string(c.Owner),
			Incarnation: uint64(c.Incarnation),
		}}}, nil
	}
	return nil, result.New(result.Malformed, "command of type %T", c)
}

func batchToWire(c state.Batch) (*peerpb.CommandBatch, error) {
	p := &peerpb.CommandBatch{}
	for _, sub := range c.Commands {
		if _, ok := sub.(state.Batch); ok {
			return nil, result.New(result.Malformed, "batch in a batch")
		}
		q, err := commandToWire(sub)
		if err != nil {
			return nil, err
		}
		p.Commands = append(p.Commands, q)
	}
	return p, nil
}

func assignToWire(c state.Assign) *peerpb.Assign {
	return &peerpb.Assign{
		Upstream:         string(c.Upstream),
		Incarnation:      uint64(c.Incarnation),
		Owner:            string(c.Owner),
		OwnerIncarnation: uint64(c.OwnerIncarnation),
		After:            c.RevokedIndex,
	}
}

func beginToWire(c state.Begin) *peerpb.Begin {
	return &peerpb.Begin{
		Scope:            c.Scope,
		Key:              string(c.Key),
		Digest:           c.Digest,
		Owner:            string(c.Owner),
		OwnerIncarnation: uint64(c.OwnerIncarnation),
		Attempt:          string(c.Attempt),
		Seen:             c.ViewIndex,
		At:               timeToWire(c.ProposedAt),
		Deadline:         timeToWire(c.Deadline),
	}
}

// commandFromWire reads a command; outer is false within a batch.
func commandFromWire(p *peerpb.Command, outer bool) (state.Command, error) {
	switch k := p.GetKind().(type) {
	case *peerpb.Command_Change:
		return changeFromWire(k.Change)
	case *peerpb.Command_Batch:
		if !outer {
			return nil, result.New(result.Malformed, "batch in a batch")
		}
		return batchFromWire(k.Batch)
	case *peerpb.Command_Assign:
		return assignFromWire(k.Assign), nil
	case *peerpb.Command_Revoke:
		return state.Revoke{
			Upstream: ident.Upstream(k.Revoke.GetUpstream()),
			Fence:    ident.Fence(k.Revoke.GetFence()),
		}, nil
	case *peerpb.Command_Yield:
		return state.Yield{
			Upstream: ident.Upstream(k.Yield.GetUpstream()),
			Fence:    ident.Fence(k.Yield.GetFence()),
		}, nil
	case *peerpb.Command_Release:
		return state.Release{
			Upstream:     ident.Upstream(k.Release.GetUpstream()),
			RevokedIndex: k.Release.GetAfter(),
		}, nil
	case *peerpb.Command_Expire:
		return state.Expire{Until: timeFromWire(k.Expire.GetUntil())}, nil
	case *peerpb.Command_Quarantine:
		return state.Quarantine{
			Digest: k.Quarantine.GetDigest(),
			Until:  timeFromWire(k.Quarantine.GetUntil()),
		}, nil
	}
	if c, ok := platformFromWire(p); ok {
		return c, nil
	}
	return ledgerFromWire(p)
}

func ledgerFromWire(p *peerpb.Command) (state.Command, error) {
	switch k := p.GetKind().(type) {
	case *peerpb.Command_Begin:
		return beginFromWire(k.Begin), nil
	case *peerpb.Command_Finish:
		return state.Finish{
			Scope:   k.Finish.GetScope(),
			Key:     ident.Key(k.Finish.GetKey()),
			Attempt: ident.Attempt(k.Finish.GetAttempt()),
			Answer:  answerFromWire(k.Finish.GetAnswer()),
		}, nil
	case *peerpb.Command_Abandon:
		return state.Abandon{
			Scope:    k.Abandon.GetScope(),
			Key:      ident.Key(k.Abandon.GetKey()),
			Attempt:  ident.Attempt(k.Abandon.GetAttempt()),
			Deadline: timeFromWire(k.Abandon.GetDeadline()),
		}, nil
	case *peerpb.Command_Unknown:
		return state.MarkUnknown{
			Scope:   k.Unknown.GetScope(),
			Key:     ident.Key(k.Unknown.GetKey()),
			Attempt: ident.Attempt(k.Unknown.GetAttempt()),
		}, nil
	case *peerpb.Command_FormWitnesses:
		return state.FormWitnesses{
			Names: namesFromWire(k.FormWitnesses.GetNames()), Forced: k.FormWitnesses.GetForced(),
		}, nil
	case *peerpb.Command_Orphan:
		return state.Orphan{
			Owner:       ident.Daemon(k.Orphan.GetOwner()),
			Incarnation: ident.Incarnation(k.Orphan.GetIncarnation()),
		}, nil
	}
	return nil, result.New(result.Malformed, "command of an unknown kind")
}

func batchFromWire(p *peerpb.CommandBatch) (state.Command, error) {
	c := state.Batch{}
	for _, q := range p.GetCommands() {
		sub, err := commandFromWire(q, false)
		if err != nil {
			return nil, err
		}
		c.Commands = append(c.Commands, sub)
	}
	return c, nil
}

func assignFromWire(p *peerpb.Assign) state.Assign {
	return state.Assign{
		Upstream:         ident.Upstream(p.GetUpstream()),
		Incarnation:      ident.Incarnation(p.GetIncarnation()),
		Owner:            ident.Daemon(p.GetOwner()),
		OwnerIncarnation: ident.Incarnation(p.GetOwnerIncarnation()),
		RevokedIndex:     p.GetAfter(),
	}
}

func beginFromWire(p *peerpb.Begin) state.Begin {
	return state.Begin{
		Scope:            p.GetScope(),
		Key:              ident.Key(p.GetKey()),
		Digest:           p.GetDigest(),
		Owner:            ident.Daemon(p.GetOwner()),
		OwnerIncarnation: ident.Incarnation(p.GetOwnerIncarnation()),
		Attempt:          ident.Attempt(p.GetAttempt()),
		ViewIndex:        p.GetSeen(),
		ProposedAt:       timeFromWire(p.GetAt()),
		Deadline:         timeFromWire(p.GetDeadline()),
	}
}
