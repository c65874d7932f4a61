package caller_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"papayaspoke/core/ident"
	"papayaspoke/core/result"
	"papayaspoke/io/protocol/caller"
	"papayaspoke/io/protocol/upstream"
	"papayaspoke/io/protocol/wire"
	"papayaspoke/io/standin/engine"
	"papayaspoke/io/transport/client"
	"papayaspoke/io/transport/server"
)

var letters = ident.Adapter{Name: "letters", Version: "3"}

func serve(t *testing.T, h http.Handler) string {
	t.Helper()
	s, err := server.Listen("127.0.0.1:0", h, server.Options{Refuse: wire.Refuse})
	assert.NilError(t, err)
	t.Cleanup(s.Close)
	return s.Addr()
}

// answerInChunks returns an answer with the given chunks that ends with err.
func answerInChunks(err error, texts ...string) *caller.Answer {
	next := func() (string, error) {
		if len(texts) == 0 {
			return "", err
		}
		text := texts[0]
		texts = texts[1:]
		return text, nil
	}
	return caller.NewAnswer(letters, "base", "e1", next, func() {})
}

func post(t *testing.T, addr, path, body string, header ...string) *http.Response {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+addr+path, strings.NewReader(body))
	assert.NilError(t, err)
	for i := 0; i < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = resp.Body.Close() })
	return resp
}

func TestStreamedAndCompleteAnswers(t *testing.T) {
	fault := result.New(result.UpstreamFailed, "fault")
	wrapped := fmt.Errorf("connection: %w", io.EOF)
	cases := map[string]struct {
		path, body string
		answer     *caller.Answer
		status     int
		want       []string
		complete   bool
	}{
		"whole text":     {"/v1/completions", `{"model":"letters@3","prompt":"p"}`, answerInChunks(io.EOF, "a ", "b"), 200, []string{`"text":"a b"`, `"model":"letters@3"`}, true},
		"whole chat":     {"/v1/chat/completions", `{"model":"letters@3","messages":[{"role":"user","content":"p"}]}`, answerInChunks(io.EOF, "a ", "b"), 200, []string{`"content":"a b"`, `"chat.completion"`}, true},
		"whole, fails":   {"/v1/completions", `{"model":"letters@3","prompt":"p"}`, answerInChunks(fault, "a"), 502, []string{`"code":303`, `"ran":"unknown"`}, true},
		"streamed text":  {"/v1/completions", `{"model":"letters@3","prompt":"p","stream":true}`, answerInChunks(io.EOF, "a ", "b"), 200, []string{`"text":"a "`, `"text":"b"`, "data: [DONE]"}, true},
		"streamed chat":  {"/v1/chat/completions", `{"model":"letters@3","messages":[{"role":"user","content":"p"}],"stream":true}`, answerInChunks(io.EOF, "a "), 200, []string{`"delta":{"content":"a "}`, "data: [DONE]"}, true},
		"fails at once":  {"/v1/completions", `{"model":"letters@3","prompt":"p","stream":true}`, answerInChunks(fault), 502, []string{`"code":303`}, true},
		"fails midway":   {"/v1/completions", `{"model":"letters@3","prompt":"p","stream":true}`, answerInChunks(fault, "a "), 200, []string{`"text":"a "`, "event: error", `"code":303`}, false},
		"ends too early": {"/v1/completions", `{"model":"letters@3","prompt":"p","stream":true}`, answerInChunks(wrapped, "a "), 200, []string{"event: error"}, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			addr := serve(t, &caller.Handler{Infer: func(context.Context, caller.InferRequest) (*caller.Answer, error) { return tc.answer, nil }})
			resp := post(t, addr, tc.path, tc.body)
			assert.Equal(t, resp.StatusCode, tc.status)
			b, err := io.ReadAll(resp.Body)
			if tc.complete {
				assert.NilError(t, err)
			} else {
				assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
				assert.Assert(t, !bytes.Contains(b, []byte("[DONE]")))
			}
			for _, w := range tc.want {
				assert.Assert(t, strings.Contains(string(b), w), "no %s in %s", w, b)
			}
		})
	}
}

