package founding

import (
	"maps"
	"math"
	"slices"
	"time"

	"papayaspoke/core/coordination/consensus"
)

const (
	// queryInterval is the interval of queries, slowQueryInterval that of a daemon
	// that has waited for longer than eagerTime.
	queryInterval     = 100 * time.Millisecond
	slowQueryInterval = time.Second
	eagerTime         = 10 * time.Second
	// gatherTime is how long no new candidate must have shown up before a value is
	// proposed. It exceeds the time within which all VMs start.
	gatherTime = 500 * time.Millisecond
	// seedTimeout is when a majority of the seeds is enough to propose.
	seedTimeout = 3 * time.Second
	// rankDelay, times the number of smaller candidates, is how long a candidate
	// leaves the proposal to these.
	rankDelay = 500 * time.Millisecond
	// roundTimeout limits each of the two phases of a proposal and the random pause
	// after a failed one. It doubles with each failure, up to maxRoundTimeout, for
	// networks that are slower than that.
	roundTimeout    = 500 * time.Millisecond
	maxRoundTimeout = 8 * time.Second
)

// Config configures a proposer; see [NewProposer].
type Config struct {
	Self consensus.Voter
	// Seeds are the addresses of the acceptors. A daemon without seeds lists
	// itself.
	Seeds []string
	// FirstStart is true if the daemon is started together with a new cluster.
	FirstStart bool
	// Random returns a random number in [0, n).
	Random func(n int64) int64
	// NewClusterID returns a random id for a new cluster.
	NewClusterID func() string
}

// Send is a request to be sent to a seed. Its response, if there is one, is
// passed to [Proposer.Receive].
type Send struct {
	Seed    string
	Request Request
}

// Proposer is the part of a daemon with a disk in the decision. It is not safe
// for concurrent use.
type Proposer struct {
	cfg Config
	run uint64
	// seeds is sorted.
	seeds     []string
	startedAt time.Time
	// latest holds the response with the highest ballots of each seed that takes part.
	latest map[string]Response
	// newCandidateAt is when a candidate was last seen for the first time; known holds
	// all that were seen.
	newCandidateAt time.Time
	known          map[consensus.Voter]bool
	// highest is the highest ballot seen.
	highest Ballot

	queryAt time.Time
	// readyAt is when this daemon was first able to propose; zero before.
	readyAt time.Time
	// timeout is the limit of the next phase, retryAt the earliest time of the next
	// proposal.
	timeout time.Duration
	retryAt time.Time
	// phase is Query between proposals, ballot that of the current proposal, value
	// its value and phaseEnd when the phase is given up.
	phase    Kind
	ballot   Ballot
	value    Cluster
	phaseEnd time.Time
	// granted holds the responses that granted the current phase, by seed.
	granted map[string]Response
	chosen  Cluster
}

// NewProposer returns a proposer that has proposed nothing.
func NewProposer(now time.Time, c Config) *Proposer {
	return &Proposer{
		cfg: c, run: uint64(c.Random(math.MaxInt64)), seeds: sortedSeeds(c.Seeds), startedAt: now, newCandidateAt: now, phase: Query, timeout: roundTimeout,
		latest: make(map[string]Response), known: make(map[consensus.Voter]bool),
	}
}

// Chosen returns the cluster that was decided on, once this daemon knows it.
func (p *Proposer) Chosen() (Cluster, bool) { return p.chosen, !p.chosen.IsZero() }

// Proposed reports whether this daemon completed the decision itself.
func (p *Proposer) Proposed() bool { return !p.chosen.IsZero() && p.phase == Accept }

// Tick returns the requests that are due. Call it until the daemon belongs to a
// cluster.
func (p *Proposer) Tick(now time.Time) []Send {
	switch {
	case !p.chosen.IsZero():
		return nil
	case p.phase != Query && now.Before(p.phaseEnd):
		return p.resend(now)
	case p.phase != Query:
		p.giveUp(now)
	}
	if p.mayPropose(now) {
		p.ballot = Ballot{p.highest.Round + 1, p.cfg.Self, p.run}
		return p.begin(now, Prepare, Cluster{})
	}
	if now.Before(p.queryAt) {
		return nil
	}
	p.queryAt = now.Add(queryInterval)
	if now.Sub(p.startedAt) > eagerTime {
		p.queryAt = now.Add(slowQueryInterval)
	}
	return p.toAll(Request{Kind: Query})
}

func (p *Proposer) toAll(r Request) []Send {
	r.From, r.FirstStart, r.Seeds = p.cfg.Self, p.cfg.FirstStart, p.seeds
	out := make([]Send, 0, len(p.seeds))
	for _, s := range p.seeds {
		out = append(out, Send{s, r})
	}
	return out
}

// begin begins a phase of a proposal.
func (p *Proposer) begin(now time.Time, k Kind, c Cluster) []Send {
	p.phase, p.value, p.phaseEnd, p.granted = k, c, now.Add(p.timeout), make(map[string]Response)
	p.queryAt = now.Add(queryInterval)
	return p.toAll(Request{Kind: k, Ballot: p.ballot, Cluster: c})
}

