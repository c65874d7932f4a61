package peer

import (
	"context"
	"net/http"
	"sync"
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
)

// Client calls other daemons by address. It is safe for concurrent use. Every
// call is bounded by its context; an error means only that no response arrived.
type Client struct {
	http  *http.Client
	token string
	// traffic counts calls and the bytes of their messages.
	traffic traffic

	mu sync.Mutex
	// clients holds one generated client per address.
	clients map[string]peerpbconnect.PeerClient
}

// NewClient returns a client that sends the token with every call.
func NewClient(h *http.Client, token string) *Client {
	return &Client{
		http: h, token: token, clients: make(map[string]peerpbconnect.PeerClient),
		traffic: traffic{procedures: make(map[string]Traffic)},
	}
}

func (c *Client) clientFor(addr string) peerpbconnect.PeerClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.clients[addr]
	if p == nil {
		p = peerpbconnect.NewPeerClient(c.http, "http://"+addr,
			connect.WithAcceptCompression("gzip", nil, nil),
			connect.WithInterceptors(connect.UnaryInterceptorFunc(c.authorize), connect.UnaryInterceptorFunc(c.traffic.measure)))
		c.clients[addr] = p
	}
	return p
}

func (c *Client) authorize(next connect.UnaryFunc) connect.UnaryFunc {
	return func(ctx context.Context, r connect.AnyRequest) (connect.AnyResponse, error) {
		r.Header().Set("Authorization", bearer(c.token))
		return next(ctx, r)
	}
}

// Consensus delivers messages of the replicated log.
func (c *Client) Consensus(ctx context.Context, addr string, ms []consensus.Message) error {
	_, err := c.clientFor(addr).Consensus(ctx, connect.NewRequest(ConsensusBatchToWire(ms)))
	return err
}

// Found sends a request of a proposer to the seed at addr.
func (c *Client) Found(ctx context.Context, addr string, r founding.Request) (founding.Response, error) {
	resp, err := c.clientFor(addr).Found(ctx, connect.NewRequest(EncodeFoundRequest(r)))
	if err != nil {
		return founding.Response{}, err
	}
	return DecodeFoundResponse(resp.Msg), nil
}

// Witness sends one request of the witness protocol.
func (c *Client) Witness(ctx context.Context, addr string, r witness.Request) (witness.Response, error) {
	resp, err := c.clientFor(addr).Witness(ctx, connect.NewRequest(EncodeWitnessRequest(r)))
	if err != nil {
		return witness.Response{}, err
	}
	return DecodeWitnessResponse(resp.Msg)
}

// Gossip sends one request of the membership protocol.
func (c *Client) Gossip(ctx context.Context, addr string, r membership.Request) (membership.Response, error) {
	resp, err := c.clientFor(addr).Gossip(ctx, connect.NewRequest(EncodeGossipRequest(time.Now(), r)))
	if err != nil {
		return membership.Response{}, err
	}
	return DecodeGossipResponse(time.Now(), resp.Msg)
}

// Propose asks the daemon at addr to commit an encoded command. If the error
// says that the connection could not be established, nothing was sent.
func (c *Client) Propose(ctx context.Context, addr string, command []byte) (ProposeResult, error) {
	resp, err := c.clientFor(addr).Propose(ctx, connect.NewRequest(&peerpb.ProposeRequest{Command: command}))
	if err != nil {
		return ProposeResult{}, err
	}
	m := resp.Msg
	return ProposeResult{
		Outcome: m.GetOutcome(), Index: m.GetIndex(), Code: result.Code(m.GetCode()), Leader: ident.Daemon(m.GetLeader()),
	}, nil
}

// Permits sends an owner's load requests to the daemon at addr and returns the
// permits granted to that owner.
func (c *Client) Permits(ctx context.Context, addr string, a budget.PermitRequest, released []budget.PermitID) (PermitGrant, error) {
	resp, err := c.clientFor(addr).Permits(ctx, connect.NewRequest(permitsRequestToWire(a, released, time.Now())))
	if err != nil {
		return PermitGrant{}, err
	}
	return permitsResponseFromWire(resp.Msg, a.Owner), nil
}

// ReadIndex asks the daemon at addr for a log index that covers everything
// committed before the call; ok is false if that daemon is not the leader.
func (c *Client) ReadIndex(ctx context.Context, addr string, self ident.Daemon) (index uint64, ok bool, err error) {
	resp, err := c.clientFor(addr).ReadIndex(ctx, connect.NewRequest(&peerpb.ReadIndexRequest{Daemon: string(self)}))
	if err != nil {
		return 0, false, err
	}
	return resp.Msg.GetIndex(), resp.Msg.GetOk(), nil
}

// Usage reports this daemon's running requests and its demand to the daemon at
// addr; ok is false if that daemon is not the placer.
func (c *Client) Usage(ctx context.Context, addr string, u placement.Usage) (a placement.Answer, ok bool, err error) {
	resp, err := c.clientFor(addr).Usage(ctx, connect.NewRequest(usageRequestToWire(u, time.Now())))
	if err != nil {
		return placement.Answer{}, false, err
	}
	a, ok = usageResponseFromWire(resp.Msg, time.Now())
	return a, ok, nil
}

// ReservePrefill reserves a prefill with the daemon at addr and returns when the prompt
// may be sent to the replica.
func (c *Client) ReservePrefill(ctx context.Context, addr string, name ident.Upstream, p pace.Prompt) (pace.Reservation, error) {
	m := &peerpb.BookRequest{
		Replica: string(name), Tokens: uint32(p.Tokens), Pause: millis(p.MaxPause), Stride: uint32(p.TokensPerChunk),
		Read: uint32(p.Rates.PrefillRate() * 1000), Step: uint32(p.Rates.StepTime().Microseconds()),
	}
	if !p.Deadline.IsZero() {
		// 0 means no deadline on the wire.
		m.Within = max(1, millis(time.Until(p.Deadline)))
	}
	resp, err := c.clientFor(addr).Book(ctx, connect.NewRequest(m))
	if err != nil {
		return pace.Reservation{}, err
	}
	return pace.Reservation{
		At:       time.Now().Add(time.Duration(resp.Msg.GetWait()) * time.Millisecond),
		Reserved: resp.Msg.GetBooked(), Isolated: resp.Msg.GetAlone(),
	}, nil
}

// RequestAdmission requests admission from the daemon at addr and returns when the
// request may be sent to the replica.
func (c *Client) RequestAdmission(ctx context.Context, addr string, name ident.Upstream, a pace.AdmissionRequest) (pace.Reservation, error) {
	resp, err := c.clientFor(addr).Enter(ctx, connect.NewRequest(&peerpb.EnterRequest{
		Replica: string(name), Slots: uint32(a.Slots), Rank: uint32(a.Rank), Pressed: uint32(a.PushedBack), Within: millis(time.Until(a.Deadline)),
	}))
	if err != nil {
		return pace.Reservation{}, err
	}
	return pace.Reservation{
		At: time.Now().Add(time.Duration(resp.Msg.GetWait()) * time.Millisecond), Reserved: resp.Msg.GetEntered(),
	}, nil
}
