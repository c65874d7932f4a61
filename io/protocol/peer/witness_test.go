package peer

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"papayaspoke/core/coordination/entry"
	"papayaspoke/core/coordination/membership"
	"papayaspoke/core/coordination/witness"
	"papayaspoke/core/ident"
	"papayaspoke/core/result"
	"papayaspoke/io/protocol/peer/peerpb"
)

// marshalAndUnmarshal encodes m and decodes the bytes into out.
func marshalAndUnmarshal(t testing.TB, m, out proto.Message) {
	t.Helper()
	data, err := proto.Marshal(m)
	assert.NilError(t, err)
	assert.NilError(t, proto.Unmarshal(data, out))
}

func TestWitnessRoundTrip(t *testing.T) {
	vector := witness.Vector{"a": 1, "b": 1 << 60}
	entries := []entry.Entry{{Index: 4, Term: 2, Kind: entry.Command, Data: []byte("x")}, {Index: 5, Term: 2, Kind: entry.Voters, Data: []byte("y")}}
	req := witness.Request{
		From: "a", Incarnation: 1 << 60, Round: 3, Applied: 4, Visible: 5, Digest: 6,
		Vector: vector, Entries: entries, WantEntries: true,
	}
	reqMessage := &peerpb.WitnessRequest{}
	marshalAndUnmarshal(t, EncodeWitnessRequest(req), reqMessage)
	gotReq, err := DecodeWitnessRequest(reqMessage)
	assert.NilError(t, err)
	assert.DeepEqual(t, gotReq, req)

	resp := witness.Response{
		From: "a", Incarnation: 7, Round: 3, Active: true, Applied: 4, Floor: 2, Visible: 5, Digest: 6, Missing: 8,
		Vector: vector, Entries: entries, Snapshot: witness.Snapshot{Index: 3, Term: 1, Data: []byte("z")},
	}
	respMessage := &peerpb.WitnessResponse{}
	marshalAndUnmarshal(t, EncodeWitnessResponse(resp), respMessage)
	gotResp, err := DecodeWitnessResponse(respMessage)
	assert.NilError(t, err)
	assert.DeepEqual(t, gotResp, resp)
}

func TestWitnessRefusesMalformed(t *testing.T) {
	cases := map[string]*peerpb.WitnessRequest{
		"no sender":      {Incarnation: 1},
		"no incarnation": {From: "a"},
		"gap":            {From: "a", Incarnation: 1, Entries: []*peerpb.WitnessEntry{{Index: 1, Kind: 1}, {Index: 3, Kind: 1}}},
		"index zero":     {From: "a", Incarnation: 1, Entries: []*peerpb.WitnessEntry{{Kind: 1}}},
		"unknown kind":   {From: "a", Incarnation: 1, Entries: []*peerpb.WitnessEntry{{Index: 1, Kind: 257}}},
	}
	for name, m := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := DecodeWitnessRequest(m)
			assert.Equal(t, result.CodeOf(err), result.Malformed)
		})
	}
}

func gossipRequest(now time.Time) membership.Request {
	return membership.Request{
		From: "a", Incarnation: 9, Root: 8,
		Records: []membership.Record{
			{Daemon: &membership.Daemon{
				Name: "a", Version: membership.Version{Incarnation: 9, Sequence: 2}, Caller: "127.0.0.1:1", Peer: "127.0.0.1:2",
				Operator: "127.0.0.1:3", DataCentre: "piraeus", Draining: true, ReachableUntil: now.Add(time.Minute),
				Disk: "disk", Waiting: 1, Running: 2, Deadline: now.Add(time.Second),
			}},
			{Upstream: &membership.Upstream{
				Name: "e", Version: membership.Version{Incarnation: 1, Sequence: 2}, Kind: membership.Engine, Model: "m", Service: "s",
				Address: "127.0.0.1:4", DataCentre: "marousi", Slots: 3, MaxBatch: 4, HonoursFence: true, Resumes: true,
				IdempotentPaths: []string{"/lookup"}, Residents: []ident.Adapter{{Name: "x", Version: "1"}}, InFlight: 5, Queue: 6,
				Prefixes: []uint64{7}, Leaving: true, Deadline: now.Add(2 * time.Second),
			}},
		},
		Suspicions: []membership.Suspicion{{Daemon: "b", Incarnation: 4}},
		Compare:    true, Repair: true, Buckets: []int{0, 100},
		Versions: []membership.KeyVersion{{Key: membership.Key{Upstream: true, Name: "e"}, Version: membership.Version{Incarnation: 1, Sequence: 2}}},
	}
}

// TestGossipRoundTrip runs the receiver's clock an hour ahead of the sender's:
// the remaining time of each record must be the same on both.
func TestGossipRoundTrip(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	ahead := now.Add(time.Hour)
	message := &peerpb.GossipRequest{}
	marshalAndUnmarshal(t, EncodeGossipRequest(now, gossipRequest(now)), message)
	got, err := DecodeGossipRequest(ahead, message)
	assert.NilError(t, err)
	assert.DeepEqual(t, got, gossipRequest(ahead))

	resp := membership.Response{
		From: "a", Incarnation: 9, Sums: []uint64{1, 2}, Records: gossipRequest(now).Records,
		Suspicions: gossipRequest(now).Suspicions, Want: []membership.Key{{Name: "d"}},
	}
	respMessage := &peerpb.GossipResponse{}
	marshalAndUnmarshal(t, EncodeGossipResponse(now, resp), respMessage)
	gotResp, err := DecodeGossipResponse(now, respMessage)
	assert.NilError(t, err)
	assert.DeepEqual(t, gotResp, resp)
}

func FuzzDecode(f *testing.F) {
	now := time.Unix(1_000_000, 0)
	for _, m := range []proto.Message{
		EncodeWitnessRequest(witness.Request{From: "a", Incarnation: 1, Vector: witness.Vector{"a": 1}}),
		EncodeWitnessResponse(witness.Response{From: "a", Incarnation: 1, Snapshot: witness.Snapshot{Index: 1}}),
		EncodeGossipRequest(now, gossipRequest(now)),
	} {
		data, err := proto.Marshal(m)
		assert.NilError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var req peerpb.WitnessRequest
		if proto.Unmarshal(data, &req) == nil {
			if r, err := DecodeWitnessRequest(&req); err == nil {
				again, err := DecodeWitnessRequest(EncodeWitnessRequest(r))
				assert.NilError(t, err)
				assert.DeepEqual(t, again, r)
			}
		}
		var resp peerpb.WitnessResponse
		if proto.Unmarshal(data, &resp) == nil {
			_, _ = DecodeWitnessResponse(&resp)
		}
		var gossip peerpb.GossipRequest
		if proto.Unmarshal(data, &gossip) == nil {
			if r, err := DecodeGossipRequest(now, &gossip); err == nil {
				again, err := DecodeGossipRequest(now, EncodeGossipRequest(now, r))
				assert.NilError(t, err)
				assert.DeepEqual(t, again, r)
			}
		}
		var gossipResp peerpb.GossipResponse
		if proto.Unmarshal(data, &gossipResp) == nil {
			_, _ = DecodeGossipResponse(now, &gossipResp)
		}
	})
}
