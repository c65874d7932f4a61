package balance

import (
	"slices"
	"time"

	"papayaspoke/core/ident"
)

// maxNotices bounds the replicas whose notices are remembered.
const maxNotices = 4096

// notice is what an incarnation of a replica has said of itself in its answers. It
// outlives the replica's announcements, which may say otherwise or be missing for
// a while.
type notice struct {
	incarnation ident.Incarnation
	// leaving is never taken back.
	leaving bool
	// quietUntil is until when the replica wants no requests of this daemon.
	quietUntil time.Time
}

// noticeOf returns the notice of an incarnation, zero if there is none.
func (b *Balancer) noticeOf(name ident.Upstream, i ident.Incarnation) notice {
	if n := b.notices[name]; n.incarnation == i {
		return n
	}
	return notice{incarnation: i}
}

// RecordLeaving records that an incarnation of a replica has said that it leaves.
// It returns false if that was known.
func (b *Balancer) RecordLeaving(name ident.Upstream, i ident.Incarnation) bool {
	n := b.noticeOf(name, i)
	if n.leaving {
		return false
	}
	n.leaving = true
	b.keepNotice(name, n)
	return true
}

// RecordQuiet records until when an incarnation of a replica wants no requests of
// this daemon. Of several times the latest holds. It returns false if nothing
// changed.
func (b *Balancer) RecordQuiet(name ident.Upstream, i ident.Incarnation, until time.Time) bool {
	n := b.noticeOf(name, i)
	if !until.After(n.quietUntil) {
		return false
	}
	n.quietUntil = until
	b.keepNotice(name, n)
	return true
}

// QuietUntil returns until when an incarnation of a replica wants no requests of
// this daemon, the zero time if it has not said so.
func (b *Balancer) QuietUntil(name ident.Upstream, i ident.Incarnation) time.Time {
	return b.noticeOf(name, i).quietUntil
}

// keepNotice stores a notice. If there are too many, those of replicas that are
// no longer announced go first.
func (b *Balancer) keepNotice(name ident.Upstream, n notice) {
	if old, ok := b.notices[name]; ok && old.incarnation > n.incarnation {
		return
	}
	if len(b.notices) >= maxNotices {
		for other := range b.notices {
			if b.replicas[other] == nil {
				delete(b.notices, other)
			}
		}
	}
	b.notices[name] = n
	if p := b.replicas[name]; p != nil {
		b.applyNotice(p)
	}
}

// applyNotice applies the notice of a replica if it is of the same incarnation,
// and forgets that of an earlier one.
func (b *Balancer) applyNotice(p *replicaState) {
	n, ok := b.notices[p.Name]
	switch {
	case !ok || n.incarnation > p.Incarnation:
	case n.incarnation < p.Incarnation:
		delete(b.notices, p.Name)
	default:
		p.Leaving = p.Leaving || n.leaving
		p.quietUntil = n.quietUntil
	}
}

// LeftAlone returns the replicas that get no requests since they have said so,
// sorted by name.
func (b *Balancer) LeftAlone(now time.Time) []ident.Upstream {
	var out []ident.Upstream
	for name, n := range b.notices {
		if p := b.replicas[name]; p != nil && n.incarnation == p.Incarnation && (n.leaving || p.isQuiet(now)) {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// isQuiet reports whether the replica wants no requests of this daemon now.
func (p *replicaState) isQuiet(now time.Time) bool { return now.Before(p.quietUntil) }

// StillAccepts reports whether the chosen replica still accepts requests.
func (b *Balancer) StillAccepts(now time.Time, c Choice) bool {
	p := b.replicas[c.Replica.Name]
	return p != nil && p.Incarnation == c.Replica.Incarnation && !p.Leaving && !p.isQuiet(now)
}

// Leaves reports whether an incarnation of a replica has announced that it
// leaves.
func (b *Balancer) Leaves(name ident.Upstream, i ident.Incarnation) bool {
	p := b.replicas[name]
	return p != nil && p.Incarnation == i && p.Leaving
}
