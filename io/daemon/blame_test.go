package daemon

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"papayaspoke/core/coordination/blame"
)

func TestBlameSurvivesTheReplicatedState(t *testing.T) {
	now := time.Date(2026, 1, 15, 18, 0, 0, 0, time.UTC)
	cases := map[string]blame.Entry{
		"ended":     blame.Ended{End: 1, Request: 1<<63 + 5, At: now},
		"answered":  blame.Answered{Key: 7, At: now},
		"convicted": blame.Convicted{Key: 9, Until: now},
	}
	for name, e := range cases {
		t.Run(name, func(t *testing.T) {
			key := encodeBlame(e)
			got, ok := decodeBlame(key, blame.Expires(e))
			assert.Assert(t, ok)
			assert.DeepEqual(t, got, e)
			_, verdict := decodeVerdict(key, now)
			assert.Assert(t, !verdict, "the dispatcher takes it for its own")
		})
	}
}

func TestOtherKeysAreNoBlame(t *testing.T) {
	for name, key := range map[string]string{
		"a verdict of the dispatcher": "2:" + "00ff", "empty": "", "no keys": "e:", "one key too few": "e:0000000000000001",
		"not hexadecimal": "a:000000000000000g", "too long": "c:00000000000000010000000000000002", "half a byte": "a:1",
	} {
		t.Run(name, func(t *testing.T) {
			_, ok := decodeBlame(key, time.Time{})
			assert.Assert(t, !ok)
		})
	}
}
