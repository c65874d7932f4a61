package caller

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"papayaspoke/core/ident"
	"papayaspoke/core/result"
	"papayaspoke/io/protocol/wire"
	"papayaspoke/io/transport/server"
)

// Handler serves the dialect. Its functions are called by many goroutines;
// the contexts end when the caller is gone. Errors carry result codes.
type Handler struct {
	// Infer answers a request for text.
	Infer func(ctx context.Context, x InferRequest) (*Answer, error)
	// Call answers a request to a plain service.
	Call func(ctx context.Context, x ServiceRequest) (*ServiceReply, error)
	// Addresses tells which addresses to use.
	Addresses func(q DirectoryQuery) (Directory, error)
	// Now reads the clock; nil means [time.Now].
	Now func() time.Time
	// NewID makes request ids; nil draws them at random.
	NewID func() ident.Request
	// NextKeepAlive returns when a daemon that waits gets the next sign of life; nil
	// means every one and a half seconds.
	NextKeepAlive func(now time.Time) time.Time
	// Peer is true on the listener for other daemons, whose headers are
	// trusted. It must be false where callers can connect.
	Peer bool
}

const servicePrefix = "/v1/services/"

// ServeHTTP serves one request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if err := h.serve(w, r); err != nil {
		wire.WriteError(w, numbered(err), h.now())
	}
}

// numbered gives the end of a request's own deadline its number.
func numbered(err error) error {
	var e *result.Error
	if !errors.As(err, &e) && errors.Is(err, context.DeadlineExceeded) {
		return result.New(result.TimedOut, "%w", err)
	}
	return err
}

// serve returns an error only if nothing was written.
func (h *Handler) serve(w http.ResponseWriter, r *http.Request) error {
	path := r.URL.EscapedPath()
	switch {
	case path == "/v1/completions":
		return h.infer(w, r, false)
	case path == "/v1/chat/completions":
		return h.infer(w, r, true)
	case path == "/v1/addresses" && r.Method == http.MethodGet:
		return h.addresses(w, r)
	case strings.HasPrefix(path, servicePrefix):
		return h.call(w, r, path[len(servicePrefix):])
	}
	return result.New(result.NotFound, "%s %s", r.Method, path)
}

func (h *Handler) now() time.Time {
	if h.Now != nil {
		return h.Now()
	}
	return time.Now()
}

func (h *Handler) meta(w http.ResponseWriter, r *http.Request) (Meta, error) {
	m, err := decodeMeta(r.Header, h.now(), h.Peer)
	if err != nil {
		return Meta{}, err
	}
	if m.ID == "" {
		m.ID = h.newID()
	}
	w.Header().Set(RequestHeader, string(m.ID))
	return m, nil
}

func (h *Handler) newID() ident.Request {
	if h.NewID != nil {
		return h.NewID()
	}
	var b [12]byte
	_, _ = rand.Read(b[:])
	return ident.Request(hex.EncodeToString(b[:]))
}

func (h *Handler) infer(w http.ResponseWriter, r *http.Request, chat bool) error {
	if r.Method != http.MethodPost {
		return result.New(result.NotFound, "%s is not served here, POST is", r.Method)
	}
	meta, err := h.meta(w, r)
	if err != nil {
		return err
	}
	x, err := decodeInfer(meta, r, chat)
	if err != nil {
		return err
	}
	if h.Peer {
		h.relay(r.Context(), w, x)
		return nil
	}
	ctx, cancel := withDeadline(r.Context(), x.Deadline)
	defer cancel()
	a, err := h.Infer(ctx, x)
	if err != nil {
		return err
	}
	defer a.Close()
	if x.Stream {
		return h.stream(w, x, a)
	}
	return h.whole(w, x, a)
}

