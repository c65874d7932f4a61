package peer

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"papayaspoke/core/coordination/consensus"
	"papayaspoke/core/coordination/entry"
	"papayaspoke/core/ident"
	"papayaspoke/core/result"
	"papayaspoke/io/protocol/peer/peerpb"
)

func consensusSamples() []consensus.Message {
	a, b := consensus.Voter{Daemon: "a", Disk: "x"}, consensus.Voter{Daemon: "b", Disk: "y"}
	members := consensus.NewMembers([]consensus.Voter{a, b}, []consensus.Voter{{Daemon: "c", Disk: "z"}})
	return []consensus.Message{
		{Kind: consensus.Probe, From: a, To: consensus.Voter{Daemon: "b"}, Eligible: []ident.Daemon{"a", "b"}},
		{Kind: consensus.Vote, Cluster: "k", From: a, To: b, Term: 7, Index: 9, LogTerm: 6, Transfer: true},
		{Kind: consensus.Heartbeat, Cluster: "k", From: a, To: b, Term: 7, Commit: 8, Round: 3},
		{Kind: consensus.AppendReply, Cluster: "k", From: b, To: a, Term: 7, Index: 9, Hint: 4, Refused: true},
		{Kind: consensus.Append, Cluster: "k", From: a, To: b, Term: 7, Index: 9, LogTerm: 6, Entries: []entry.Entry{
			{Index: 10, Term: 6, Kind: entry.Noop},
			{Index: 11, Term: 7, Kind: entry.Command, Data: []byte("x")},
			{Index: 12, Term: 7, Kind: entry.Voters, Data: consensus.EncodeMembers(members)},
		}},
		{Kind: consensus.InstallSnapshot, Cluster: "k", From: a, To: b, Term: 7, Snapshot: consensus.Snapshot{
			Index: 5, Term: 4, Members: members, Data: []byte("state"),
		}},
	}
}

func wireTrip(t *testing.T, ms []consensus.Message) []consensus.Message {
	data, err := proto.Marshal(ConsensusBatchToWire(ms))
	assert.NilError(t, err)
	var w peerpb.ConsensusBatch
	assert.NilError(t, proto.Unmarshal(data, &w))
	got, err := ConsensusBatchFromWire(&w)
	assert.NilError(t, err)
	return got
}

func TestConsensusBatchSurvivesTheWire(t *testing.T) {
	want := consensusSamples()
	got := wireTrip(t, want)
	for i := range want {
		assert.Equal(t, fmt.Sprintf("%+v", got[i]), fmt.Sprintf("%+v", want[i]))
	}
}

func TestMalformedConsensusMessages(t *testing.T) {
	cases := map[string]func(*peerpb.ConsensusMessage){
		"no kind":         func(m *peerpb.ConsensusMessage) { m.Kind = 0 },
		"unknown kind":    func(m *peerpb.ConsensusMessage) { m.Kind = 256 + uint32(consensus.Vote) },
		"no sender":       func(m *peerpb.ConsensusMessage) { m.From = nil },
		"no disk":         func(m *peerpb.ConsensusMessage) { m.From.Disk = "" },
		"no receiver":     func(m *peerpb.ConsensusMessage) { m.To = nil },
		"entry kind":      func(m *peerpb.ConsensusMessage) { m.Entries[1].Kind = 9 },
		"entry terms":     func(m *peerpb.ConsensusMessage) { m.Entries[0].Term = 9 },
		"members":         func(m *peerpb.ConsensusMessage) { m.Entries[2].Data = []byte{9} },
		"index wraps":     func(m *peerpb.ConsensusMessage) { m.Index = ^uint64(0) - 1 },
		"empty snapshot":  func(m *peerpb.ConsensusMessage) { m.Kind = uint32(consensus.InstallSnapshot) },
		"nil in the list": func(m *peerpb.ConsensusMessage) { m.Entries[1] = nil },
	}
	for name, spoil := range cases {
		t.Run(name, func(t *testing.T) {
			b := ConsensusBatchToWire(consensusSamples()[4:5])
			spoil(b.Messages[0])
			_, err := ConsensusBatchFromWire(b)
			assert.Equal(t, result.CodeOf(err), result.Malformed)
		})
	}
}

// FuzzConsensusBatch checks that whatever is decoded can be encoded again to
// the same messages.
func FuzzConsensusBatch(f *testing.F) {
	for _, m := range consensusSamples() {
		data, err := proto.Marshal(ConsensusBatchToWire([]consensus.Message{m}))
		assert.NilError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var w peerpb.ConsensusBatch
		if proto.Unmarshal(data, &w) != nil {
			return
		}
		ms, err := ConsensusBatchFromWire(&w)
		if err != nil {
			assert.Equal(t, result.CodeOf(err), result.Malformed)
			return
		}
		for i, m := range wireTrip(t, ms) {
			if m.Kind != consensus.InstallSnapshot {
				ms[i].Snapshot = consensus.Snapshot{}
			}
			assert.Equal(t, fmt.Sprintf("%+v", m), fmt.Sprintf("%+v", ms[i]))
		}
	})
}
