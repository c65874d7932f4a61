package pace

import (
	"cmp"
	"slices"
	"time"

	"papayaspoke/core/ident"
)

const (
	// slack is the part of an allowed pause that is used: the clocks of gate
	// and engine are not the same, and an engine may be in the middle of a step.
	slack = 0.9
	// leastReading is the part of an allowed pause that reading may take even
	// where the steps of a piece leave less.
	leastReading = 0.2
	// defaultPause is assumed where the operator states no pause.
	defaultPause = 300 * time.Millisecond
	// maxRates is how many senders' words of a replica's rates count.
	maxRates = 9
	// maxWait bounds how far ahead a gate is booked: no client waits longer
	// for an answer to begin.
	maxWait = 1500 * time.Millisecond
)

// Prompt is a request whose prompt is to be read.
type Prompt struct {
	Tokens int
	// MaxPause is the longest pause that streams of the replica may have, 0 if
	// none was stated.
	MaxPause time.Duration
	// TokensPerChunk is how many tokens the replica puts in one piece; at least 1.
	TokensPerChunk int
	// Rates are those of the replica's engine, as the sender has learned them;
	// never zero.
	Rates Rates
	// Deadline is when the prompt has to be sent at the latest; nothing is booked for
	// later. Zero leaves it to the gate.
	Deadline time.Time
}

// Reservation is when a prompt may be sent.
type Reservation struct {
	At time.Time
	// Reserved is false if that is too late: then nothing was booked.
	Reserved bool
	// Isolated is true if nothing else is read around that time.
	Isolated bool
}

// Gate keeps what a replica was given to read lately, and what is booked. The
// zero value is a gate at which nothing is booked.
type Gate struct {
	// rates are the last that senders had learned, at most maxRates.
	rates []Rates
	// readings are in the order of their times.
	readings []reading
	// free is when all that was booked will have been read.
	free time.Time
}

// reading is a prompt at a gate.
type reading struct {
	at   time.Time
	took time.Duration
	// burst is true if it may have made a step longer than its share of a piece.
	burst bool
}

// pause is the longest pause of the replica's streams.
func (p Prompt) pause() time.Duration {
	if p.MaxPause <= 0 {
		return defaultPause
	}
	return p.MaxPause
}

// budget is how much may be read while one piece of a stream is made: what the
// steps of the piece leave of the allowed pause.
func (p Prompt) budget() time.Duration {
	pause := float64(p.pause())
	steps := time.Duration(max(p.TokensPerChunk, 1)) * p.Rates.step
	return max(time.Duration(slack*pause)-steps, time.Duration(leastReading*pause))
}

// reading is how long the prompt takes.
func (p Prompt) reading() time.Duration { return p.Rates.PrefillTime(p.Tokens) }

// share is how much may be read in each step if all steps of a piece are alike.
func (p Prompt) share() time.Duration {
	each := time.Duration(slack*float64(p.pause()))/time.Duration(max(p.TokensPerChunk, 1)) - p.Rates.step
	return max(each, p.Rates.step)
}

// Book returns when the prompt may be sent. While all prompts are short, as soon
// as what waits to be read fits into one step's share of an allowed pause. Where
// one is longer, as soon as what is read within the time of one pause fits into
// the budget of a piece; a prompt that takes more than that by itself has the
// time for itself.
//
// Each sender has learned from a few answers only, or from none: what counts is
// the median of what they say of the replica.
func (g *Gate) Book(now time.Time, p Prompt) Reservation {
	if p.Rates.Learned() {
		g.rates = append(g.rates[max(0, len(g.rates)+1-maxRates):], p.Rates)
	}
	if len(g.rates) > 0 {
		p.Rates = medianOf(g.rates)
	}
	g.forget(now.Add(-p.pause()))
	r := reading{at: now, took: p.reading()}
	if n := len(g.readings); n > 0 && g.readings[n-1].at.After(now) {
		r.at = g.readings[n-1].at
	}
	alone := g.place(p, &r)
	by := now.Add(maxWait)
	if !p.Deadline.IsZero() && p.Deadline.Before(by) {
		by = p.Deadline
	}
	if r.at.After(by) {
		return Reservation{At: r.at}
	}
	g.readings = append(g.readings, r)
	// Prompts that share a step share what the step takes besides.
	rest := time.Duration(float64(p.Rates.step) * min(1, float64(r.took)/float64(p.share())))
	g.free = latest(g.free, r.at).Add(r.took + rest)
	return Reservation{At: r.at, Reserved: true, Isolated: alone}
}