func TestBadRequestsGetTheirNumber(t *testing.T) {
	good := `{"model":"letters@3","prompt":"p"}`
	cases := map[string]struct {
		path, body string
		header     []string
		want       result.Code
	}{
		"not JSON":         {"/v1/completions", `{"model":`, nil, result.Malformed},
		"other type":       {"/v1/completions", `{"model":7}`, nil, result.Malformed},
		"no model":         {"/v1/completions", `{"prompt":"p"}`, nil, result.Malformed},
		"no prompt":        {"/v1/completions", `{"model":"letters@3"}`, nil, result.Malformed},
		"prompt a list":    {"/v1/completions", `{"model":"letters@3","prompt":["p"]}`, nil, result.Malformed},
		"no messages":      {"/v1/chat/completions", `{"model":"letters@3"}`, nil, result.Malformed},
		"no role":          {"/v1/chat/completions", `{"model":"letters@3","messages":[{"content":"c"}]}`, nil, result.Malformed},
		"two answers":      {"/v1/completions", `{"model":"letters@3","prompt":"p","n":2}`, nil, result.Malformed},
		"no version":       {"/v1/completions", `{"model":"letters@","prompt":"p"}`, nil, result.Malformed},
		"two adapters":     {"/v1/completions", good, []string{caller.AdapterHeader, "letters@4"}, result.Malformed},
		"bad header":       {"/v1/completions", good, []string{caller.AdapterHeader, "letters"}, result.Malformed},
		"deadline past":    {"/v1/completions", good, []string{caller.DeadlineHeader, "2020-01-01T00:00:00Z"}, result.DeadlineHopeless},
		"deadline zero":    {"/v1/completions", good, []string{caller.DeadlineHeader, "0"}, result.DeadlineHopeless},
		"deadline far":     {"/v1/completions", good, []string{caller.DeadlineHeader, "99999999999"}, result.DeadlineTooFar},
		"deadline strange": {"/v1/completions", good, []string{caller.DeadlineHeader, "soon"}, result.Malformed},
		"long class":       {"/v1/completions", good, []string{caller.ClassHeader, strings.Repeat("x", 300)}, result.Malformed},
		"no such path":     {"/v1/embeddings", good, nil, result.NotFound},
		"no service":       {"/v1/services/", good, nil, result.Malformed},
		"refused":          {"/v1/completions", good, nil, result.Overloaded},
	}
	addr := serve(t, &caller.Handler{Infer: func(context.Context, caller.InferRequest) (*caller.Answer, error) {
		return nil, result.New(result.Overloaded, "full").WithRetryAfter(time.Now().Add(1500 * time.Millisecond))
	}})
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			resp := post(t, addr, tc.path, tc.body, tc.header...)
			var v struct {
				Error struct {
					Code int
					Ran  any
				}
			}
			assert.NilError(t, json.NewDecoder(resp.Body).Decode(&v))
			assert.Equal(t, result.Code(v.Error.Code), tc.want)
			assert.Equal(t, v.Error.Ran, false)
			assert.Equal(t, resp.StatusCode, result.Lookup(tc.want).HTTP)
			assert.Equal(t, resp.Header.Get(wire.ResultHeader), fmt.Sprint(int(tc.want)))
			if tc.want == result.Overloaded {
				assert.Equal(t, resp.Header.Get("Retry-After"), "2")
			}
		})
	}
}