func withDeadline(ctx context.Context, t time.Time) (context.Context, context.CancelFunc) {
	if t.IsZero() {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(ctx, t)
}

// whole collects the answer and sends it at once. Only [io.EOF] itself is the
// end: an error that wraps it is a connection that ended early.
func (h *Handler) whole(w http.ResponseWriter, x InferRequest, a *Answer) error {
	var text strings.Builder
	pieces := 0
	for {
		piece, err := a.Next()
		if err == io.EOF {
			break
		}
		if err != nil {
			return err
		}
		pieces++
		text.WriteString(piece)
	}
	setOrigin(w.Header(), a)
	wire.WriteJSON(w, encodeWhole(x, a, text.String(), pieces))
	return nil
}

// stream sends the answer as it is made. The first piece decides between an
// error with a status and an answer.
func (h *Handler) stream(w http.ResponseWriter, x InferRequest, a *Answer) error {
	piece, err := a.Next()
	if err != nil && err != io.EOF {
		return err
	}
	setOrigin(w.Header(), a)
	e := newEvents(w, x)
	for err == nil {
		if !e.piece(a, piece) {
			server.Abort(w)
			return nil
		}
		piece, err = a.Next()
	}
	if err == io.EOF {
		e.done(a)
		return nil
	}
	e.failed(numbered(err))
	server.Abort(w)
	return nil
}

func setOrigin(h http.Header, a *Answer) {
	if !a.Adapter().IsZero() {
		h.Set(AdapterHeader, a.Adapter().String())
	}
	if a.Upstream() != "" {
		h.Set(UpstreamHeader, string(a.Upstream()))
	}
}

func (h *Handler) addresses(w http.ResponseWriter, r *http.Request) error {
	q, err := decodeQuery(r)
	if err != nil {
		return err
	}
	d, err := h.Addresses(q)
	if err != nil {
		return err
	}
	left := max(0, d.ExpiresAt.Sub(h.now()))
	w.Header().Set("Cache-Control", "max-age="+strconv.Itoa(int(left/time.Second)))
	wire.WriteJSON(w, directoryBody{
		Addresses: append([]string{}, d.Addresses...),
		Expires:   d.ExpiresAt.UTC().Format(time.RFC3339Nano),
		MaxAge:    left.Milliseconds(),
	})
	return nil
}

// hopByHop lists the headers that concern one connection or this dialect and
// are not passed on.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Host", "Expect", "Accept-Encoding",
	ClassHeader, AdapterHeader, DeadlineHeader, HopHeader, AttemptHeader, RequestHeader, UpstreamHeader,
	RetriedHeader, SuspectHeader,
	wire.ResultHeader, server.StatusHeader,
}

func passedOn(h http.Header) http.Header {
	out := h.Clone()
	for _, v := range h.Values("Connection") {
		for name := range strings.SplitSeq(v, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		out.Del(name)
	}
	return out
}

// call serves a plain service; rest is the path behind the prefix.
func (h *Handler) call(w http.ResponseWriter, r *http.Request, rest string) error {
	meta, err := h.meta(w, r)
	if err != nil {
		return err
	}
	name, path, _ := strings.Cut(rest, "/")
	if name == "" || len(name) > maxName {
		return result.New(result.Malformed, "path names no service")
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return result.New(result.RequestIncomplete, "read body: %w", err)
	}
	x := ServiceRequest{
		Meta: meta, Service: ident.Service(name), Method: r.Method,
		Path: "/" + path, Header: passedOn(r.Header), Body: body,
	}
	if r.URL.RawQuery != "" {
		x.Path += "?" + r.URL.RawQuery
	}
	ctx, cancel := withDeadline(r.Context(), x.Deadline)
	defer cancel()
	reply, err := h.Call(ctx, x)
	if err != nil {
		return err
	}
	writeReply(w, r.Method, reply)
	return nil
}

func writeReply(w http.ResponseWriter, method string, reply *ServiceReply) {
	hd := w.Header()
	for name, values := range passedOn(reply.Header) {
		hd[name] = values
	}
	if reply.Upstream != "" {
		hd.Set(UpstreamHeader, string(reply.Upstream))
	}
	if method != http.MethodHead {
		hd.Set("Content-Length", strconv.Itoa(len(reply.Body)))
	}
	w.WriteHeader(reply.Status)
	_, _ = w.Write(reply.Body)
}
