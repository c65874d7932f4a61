package consensus

import "time"

func (n *Node) resetElection(now time.Time) {
	n.electionAt = now.Add(ElectionTimeout + n.electionJitter())
}

func (n *Node) electionJitter() time.Duration { return time.Duration(n.random(int64(ElectionJitter))) }

func (n *Node) tickFollower(now time.Time) {
	if !now.Before(n.leaderlessAt) {
		n.probe(now)
	}
	if !now.Before(n.electionAt) {
		n.resetElection(now)
		n.leader = Voter{}
		if n.members().IsVoter(n.self) {
			n.preCampaign(now)
		}
		return
	}
	if n.role != Follower && !now.Before(n.broadcastAt) {
		n.requestVotes(now, false)
	}
}

// preCampaign starts a pre-vote: it asks whether an election could be won
// without incrementing the term, so that a node that was partitioned does not
// disturb a working leader.
func (n *Node) preCampaign(now time.Time) {
	n.role = PreCandidate
	n.votes = map[Voter]bool{n.self: true}
	n.requestVotes(now, false)
	n.countVotes(now)
}

// campaign starts an election in a new term. The node's own vote counts once it
// is synced to disk.
func (n *Node) campaign(now time.Time, transfer bool) {
	n.becomeFollower(now, n.hardState.Term+1, Voter{})
	n.role = Candidate
	n.electionAt = now.Add(candidateRetryDelay + n.electionJitter())
	n.hardState.Vote = n.self
	n.step.hardChanged = true
	n.votes = make(map[Voter]bool)
	n.requestVotes(now, transfer)
	n.sendAfterSync(Message{Kind: VoteReply, To: n.self})
}

// requestVotes sends a request to the voters that have not replied yet. Even a
// PreVote waits for the disk, because the first one of a new cluster makes its
// receivers adopt the cluster.
func (n *Node) requestVotes(now time.Time, transfer bool) {
	n.broadcastAt = now.Add(HeartbeatInterval)
	m := Message{Index: n.log.last(), LogTerm: n.log.lastTerm(), Transfer: transfer}
	for _, v := range n.members().voters {
		if _, answered := n.votes[v]; answered || v == n.self {
			continue
		}
		m.To = v
		if n.role == PreCandidate {
			m.Kind, m.Term = PreVote, n.hardState.Term+1
		} else {
			m.Kind, m.Term = Vote, n.hardState.Term
		}
		n.sendAfterSync(m)
	}
}

// countVotes continues the election if a majority granted its vote, and ends it
// if a majority rejected.
func (n *Node) countVotes(now time.Time) {
	granted, refused := 0, 0
	for _, v := range n.members().voters {
		grant, answered := n.votes[v]
		if grant {
			granted++
		} else if answered {
			refused++
		}
	}
	majority := n.members().Majority()
	switch {
	case granted >= majority && n.role == PreCandidate:
		n.campaign(now, false)
	case granted >= majority:
		n.becomeLeader(now)
	case refused >= majority:
		n.role = Follower
	}
}

func (n *Node) onPreVote(now time.Time, m Message) {
	reply := Message{Kind: PreVoteReply, To: m.From, Term: m.Term}
	if m.Term <= n.hardState.Term || n.inLease(now) || !n.log.atLeastAsUpToDate(m.LogTerm, m.Index) {
		reply.Term = n.hardState.Term
		reply.Refused = true
	}
	n.sendNow(reply)
	if !reply.Refused {
		n.yieldTo(now, m.From)
	}
}

// yieldTo abandons the node's own pre-vote in favour of a possible winner with
// a lower identity, so that the two do not split the vote.
func (n *Node) yieldTo(now time.Time, to Voter) {
	if n.role == PreCandidate && to.Compare(n.self) < 0 {
		n.role = Follower
		n.resetElection(now)
	}
}

func (n *Node) onVote(now time.Time, m Message) {
	mayVote := n.hardState.Vote.IsZero() || n.hardState.Vote == m.From
	if !mayVote || !n.leader.IsZero() || !n.log.atLeastAsUpToDate(m.LogTerm, m.Index) {
		n.sendAfterSync(Message{Kind: VoteReply, To: m.From, Refused: true})
		return
	}
	if n.hardState.Vote != m.From {
		n.hardState.Vote = m.From
		n.step.hardChanged = true
	}
	n.resetElection(now)
	n.sendAfterSync(Message{Kind: VoteReply, To: m.From})
}

