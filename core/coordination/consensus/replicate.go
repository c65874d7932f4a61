package consensus

import (
	"fmt"
	"slices"
	"time"

	"papayaspoke/core/coordination/entry"
	"papayaspoke/core/option"
)

const (
	// resendAfter is how long the leader waits for an acknowledgement of
	// entries before it sends them again.
	resendAfter = 300 * time.Millisecond
	// reinstallAfter is the same for a snapshot.
	reinstallAfter = 3 * time.Second
	// goneAfter is how long a member is silent before its disk may be taken
	// for lost, once the daemon reappears with another.
	goneAfter = 3 * time.Second
	// presentFor is how long an answer shows that a member is there: some
	// heartbeats, and less than a new disk takes to join.
	presentFor = 4 * HeartbeatInterval
	// maxEntries bounds the entries of one message.
	maxEntries = 256
	// maxBytes bounds their data, unless a single entry is larger.
	maxBytes = 1 << 20
	// maxInFlight bounds the unacknowledged entries of a member.
	maxInFlight = 4096
)

// progress is what the leader knows of another member.
type progress struct {
	// match is the last index known to be synced there.
	match uint64
	// next is the next index to send, greater than match.
	next uint64
	// probing is true from a refusal to the next acknowledgement; then only
	// one message is under way.
	probing bool
	// resendAt is when unacknowledged entries are sent again.
	resendAt time.Time
	// round is the last heartbeat round it answered.
	round uint64
	// aliveUntil is until when it counts as reachable.
	aliveUntil time.Time
	// goneAt is when it counts as silent for long.
	goneAt time.Time
	// presentUntil is until when it counts as certainly there; zero until it
	// has answered this leader.
	presentUntil time.Time
}

// assume gives a member the time that one has after an answer.
func (p *progress) assume(now time.Time) {
	p.aliveUntil = now.Add(ElectionTimeout)
	p.goneAt = now.Add(goneAfter)
}

func (p *progress) heard(now time.Time) {
	p.assume(now)
	p.presentUntil = now.Add(presentFor)
}

// track keeps progress of exactly the members but the leader.
func (n *Node) track(now time.Time) {
	others := n.others()
	for v := range n.progress {
		if !slices.Contains(others, v) {
			delete(n.progress, v)
		}
	}
	for _, v := range others {
		if n.progress[v] == nil {
			p := &progress{next: n.log.last() + 1}
			p.assume(now)
			n.progress[v] = p
		}
	}
}

func (n *Node) tickLeader(now time.Time) {
	if !now.Before(n.electionAt) {
		n.electionAt = now.Add(ElectionTimeout)
		if !n.reachesMajority(now, n.members()) {
			n.becomeFollower(now, n.hard.Term, Voter{})
			return
		}
	}
	if !n.transferee.IsZero() && now.After(n.transferUntil) {
		n.transferee = Voter{}
	}
	if now.Before(n.repeatAt) {
		return
	}
	n.broadcastHeartbeat(now)
	for _, v := range n.others() {
		n.resend(now, v)
	}
	n.repair(now)
}

// reachesMajority reports whether the leader reaches a majority of the voters
// of the given members.
func (n *Node) reachesMajority(now time.Time, m Members) bool {
	alive := 0
	for _, v := range m.voters {
		if v == n.self || n.alive(now, v) {
			alive++
		}
	}
	return alive >= m.Majority()
}

func (n *Node) alive(now time.Time, v Voter) bool {
	p := n.progress[v]
	return p != nil && now.Before(p.aliveUntil)
}

func (n *Node) broadcastHeartbeat(now time.Time) {
	n.repeatAt = now.Add(HeartbeatInterval)
	n.step.announce = false
	for _, v := range n.others() {
		commit := min(n.commit, n.progress[v].match)
		n.send(Message{Kind: Heartbeat, To: v, Commit: commit, Round: n.round})
	}
}

// appendEntry adds an entry to the leader's log and sends it.
func (n *Node) appendEntry(now time.Time, kind entry.Kind, data []byte) uint64 {
	e := entry.Entry{Index: n.log.last() + 1, Term: n.hard.Term, Kind: kind, Data: data}
	n.log.entries = append(n.log.entries, e)
	n.noteConfig(e)
	n.changedFrom(e.Index)
	if kind == entry.Voters {
		n.track(now)
	}
	n.sendSynced(Message{Kind: AppendReply, To: n.self, Index: e.Index})
	for _, v := range n.others() {
		n.sendEntries(now, v)
	}
	return e.Index
}

