package daemon

import (
	"encoding/binary"
	"encoding/hex"
	"strings"
	"time"

	"papayaspoke/core/coordination/blame"
	"papayaspoke/core/state"
)

const (
	// blameInterval is how often the leader looks for convictions that are due.
	blameInterval = 100 * time.Millisecond
	// maxBlameBatch bounds the entries that a daemon commits at once.
	maxBlameBatch = 64
	// blameKeySize is the size of a key in the replicated state, in bytes.
	blameKeySize = 16
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
	if c.leading() && !now.Before(c.nextBlameAt) {
		c.nextBlameAt = now.Add(blameInterval)
		c.pendingBlame = append(c.pendingBlame, c.platform.gateway.DueBlame()...)
	}
	if len(c.pendingBlame) == 0 {
		return
	}
	var cmds []state.Command
	for _, e := range c.pendingBlame[:min(len(c.pendingBlame), maxBlameBatch)] {
		cmds = append(cmds, state.Quarantine{Digest: encodeBlame(e), Until: blame.Expires(e)})
	}
	c.pendingBlame = c.pendingBlame[len(cmds):]
	c.async.commit(state.Batch{Commands: cmds})
}

// encodeBlame returns the key of an entry in the replicated state. When it
// expires stands beside the key.
func encodeBlame(e blame.Entry) string {
	switch e := e.(type) {
	case blame.Ended:
		return blameEnded + encodeKey(e.End) + encodeKey(e.Request)
	case blame.Answered:
		return blameAnswered + encodeKey(e.Key)
	case blame.Convicted:
		return blameConvicted + encodeKey(e.Key)
	}
	return ""
}

func encodeKey(k blame.Key) string { return k.String() }

// decodeBlame parses a key made by encodeBlame. It returns false for keys of
// others.
func decodeBlame(key string, until time.Time) (blame.Entry, bool) {
	for _, kind := range []string{blameEnded, blameAnswered, blameConvicted} {
		rest, ok := strings.CutPrefix(key, kind)
		if !ok {
			continue
		}
		keys, ok := decodeKeys(rest)
		switch {
		case !ok:
			return nil, false
		case kind == blameEnded && len(keys) == 2:
			return blame.EndedThatExpires(until, keys[0], keys[1]), true
		case kind == blameAnswered && len(keys) == 1:
			return blame.AnsweredThatExpires(until, keys[0]), true
		case kind == blameConvicted && len(keys) == 1:
			return blame.Convicted{Key: keys[0], Until: until}, true
		}
	}
	return nil, false
}

func decodeKeys(s string) ([]blame.Key, bool) {
	raw, err := hex.DecodeString(s)
	if err != nil || len(s)%blameKeySize != 0 {
		return nil, false
	}
	var keys []blame.Key
	for ; len(raw) > 0; raw = raw[8:] {
		keys = append(keys, blame.Key(binary.BigEndian.Uint64(raw)))
	}
	return keys, true
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
