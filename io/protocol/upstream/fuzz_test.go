package upstream

import (
	"bufio"
	"encoding/json"
	"errors"
	"io"
	"reflect"
	"strings"
	"testing"
	"time"

	"papayaspoke/core/ident"
	"papayaspoke/core/result"
)

// checkDecoded fails unless v survives the way back and again to the decoder.
func checkDecoded[B, D any](t *testing.T, d D, err error, encode func(D) B, decode func(B) (D, error)) {
	t.Helper()
	if err != nil {
		if result.CodeOf(err) != result.Malformed {
			t.Fatalf("error without its number: %v", err)
		}
		return
	}
	again, err := decode(encode(d))
	if err != nil || !reflect.DeepEqual(again, d) {
		t.Fatalf("%+v became %+v, %v", d, again, err)
	}
}

func FuzzAnnouncement(f *testing.F) {
	f.Add(`{"name":"e1","incarnation":7,"kind":"engine","model":"base","address":"127.0.0.1:1","data_centre":"a","slots":2,"max_batch":4}`)
	f.Add(`{"name":"b1","incarnation":1,"kind":"service","service":"booking","address":"[::1]:1","data_centre":"a","max_batch":1,"idempotent_paths":["/turns"]}`)
	f.Add(`{"name":"","incarnation":-1}`)
	f.Add(`[]`)
	f.Fuzz(func(t *testing.T, s string) {
		var b announceBody
		if json.Unmarshal([]byte(s), &b) != nil {
			return
		}
		a, err := b.decode()
		checkDecoded(t, a, err, encodeAnnouncement, announceBody.decode)
	})
}

func FuzzReport(f *testing.F) {
	f.Add(`{"name":"e1","incarnation":7,"made_ms":1,"running":1,"waiting":0,"residents":[{"adapter":"a@1","in_flight":1}],"loading":["b@2"],"prefixes":[1]}`)
	f.Add(`{"name":"e1","incarnation":7,"running":-1}`)
	f.Add(`{"name":"e1","incarnation":7,"residents":[{"adapter":"a","in_flight":-1}]}`)
	f.Fuzz(func(t *testing.T, s string) {
		var b reportBody
		if json.Unmarshal([]byte(s), &b) != nil {
			return
		}
		r, err := b.decode()
		checkDecoded(t, r, err, encodeReport, reportBody.decode)
	})
}

func FuzzGenerate(f *testing.F) {
	f.Add(`{"request":"r","model":"base","adapter":"a@1","prompt":"p","max_tokens":1,"fence":1,"incarnation":7,"deadline_ms":5}`)
	f.Add(`{"request":"r","model":"base","messages":[{"role":"user","content":"p"}],"max_tokens":1}`)
	f.Add(`{"request":"r","prompt":"p","messages":[{"role":"user"}],"max_tokens":1}`)
	now := time.UnixMilli(1)
	f.Fuzz(func(t *testing.T, s string) {
		var b generateBody
		if json.Unmarshal([]byte(s), &b) != nil || b.Deadline > time.Hour.Milliseconds() {
			return
		}
		g, err := b.decode(now)
		encode := func(g GenerateRequest) generateBody { return encodeGenerate(g, now) }
		checkDecoded(t, g, err, encode, func(b generateBody) (GenerateRequest, error) { return b.decode(now) })
	})
}

func FuzzStream(f *testing.F) {
	own := `{"request":"r1","adapter":"a@1","incarnation":7,"offset":0,"text":"x"}`
	done := `{"request":"r1","adapter":"a@1","incarnation":7,"offset":1,"done":true}`
	f.Add(own + "\n" + done + "\n")
	f.Add(own + "\n" + own + "\n")
	f.Add(strings.Replace(own, "r1", "r2", 1) + "\n")
	f.Add(done)
	f.Add(`{"request":"r1","adapter":"a@1","incarnation":7,"offset":0,"error":{"code":208}}` + "\n")
	f.Add("{}\n\n[")
	ask := GenerateRequest{Request: "r1", Adapter: ident.Adapter{Name: "a", Version: "1"}, Incarnation: 7}
	f.Fuzz(func(t *testing.T, s string) {
		x := &Stream{ask: ask, lines: bufio.NewReader(strings.NewReader(s))}
		for {
			_, err := x.read()
			if err == nil {
				x.offset++
				continue
			}
			if err == io.EOF && !strings.Contains(s, `one"`) {
				t.Fatalf("whole without a last line: %q", s)
			}
			if err != io.EOF && errors.Is(err, io.EOF) {
				t.Fatalf("an error that looks like the end: %v", err)
			}
			return
		}
	})
}
