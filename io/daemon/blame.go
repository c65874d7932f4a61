package daemon

import (
	"encoding/base64"
	"encoding/binary"
	"strconv"
	"strings"
	"time"

	"papayaspoke/core/coordination/blame"
	"papayaspoke/core/state"
)

const (
	// blameInterval is how often daemons look for expired evidence and for
	// convictions that are due.
	blameInterval = 100 * time.Millisecond
	// maxBlameBatch bounds the entries that a daemon commits at once.
	maxBlameBatch = 64
	// blameKeySize is the size of a key in the replicated state, in bytes, and
	// maxBlameParts how many parts fit into one entry there.
	blameKeySize  = 11
	maxBlameParts = (state.MaxDigest-len(blameEnded)-1)/blameKeySize - 3
)

// The kinds of entries in the replicated state, where verdicts of the dispatcher
// have a digit.
const (
	blameEnded     = "e:"
	blameAnswered  = "a:"
	blameConvicted = "c:"
)

// publishBlame queues evidence to be committed at the next tick.
func (p *Platform) publishBlame(es []blame.Entry) {
	p.d.ctl.post(func(time.Time) { p.d.ctl.pendingBlame = append(p.d.ctl.pendingBlame, es...) })
}

// commitBlame commits evidence of this daemon and, if it leads, the convictions
// that are due.
func (c *control) commitBlame(now time.Time) {
	if !now.Before(c.nextBlameAt) {
		c.nextBlameAt = now.Add(blameInterval)
		if due := c.platform.gateway.DueBlame(c.leading()); c.leading() {
			c.pendingBlame = append(c.pendingBlame, due...)
		}
	}
	if len(c.pendingBlame) == 0 {
		return
	}
	batch := c.pendingBlame[:min(len(c.pendingBlame), maxBlameBatch)]
	c.pendingBlame = c.pendingBlame[len(batch):]
	var cmds []state.Command
	for _, e := range batch {
		for _, key := range encodeBlame(e) {
			cmds = append(cmds, state.Quarantine{Digest: key, Until: blame.Expires(e)})
		}
	}
	c.async.commit(state.Batch{Commands: cmds})
}

// encodeBlame returns the keys of an entry in the replicated state. When it
// expires stands beside the key. Evidence against many parts takes several keys.
func encodeBlame(e blame.Entry) []string {
	switch e := e.(type) {
	case blame.Ended:
		out := []string{encodeEnded(e, e.Parts[:min(len(e.Parts), maxBlameParts)], 0)}
		for before := maxBlameParts; before < len(e.Parts); before += maxBlameParts {
			out = append(out, encodeEnded(e, e.Parts[before:min(before+maxBlameParts, len(e.Parts))], before))
		}
		return out
	case blame.Answered:
		return []string{blameAnswered + encodeKeys(e.Key)}
	case blame.Convicted:
		return []string{blameConvicted + encodeKeys(e.Keys...)}
	}
	return nil
}

// encodeEnded returns the key of a piece of the evidence. Its number is a digit.
func encodeEnded(e blame.Ended, parts []blame.Key, before int) string {
	return blameEnded + strconv.Itoa(before/maxBlameParts) + encodeKeys(e.End, e.Request, evidenceBits(e, before)) + encodeKeys(parts...)
}

// evidenceBits returns what the evidence says of the parts from a place on, in the
// bits below MaxParts, and the kind of trial in those above.
func evidenceBits(e blame.Ended, before int) blame.Key {
	return blame.Key(e.Trial)<<blame.MaxParts | blame.Key(e.Answered>>before)
}

func encodeKeys(ks ...blame.Key) string {
	var b strings.Builder
	for _, k := range ks {
		b.WriteString(base64.RawURLEncoding.EncodeToString(binary.BigEndian.AppendUint64(nil, uint64(k))))
	}
	return b.String()
}

// decodeBlame parses a key made by encodeBlame. It returns false for keys of
// others.
func decodeBlame(key string, until time.Time) (blame.Entry, bool) {
	for _, kind := range []string{blameEnded, blameAnswered, blameConvicted} {
		rest, ok := strings.CutPrefix(key, kind)
		if !ok {
			continue
		}
		before := 0
		if kind == blameEnded && rest != "" {
			before, rest = (int(rest[0])-'0')*maxBlameParts, rest[1:]
		}
		keys, ok := decodeKeys(rest)
		switch {
		case !ok || before < 0 || before >= blame.MaxParts:
			return nil, false
		case kind == blameEnded && len(keys) >= 3:
			s := blame.Suspect{Request: keys[1], Parts: keys[3:]}
			return blame.EndedThatExpires(until, blame.Ended{
				End: keys[0], Suspect: s, PartsBefore: before, Answered: uint32(keys[2]),
				Trial: blame.Trial(min(keys[2]>>blame.MaxParts, blame.Key(blame.LateTrial))),
			}), true
		case kind == blameAnswered && len(keys) == 1:
			return blame.AnsweredThatExpires(until, keys[0]), true
		case kind == blameConvicted && len(keys) > 0:
			return blame.Convicted{Keys: keys, Until: until}, true
		}
	}
	return nil, false
}

func decodeKeys(s string) ([]blame.Key, bool) {
	var keys []blame.Key
	for ; len(s) >= blameKeySize; s = s[blameKeySize:] {
		raw, err := base64.RawURLEncoding.DecodeString(s[:blameKeySize])
		if err != nil {
			return nil, false
		}
		keys = append(keys, blame.Key(binary.BigEndian.Uint64(raw)))
	}
	return keys, s == ""
}

// applyBlame passes committed evidence and verdicts to the gateway.
func (c *control) applyBlame(cmd state.Quarantine) {
	if e, ok := decodeBlame(cmd.Digest, cmd.Until); ok && c.platform != nil {
		c.platform.gateway.ApplyBlame(e)
	}
}

// restoreBlame passes the evidence and verdicts in a snapshot to the gateway.
func (c *control) restoreBlame() {
	if c.platform == nil {
		return
	}
	var es []blame.Entry
	for key, until := range c.state.View().Quarantined() {
		if e, ok := decodeBlame(key, until); ok {
			es = append(es, e)
		}
	}
	c.platform.gateway.RestoreBlame(es)
}
