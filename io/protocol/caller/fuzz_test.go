package caller

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"papayaspoke/core/result"
)

var fuzzNow = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

func FuzzInfer(f *testing.F) {
	f.Add(`{"model":"letters@3","prompt":"p","max_tokens":4,"stream":true}`, "", false)
	f.Add(`{"model":"base","messages":[{"role":"user","content":"p"}]}`, "letters@3", true)
	f.Add(`{"model":"letters@3","prompt":["p"]}`, "letters@4", false)
	f.Add(`{"model":"@","prompt":`, "@", true)
	f.Add(`{"max_tokens":-1,"n":9}`, "a@b@c", false)
	f.Fuzz(func(t *testing.T, body, adapter string, chat bool) {
		r := &http.Request{Header: http.Header{AdapterHeader: {adapter}}, Body: io.NopCloser(strings.NewReader(body))}
		x, err := decodeInfer(Meta{}, r, chat)
		if err != nil {
			if result.CodeOf(err) != result.Malformed {
				t.Fatalf("error without the code Malformed: %v", err)
			}
			return
		}
		if x.Adapter.IsZero() && x.Model == "" {
			t.Fatal("decoded a request with neither adapter nor model")
		}
		if x.Prompt.IsChat() != chat || x.MaxTokens <= 0 {
			t.Fatalf("decoded %+v", x)
		}
	})
}

func FuzzDeadline(f *testing.F) {
	for _, s := range []string{"", "1500", "0", "-1", "99999999999999999999", "2026-01-02T03:04:06Z", "2026-01-02T03:04:06.5+02:00", "soon"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, s string) {
		at, err := decodeDeadline(s, fuzzNow)
		left := at.Sub(fuzzNow)
		if err == nil && s != "" && (left <= 0 || left.Milliseconds() > maxDeadlineMillis) {
			t.Fatalf("deadline %q was decoded as %v, out of range", s, at)
		}
	})
}

func FuzzEvents(f *testing.F) {
	chunk := `data: {"id":"r1","choices":[{"text":"x"}]}` + "\n\n"
	f.Add(chunk + "data: [DONE]\n\n")
	f.Add(chunk)
	f.Add(strings.Replace(chunk, "r1", "r2", 1))
	f.Add(chunk + "event: error\ndata: {\"error\":{\"code\":303}}\n\n")
	f.Add("data: {}\n\ndata: [DONE]")
	f.Fuzz(func(t *testing.T, s string) {
		r := &eventReader{lines: bufio.NewReader(strings.NewReader(s)), requestID: "r1"}
		for {
			_, err := r.next()
			if err == nil {
				continue
			}
			if err == io.EOF && !strings.Contains(s, "data: [DONE]") {
				t.Fatalf("stream without [DONE] was accepted as complete: %q", s)
			}
			return
		}
	})
}
