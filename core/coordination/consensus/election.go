package consensus

import "time"

func (n *Node) resetElection(now time.Time) {
	n.electionAt = now.Add(ElectionTimeout + n.spread())
}

func (n *Node) spread() time.Duration { return time.Duration(n.random(int64(ElectionSpread))) }

func (n *Node) tickFollower(now time.Time) {
	if !now.Before(n.orphanAt) {
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
	if n.role != Follower && !now.Before(n.repeatAt) {
		n.requestVotes(now, false)
	}
}

// preCampaign asks whether an election could be won, without a new term, so
// that a node that was cut off does not disturb a working leader.
func (n *Node) preCampaign(now time.Time) {
	n.role = PreCandidate
	n.ballots = map[Voter]bool{n.self: true}
	n.requestVotes(now, false)
	n.countVotes(now)
}

// campaign starts an election in a new term. The node's own vote counts once
// it is synced.
func (n *Node) campaign(now time.Time, transfer bool) {
	n.becomeFollower(now, n.hard.Term+1, Voter{})
	n.role = Candidate
	n.electionAt = now.Add(retryAfter + n.spread())
	n.hard.Vote = n.self
	n.step.hard = true
	n.ballots = make(map[Voter]bool)
	n.requestVotes(now, transfer)
	n.sendSynced(Message{Kind: VoteReply, To: n.self})
}

// requestVotes asks the voters that have not answered. Even a PreVote waits for
// the disk: the first one of a new cluster makes others adopt it.
func (n *Node) requestVotes(now time.Time, transfer bool) {
	n.repeatAt = now.Add(HeartbeatInterval)
	m := Message{Index: n.log.last(), LogTerm: n.log.lastTerm(), Transfer: transfer}
	for _, v := range n.members().voters {
		if _, answered := n.ballots[v]; answered || v == n.self {
			continue
		}
		m.To = v
		if n.role == PreCandidate {
			m.Kind, m.Term = PreVote, n.hard.Term+1
		} else {
			m.Kind, m.Term = Vote, n.hard.Term
		}
		n.sendSynced(m)
	}
}

// countVotes moves on if a majority granted its vote, and gives up if a
// majority refused.
func (n *Node) countVotes(now time.Time) {
	granted, refused := 0, 0
	for _, v := range n.members().voters {
		grant, answered := n.ballots[v]
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
	if m.Term <= n.hard.Term || n.leased(now) || !n.log.newer(m.LogTerm, m.Index) {
		reply.Term = n.hard.Term
		reply.Refused = true
	}
	n.send(reply)
	if !reply.Refused {
		n.yield(now, m.From)
	}
}

// yield gives up the node's own campaign in favour of one with a lesser
// identity that may win as well, so that they do not split the votes.
func (n *Node) yield(now time.Time, to Voter) {
	if n.role == PreCandidate && to.Compare(n.self) < 0 {
		n.role = Follower
		n.resetElection(now)
	}
}

func (n *Node) onVote(now time.Time, m Message) {
	free := n.hard.Vote.IsZero() || n.hard.Vote == m.From
	if !free || !n.leader.IsZero() || !n.log.newer(m.LogTerm, m.Index) {
		n.sendSynced(Message{Kind: VoteReply, To: m.From, Refused: true})
		return
	}
	if n.hard.Vote != m.From {
		n.hard.Vote = m.From
		n.step.hard = true
	}
	n.resetElection(now)
	n.sendSynced(Message{Kind: VoteReply, To: m.From})
}

func (n *Node) onPreVoteReply(now time.Time, m Message) {
	current := m.Term == n.hard.Term+1 || m.Refused
	if n.role != PreCandidate || !current {
		return
	}
	n.ballots[m.From] = !m.Refused
	n.countVotes(now)
}

func (n *Node) onVoteReply(now time.Time, m Message) {
	if n.role != Candidate {
		return
	}
	n.ballots[m.From] = !m.Refused
	n.countVotes(now)
}

func (n *Node) onTimeoutNow(now time.Time, m Message) {
	if n.role == Follower && n.leader == m.From && n.members().IsVoter(n.self) {
		n.campaign(now, true)
	}
}

// leased reports whether a leader is alive as far as this node knows.
func (n *Node) leased(now time.Time) bool {
	return n.role == Leader || (!n.leader.IsZero() && now.Before(n.leaseUntil))
}

// becomeFollower enters the term, or stays in it, and gives up leadership.
func (n *Node) becomeFollower(now time.Time, term uint64, leader Voter) {
	if term > n.hard.Term {
		n.hard.Term = term
		n.hard.Vote = Voter{}
		n.step.hard = true
	}
	n.failReads()
	n.role = Follower
	n.leader = leader
	n.progress = nil
	n.joiners = nil
	n.transferee = Voter{}
	n.resetElection(now)
}

func (n *Node) becomeLeader(now time.Time) {
	n.role = Leader
	n.leader = n.self
	n.ballots = nil
	n.acked = 0
	n.round = 0
	n.progress = make(map[Voter]*progress)
	n.joiners = make(map[Voter]time.Time)
	n.termStart = n.log.last() + 1
	n.track(now)
	n.appendNoop(now)
	n.broadcastHeartbeat(now)
}

// receive checks a message's cluster, identity and term.
func (n *Node) receive(now time.Time, m Message) {
	if m.Kind == Probe || m.Kind == ProbeReply {
		n.receiveProbe(now, m)
		return
	}
	if m.To != n.self || m.Cluster == "" || !n.adopt(m.Cluster) {
		return
	}
	if m.Term > n.hard.Term && !n.raise(now, m) {
		return
	}
	if m.Term < n.hard.Term {
		n.refuseOld(m)
		return
	}
	if h := receivers[m.Kind]; h != nil {
		h(n, now, m)
	}
}

// receivers is indexed by kind; a message gets there with the node's own term,
// PreVote and PreVoteReply possibly with a greater one.
var receivers = [LastKind + 1]func(*Node, time.Time, Message){
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

// raise enters the greater term of a message. It returns false if the message
// is to be ignored.
func (n *Node) raise(now time.Time, m Message) bool {
	switch m.Kind {
	case PreVote:
		return true
	case PreVoteReply:
		if !m.Refused {
			return true
		}
	case Vote:
		if n.leased(now) && !m.Transfer {
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

// refuseOld tells the sender of an old request the node's term. Without it, a
// leader would not notice that a voter has moved to a greater term.
func (n *Node) refuseOld(m Message) {
	switch m.Kind {
	case Append, Heartbeat, InstallSnapshot:
		n.sendSynced(Message{Kind: HeartbeatReply, To: m.From, Refused: true})
	case PreVote:
		n.sendSynced(Message{Kind: PreVoteReply, To: m.From, Refused: true})
	}
}
