package peer

import (
	"context"
	"crypto/subtle"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"papayaspoke/core/coordination/consensus"
	"papayaspoke/core/coordination/dispatch/budget"
	"papayaspoke/core/coordination/founding"
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

// ProposeResult is the result of a command that another daemon proposed here.
type ProposeResult struct {
	// Outcome is the encoded outcome, set if Code is OK or Pending.
	Outcome []byte
	// Index is the log index at which the command was committed.
	Index uint64
	// Code is OK, Pending, NoLeader or Unknown.
	Code result.Code
	// Leader is the daemon to ask instead, if this one is not the leader.
	Leader ident.Daemon
}

// Service handles the calls of other daemons. Its functions are called
// concurrently.
type Service struct {
	// Consensus processes messages of the replicated log.
	Consensus func(ms []consensus.Message)
	// Found answers a proposer of the first voters of a cluster.
	Found func(ctx context.Context, r founding.Request) (founding.Response, error)
	// Witness answers a request of the witness protocol.
	Witness func(ctx context.Context, r witness.Request) (witness.Response, error)
	// Gossip answers a request of the membership protocol.
	Gossip func(ctx context.Context, r membership.Request) (membership.Response, error)
	// Propose commits a command if this daemon is the leader.
	Propose func(ctx context.Context, command []byte) ProposeResult
	// Permits answers an owner's request to the holder of the load budget.
	Permits func(ctx context.Context, a budget.PermitRequest, released []budget.PermitID) PermitGrant
	// ReadIndex returns a log index that covers everything committed before the
	// call; ok is false if this daemon is not the leader.
	ReadIndex func(ctx context.Context, from ident.Daemon) (index uint64, ok bool)
	// ReservePrefill reserves the prefill of a prompt and returns when to send it.
	ReservePrefill func(ctx context.Context, name ident.Upstream, p pace.Prompt) pace.Reservation
	// RequestAdmission requests admission to a replica and returns when to send
	// the request.
	RequestAdmission func(ctx context.Context, name ident.Upstream, a pace.AdmissionRequest) pace.Reservation
	// Usage answers a daemon's usage report to the placer; ok is false if this
	// daemon is not the placer.
	Usage func(ctx context.Context, u placement.Usage) (a placement.Answer, ok bool)
}

// NewHandler serves s to daemons that send the token.
func NewHandler(s Service, token string) (path string, h http.Handler) {
	path, inner := peerpbconnect.NewPeerHandler(rpcHandler{s: s}, connect.WithCompression("gzip", nil, nil))
	return path, WithToken(token, inner)
}

// WithToken rejects requests without the token. An empty token disables the
// check, for clusters that trust the network between their VMs.
func WithToken(token string, h http.Handler) http.Handler {
	if token == "" {
		return h
	}
	want := []byte(bearer(token))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if subtle.ConstantTimeCompare([]byte(r.Header.Get("Authorization")), want) != 1 {
			wire.Refuse(w, result.New(result.WrongToken, "peer requests must carry the cluster's token"))
			return
		}
		h.ServeHTTP(w, r)
	})
}

func bearer(token string) string { return "Bearer " + token }

// rpcHandler adapts a Service to the generated handler.
type rpcHandler struct{ s Service }

func (h rpcHandler) Consensus(_ context.Context, r *connect.Request[peerpb.ConsensusBatch]) (*connect.Response[peerpb.ConsensusAck], error) {
	ms, err := ConsensusBatchFromWire(r.Msg)
	if err != nil {
		return nil, invalidArgument(err)
	}
	h.s.Consensus(ms)
	return connect.NewResponse(&peerpb.ConsensusAck{}), nil
}

func (h rpcHandler) Found(ctx context.Context, r *connect.Request[peerpb.FoundRequest]) (*connect.Response[peerpb.FoundResponse], error) {
	req, err := DecodeFoundRequest(r.Msg)
	if err != nil {
		return nil, invalidArgument(err)
	}
	resp, err := h.s.Found(ctx, req)
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(EncodeFoundResponse(resp)), nil
}

