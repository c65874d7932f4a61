package peer

import (
	"papayaspoke/core/coordination/consensus"
	"papayaspoke/core/coordination/entry"
	"papayaspoke/core/ident"
	"papayaspoke/core/result"
	"papayaspoke/io/protocol/peer/peerpb"
)

// ConsensusBatchToWire maps messages to one daemon.
func ConsensusBatchToWire(ms []consensus.Message) *peerpb.ConsensusBatch {
	b := &peerpb.ConsensusBatch{Messages: make([]*peerpb.ConsensusMessage, len(ms))}
	for i, m := range ms {
		b.Messages[i] = consensusMessageToWire(m)
	}
	return b
}

// ConsensusBatchFromWire maps a batch, or returns an error with code
// [result.Malformed].
func ConsensusBatchFromWire(b *peerpb.ConsensusBatch) ([]consensus.Message, error) {
	ms := make([]consensus.Message, 0, len(b.GetMessages()))
	for _, w := range b.GetMessages() {
		m, err := consensusMessageFromWire(w)
		if err != nil {
			return nil, err
		}
		ms = append(ms, m)
	}
	return ms, nil
}

func consensusMessageToWire(m consensus.Message) *peerpb.ConsensusMessage {
	w := &peerpb.ConsensusMessage{
		Kind:     uint32(m.Kind),
		Cluster:  m.Cluster,
		From:     voterToWire(m.From),
		To:       voterToWire(m.To),
		Term:     m.Term,
		Index:    m.Index,
		Logterm:  m.LogTerm,
		Commit:   m.Commit,
		Round:    m.Round,
		Hint:     m.Hint,
		Refused:  m.Refused,
		Transfer: m.Transfer,
	}
	for _, e := range m.Entries {
		w.Entries = append(w.Entries, &peerpb.ConsensusEntry{Term: e.Term, Kind: uint32(e.Kind), Data: e.Data})
	}
	if m.Kind == consensus.InstallSnapshot {
		w.Snapshot = snapshotToWire(m.Snapshot)
	}
	for _, d := range m.Eligible {
		w.Listed = append(w.Listed, string(d))
	}
	return w
}

func consensusMessageFromWire(w *peerpb.ConsensusMessage) (consensus.Message, error) {
	m := consensus.Message{
		Kind:     consensus.MessageKind(min(w.GetKind(), uint32(consensus.LastKind)+1)),
		Cluster:  w.GetCluster(),
		From:     voterFromWire(w.GetFrom()),
		To:       voterFromWire(w.GetTo()),
		Term:     w.GetTerm(),
		Index:    w.GetIndex(),
		LogTerm:  w.GetLogterm(),
		Commit:   w.GetCommit(),
		Round:    w.GetRound(),
		Hint:     w.GetHint(),
		Refused:  w.GetRefused(),
		Transfer: w.GetTransfer(),
		Snapshot: snapshotFromWire(w.GetSnapshot()),
	}
	for i, e := range w.GetEntries() {
		index := m.Index + uint64(i) + 1
		m.Entries = append(m.Entries, entry.Entry{
			Index: index, Term: e.GetTerm(), Kind: entry.Kind(min(e.GetKind(), 255)), Data: e.GetData(),
		})
	}
	for _, d := range w.GetListed() {
		m.Eligible = append(m.Eligible, ident.Daemon(d))
	}
	return m, checkMessage(m)
}

// checkMessage refuses what a node must never be given.
func checkMessage(m consensus.Message) error {
	if m.Kind < consensus.Probe || m.Kind > consensus.LastKind {
		return result.New(result.Malformed, "message of kind %d", m.Kind)
	}
	if m.From.Daemon == "" || m.From.Disk == "" || m.To.Daemon == "" {
		return result.New(result.Malformed, "message without sender or receiver")
	}
	if m.Kind == consensus.InstallSnapshot && m.Snapshot.Index == 0 {
		return result.New(result.Malformed, "snapshot without index")
	}
	return checkEntries(m.Entries)
}

func checkEntries(es []entry.Entry) error {
	term := uint64(0)
	for _, e := range es {
		if e.Kind < entry.Noop || e.Kind > entry.Voters || e.Term < term || e.Index == 0 {
			return result.New(result.Malformed, "entry %d of kind %d and term %d", e.Index, e.Kind, e.Term)
		}
		term = e.Term
		if e.Kind != entry.Voters {
			continue
		}
		if _, err := consensus.DecodeMembers(e.Data); err != nil {
			return result.New(result.Malformed, "entry %d: %w", e.Index, err)
		}
	}
	return nil
}

func snapshotToWire(s consensus.Snapshot) *peerpb.ConsensusSnapshot {
	return &peerpb.ConsensusSnapshot{
		Index:    s.Index,
		Term:     s.Term,
		Voters:   votersToWire(s.Members.Voters()),
		Learners: votersToWire(s.Members.Learners()),
		Data:     s.Data,
	}
}

func snapshotFromWire(w *peerpb.ConsensusSnapshot) consensus.Snapshot {
	if w == nil {
		return consensus.Snapshot{}
	}
	members := consensus.NewMembers(votersFromWire(w.GetVoters()), votersFromWire(w.GetLearners()))
	return consensus.Snapshot{Index: w.GetIndex(), Term: w.GetTerm(), Members: members, Data: w.GetData()}
}

func votersToWire(vs []consensus.Voter) []*peerpb.ConsensusVoter {
	ws := make([]*peerpb.ConsensusVoter, len(vs))
	for i, v := range vs {
		ws[i] = voterToWire(v)
	}
	return ws
}

func votersFromWire(ws []*peerpb.ConsensusVoter) []consensus.Voter {
	vs := make([]consensus.Voter, len(ws))
	for i, w := range ws {
		vs[i] = voterFromWire(w)
	}
	return vs
}

func voterToWire(v consensus.Voter) *peerpb.ConsensusVoter {
	return &peerpb.ConsensusVoter{Daemon: string(v.Daemon), Disk: v.Disk}
}

func voterFromWire(w *peerpb.ConsensusVoter) consensus.Voter {
	return consensus.Voter{Daemon: ident.Daemon(w.GetDaemon()), Disk: w.GetDisk()}
}