// place moves r to the first time at which it may be read, and reports whether
// nothing else is read around it.
func (g *Gate) place(p Prompt, r *reading) (alone bool) {
	within := g.since(r.at.Add(-p.pause()))
	burst := slices.ContainsFunc(within, func(o reading) bool { return o.burst })
	if share := p.share(); r.took <= share && !burst {
		r.at = latest(r.at, g.free.Add(r.took-share))
		return len(g.since(r.at.Add(-p.pause()))) == 0
	}
	r.burst = true
	for _, o := range within {
		if sum(within)+r.took <= p.budget() {
			break
		}
		within = within[1:]
		r.at = latest(r.at, o.at.Add(p.pause()))
	}
	return len(within) == 0
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// medianOf returns the median speed of reading and the median step.
func medianOf(rs []Rates) Rates {
	byRead := slices.SortedFunc(slices.Values(rs), func(a, b Rates) int { return cmp.Compare(a.read, b.read) })
	byStep := slices.SortedFunc(slices.Values(rs), func(a, b Rates) int { return cmp.Compare(a.step, b.step) })
	return Rates{read: byRead[len(rs)/2].read, step: byStep[len(rs)/2].step}
}

// forget drops what was read before a time.
func (g *Gate) forget(before time.Time) {
	g.readings = append(g.readings[:0], g.since(before)...)
}

// since returns what is read after a time.
func (g *Gate) since(t time.Time) []reading {
	i := slices.IndexFunc(g.readings, func(r reading) bool { return r.at.After(t) })
	if i < 0 {
		return nil
	}
	return g.readings[i:]
}

func sum(rs []reading) time.Duration {
	var d time.Duration
	for _, r := range rs {
		d += r.took
	}
	return d
}

// keyed holds what one daemon keeps for each replica.
type keyed[T any] struct{ all map[ident.Upstream]*T }

// at returns what is kept for a replica.
func (k *keyed[T]) at(name ident.Upstream) *T {
	if k.all == nil {
		k.all = make(map[ident.Upstream]*T)
	}
	if k.all[name] == nil {
		k.all[name] = new(T)
	}
	return k.all[name]
}

// Retain forgets replicas that are not known.
func (k *keyed[T]) Retain(known func(name ident.Upstream) bool) {
	for name := range k.all {
		if !known(name) {
			delete(k.all, name)
		}
	}
}

// PromptPacers are those that one daemon keeps. They are not safe for concurrent use.
type PromptPacers struct{ keyed[Gate] }

// Reserve books at the gate of a replica.
func (g *PromptPacers) Reserve(now time.Time, name ident.Upstream, p Prompt) Reservation {
	return g.at(name).Book(now, p)
}

// Host is a daemon that may keep gates.
type Host struct {
	Name       ident.Daemon
	DataCentre ident.DataCentre
}

// HostOf returns who keeps the gate of a replica: one of its own data centre,
// if there is any. Whoever knows the same daemons gets the same answer.
func HostOf(name ident.Upstream, centre ident.DataCentre, keepers []Host) ident.Daemon {
	var best ident.Daemon
	var rank uint64
	near := false
	for _, k := range keepers {
		here := k.DataCentre == centre
		if near && !here {
			continue
		}
		if r := ident.RendezvousHash(string(k.Name), string(name)); best == "" || here && !near || r > rank {
			best, rank = k.Name, r
		}
		near = near || here
	}
	return best
}