func (n *Node) appendNoop(now time.Time) { n.appendEntry(now, entry.Noop, nil) }

func (n *Node) changedFrom(i uint64) {
	if n.step.from == 0 || i < n.step.from {
		n.step.from = i
	}
}

// sendEntries sends what the member lacks, within the limits. A member that
// does not answer gets heartbeats only.
func (n *Node) sendEntries(now time.Time, v Voter) {
	p := n.progress[v]
	if !now.Before(p.aliveUntil) {
		return
	}
	if p.next <= n.log.base {
		n.sendSnapshot(now, v, p)
		return
	}
	busy := p.probing && now.Before(p.resendAt)
	if busy || p.next > n.log.last() || (p.match > 0 && p.next-p.match > maxInFlight) {
		return
	}
	n.sendFrom(now, v, p)
}

func (n *Node) sendFrom(now time.Time, v Voter, p *progress) {
	prev := p.next - 1
	term, _ := n.log.term(prev)
	es := n.log.from(p.next, maxEntries, maxBytes)
	n.send(Message{Kind: Append, To: v, Index: prev, LogTerm: term, Commit: n.commit, Entries: es})
	p.next += uint64(len(es))
	p.resendAt = now.Add(resendAfter)
}

func (n *Node) sendSnapshot(now time.Time, v Voter, p *progress) {
	if now.Before(p.resendAt) {
		return
	}
	n.send(Message{Kind: InstallSnapshot, To: v, Snapshot: n.snapshot})
	p.resendAt = now.Add(reinstallAfter)
}

// resend repeats what was not acknowledged in time.
func (n *Node) resend(now time.Time, v Voter) {
	p := n.progress[v]
	if now.Before(p.resendAt) || p.match == n.log.last() || !now.Before(p.aliveUntil) {
		return
	}
	if !p.probing && p.match > 0 {
		p.next = p.match + 1
	}
	if p.next <= n.log.base {
		n.sendSnapshot(now, v, p)
		return
	}
	n.sendFrom(now, v, p)
}

func (n *Node) onAppendReply(now time.Time, m Message) {
	if n.role != Leader {
		return
	}
	if m.From == n.self {
		n.acked = max(n.acked, m.Index)
		n.advance()
		return
	}
	p := n.progress[m.From]
	if p == nil {
		return
	}
	p.heard(now)
	if m.Refused {
		n.onMismatch(now, m, p)
		return
	}
	if p.match = max(p.match, m.Index); p.next <= p.match {
		p.next = p.match + 1
	}
	p.probing = false
	if n.advance(); n.role == Leader {
		n.sendEntries(now, m.From)
		n.handOver(m.From)
	}
}

// onMismatch goes back to where the logs may match.
func (n *Node) onMismatch(now time.Time, m Message, p *progress) {
	if m.Index <= p.match || (p.probing && m.Index >= p.next) {
		return
	}
	p.probing = true
	p.next = max(min(m.Hint, m.Index-1), p.match) + 1
	p.resendAt = now
	n.sendEntries(now, m.From)
}

// advance commits what a majority has synced, if it is of the leader's term.
func (n *Node) advance() {
	i := n.majorityOf(n.acked, func(p *progress) uint64 { return p.match })
	if i <= n.commit {
		return
	}
	if t, _ := n.log.term(i); t != n.hard.Term {
		return
	}
	n.commitTo(i)
	n.startReads()
}

// majorityOf returns the greatest value that a majority of voters has reached.
func (n *Node) majorityOf(own uint64, value func(*progress) uint64) uint64 {
	m := n.members()
	reached := make([]uint64, 0, len(m.voters))
	for _, v := range m.voters {
		if v == n.self {
			reached = append(reached, own)
		} else {
			reached = append(reached, value(n.progress[v]))
		}
	}
	slices.Sort(reached)
	return reached[len(reached)-m.Majority()]
}