// resend repeats the requests of the current phase that no seed has granted.
func (p *Proposer) resend(now time.Time) []Send {
	if now.Before(p.queryAt) {
		return nil
	}
	p.queryAt = now.Add(queryInterval)
	return slices.DeleteFunc(p.toAll(Request{Kind: p.phase, Ballot: p.ballot, Cluster: p.value}), func(s Send) bool {
		_, granted := p.granted[s.Seed]
		return granted
	})
}

// giveUp ends a proposal that has failed.
func (p *Proposer) giveUp(now time.Time) {
	p.phase = Query
	p.retryAt = now.Add(time.Duration(p.cfg.Random(int64(p.timeout))))
	p.timeout = min(2*p.timeout, maxRoundTimeout)
}

// mayPropose reports whether it is time for a proposal. Waiting makes it likely
// that all candidates are known and that one of them proposes; the decision does
// not depend on it.
func (p *Proposer) mayPropose(now time.Time) bool {
	waited := now.Sub(p.startedAt) >= seedTimeout
	switch {
	case now.Before(p.retryAt) || !p.isMajority(len(p.latest)):
		return false
	case !p.cfg.FirstStart && !p.isNamed():
		return false
	case !waited && (len(p.latest) < len(p.seeds) || now.Sub(p.newCandidateAt) < gatherTime):
		return false
	}
	if p.readyAt.IsZero() {
		p.readyAt = now
	}
	return !now.Before(p.readyAt.Add(time.Duration(p.rank()) * rankDelay))
}

// isNamed reports whether an accepted value names this disk.
func (p *Proposer) isNamed() bool {
	for _, r := range p.latest {
		if slices.Contains(r.Accepted.Voters, p.cfg.Self) {
			return true
		}
	}
	return false
}

// candidates returns the disks that the seeds have heard from lately, sorted.
func (p *Proposer) candidates() []consensus.Voter {
	all := make(map[consensus.Voter]bool)
	for _, r := range p.latest {
		for _, v := range r.Candidates {
			all[v] = true
		}
	}
	return slices.SortedFunc(maps.Keys(all), consensus.Voter.Compare)
}

// rank returns how many candidates precede this one.
func (p *Proposer) rank() int {
	i, _ := slices.BinarySearchFunc(p.candidates(), p.cfg.Self, consensus.Voter.Compare)
	return i
}

func (p *Proposer) isMajority(n int) bool { return 2*n > len(p.seeds) }

// Receive handles the response of a seed and returns further requests.
func (p *Proposer) Receive(now time.Time, s Send, r Response) []Send {
	if !r.TakesPart || !p.chosen.IsZero() {
		return nil
	}
	p.note(now, s.Seed, r)
	if s.Request.Kind == p.phase && s.Request.Ballot == p.ballot && p.phase != Query {
		return p.count(now, s.Seed, r)
	}
	return nil
}

// note remembers what a response tells of the acceptor.
func (p *Proposer) note(now time.Time, seed string, r Response) {
	if old, ok := p.latest[seed]; ok && (old.Promised.Compare(r.Promised) > 0 || old.AcceptedAt.Compare(r.AcceptedAt) > 0) {
		return
	}
	p.latest[seed] = r
	if r.Promised.Compare(p.highest) > 0 {
		p.highest = r.Promised
	}
	for _, v := range r.Candidates {
		if !p.known[v] {
			p.known[v], p.newCandidateAt = true, now
		}
	}
	same := 0
	for _, o := range p.latest {
		if o.AcceptedAt == r.AcceptedAt {
			same++
		}
	}
	if !r.Accepted.IsZero() && p.isMajority(same) {
		p.chosen = r.Accepted
	}
}

// count counts a response in the current phase of a proposal.
func (p *Proposer) count(now time.Time, seed string, r Response) []Send {
	if !r.Granted {
		p.giveUp(now)
		return nil
	}
	p.granted[seed] = r
	if p.phase != Prepare || !p.isMajority(len(p.granted)) {
		return nil
	}
	value := p.valueOfMajority()
	if value.IsZero() {
		p.giveUp(now)
		return nil
	}
	return p.begin(now, Accept, value)
}

// valueOfMajority returns the value to propose: the one that the majority
// accepted last, since it may have been chosen, or a new one.
func (p *Proposer) valueOfMajority() Cluster {
	var last Response
	for _, r := range p.granted {
		if r.AcceptedAt.Compare(last.AcceptedAt) > 0 {
			last = r
		}
	}
	if !last.Accepted.IsZero() || !p.cfg.FirstStart {
		return last.Accepted
	}
	return Cluster{p.cfg.NewClusterID(), p.firstVoters()}
}

// firstVoters returns this daemon and as many of the other candidates as an open
// cluster of that many disks has voters.
func (p *Proposer) firstVoters() []consensus.Voter {
	others := slices.DeleteFunc(p.candidates(), func(v consensus.Voter) bool { return v == p.cfg.Self })
	n := consensus.TargetVoters(len(others) + 1)
	out := append([]consensus.Voter{p.cfg.Self}, others[:n-1]...)
	slices.SortFunc(out, consensus.Voter.Compare)
	return out
}
