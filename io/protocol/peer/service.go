package peer

import (
	"context"
	"crypto/subtle"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"papayaspoke/core/coordination/consensus"
	"papayaspoke/core/coordination/dispatch/budget"
	"papayaspoke/core/coordination/membership"
	"papayaspoke/core/coordination/pace"
	"papayaspoke/core/coordination/placement"
	"papayaspoke/core/coordination/witness"
	"papayaspoke/core/ident"
	"papayaspoke/core/result"
	"papayaspoke/io/protocol/peer/peerpb"
	"papayaspoke/io/protocol/peer/peerpb/peerpbconnect"
	"papayaspoke/io/protocol/wire"
)

// ProposeResult is what became of a command that another daemon proposed here.
type ProposeResult struct {
	// Outcome is the encoded outcome, set if Code is OK or Pending.
	Outcome []byte
	// Index is where the command was committed.
	Index uint64
	// Code is OK, Pending, NoLeader or Unknown.
	Code result.Code
	// Leader is whom to ask instead.
	Leader ident.Daemon
}

// Service is what this daemon does for others. Its functions are called by
// many goroutines.
type Service struct {
	// Consensus takes messages of the replicated log.
	Consensus func(ms []consensus.Message)
	// Witness answers a request of the witness exchange.
	Witness func(ctx context.Context, r witness.Request) (witness.Response, error)
	// Gossip answers a request of the membership exchange.
	Gossip func(ctx context.Context, r membership.Request) (membership.Response, error)
	// Propose commits a command if this daemon leads.
	Propose func(ctx context.Context, command []byte) ProposeResult
	// Permits answers an owner's question to the holder of the load budget.
	Permits func(ctx context.Context, a budget.PermitRequest, released []budget.PermitID) PermitGrant
	// ReadIndex returns an index that covers all that was committed before the
	// call; ok is false if this daemon does not lead.
	ReadIndex func(ctx context.Context, from ident.Daemon) (index uint64, ok bool)
	// ReservePrefill books the reading of a prompt and returns when to send it.
	ReservePrefill func(ctx context.Context, name ident.Upstream, p pace.Prompt) pace.Reservation
	// RequestAdmission books a request at the door of a replica and returns when to send it.
	RequestAdmission func(ctx context.Context, name ident.Upstream, a pace.AdmissionRequest) pace.Reservation
	// Usage answers a daemon's word to the placer; ok is false if this daemon
	// is not the placer.
	Usage func(ctx context.Context, u placement.Usage) (a placement.Answer, ok bool)
}

// NewHandler serves s to daemons that present the token.
func NewHandler(s Service, token string) (path string, h http.Handler) {
	path, inner := peerpbconnect.NewPeerHandler(service{s: s}, connect.WithCompression("gzip", nil, nil))
	return path, WithToken(token, inner)
}

// WithToken refuses requests without the token. An empty token lets all pass:
// then the network between the VMs is trusted.
func WithToken(token string, h http.Handler) http.Handler {
	if token == "" {
		return h
	}
	want := []byte(bearer(token))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if subtle.ConstantTimeCompare([]byte(r.Header.Get("Authorization")), want) != 1 {
			wire.Refuse(w, result.New(result.WrongToken, "peers present the cluster's token"))
			return
		}
		h.ServeHTTP(w, r)
	})
}

func bearer(token string) string { return "Bearer " + token }

// service adapts a Service to the generated handler.
type service struct{ s Service }

func (h service) Consensus(_ context.Context, r *connect.Request[peerpb.ConsensusBatch]) (*connect.Response[peerpb.ConsensusAck], error) {
	ms, err := ConsensusBatchFromWire(r.Msg)
	if err != nil {
		return nil, malformed(err)
	}
	h.s.Consensus(ms)
	return connect.NewResponse(&peerpb.ConsensusAck{}), nil
}

