package pace

import (
	"cmp"
	"slices"
	"time"

	"papayaspoke/core/ident"
)

const (
	// usablePauseShare is the part of the allowed pause that is used. The rest
	// covers clock differences between pacer and engine, and an engine that is
	// in the middle of a step.
	usablePauseShare = 0.9
	// minPrefillShare is the part of the allowed pause that prefill may take
	// even if the decode steps of a chunk leave less.
	minPrefillShare = 0.2
	// defaultPause is the allowed pause if the operator sets none.
	defaultPause = 300 * time.Millisecond
	// maxRateReports is the number of most recent rate reports of senders that
	// are used.
	maxRateReports = 9
	// maxWait limits how far ahead prompts are scheduled, and so how long a
	// client waits for its answer to begin.
	maxWait = 1500 * time.Millisecond
)

// Prompt describes a request whose prompt has to be prefilled.
type Prompt struct {
	Tokens int
	// MaxPause is the longest pause allowed in the streams of the replica, 0 if
	// not set.
	MaxPause time.Duration
	// TokensPerChunk is the number of tokens that the replica puts into one
	// chunk; at least 1.
	TokensPerChunk int
	// Rates are the sender's estimates for the replica's engine; never zero.
	Rates Rates
	// Deadline is the latest time to send the prompt; no later time is
	// reserved. Zero means that only the pacer's own limit applies.
	Deadline time.Time
}

// Reservation is the answer to a request for a reservation or for admission.
type Reservation struct {
	At time.Time
	// Reserved is false if At is past the deadline or admission was denied; then
	// nothing was reserved.
	Reserved bool
	// Isolated is true if no other prefill is scheduled around that time.
	Isolated bool
}

// PromptPacer schedules the prompt prefills of one replica. The zero value has
// no reservations.
type PromptPacer struct {
	// rateReports are the latest estimates of senders, at most maxRateReports.
	rateReports []Rates
	// prefills are the recent and reserved ones, ordered by time.
	prefills []prefill
	// freeAt is when all reserved prefills will be done.
	freeAt time.Time
}

// prefill is the scheduled prefill of one prompt.
type prefill struct {
	at       time.Time
	duration time.Duration
	// burst is true if it may make a step longer than the step's share of a
	// chunk.
	burst bool
}

// maxPause returns the longest pause allowed in the replica's streams.
func (p Prompt) maxPause() time.Duration {
	if p.MaxPause <= 0 {
		return defaultPause
	}
	return p.MaxPause
}

// chunkBudget returns the prefill time allowed while one chunk is produced:
// what the decode steps of the chunk leave of the allowed pause.
func (p Prompt) chunkBudget() time.Duration {
	maxPause := float64(p.maxPause())
	steps := time.Duration(max(p.TokensPerChunk, 1)) * p.Rates.stepTime
	return max(time.Duration(usablePauseShare*maxPause)-steps, time.Duration(minPrefillShare*maxPause))
}

// prefillTime returns how long the prefill of the prompt takes.
func (p Prompt) prefillTime() time.Duration { return p.Rates.PrefillTime(p.Tokens) }

// stepShare returns the prefill time allowed in each step if all steps of a
// chunk take equally long.
func (p Prompt) stepShare() time.Duration {
	each := time.Duration(usablePauseShare*float64(p.maxPause()))/time.Duration(max(p.TokensPerChunk, 1)) - p.Rates.stepTime
	return max(each, p.Rates.stepTime)
}

// Reserve returns when the prompt may be sent. While all prompts are short,
// that is as soon as the waiting prefills fit into one step's share of the
// allowed pause. If one of them is longer, it is as soon as the prefills within
// the time of one pause fit into the budget of a chunk; a prompt that exceeds
// this budget by itself gets that time exclusively.
//
// Each sender has few observations or none, so the pacer uses the median of the
// rates reported for the replica.
func (pp *PromptPacer) Reserve(now time.Time, p Prompt) Reservation {
	if p.Rates.Estimated() {
		pp.rateReports = append(pp.rateReports[max(0, len(pp.rateReports)+1-maxRateReports):], p.Rates)
	}
	if len(pp.rateReports) > 0 {
		p.Rates = medianOf(pp.rateReports)
	}
	pp.dropBefore(now.Add(-p.maxPause()))
	r := prefill{at: now, duration: p.prefillTime()}
	if n := len(pp.prefills); n > 0 && pp.prefills[n-1].at.After(now) {
		r.at = pp.prefills[n-1].at
	}
	isolated := pp.schedule(p, &r)
	deadline := now.Add(maxWait)
	if !p.Deadline.IsZero() && p.Deadline.Before(deadline) {
		deadline = p.Deadline
	}
	if r.at.After(deadline) {
		return Reservation{At: r.at}
	}
	pp.prefills = append(pp.prefills, r)
	// Prompts that share a step also share the decode time of the step.
	decodeTime := time.Duration(float64(p.Rates.stepTime) * min(1, float64(r.duration)/float64(p.stepShare())))
	pp.freeAt = latest(pp.freeAt, r.at).Add(r.duration + decodeTime)
	return Reservation{At: r.at, Reserved: true, Isolated: isolated}
}

