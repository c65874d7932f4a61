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

// Handler serves the caller interface. Its functions are called concurrently;
// their contexts are cancelled when the caller disconnects. Errors carry
// result codes.
type Handler struct {
	// Infer answers a request for inference.
	Infer func(ctx context.Context, x InferRequest) (*Answer, error)
	// Call answers a request to a plain service.
	Call func(ctx context.Context, x ServiceRequest) (*ServiceReply, error)
	// Addresses returns the daemon addresses to use.
	Addresses func(q DirectoryQuery) (Directory, error)
	// Now returns the current time; nil means [time.Now].
	Now func() time.Time
	// NewID generates request ids; nil generates random ones.
	NewID func() ident.Request
	// NextKeepAlive returns when the next keepalive comment is sent to a waiting
	// daemon; nil means every 1.5 s.
	NextKeepAlive func(now time.Time) time.Time
	// Peer is true on the peer listener, where the headers of daemons are
	// trusted. It must be false on any listener that callers can reach.
	Peer bool
}

const servicePrefix = "/v1/services/"

// ServeHTTP serves one request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if err := h.serve(w, r); err != nil {
		wire.WriteError(w, withResultCode(err), h.now())
	}
}

// withResultCode adds [result.TimedOut] to an error that reports only that the
// request's own deadline was exceeded.
func withResultCode(err error) error {
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
		return result.New(result.NotFound, "method %s is not supported, use POST", r.Method)
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
		h.relayInfer(r.Context(), w, x)
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
		return h.streamAnswer(ctx, w, x, a)
	}
	return h.writeCompleteAnswer(w, x, a)
}

func withDeadline(ctx context.Context, t time.Time) (context.Context, context.CancelFunc) {
	if t.IsZero() {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(ctx, t)
}

// maxTextBytes limits the text of an answer that is not streamed.
const maxTextBytes = 1 << 20

// writeCompleteAnswer collects the answer and sends it in one response. Only
// [io.EOF] itself is the end: an error that wraps it means that the connection
// ended early.
func (h *Handler) writeCompleteAnswer(w http.ResponseWriter, x InferRequest, a *Answer) error {
	var text strings.Builder
	chunks := 0
	for {
		chunk, err := a.Next()
		if err == io.EOF {
			break
		}
		if err != nil {
			return err
		}
		if text.Len()+len(chunk) > maxTextBytes {
			return result.New(result.UpstreamFailed, "the text is longer than %d bytes", maxTextBytes)
		}
		chunks++
		text.WriteString(chunk)
	}
	setOrigin(w.Header(), a)
	wire.WriteJSON(w, encodeCompleteAnswer(x, a, text.String(), chunks))
	return nil
}

// streamAnswer sends the answer as it is generated. An error before the first
// chunk is returned, so that it is sent with its HTTP status; a later one is
// sent as an event.
func (h *Handler) streamAnswer(ctx context.Context, w http.ResponseWriter, x InferRequest, a *Answer) error {
	chunk, err := a.Next()
	if err != nil && err != io.EOF {
		return err
	}
	setOrigin(w.Header(), a)
	e := newEventWriter(w, x)
	for err == nil {
		if !e.writeChunk(a, chunk) || server.AwaitRoom(ctx, w) != nil {
			server.Abort(w)
			return nil
		}
		chunk, err = a.Next()
	}
	if err == io.EOF {
		e.writeDone(a)
		return nil
	}
	e.writeError(withResultCode(err))
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

// droppedHeaders lists the headers that are not forwarded: hop-by-hop headers
// and those of this interface.
var droppedHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Host", "Expect", "Accept-Encoding",
	ClassHeader, AdapterHeader, DeadlineHeader, HopHeader, AttemptHeader, RequestHeader, UpstreamHeader,
	RetriedHeader, SuspectHeader,
	wire.ResultHeader, statusHeader,
}

func endToEndHeaders(h http.Header) http.Header {
	out := h.Clone()
	for _, v := range h.Values("Connection") {
		for name := range strings.SplitSeq(v, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range droppedHeaders {
		out.Del(name)
	}
	return out
}

// call serves a request to a plain service; rest is the path after the prefix.
func (h *Handler) call(w http.ResponseWriter, r *http.Request, rest string) error {
	meta, err := h.meta(w, r)
	if err != nil {
		return err
	}
	name, path, _ := strings.Cut(rest, "/")
	if name == "" || len(name) > maxNameBytes {
		return result.New(result.Malformed, "service name in the path is empty or too long")
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return result.New(result.RequestIncomplete, "read body: %w", err)
	}
	x := ServiceRequest{
		Meta: meta, Service: ident.Service(name), Method: r.Method,
		Path: "/" + path, Header: endToEndHeaders(r.Header), Body: body,
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
	header := w.Header()
	for name, values := range endToEndHeaders(reply.Header) {
		header[name] = values
	}
	if reply.Upstream != "" {
		header.Set(UpstreamHeader, string(reply.Upstream))
	}
	if method != http.MethodHead {
		header.Set("Content-Length", strconv.Itoa(len(reply.Body)))
	}
	w.WriteHeader(reply.Status)
	_, _ = w.Write(reply.Body)
}