func (h service) Witness(ctx context.Context, r *connect.Request[peerpb.WitnessRequest]) (*connect.Response[peerpb.WitnessResponse], error) {
	req, err := DecodeWitnessRequest(r.Msg)
	if err != nil {
		return nil, malformed(err)
	}
	resp, err := h.s.Witness(ctx, req)
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(EncodeWitnessResponse(resp)), nil
}

func (h service) Gossip(ctx context.Context, r *connect.Request[peerpb.GossipRequest]) (*connect.Response[peerpb.GossipResponse], error) {
	req, err := DecodeGossipRequest(time.Now(), r.Msg)
	if err != nil {
		return nil, malformed(err)
	}
	resp, err := h.s.Gossip(ctx, req)
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(EncodeGossipResponse(time.Now(), resp)), nil
}

func (h service) Propose(ctx context.Context, r *connect.Request[peerpb.ProposeRequest]) (*connect.Response[peerpb.ProposeResponse], error) {
	p := h.s.Propose(ctx, r.Msg.GetCommand())
	return connect.NewResponse(&peerpb.ProposeResponse{
		Outcome: p.Outcome, Index: p.Index, Code: uint32(p.Code), Leader: string(p.Leader),
	}), nil
}

func (h service) Permits(ctx context.Context, r *connect.Request[peerpb.PermitsRequest]) (*connect.Response[peerpb.PermitsResponse], error) {
	ask, released := permitsRequestFromWire(r.Msg)
	return connect.NewResponse(permitsResponseToWire(h.s.Permits(ctx, ask, released))), nil
}

func (h service) ReadIndex(ctx context.Context, r *connect.Request[peerpb.ReadIndexRequest]) (*connect.Response[peerpb.ReadIndexResponse], error) {
	index, ok := h.s.ReadIndex(ctx, ident.Daemon(r.Msg.GetDaemon()))
	return connect.NewResponse(&peerpb.ReadIndexResponse{Ok: ok, Index: index}), nil
}

func (h service) Usage(ctx context.Context, r *connect.Request[peerpb.UsageRequest]) (*connect.Response[peerpb.UsageResponse], error) {
	a, ok := h.s.Usage(ctx, usageFromWire(r.Msg, time.Now()))
	return connect.NewResponse(boardsToWire(a, ok, time.Now())), nil
}

func (h service) Book(ctx context.Context, r *connect.Request[peerpb.BookRequest]) (*connect.Response[peerpb.BookResponse], error) {
	m := r.Msg
	p := pace.Prompt{
		Tokens: int(m.GetTokens()), MaxPause: time.Duration(m.GetPause()) * time.Millisecond, TokensPerChunk: int(m.GetStride()),
		Rates: pace.NewRates(float64(m.GetRead())/1000, time.Duration(m.GetStep())*time.Microsecond),
	}
	if within := m.GetWithin(); within > 0 {
		p.Deadline = time.Now().Add(time.Duration(within) * time.Millisecond)
	}
	turn := h.s.ReservePrefill(ctx, ident.Upstream(m.GetReplica()), p)
	return connect.NewResponse(&peerpb.BookResponse{
		Wait: millis(time.Until(turn.At)), Booked: turn.Reserved, Alone: turn.Isolated,
	}), nil
}

func (h service) Enter(ctx context.Context, r *connect.Request[peerpb.EnterRequest]) (*connect.Response[peerpb.EnterResponse], error) {
	m := r.Msg
	turn := h.s.RequestAdmission(ctx, ident.Upstream(m.GetReplica()), pace.AdmissionRequest{
		Slots: int(m.GetSlots()), Rank: int(m.GetRank()), PushedBack: int(m.GetPressed()),
		Deadline: time.Now().Add(time.Duration(m.GetWithin()) * time.Millisecond),
	})
	return connect.NewResponse(&peerpb.EnterResponse{Wait: millis(time.Until(turn.At)), Entered: turn.Reserved}), nil
}

func malformed(err error) error { return connect.NewError(connect.CodeInvalidArgument, err) }
