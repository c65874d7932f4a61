package ledger

import (
	"slices"
	"time"

	"papayaspoke/core/state"
)

const (
	// OrphanGrace is how long a run of a daemon must be missing before its
	// attempts are marked as unknown.
	OrphanGrace = 5 * time.Second
	// ExpireInterval is the minimum time between two Expire commands.
	ExpireInterval = 10 * time.Second
)

// Sweeper cleans up the ledger while its daemon is the leader. A daemon that
// becomes leader creates a new one.
type Sweeper struct {
	// missingSince holds when a run with running attempts was first found
	// missing.
	missingSince map[state.AttemptOwner]time.Time
	// orphanRetryAt is when an Orphan may be proposed again.
	orphanRetryAt map[state.AttemptOwner]time.Time
	// nextExpire is when an Expire may be proposed again.
	nextExpire time.Time
}

// NewSweeper returns the cleanup state of a daemon that has just become leader.
func NewSweeper() *Sweeper {
	return &Sweeper{missingSince: map[state.AttemptOwner]time.Time{}, orphanRetryAt: map[state.AttemptOwner]time.Time{}}
}

// Step returns the commands to propose. Now is monotonic and wall is the wall
// clock; alive holds the runs of daemons that are in the cluster and not
// suspected.
func (k *Sweeper) Step(now, wall time.Time, v *state.View, alive []state.AttemptOwner) []state.Command {
	var out []state.Command
	missingSince, orphanRetryAt := map[state.AttemptOwner]time.Time{}, map[state.AttemptOwner]time.Time{}
	for _, r := range v.AttemptOwners() {
		if slices.Contains(alive, r) {
			continue
		}
		since, ok := k.missingSince[r]
		if !ok {
			since = now
		}
		missingSince[r], orphanRetryAt[r] = since, k.orphanRetryAt[r]
		if now.Sub(since) < OrphanGrace || now.Before(orphanRetryAt[r]) {
			continue
		}
		orphanRetryAt[r] = now.Add(ProposalRetry)
		out = append(out, state.Orphan(r))
	}
	k.missingSince, k.orphanRetryAt = missingSince, orphanRetryAt
	return append(out, k.proposeExpire(now, wall, v)...)
}

// proposeExpire returns an Expire if there is an entry whose retention has
// passed by the clock of every daemon.
func (k *Sweeper) proposeExpire(now, wall time.Time, v *state.View) []state.Command {
	until := wall.Add(-Retention - MaxClockSkew)
	earliest, ok := v.NextExpiry()
	if now.Before(k.nextExpire) || !ok || earliest.After(until) {
		return nil
	}
	k.nextExpire = now.Add(ExpireInterval)
	return []state.Command{state.Expire{Until: until}}
}