func (h rpcHandler) Witness(ctx context.Context, r *connect.Request[peerpb.WitnessRequest]) (*connect.Response[peerpb.WitnessResponse], error) {
	req, err := DecodeWitnessRequest(r.Msg)
	if err != nil {
		return nil, invalidArgument(err)
	}
	resp, err := h.s.Witness(ctx, req)
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(EncodeWitnessResponse(resp)), nil
}

func (h rpcHandler) Gossip(ctx context.Context, r *connect.Request[peerpb.GossipRequest]) (*connect.Response[peerpb.GossipResponse], error) {
	req, err := DecodeGossipRequest(time.Now(), r.Msg)
	if err != nil {
		return nil, invalidArgument(err)
	}
	resp, err := h.s.Gossip(ctx, req)
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(EncodeGossipResponse(time.Now(), resp)), nil
}

func (h rpcHandler) Propose(ctx context.Context, r *connect.Request[peerpb.ProposeRequest]) (*connect.Response[peerpb.ProposeResponse], error) {
	p := h.s.Propose(ctx, r.Msg.GetCommand())
	return connect.NewResponse(&peerpb.ProposeResponse{
		Outcome: p.Outcome, Index: p.Index, Code: uint32(p.Code), Leader: string(p.Leader),
	}), nil
}

func (h rpcHandler) Permits(ctx context.Context, r *connect.Request[peerpb.PermitsRequest]) (*connect.Response[peerpb.PermitsResponse], error) {
	ask, released := permitsRequestFromWire(r.Msg)
	return connect.NewResponse(permitsResponseToWire(h.s.Permits(ctx, ask, released))), nil
}

func (h rpcHandler) ReadIndex(ctx context.Context, r *connect.Request[peerpb.ReadIndexRequest]) (*connect.Response[peerpb.ReadIndexResponse], error) {
	index, ok := h.s.ReadIndex(ctx, ident.Daemon(r.Msg.GetDaemon()))
	return connect.NewResponse(&peerpb.ReadIndexResponse{Ok: ok, Index: index}), nil
}

func (h rpcHandler) Usage(ctx context.Context, r *connect.Request[peerpb.UsageRequest]) (*connect.Response[peerpb.UsageResponse], error) {
	a, ok := h.s.Usage(ctx, usageRequestFromWire(r.Msg, time.Now()))
	return connect.NewResponse(usageResponseToWire(a, ok, time.Now())), nil
}

func (h rpcHandler) Book(ctx context.Context, r *connect.Request[peerpb.BookRequest]) (*connect.Response[peerpb.BookResponse], error) {
	m := r.Msg
	p := pace.Prompt{
		Tokens: int(m.GetTokens()), MaxPause: time.Duration(m.GetPause()) * time.Millisecond, TokensPerChunk: int(m.GetStride()),
		Rates: pace.NewRates(float64(m.GetRead())/1000, time.Duration(m.GetStep())*time.Microsecond),
	}
	if within := m.GetWithin(); within > 0 {
		p.Deadline = time.Now().Add(time.Duration(within) * time.Millisecond)
	}
	reservation := h.s.ReservePrefill(ctx, ident.Upstream(m.GetReplica()), p)
	return connect.NewResponse(&peerpb.BookResponse{
		Wait: millis(time.Until(reservation.At)), Booked: reservation.Reserved, Alone: reservation.Isolated,
	}), nil
}

func (h rpcHandler) Enter(ctx context.Context, r *connect.Request[peerpb.EnterRequest]) (*connect.Response[peerpb.EnterResponse], error) {
	m := r.Msg
	reservation := h.s.RequestAdmission(ctx, ident.Upstream(m.GetReplica()), pace.AdmissionRequest{
		Slots: int(m.GetSlots()), Rank: int(m.GetRank()), PushedBack: int(m.GetPressed()),
		Deadline: time.Now().Add(time.Duration(m.GetWithin()) * time.Millisecond),
	})
	return connect.NewResponse(&peerpb.EnterResponse{Wait: millis(time.Until(reservation.At)), Entered: reservation.Reserved}), nil
}

func invalidArgument(err error) error { return connect.NewError(connect.CodeInvalidArgument, err) }
