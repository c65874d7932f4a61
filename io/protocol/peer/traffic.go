package peer

import (
	"context"
	"path"
	"sync"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"
)

// Traffic is what one procedure has cost since the start: calls made here, and
// the bytes of their messages without heads.
type Traffic struct{ Calls, BytesSent, BytesReceived uint64 }

// traffic counts the calls of a client.
type traffic struct {
	mu sync.Mutex
	// procedures holds the counts by the last part of the procedure's name.
	procedures map[string]Traffic
}

// Traffic returns the counts by procedure.
func (c *Client) Traffic() map[string]Traffic {
	c.traffic.mu.Lock()
	defer c.traffic.mu.Unlock()
	out := make(map[string]Traffic, len(c.traffic.procedures))
	for name, t := range c.traffic.procedures {
		out[name] = t
	}
	return out
}

// measure counts each call and the sizes of its messages.
func (t *traffic) measure(next connect.UnaryFunc) connect.UnaryFunc {
	return func(ctx context.Context, r connect.AnyRequest) (connect.AnyResponse, error) {
		resp, err := next(ctx, r)
		out, in := sizeOf(r.Any()), 0
		if err == nil {
			in = sizeOf(resp.Any())
		}
		name := path.Base(r.Spec().Procedure)
		t.mu.Lock()
		defer t.mu.Unlock()
		sum := t.procedures[name]
		sum.Calls++
		sum.BytesSent += uint64(out)
		sum.BytesReceived += uint64(in)
		t.procedures[name] = sum
		return resp, err
	}
}

func sizeOf(m any) int {
	if m, ok := m.(proto.Message); ok {
		return proto.Size(m)
	}
	return 0
}
