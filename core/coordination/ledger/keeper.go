package ledger

import (
	"slices"
	"time"

	"papayaspoke/core/state"
)

const (
	// OrphanGrace is how long a run of a daemon must be missing before its
	// attempts become unknown.
	OrphanGrace = 5 * time.Second
	// ExpireInterval is the least time between two Expires.
	ExpireInterval = 10 * time.Second
)

// Sweeper tidies the ledger while its daemon leads. A daemon that becomes leader
// makes a new one.
type Sweeper struct {
	// missing holds when a run with running attempts was first found missing.
	missing map[state.AttemptOwner]time.Time
	// retry is when an Orphan may be proposed again.
	retry map[state.AttemptOwner]time.Time
	// expire is when an Expire may be proposed again.
	expire time.Time
}

// NewSweeper returns the keeper of a daemon that has just become leader.
func NewSweeper() *Sweeper {
	return &Sweeper{missing: map[state.AttemptOwner]time.Time{}, retry: map[state.AttemptOwner]time.Time{}}
}

// Step returns the commands to propose. Now is monotonic, wall the wall clock;
// alive holds the runs of daemons that are in the cluster and not suspected.
func (k *Sweeper) Step(now, wall time.Time, v *state.View, alive []state.AttemptOwner) []state.Command {
	var out []state.Command
	missing, retry := map[state.AttemptOwner]time.Time{}, map[state.AttemptOwner]time.Time{}
	for _, r := range v.AttemptOwners() {
		if slices.Contains(alive, r) {
			continue
		}
		since, ok := k.missing[r]
		if !ok {
			since = now
		}
		missing[r], retry[r] = since, k.retry[r]
		if now.Sub(since) < OrphanGrace || now.Before(retry[r]) {
			continue
		}
		retry[r] = now.Add(ProposalRetry)
		out = append(out, state.Orphan(r))
	}
	k.missing, k.retry = missing, retry
	return append(out, k.expireUntil(now, wall, v)...)
}

func (k *Sweeper) expireUntil(now, wall time.Time, v *state.View) []state.Command {
	until := wall.Add(-Retention - ClockBound)
	earliest, ok := v.NextExpiry()
	if now.Before(k.expire) || !ok || earliest.After(until) {
		return nil
	}
	k.expire = now.Add(ExpireInterval)
	return []state.Command{state.Expire{Until: until}}
}
