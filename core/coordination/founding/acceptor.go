package founding

import (
	"maps"
	"slices"
	"time"

	"papayaspoke/core/coordination/consensus"
)

const (
	// candidateLifetime is how long a candidate counts after its last request.
	candidateLifetime = time.Second
	// maxCandidates bounds the candidates that an acceptor remembers.
	maxCandidates = 1024
)

// Acceptor is the part of a seed in the decision. It is not safe for concurrent
// use.
type Acceptor struct {
	// seeds is sorted.
	seeds      []string
	firstStart bool
	promised   Ballot
	// acceptedAt is at most promised.
	acceptedAt Ballot
	accepted   Cluster
	// candidates holds when each candidate ceases to count.
	candidates map[consensus.Voter]time.Time
}

// NewAcceptor returns an acceptor without promises. One of a process that is not
// of the first start takes no part.
func NewAcceptor(seeds []string, firstStart bool) *Acceptor {
	return &Acceptor{seeds: sortedSeeds(seeds), firstStart: firstStart, candidates: make(map[consensus.Voter]time.Time)}
}

func sortedSeeds(seeds []string) []string { return slices.Compact(slices.Sorted(slices.Values(seeds))) }

// Handle answers a request.
func (a *Acceptor) Handle(now time.Time, r Request) Response {
	// Proposers with other seeds would count other majorities.
	if !a.firstStart || !slices.Equal(r.Seeds, a.seeds) {
		return Response{}
	}
	a.noteCandidate(now, r)
	granted := false
	switch r.Kind {
	case Prepare:
		if granted = r.Ballot.Compare(a.promised) >= 0; granted {
			a.promised = r.Ballot
		}
	case Accept:
		if granted = r.Ballot.Compare(a.promised) >= 0; granted {
			a.promised, a.acceptedAt, a.accepted = r.Ballot, r.Ballot, r.Cluster
		}
	}
	return Response{
		TakesPart: true, Granted: granted, Promised: a.promised, AcceptedAt: a.acceptedAt, Accepted: a.accepted,
		Candidates: slices.SortedFunc(maps.Keys(a.candidates), consensus.Voter.Compare),
	}
}

func (a *Acceptor) noteCandidate(now time.Time, r Request) {
	maps.DeleteFunc(a.candidates, func(_ consensus.Voter, until time.Time) bool { return !now.Before(until) })
	if r.FirstStart && len(a.candidates) < maxCandidates {
		a.candidates[r.From] = now.Add(candidateLifetime)
	}
}
