package blame

import (
	"cmp"
	"slices"
	"time"
)

// maxLongPrompts is how many prompts with more than MaxParts parts are remembered.
const maxLongPrompts = 16

// longPrompt is the prompt of a request of this daemon that was in flight at an end
// and of which the evidence names some parts only.
type longPrompt struct {
	end   Key
	parts map[Key]bool
	// until is when the end no longer counts.
	until time.Time
}

// candidate is a part that may explain the end of a replica.
type candidate struct {
	key Key
	// place is its place in the prompt.
	place int
	// score is the number of ends under it that this daemon knows of, half of it if
	// it was answered lately.
	score    int
	answered bool
	// draw decides between equals. It is the same for all requests that were in
	// flight at an end and differs from end to end.
	draw Key
}

// likeliest returns at most MaxParts of the parts of a prompt, in order: those that
// are most likely to explain the end of a replica. These are the ones under which
// most replicas have ended, and then those that this daemon has not seen answered. A
// part of which nothing is known is drawn at one of the next ends, and is then kept.
func (t *Tracker) likeliest(now time.Time, end Key, parts []Key) []Key {
	if len(parts) <= MaxParts {
		return parts
	}
	t.rememberLong(now, end, parts)
	all := t.candidates(end, parts)
	slices.SortFunc(all, candidate.compare)
	all = slices.CompactFunc(all, func(a, b candidate) bool { return a.key == b.key })
	chosen := all[:min(len(all), MaxParts)]
	slices.SortFunc(chosen, func(a, b candidate) int { return cmp.Compare(a.place, b.place) })
	out := make([]Key, 0, len(chosen))
	for _, c := range chosen {
		out = append(out, c.key)
	}
	return out
}

// candidates returns what is known of the parts of a prompt.
func (t *Tracker) candidates(end Key, parts []Key) []candidate {
	out := make([]candidate, len(parts))
	for i, k := range parts {
		c := candidate{key: k, place: i, answered: t.history.has(k), draw: scramble(k ^ end), score: t.longEnds(k)}
		if r := t.records[k]; r != nil {
			c.score, c.answered = max(c.score, len(r.ends)), c.answered || r.answered
		}
		if c.answered {
			c.score /= 2
		}
		out[i] = c
	}
	return out
}

// compare orders the likelier candidate first.
func (c candidate) compare(o candidate) int {
	return cmp.Or(cmp.Compare(o.score, c.score), compareBool(c.answered, o.answered), cmp.Compare(c.draw, o.draw))
}

// rememberLong remembers a prompt with many parts.
func (t *Tracker) rememberLong(now time.Time, end Key, parts []Key) {
	p := longPrompt{end: end, parts: make(map[Key]bool, len(parts)), until: now.Add(evidenceTTL)}
	for _, k := range parts {
		p.parts[k] = true
	}
	t.long = slices.DeleteFunc(t.long, func(p longPrompt) bool { return !now.Before(p.until) })
	if len(t.long) >= maxLongPrompts {
		t.long = slices.Delete(t.long, 0, 1)
	}
	t.long = append(t.long, p)
}

// longEnds returns at how many ends a remembered prompt with a part was in flight.
func (t *Tracker) longEnds(k Key) int {
	count := 0
	var last Key
	for _, p := range t.long {
		if p.parts[k] && p.end != last {
			last = p.end
			count++
		}
	}
	return count
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	if a == b {
		return 0
	}
	if b {
		return -1
	}
	return 1
}

// scramble returns a number in which each bit depends on all lower bits of k.
func scramble(k Key) Key {
	k *= 0x9e3779b97f4a7c15
	return k ^ k>>32
}