func TestDecodeModelAndDeadline(t *testing.T) {
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	cases := map[string]struct {
		model, header, deadline string
		adapter                 ident.Adapter
		base                    ident.Model
		at                      time.Time
	}{
		"model names it":  {"letters@3", "", "1500", letters, "", now.Add(1500 * time.Millisecond)},
		"header names it": {"base", "letters@3", "2026-01-02T03:04:06Z", letters, "base", now.Add(time.Second)},
		"header alone":    {"", "letters@3", "", letters, "", time.Time{}},
		"both agree":      {"letters@3", "letters@3", "", letters, "", time.Time{}},
		"base alone":      {"base", "", "", ident.Adapter{}, "base", time.Time{}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			var got caller.InferRequest
			addr := serve(t, &caller.Handler{
				Now: func() time.Time { return now },
				Infer: func(_ context.Context, x caller.InferRequest) (*caller.Answer, error) {
					got = x
					return answerInChunks(io.EOF, "a"), nil
				},
			})
			header := []string{caller.HopHeader, "forged", caller.RequestHeader, "forged", caller.ClassHeader, "urgent"}
			if tc.header != "" {
				header = append(header, caller.AdapterHeader, tc.header)
			}
			if tc.deadline != "" {
				header = append(header, caller.DeadlineHeader, tc.deadline)
			}
			resp := post(t, addr, "/v1/completions", `{"model":"`+tc.model+`","prompt":"p"}`, header...)
			// The deadline has passed on the real clock, so the response is an
			// error; only the decoded request is checked.
			_, _ = io.ReadAll(resp.Body)
			assert.Equal(t, got.Adapter, tc.adapter)
			assert.Equal(t, got.Model, tc.base)
			assert.Assert(t, got.Deadline.Equal(tc.at))
			assert.Equal(t, got.Class, ident.Class("urgent"))
			assert.Equal(t, got.ForwardedBy, ident.Daemon(""), "headers from callers must not be trusted")
			assert.Assert(t, got.ID != "forged" && got.ID != "")
		})
	}
}

// An engine must stop generating when the caller disconnects.
func TestVanishedCallerStopsTheEngine(t *testing.T) {
	opts := engine.Options{MaxChunks: 200, NextChunkAt: engine.After(20 * time.Millisecond)}
	opts.Self = upstream.Announcement{Name: "e1", Incarnation: 7, Model: "base", DataCentre: "a", Resumes: true}
	e, err := engine.Start("127.0.0.1:0", opts)
	assert.NilError(t, err)
	t.Cleanup(e.Kill)
	up := upstream.NewClient(client.New())
	addr := serve(t, &caller.Handler{Infer: func(ctx context.Context, x caller.InferRequest) (*caller.Answer, error) {
		s, err := up.Generate(ctx, e.Addr(), upstream.GenerateRequest{
			Request: x.ID, Model: "base", Prompt: x.Prompt, MaxTokens: x.MaxTokens, Incarnation: 7, Resumes: true,
		})
		if err != nil {
			return nil, err
		}
		return caller.NewAnswer(x.Adapter, x.Model, "e1", s.Next, func() { _ = s.Close() }), nil
	}})
	for name, stream := range map[string]string{"streamed": "true", "whole": "false"} {
		t.Run(name, func(t *testing.T) {
			before := len(e.Records())
			ctx, disconnect := context.WithCancel(t.Context())
			body := `{"model":"base","prompt":"p","stream":` + stream + `}`
			req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/v1/completions", strings.NewReader(body))
			assert.NilError(t, err)
			time.AfterFunc(100*time.Millisecond, disconnect)
			if resp, err := http.DefaultClient.Do(req); err == nil {
				_, err = io.ReadAll(resp.Body)
				assert.ErrorIs(t, err, context.Canceled)
				_ = resp.Body.Close()
			}
			for end := time.Now().Add(2 * time.Second); len(e.Records()) == before; time.Sleep(5 * time.Millisecond) {
				assert.Assert(t, time.Now().Before(end), "the engine is still running the request")
			}
			assert.Assert(t, !e.Records()[before].Complete)
		})
	}
}

func TestAddresses(t *testing.T) {
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	var got caller.DirectoryQuery
	addr := serve(t, &caller.Handler{
		Now: func() time.Time { return now },
		Addresses: func(q caller.DirectoryQuery) (caller.Directory, error) {
			got = q
			return caller.Directory{Addresses: []string{"127.0.0.1:1"}, ExpiresAt: now.Add(2500 * time.Millisecond)}, nil
		},
	})
	resp, err := http.Get("http://" + addr + "/v1/addresses?adapter=letters@3&class=urgent&service=booking")
	assert.NilError(t, err)
	b, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(b), `{"addresses":["127.0.0.1:1"],"expires":"2026-01-02T03:04:07.5Z","max_age_ms":2500}`)
	assert.Equal(t, resp.Header.Get("Cache-Control"), "max-age=2")
	assert.Equal(t, got, caller.DirectoryQuery{Adapter: letters, Class: "urgent", Service: "booking"})
}

