package upstream

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"papayaspoke/core/ident"
	"papayaspoke/core/result"
	"papayaspoke/io/protocol/wire"
	"papayaspoke/io/transport/server"
)

// Line is one line of a streamed answer.
type Line struct {
	// Request, Adapter and Incarnation say whose line it is.
	Request     ident.Request
	Adapter     ident.Adapter
	Incarnation ident.Incarnation
	// Offset is the number of lines before this one in the whole answer.
	Offset int
	// Text is empty in the last line.
	Text string
	// Done marks the last line of a whole answer.
	Done bool
}

// RunFunc writes the lines of an accepted request. An error ends the stream
// visibly.
type RunFunc func(ctx context.Context, emit func(Line) error) error

// Engine serves the engine's side of the dialect. Its functions are called by
// many goroutines.
type Engine struct {
	// Load, UnloadOrder and SetRoleOrder carry out orders and return when that is done.
	Load    func(ctx context.Context, l LoadOrder) (Ack, error)
	Unload  func(ctx context.Context, u UnloadOrder) (Ack, error)
	SetRole func(ctx context.Context, s SetRoleOrder) (Ack, error)
	// Generate accepts or refuses a request at once.
	Generate func(ctx context.Context, g GenerateRequest) (RunFunc, error)
	// Resume accepts or refuses to go on with an answer at once.
	Resume func(ctx context.Context, r ResumeRequest) (RunFunc, error)
	// Cancel stops a request.
	Cancel func(ctx context.Context, c CancelRequest) error
}

// ServeHTTP serves one order or request.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if err := e.serve(w, r); err != nil {
		wire.Refuse(w, result.From(err))
	}
}

// serve returns an error only if nothing was written.
func (e *Engine) serve(w http.ResponseWriter, r *http.Request) error {
	if r.Method != http.MethodPost {
		return result.New(result.NotFound, "%s %s", r.Method, r.URL.Path)
	}
	switch r.URL.Path {
	case "/orders/load", "/orders/unload", "/orders/role":
		return e.order(w, r)
	case "/generate":
		return e.generate(w, r)
	case "/resume":
		return e.resume(w, r)
	case "/cancel":
		return e.cancel(w, r)
	}
	return result.New(result.NotFound, "%s", r.URL.Path)
}

func (e *Engine) order(w http.ResponseWriter, r *http.Request) error {
	var b orderBody
	if err := wire.ReadJSON(r, &b); err != nil {
		return err
	}
	adapter, err := decodeAdapter(b.Adapter)
	if err != nil {
		return err
	}
	evict, err := decodeAdapter(b.Evict)
	if err != nil {
		return err
	}
	role := r.URL.Path == "/orders/role"
	if b.ID == "" || adapter.IsZero() != role {
		return result.New(result.Malformed, "order and adapter are required, role orders name no adapter")
	}
	var ack Ack
	switch r.URL.Path {
	case "/orders/load":
		ack, err = e.Load(r.Context(), LoadOrder{Order: b.order(), Adapter: adapter, Evict: evict})
	case "/orders/unload":
		ack, err = e.Unload(r.Context(), UnloadOrder{Order: b.order(), Adapter: adapter})
	default:
		ack, err = e.SetRole(r.Context(), SetRoleOrder{Order: b.order(), Role: b.Role})
	}
	if err != nil {
		return err
	}
	wire.WriteJSON(w, ackBody{ID: ack.ID, Incarnation: uint64(ack.Incarnation), Clock: ack.Clock.UnixMilli()})
	return nil
}

func (e *Engine) generate(w http.ResponseWriter, r *http.Request) error {
	var b generateBody
	if err := wire.ReadJSON(r, &b); err != nil {
		return err
	}
	g, err := b.decode(time.Now())
	if err != nil {
		return err
	}
	run, err := e.Generate(r.Context(), g)
	if err != nil {
		return err
	}
	stream(w, r, Line{Request: g.Request, Adapter: g.Adapter, Incarnation: g.Incarnation}, run)
	return nil
}

func (e *Engine) resume(w http.ResponseWriter, r *http.Request) error {
	var b resumeBody
	if err := wire.ReadJSON(r, &b); err != nil {
		return err
	}
	a, err := decodeAdapter(b.Adapter)
	if err != nil {
		return err
	}
	if b.Offset < 0 || b.Request == "" {
		return result.New(result.Malformed, "request and a non-negative offset are required")
	}
	x := ResumeRequest{
		Request: ident.Request(b.Request), Adapter: a, Fence: ident.Fence(b.Fence),
		Incarnation: ident.Incarnation(b.Incarnation), Offset: b.Offset,
	}
	run, err := e.Resume(r.Context(), x)
	if err != nil {
		return err
	}
	stream(w, r, Line{Request: x.Request, Adapter: x.Adapter, Incarnation: x.Incarnation, Offset: x.Offset}, run)
	return nil
}

func (e *Engine) cancel(w http.ResponseWriter, r *http.Request) error {
	var b cancelBody
	if err := wire.ReadJSON(r, &b); err != nil {
		return err
	}
	err := e.Cancel(r.Context(), CancelRequest{Request: ident.Request(b.Request), Incarnation: ident.Incarnation(b.Incarnation)})
	if err != nil {
		return err
	}
	wire.WriteJSON(w, ackBody{Incarnation: b.Incarnation, Clock: time.Now().UnixMilli()})
	return nil
}

// stream acknowledges the request by sending the head, then sends the lines,
// the first of which has the names and the offset of next.
func stream(w http.ResponseWriter, r *http.Request, next Line, run RunFunc) {
	w.Header().Set("Content-Type", "application/x-ndjson")
	flush := func() {}
	if f, ok := w.(http.Flusher); ok {
		flush = f.Flush
	}
	flush()
	err := run(r.Context(), func(l Line) error {
		next.Offset = l.Offset + 1
		b, err := json.Marshal(encodeLine(l))
		if err != nil {
			return err
		}
		_, err = w.Write(append(b, '\n'))
		flush()
		return err
	})
	if err == nil {
		return
	}
	b := encodeLine(next)
	b.Error = errorField(err)
	if raw, merr := json.Marshal(b); merr == nil {
		_, _ = w.Write(append(raw, '\n'))
	}
	server.Abort(w)
}

// errorField returns the value of the error field of [wire.EncodeError].
func errorField(err error) json.RawMessage {
	var v struct {
		Error json.RawMessage `json:"error"`
	}
	_ = json.Unmarshal(wire.EncodeError(err), &v)
	return v.Error
}

func encodeLine(l Line) lineBody {
	return lineBody{
		Request: string(l.Request), Adapter: encodeAdapter(l.Adapter), Incarnation: uint64(l.Incarnation),
		Offset: l.Offset, Text: l.Text, Done: l.Done,
	}
}
