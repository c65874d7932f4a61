package upstream

import (
	"context"
	"net/http"

	"papayaspoke/core/ident"
	"papayaspoke/core/result"
	"papayaspoke/io/protocol/wire"
)

// maxName is the longest name in bytes.
const maxName = 256

// Handler serves what upstreams tell a daemon. Its functions are called by
// many goroutines.
type Handler struct {
	// Announce takes in a new upstream or a new incarnation of a known one.
	Announce func(ctx context.Context, a Announcement) (DaemonReply, error)
	// Refresh takes in a report. The answer says so if the upstream is not
	// known.
	Refresh func(ctx context.Context, r Report) (DaemonReply, error)
	// Leave stops new work for an upstream.
	Leave func(ctx context.Context, l Leaving) (DaemonReply, error)
}

// Prefix is where the paths of the handler begin.
const Prefix = "/v1/upstreams/"

// ServeHTTP serves one message of an upstream.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	welcome, err := h.serve(r)
	if err != nil {
		wire.Refuse(w, result.From(err))
		return
	}
	wire.WriteJSON(w, welcomeBody{Known: welcome.Known, Daemons: append([]string{}, welcome.Daemons...), Owner: welcome.Owner})
}

func (h *Handler) serve(r *http.Request) (DaemonReply, error) {
	if r.Method != http.MethodPost {
		return DaemonReply{}, result.New(result.NotFound, "%s %s", r.Method, r.URL.Path)
	}
	switch r.URL.Path {
	case Prefix + "announce":
		return h.announce(r)
	case Prefix + "refresh":
		return h.refresh(r)
	case Prefix + "leave":
		return h.leave(r)
	}
	return DaemonReply{}, result.New(result.NotFound, "%s", r.URL.Path)
}

func (h *Handler) announce(r *http.Request) (DaemonReply, error) {
	var b announceBody
	if err := wire.ReadJSON(r, &b); err != nil {
		return DaemonReply{}, err
	}
	a, err := b.decode()
	if err != nil {
		return DaemonReply{}, err
	}
	return h.Announce(r.Context(), a)
}

func (h *Handler) refresh(r *http.Request) (DaemonReply, error) {
	var b reportBody
	if err := wire.ReadJSON(r, &b); err != nil {
		return DaemonReply{}, err
	}
	report, err := b.decode()
	if err != nil {
		return DaemonReply{}, err
	}
	return h.Refresh(r.Context(), report)
}

func (h *Handler) leave(r *http.Request) (DaemonReply, error) {
	var b leaveBody
	if err := wire.ReadJSON(r, &b); err != nil {
		return DaemonReply{}, err
	}
	if b.Name == "" || b.Incarnation == 0 {
		return DaemonReply{}, result.New(result.Malformed, "leave: name or incarnation is missing")
	}
	return h.Leave(r.Context(), Leaving{Name: ident.Upstream(b.Name), Incarnation: ident.Incarnation(b.Incarnation)})
}
