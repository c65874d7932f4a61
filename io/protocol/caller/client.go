package caller

import (
	"bufio"
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"time"

	"papayaspoke/core/ident"
	"papayaspoke/core/result"
	"papayaspoke/io/protocol/wire"
	"papayaspoke/io/transport/client"
)

// maxDirectoryBytes limits the response to a query for addresses.
const maxDirectoryBytes = 1 << 20

// Client is the client side of the caller interface, for load generators and
// tests.
type Client struct {
	forward *Forwarder
}

// NewClient returns a client that uses the connections of c.
func NewClient(c *client.Client) *Client { return &Client{forward: NewForwarder(c, "", "")} }

// Infer requests text from the daemon at addr.
func (c *Client) Infer(ctx context.Context, addr string, x InferRequest) (*Answer, error) {
	path, body, err := encodeInfer(x)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	a, err := c.forward.client.Do(ctx, client.Exchange{
		Method: http.MethodPost, URL: "http://" + addr + path, Body: body,
		Header: c.forward.header(x, time.Now()), Idempotent: x.Key == "",
	})
	if err != nil {
		cancel()
		return nil, transportError(err, addr)
	}
	end := func() {
		cancel()
		_ = a.Body().Close()
	}
	if a.Status() != http.StatusOK {
		defer end()
		return nil, responseError(a, result.UpstreamFailed)
	}
	if got := a.Header().Get(AdapterHeader); got != adapterName(x.Adapter) {
		end()
		return nil, result.New(result.WrongAnswer, "requested adapter %q, answered by %q", adapterName(x.Adapter), got)
	}
	r := &eventReader{lines: bufio.NewReader(a.Body()), hold: a.Hold, requestID: a.Header().Get(RequestHeader)}
	return NewAnswer(x.Adapter, x.Model, ident.Upstream(a.Header().Get(UpstreamHeader)), r.next, end), nil
}

// Call calls a plain service through the daemon at addr.
func (c *Client) Call(ctx context.Context, addr string, x ServiceRequest) (*ServiceReply, error) {
	return c.forward.Call(ctx, addr, x)
}

// Addresses asks the daemon at addr which daemon addresses to use.
func (c *Client) Addresses(ctx context.Context, addr string, q DirectoryQuery) (Directory, error) {
	v := url.Values{}
	if !q.Adapter.IsZero() {
		v.Set("adapter", q.Adapter.String())
	}
	if q.Class != "" {
		v.Set("class", string(q.Class))
	}
	if q.Service != "" {
		v.Set("service", string(q.Service))
	}
	a, err := c.forward.client.Do(ctx, client.Exchange{
		Method: http.MethodGet, URL: "http://" + addr + "/v1/addresses?" + v.Encode(), Idempotent: true,
	})
	if err != nil {
		return Directory{}, transportError(err, addr)
	}
	defer a.Body().Close()
	if a.Status() != http.StatusOK {
		return Directory{}, wire.DecodeError(a.Header(), a.Body(), result.Unreachable, time.Now())
	}
	raw, err := a.ReadAll(maxDirectoryBytes)
	if err != nil {
		return Directory{}, transportError(err, addr)
	}
	var b directoryBody
	if err := json.Unmarshal(raw, &b); err != nil || b.MaxAge < 0 {
		return Directory{}, result.New(result.WrongAnswer, "list of addresses is malformed")
	}
	return Directory{Addresses: b.Addresses, ExpiresAt: time.Now().Add(time.Duration(b.MaxAge) * time.Millisecond)}, nil
}
