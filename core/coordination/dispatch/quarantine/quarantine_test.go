package quarantine_test

import (
	"encoding/binary"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"papayaspoke/core/coordination/dispatch/quarantine"
)

var epoch = time.Date(2026, 1, 15, 18, 0, 0, 0, time.UTC)

func digest(n uint64) (d quarantine.Digest) {
	binary.BigEndian.PutUint64(d[:], n)
	return d
}

func TestVerdicts(t *testing.T) {
	cases := map[string]struct {
		act  func(l *quarantine.List)
		at   time.Duration
		want quarantine.Verdict
	}{
		"unknown":                         {func(*quarantine.List) {}, 0, quarantine.Clear},
		"one crash":                       {func(l *quarantine.List) { l.Crashed(epoch, digest(1), false) }, 0, quarantine.Suspect},
		"one crash alone":                 {func(l *quarantine.List) { l.Crashed(epoch, digest(1), true) }, 0, quarantine.Suspect},
		"two crashes, second with others": {func(l *quarantine.List) { l.Crashed(epoch, digest(1), false); l.Crashed(epoch, digest(1), false) }, 0, quarantine.Suspect},
		"two crashes, second alone":       {func(l *quarantine.List) { l.Crashed(epoch, digest(1), false); l.Crashed(epoch, digest(1), true) }, 0, quarantine.Convicted},
		"finished between": {func(l *quarantine.List) {
			l.Crashed(epoch, digest(1), false)
			l.Finished(epoch, digest(1))
			l.Crashed(epoch, digest(1), true)
		}, 0, quarantine.Suspect},
		"suspicion expires":  {func(l *quarantine.List) { l.Crashed(epoch, digest(1), false) }, 10 * time.Minute, quarantine.Clear},
		"conviction expires": {func(l *quarantine.List) { l.Crashed(epoch, digest(1), false); l.Crashed(epoch, digest(1), true) }, 2 * time.Hour, quarantine.Clear},
		"spread conviction outranks": {func(l *quarantine.List) {
			l.Crashed(epoch, digest(1), false)
			l.Merge(epoch, quarantine.Entry{Digest: digest(1), Verdict: quarantine.Convicted, Expires: epoch.Add(time.Hour)})
			l.Merge(epoch, quarantine.Entry{Digest: digest(1), Verdict: quarantine.Clear, Expires: epoch.Add(time.Hour)})
		}, 0, quarantine.Convicted},
		"spread clearance": {func(l *quarantine.List) {
			l.Crashed(epoch, digest(1), false)
			l.Merge(epoch, quarantine.Entry{Digest: digest(1), Verdict: quarantine.Clear, Expires: epoch.Add(time.Hour)})
		}, 0, quarantine.Clear},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			l := quarantine.New()
			c.act(l)
			assert.Equal(t, l.Verdict(epoch.Add(c.at), digest(1)), c.want)
		})
	}
}

func TestListIsBoundedAndKeepsConvictions(t *testing.T) {
	l := quarantine.New()
	l.Crashed(epoch, digest(0), false)
	l.Crashed(epoch, digest(0), true)
	for i := range 5000 {
		l.Crashed(epoch.Add(time.Duration(i)*time.Millisecond), digest(uint64(i+1)), false)
	}
	assert.Assert(t, len(l.Entries(epoch)) <= 4096)
	assert.Equal(t, l.Verdict(epoch, digest(0)), quarantine.Convicted)
}