func TestServiceCallIsForwarded(t *testing.T) {
	var got caller.ServiceRequest
	addr := serve(t, &caller.Handler{Call: func(_ context.Context, x caller.ServiceRequest) (*caller.ServiceReply, error) {
		got = x
		return &caller.ServiceReply{Status: 201, Header: http.Header{"X-Desk": {"7"}, "Connection": {"X-Hop"}, "X-Hop": {"1"}}, Body: []byte("booked"), Upstream: "b1"}, nil
	}})
	resp := post(t, addr, "/v1/services/booking/turns/a%2Fb?day=1", "turn", caller.KeyHeader, "k1", "X-Note", "n", caller.ClassHeader, "c")
	b, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(b), "booked")
	assert.Equal(t, resp.StatusCode, 201)
	assert.Equal(t, resp.Header.Get("X-Desk"), "7")
	assert.Equal(t, resp.Header.Get("X-Hop"), "")
	assert.Equal(t, resp.Header.Get(caller.UpstreamHeader), "b1")
	assert.Equal(t, got.Service, ident.Service("booking"))
	assert.Equal(t, got.Path, "/turns/a%2Fb?day=1")
	assert.Equal(t, string(got.Body), "turn")
	assert.Equal(t, got.Key, ident.Key("k1"))
	assert.Equal(t, got.Header.Get("X-Note"), "n")
	assert.Equal(t, got.Header.Get(caller.ClassHeader), "")
}

func readAnswer(a *caller.Answer) (string, error) {
	var b strings.Builder
	for {
		text, err := a.Next()
		if errors.Is(err, io.EOF) {
			return b.String(), nil
		}
		if err != nil {
			return b.String(), err
		}
		b.WriteString(text)
	}
}

func TestForwardedInference(t *testing.T) {
	wrongAdapter := caller.NewAnswer(ident.Adapter{Name: "notes", Version: "1"}, "", "e1", func() (string, error) { return "x", nil }, func() {})
	cases := map[string]struct {
		answer *caller.Answer
		err    error
		text   string
		want   result.Code
	}{
		"whole":         {answerInChunks(io.EOF, "a ", "b"), nil, "a b", result.OK},
		"refused":       {nil, result.New(result.Overloaded, "full"), "", result.Overloaded},
		"fails midway":  {answerInChunks(result.New(result.WrongAnswer, "x"), "a"), nil, "a", result.WrongAnswer},
		"other adapter": {wrongAdapter, nil, "", result.WrongAnswer},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			var got caller.InferRequest
			addr := serve(t, &caller.Handler{Peer: true, Infer: func(_ context.Context, x caller.InferRequest) (*caller.Answer, error) {
				got = x
				return tc.answer, tc.err
			}})
			f := caller.NewForwarder(client.New(), "d1", "secret")
			x := caller.InferRequest{Adapter: letters, MaxTokens: 4, Prompt: chatPrompt()}
			x.Meta = caller.Meta{ID: "r1", Class: "urgent", Deadline: time.Now().Add(time.Minute)}
			a, err := f.Infer(t.Context(), addr, x)
			text := ""
			if err == nil {
				text, err = readAnswer(a)
				a.Close()
			}
			assert.Equal(t, result.CodeOf(err), tc.want, "%v", err)
			assert.Equal(t, text, tc.text)
			assert.Equal(t, got.ID, x.ID)
			assert.Equal(t, got.ForwardedBy, ident.Daemon("d1"))
			assert.Equal(t, got.Prompt.Digest(), x.Prompt.Digest())
			assert.Assert(t, got.Deadline.Sub(x.Deadline).Abs() < time.Second)
			_, err = f.Infer(t.Context(), addr, got)
			assert.Equal(t, result.CodeOf(err), result.OwnerUnreachable, "request was forwarded a second time")
		})
	}
}