// schedule moves r to the first time at which its prefill may start, and
// reports whether no other prefill is close to it.
func (pp *PromptPacer) schedule(p Prompt, r *prefill) (isolated bool) {
	within := pp.after(r.at.Add(-p.maxPause()))
	burst := slices.ContainsFunc(within, func(o prefill) bool { return o.burst })
	if stepShare := p.stepShare(); r.duration <= stepShare && !burst {
		r.at = latest(r.at, pp.freeAt.Add(r.duration-stepShare))
		return len(pp.after(r.at.Add(-p.maxPause()))) == 0
	}
	r.burst = true
	for _, o := range within {
		if totalDuration(within)+r.duration <= p.chunkBudget() {
			break
		}
		within = within[1:]
		r.at = latest(r.at, o.at.Add(p.maxPause()))
	}
	return len(within) == 0
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// medianOf returns the median prefill rate and the median step time.
func medianOf(rs []Rates) Rates {
	byPrefillRate := slices.SortedFunc(slices.Values(rs), func(a, b Rates) int { return cmp.Compare(a.prefillRate, b.prefillRate) })
	byStepTime := slices.SortedFunc(slices.Values(rs), func(a, b Rates) int { return cmp.Compare(a.stepTime, b.stepTime) })
	return Rates{prefillRate: byPrefillRate[len(rs)/2].prefillRate, stepTime: byStepTime[len(rs)/2].stepTime}
}

// dropBefore removes prefills that started at or before a time.
func (pp *PromptPacer) dropBefore(before time.Time) {
	pp.prefills = append(pp.prefills[:0], pp.after(before)...)
}

// after returns the prefills that start after a time.
func (pp *PromptPacer) after(t time.Time) []prefill {
	i := slices.IndexFunc(pp.prefills, func(p prefill) bool { return p.at.After(t) })
	if i < 0 {
		return nil
	}
	return pp.prefills[i:]
}

func totalDuration(rs []prefill) time.Duration {
	var d time.Duration
	for _, r := range rs {
		d += r.duration
	}
	return d
}

// perReplica holds the pacers that one daemon hosts, by replica.
type perReplica[T any] struct{ pacers map[ident.Upstream]*T }

// get returns the pacer of a replica, and creates it if there is none.
func (r *perReplica[T]) get(name ident.Upstream) *T {
	if r.pacers == nil {
		r.pacers = make(map[ident.Upstream]*T)
	}
	if r.pacers[name] == nil {
		r.pacers[name] = new(T)
	}
	return r.pacers[name]
}

// Retain removes the pacers of replicas that are not known.
func (r *perReplica[T]) Retain(known func(name ident.Upstream) bool) {
	for name := range r.pacers {
		if !known(name) {
			delete(r.pacers, name)
		}
	}
}

// PromptPacers holds the prompt pacers that one daemon hosts. It is not safe for
// concurrent use.
type PromptPacers struct{ perReplica[PromptPacer] }

// Reserve makes a reservation at the prompt pacer of a replica.
func (pp *PromptPacers) Reserve(now time.Time, name ident.Upstream, p Prompt) Reservation {
	return pp.get(name).Reserve(now, p)
}

// Host is a daemon that may host pacers.
type Host struct {
	Name       ident.Daemon
	DataCentre ident.DataCentre
}

// HostOf returns the daemon that hosts the pacers of a replica, if possible
// one in the replica's data centre. All daemons that know the same set of
// daemons get the same result.
func HostOf(name ident.Upstream, centre ident.DataCentre, hosts []Host) ident.Daemon {
	var best ident.Daemon
	var rank uint64
	foundLocal := false
	for _, h := range hosts {
		local := h.DataCentre == centre
		if foundLocal && !local {
			continue
		}
		if r := ident.RendezvousHash(string(h.Name), string(name)); best == "" || local && !foundLocal || r > rank {
			best, rank = h.Name, r
		}
		foundLocal = foundLocal || local
	}
	return best
}