func (n *Node) onPreVoteReply(now time.Time, m Message) {
	current := m.Term == n.hardState.Term+1 || m.Refused
	if n.role != PreCandidate || !current {
		return
	}
	n.votes[m.From] = !m.Refused
	n.countVotes(now)
}

func (n *Node) onVoteReply(now time.Time, m Message) {
	if n.role != Candidate {
		return
	}
	n.votes[m.From] = !m.Refused
	n.countVotes(now)
}

func (n *Node) onTimeoutNow(now time.Time, m Message) {
	if n.role == Follower && n.leader == m.From && n.members().IsVoter(n.self) {
		n.campaign(now, true)
	}
}

// inLease reports whether the node is the leader or has received a message from
// one within the lease.
func (n *Node) inLease(now time.Time) bool {
	return n.role == Leader || (!n.leader.IsZero() && now.Before(n.leaseUntil))
}

// becomeFollower steps down to follower in the given term, which may be the
// current one.
func (n *Node) becomeFollower(now time.Time, term uint64, leader Voter) {
	if term > n.hardState.Term {
		n.hardState.Term = term
		n.hardState.Vote = Voter{}
		n.step.hardChanged = true
	}
	n.failReads()
	n.role = Follower
	n.leader = leader
	n.progress = nil
	n.joinRequests = nil
	n.transferee = Voter{}
	n.resetElection(now)
}

func (n *Node) becomeLeader(now time.Time) {
	n.role = Leader
	n.leader = n.self
	n.votes = nil
	n.syncedIndex = 0
	n.round = 0
	n.progress = make(map[Voter]*progress)
	n.joinRequests = make(map[Voter]time.Time)
	n.termStart = n.log.last() + 1
	n.trackMembers(now)
	n.appendNoop(now)
	n.broadcastHeartbeat(now)
}

// receive checks the cluster, receiver and term of a message before it is
// handled.
func (n *Node) receive(now time.Time, m Message) {
	if m.Kind == Probe || m.Kind == ProbeReply {
		n.receiveProbe(now, m)
		return
	}
	if m.To != n.self || m.Cluster == "" || !n.adoptCluster(m.Cluster) {
		return
	}
	if m.Term > n.hardState.Term && !n.enterHigherTerm(now, m) {
		return
	}
	if m.Term < n.hardState.Term {
		n.rejectStale(m)
		return
	}
	if h := messageHandlers[m.Kind]; h != nil {
		h(n, now, m)
	}
}

// messageHandlers is indexed by kind. A handled message has the node's own
// term, except that a PreVote and a PreVoteReply may have a higher one.
var messageHandlers = [LastKind + 1]func(*Node, time.Time, Message){
	PreVote:         (*Node).onPreVote,
	PreVoteReply:    (*Node).onPreVoteReply,
	Vote:            (*Node).onVote,
	VoteReply:       (*Node).onVoteReply,
	Append:          (*Node).onAppend,
	AppendReply:     (*Node).onAppendReply,
	Heartbeat:       (*Node).onHeartbeat,
	HeartbeatReply:  (*Node).onHeartbeatReply,
	InstallSnapshot: (*Node).onInstall,
	TimeoutNow:      (*Node).onTimeoutNow,
}

// enterHigherTerm moves to the higher term of a message. It returns false if
// the message must be ignored.
func (n *Node) enterHigherTerm(now time.Time, m Message) bool {
	switch m.Kind {
	case PreVote:
		return true
	case PreVoteReply:
		if !m.Refused {
			return true
		}
	case Vote:
		if n.inLease(now) && !m.Transfer {
			return false
		}
	}
	var leader Voter
	if m.Kind == Append || m.Kind == Heartbeat || m.Kind == InstallSnapshot {
		leader = m.From
	}
	n.becomeFollower(now, m.Term, leader)
	return true
}

// rejectStale replies to a request with an old term, so that its sender learns
// the current one. Otherwise a leader would not notice that a voter has moved
// to a higher term.
func (n *Node) rejectStale(m Message) {
	switch m.Kind {
	case Append, Heartbeat, InstallSnapshot:
		n.sendAfterSync(Message{Kind: HeartbeatReply, To: m.From, Refused: true})
	case PreVote:
		n.sendAfterSync(Message{Kind: PreVoteReply, To: m.From, Refused: true})
	}
}
