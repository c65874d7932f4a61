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
	// Pause is the longest pause that streams of the replica may have, 0 if
	// none was stated.
	Pause time.Duration
	// Stride is how many tokens the replica puts in one piece; at least 1.
	Stride int
	// Rates are those of the replica's engine, as the sender has learned them;
	// never zero.
	Rates Rates
	// By is when the prompt has to be sent at the latest; nothing is booked for
	// later. Zero leaves it to the gate.
	By time.Time
}

// Turn is when a prompt may be sent.
type Turn struct {
	At time.Time
	// Booked is false if that is too late: then nothing was booked.
	Booked bool
	// Alone is true if nothing else is read around that time.
	Alone bool
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
	if p.Pause <= 0 {
		return defaultPause
	}
	return p.Pause
}

// budget is how much may be read while one piece of a stream is made: what the
// steps of the piece leave of the allowed pause.
func (p Prompt) budget() time.Duration {
	pause := float64(p.pause())
	steps := time.Duration(max(p.Stride, 1)) * p.Rates.step
	return max(time.Duration(slack*pause)-steps, time.Duration(leastReading*pause))
}

// reading is how long the prompt takes.
func (p Prompt) reading() time.Duration { return p.Rates.Reading(p.Tokens) }

// share is how much may be read in each step if all steps of a piece are alike.
func (p Prompt) share() time.Duration {
	each := time.Duration(slack*float64(p.pause()))/time.Duration(max(p.Stride, 1)) - p.Rates.step
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
func (g *Gate) Book(now time.Time, p Prompt) Turn {
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
	if !p.By.IsZero() && p.By.Before(by) {
		by = p.By
	}
	if r.at.After(by) {
		return Turn{At: r.at}
	}
	g.readings = append(g.readings, r)
	// Prompts that share a step share what the step takes besides.
	rest := time.Duration(float64(p.Rates.step) * min(1, float64(r.took)/float64(p.share())))
	g.free = latest(g.free, r.at).Add(r.took + rest)
	return Turn{At: r.at, Booked: true, Alone: alone}
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

// Keep forgets replicas that are not known.
func (k *keyed[T]) Keep(known func(name ident.Upstream) bool) {
	for name := range k.all {
		if !known(name) {
			delete(k.all, name)
		}
	}
}

// Gates are those that one daemon keeps. They are not safe for concurrent use.
type Gates struct{ keyed[Gate] }

// Book books at the gate of a replica.
func (g *Gates) Book(now time.Time, name ident.Upstream, p Prompt) Turn {
	return g.at(name).Book(now, p)
}

// Keeper is a daemon that may keep gates.
type Keeper struct {
	Name       ident.Daemon
	DataCentre ident.DataCentre
}

// KeeperOf returns who keeps the gate of a replica: one of its own data centre,
// if there is any. Whoever knows the same daemons gets the same answer.
func KeeperOf(name ident.Upstream, centre ident.DataCentre, keepers []Keeper) ident.Daemon {
	var best ident.Daemon
	var rank uint64
	near := false
	for _, k := range keepers {
		here := k.DataCentre == centre
		if near && !here {
			continue
		}
		if r := ident.Spread(string(k.Name), string(name)); best == "" || here && !near || r > rank {
			best, rank = k.Name, r
		}
		near = near || here
	}
	return best
}
