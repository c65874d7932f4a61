package peer

import (
	"papayaspoke/core/coordination/founding"
	"papayaspoke/core/result"
	"papayaspoke/io/protocol/peer/peerpb"
)

// EncodeFoundRequest maps a request of a proposer to the wire.
func EncodeFoundRequest(r founding.Request) *peerpb.FoundRequest {
	return &peerpb.FoundRequest{
		Kind: uint32(r.Kind), From: voterToWire(r.From), First: r.FirstStart, Seeds: r.Seeds,
		Ballot: ballotToWire(r.Ballot), Cluster: clusterToWire(r.Cluster),
	}
}

// DecodeFoundRequest maps a request from the wire. It returns an error with code
// [result.Malformed] if the request is invalid.
func DecodeFoundRequest(w *peerpb.FoundRequest) (founding.Request, error) {
	r := founding.Request{
		Kind: founding.Kind(min(w.GetKind(), uint32(founding.Accept)+1)), From: voterFromWire(w.GetFrom()),
		FirstStart: w.GetFirst(), Seeds: w.GetSeeds(), Ballot: ballotFromWire(w.GetBallot()), Cluster: clusterFromWire(w.GetCluster()),
	}
	switch {
	case r.Kind < founding.Query || r.Kind > founding.Accept:
		return r, result.New(result.Malformed, "founding request of unknown kind %d", w.GetKind())
	case r.From.Daemon == "" || r.From.Disk == "":
		return r, result.New(result.Malformed, "founding request has no sender")
	case r.Kind != founding.Query && r.Ballot.Round == 0:
		return r, result.New(result.Malformed, "founding request has no ballot")
	case r.Kind == founding.Accept && (r.Cluster.IsZero() || len(r.Cluster.Voters) == 0):
		return r, result.New(result.Malformed, "founding request has no cluster to accept")
	}
	return r, nil
}

// EncodeFoundResponse maps the response of an acceptor to the wire.
func EncodeFoundResponse(r founding.Response) *peerpb.FoundResponse {
	return &peerpb.FoundResponse{
		Takes: r.TakesPart, Granted: r.Granted, Promised: ballotToWire(r.Promised), Accepted: ballotToWire(r.AcceptedAt),
		Cluster: clusterToWire(r.Accepted), Candidates: votersToWire(r.Candidates),
	}
}

// DecodeFoundResponse maps the response of an acceptor from the wire.
func DecodeFoundResponse(w *peerpb.FoundResponse) founding.Response {
	return founding.Response{
		TakesPart: w.GetTakes(), Granted: w.GetGranted(), Promised: ballotFromWire(w.GetPromised()),
		AcceptedAt: ballotFromWire(w.GetAccepted()), Accepted: clusterFromWire(w.GetCluster()),
		Candidates: votersFromWire(w.GetCandidates()),
	}
}

func ballotToWire(b founding.Ballot) *peerpb.FoundBallot {
	return &peerpb.FoundBallot{Round: b.Round, Proposer: voterToWire(b.Proposer), Run: b.Run}
}

func ballotFromWire(w *peerpb.FoundBallot) founding.Ballot {
	return founding.Ballot{Round: w.GetRound(), Proposer: voterFromWire(w.GetProposer()), Run: w.GetRun()}
}

func clusterToWire(c founding.Cluster) *peerpb.FoundCluster {
	return &peerpb.FoundCluster{Id: c.ID, Voters: votersToWire(c.Voters)}
}

func clusterFromWire(w *peerpb.FoundCluster) founding.Cluster {
	return founding.Cluster{ID: w.GetId(), Voters: votersFromWire(w.GetVoters())}
}