// commitTo gives out the entries up to index i.
func (n *Node) commitTo(i uint64) {
	n.commit = max(n.commit, i)
	for n.applied < n.commit {
		n.applied++
		e := n.log.at(n.applied)
		n.size += len(e.Data)
		n.step.effects.Committed = append(n.step.effects.Committed, e)
		n.resolve(e)
	}
	n.askSnapshot()
	n.leaveIfRemoved()
}

// leaveIfRemoved steps down once the leader's own removal is committed.
func (n *Node) leaveIfRemoved() {
	c := n.configs[len(n.configs)-1]
	if n.role == Leader && c.index <= n.commit && !c.members.IsVoter(n.self) {
		n.failReads()
		n.role, n.leader, n.progress = Follower, Voter{}, nil
	}
}

// follow notes that the sender leads the term.
func (n *Node) follow(now time.Time, leader Voter) {
	if n.role != Follower || n.leader != leader {
		n.becomeFollower(now, n.hard.Term, leader)
	}
	n.resetElection(now)
	n.leaseUntil = now.Add(ElectionTimeout)
	n.orphanAt = now.Add(goneAfter)
}

func (n *Node) onHeartbeat(now time.Time, m Message) {
	n.follow(now, m.From)
	n.commitTo(min(m.Commit, n.log.last()))
	n.send(Message{Kind: HeartbeatReply, To: m.From, Round: m.Round})
}

func (n *Node) onHeartbeatReply(now time.Time, m Message) {
	p := n.progress[m.From]
	if n.role != Leader || p == nil || m.Refused {
		return
	}
	p.heard(now)
	p.round = max(p.round, m.Round)
	n.finishReads()
}

func (n *Node) onAppend(now time.Time, m Message) {
	n.follow(now, m.From)
	if m.Index < n.commit {
		n.sendSynced(Message{Kind: AppendReply, To: m.From, Index: n.commit})
		return
	}
	if t, ok := n.log.term(m.Index); !ok || t != m.LogTerm {
		hint := n.matchHint(m)
		n.send(Message{Kind: AppendReply, To: m.From, Index: m.Index, Refused: true, Hint: hint})
		return
	}
	n.store(m.Entries)
	last := m.Index + uint64(len(m.Entries))
	n.commitTo(min(m.Commit, last))
	n.sendSynced(Message{Kind: AppendReply, To: m.From, Index: last})
}

// matchHint returns the last index before m.Index that may match the leader's.
func (n *Node) matchHint(m Message) uint64 {
	i := min(m.Index-1, n.log.last())
	for i > n.commit {
		if t, _ := n.log.term(i); t <= m.LogTerm {
			break
		}
		i--
	}
	return i
}

// store adds the entries that the log lacks and drops those that conflict.
func (n *Node) store(es []entry.Entry) {
	for _, e := range es {
		if t, ok := n.log.term(e.Index); ok && t == e.Term {
			continue
		}
		if e.Index <= n.log.last() {
			n.truncate(e.Index - 1)
		}
		n.log.entries = append(n.log.entries, e)
		n.noteConfig(e)
		n.changedFrom(e.Index)
	}
}

func (n *Node) truncate(last uint64) {
	if last < n.commit {
		panic(fmt.Sprintf("consensus: truncation to %d below commit %d", last, n.commit))
	}
	n.log.truncate(last)
	for len(n.configs) > 1 && n.configs[len(n.configs)-1].index > last {
		n.configs = n.configs[:len(n.configs)-1]
	}
}

func (n *Node) onInstall(now time.Time, m Message) {
	n.follow(now, m.From)
	s := m.Snapshot
	if s.Index > n.commit {
		if t, ok := n.log.term(s.Index); ok && t == s.Term {
			n.commitTo(s.Index)
		} else {
			n.install(s)
		}
	}
	n.sendSynced(Message{Kind: AppendReply, To: m.From, Index: n.commit})
}

// install replaces log and state machine by a snapshot.
func (n *Node) install(s Snapshot) {
	n.log = memlog{base: s.Index, baseTerm: s.Term}
	n.configs = []config{{s.Index, s.Members}}
	n.snapshot = s
	n.commit, n.applied = s.Index, s.Index
	n.size, n.asked = 0, false
	n.step.from, n.step.snapshot = 0, true
	n.step.effects.Committed = nil
	n.step.effects.Restore = option.Some(s)
	n.resolveUpTo(s.Index)
}