func TestForwardedCall(t *testing.T) {
	calls := 0
	addr := serve(t, &caller.Handler{Peer: true, Call: func(_ context.Context, x caller.ServiceRequest) (*caller.ServiceReply, error) {
		calls++
		if x.Key == "refuse" {
			return nil, result.New(result.KeyReused, "x")
		}
		return &caller.ServiceReply{Status: 409, Body: append([]byte(x.Path+" "), x.Body...), Upstream: "b1"}, nil
	}})
	f := caller.NewForwarder(client.New(), "d1", "secret")
	x := caller.ServiceRequest{Service: "booking", Method: http.MethodPost, Path: "/turns?d=1", Body: []byte("turn")}
	x.Meta = caller.Meta{ID: "r1", Key: "k1", Attempt: "a1"}
	r, err := f.Call(t.Context(), addr, x)
	assert.NilError(t, err)
	assert.Equal(t, r.Status, 409)
	assert.Equal(t, string(r.Body), "/turns?d=1 turn")
	assert.Equal(t, r.Upstream, ident.Upstream("b1"))
	x.Key = "refuse"
	_, err = f.Call(t.Context(), addr, x)
	assert.Equal(t, result.CodeOf(err), result.KeyReused)
	assert.Equal(t, calls, 2)
}

// TestStatusOfServiceIsPassedOn checks that callers get the status of a service as it
// is, from a daemon and through another one.
func TestStatusOfServiceIsPassedOn(t *testing.T) {
	for _, status := range []int{201, 299, 399, 404, 499, 503, 520, 599} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			reply := func(context.Context, caller.ServiceRequest) (*caller.ServiceReply, error) {
				return &caller.ServiceReply{Status: status, Body: []byte("made")}, nil
			}
			resp := post(t, serve(t, &caller.Handler{Call: reply}), "/v1/services/booking/turns", "turn")
			assert.Equal(t, resp.StatusCode, status)
			f := caller.NewForwarder(client.New(), "d1", "secret")
			x := caller.ServiceRequest{Service: "booking", Method: http.MethodPost, Path: "/turns", Meta: caller.Meta{ID: "r1"}}
			r, err := f.Call(t.Context(), serve(t, &caller.Handler{Peer: true, Call: reply}), x)
			assert.NilError(t, err)
			assert.Equal(t, r.Status, status)
			earlier := serve(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Papayaspoke-Status", fmt.Sprint(status))
				w.WriteHeader(status / 100 * 100)
			}))
			r, err = f.Call(t.Context(), earlier, x)
			assert.NilError(t, err)
			assert.Equal(t, r.Status, status)
		})
	}
}

// TestEndlessTextIsCutOff guards against an engine whose text never ends and fills the
// memory of the daemon, if the caller wants the answer whole or takes it slowly.
func TestEndlessTextIsCutOff(t *testing.T) {
	line := strings.Repeat("x", 1000)
	for name, stream := range map[string]bool{"whole": false, "streamed": true} {
		t.Run(name, func(t *testing.T) {
			var taken atomic.Int64
			endless := caller.NewAnswer(letters, "base", "e1", func() (string, error) {
				if taken.Add(int64(len(line))) > 64<<20 {
					return "", io.EOF
				}
				return line, nil
			}, func() {})
			done := make(chan struct{})
			addr := serve(t, &caller.Handler{Infer: func(ctx context.Context, _ caller.InferRequest) (*caller.Answer, error) {
				go func() { <-ctx.Done(); close(done) }()
				return endless, nil
			}})
			resp := post(t, addr, "/v1/completions", fmt.Sprintf(`{"model":"letters@3","prompt":"p","stream":%t}`, stream))
			if stream {
				time.Sleep(500 * time.Millisecond)
			}
			_ = resp.Body.Close()
			<-done
			assert.Assert(t, taken.Load() < 24<<20, "%d bytes of text were taken", taken.Load())
			if !stream {
				assert.Equal(t, resp.StatusCode, http.StatusBadGateway)
			}
		})
	}
}
