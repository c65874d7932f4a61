package peer

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"papayaspoke/io/protocol/peer/peerpb"
)

// FuzzUsage decodes arbitrary usage requests to the placer and its responses.
func FuzzUsage(f *testing.F) {
	b, err := proto.Marshal(&peerpb.UsageRequest{Daemon: "d", Runs: []*peerpb.Run{{Replica: "r", Running: 3}}, Listings: []*peerpb.Listing{{Replica: "r"}}})
	assert.NilError(f, err)
	f.Add(b)
	f.Fuzz(func(t *testing.T, data []byte) {
		now := time.Unix(1000, 0)
		var u peerpb.UsageRequest
		if proto.Unmarshal(data, &u) == nil {
			x := usageRequestFromWire(&u, now)
			assert.Equal(t, len(x.Runs), len(u.GetRuns()))
		}
		var a peerpb.UsageResponse
		if proto.Unmarshal(data, &a) == nil {
			x, _ := usageResponseFromWire(&a, now)
			assert.Assert(t, x.LoadAt(len(x.Loads)) == 0 && x.LoadAt(-1) == 0)
		}
	})
}

// FuzzGossip decodes arbitrary membership requests.
func FuzzGossip(f *testing.F) {
	f.Add([]byte{})
	f.Fuzz(func(_ *testing.T, data []byte) {
		var r peerpb.GossipRequest
		if proto.Unmarshal(data, &r) == nil {
			_, _ = DecodeGossipRequest(time.Unix(1000, 0), &r)
		}
	})
}
