// Package wire holds what the HTTP dialects share: the JSON form of a result
// and the decoding of bounded JSON bodies.
package wire

import (
	"encoding/json"
	"io"
	"math"
	"net/http"
	"strconv"
	"time"

	"papayaspoke/core/result"
)

// ResultHeader carries the number of the result.
const ResultHeader = "Papayaspoke-Result"

// maxError is the largest error body that is read, in bytes.
const maxError = 64 << 10

type errorBody struct {
	Error errorFields `json:"error"`
}

type errorFields struct {
	Code    int    `json:"code"`
	Name    string `json:"name"`
	Message string `json:"message"`
	// Ran is false if the request provably did not run, else "unknown".
	Ran    any    `json:"ran"`
	Retry  bool   `json:"retry"`
	Advice string `json:"advice"`
}

// EncodeError returns the JSON form of err.
func EncodeError(err error) []byte {
	e := result.From(err)
	info := result.Lookup(e.Code())
	var ran any = "unknown"
	if info.NotRun {
		ran = false
	}
	b, merr := json.Marshal(errorBody{errorFields{
		Code: int(e.Code()), Name: info.Name, Message: info.Title + ": " + e.Detail(),
		Ran: ran, Retry: info.Retry, Advice: info.Advice,
	}})
	if merr != nil {
		return []byte(`{"error":{"code":599,"name":"internal","ran":"unknown"}}`)
	}
	return b
}

// WriteError answers with err; now is subtracted from the time at which a
// retry may succeed.
func WriteError(w http.ResponseWriter, err error, now time.Time) {
	e := result.From(err)
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(ResultHeader, strconv.Itoa(int(e.Code())))
	if t := e.RetryAfter(); !t.IsZero() {
		h.Set("Retry-After", strconv.Itoa(max(1, int(math.Ceil(t.Sub(now).Seconds())))))
	}
	w.WriteHeader(result.Lookup(e.Code()).HTTP)
	_, _ = w.Write(EncodeError(e))
}

// Refuse answers with err at the present time. It fits the server's options.
func Refuse(w http.ResponseWriter, err *result.Error) { WriteError(w, err, time.Now()) }

// DecodeError reads an error that [WriteError] wrote. Anything else becomes
// an error with code fallback.
func DecodeError(header http.Header, body io.Reader, fallback result.Code, now time.Time) *result.Error {
	b, _ := io.ReadAll(io.LimitReader(body, maxError))
	var v errorBody
	code, err := strconv.Atoi(header.Get(ResultHeader))
	if err != nil || json.Unmarshal(b, &v) != nil || v.Error.Code != code || !known(code) {
		return result.New(fallback, "answer is not a numbered error: %.200q", b)
	}
	e := result.New(result.Code(code), "%s", v.Error.Message)
	if s, err := strconv.Atoi(header.Get("Retry-After")); err == nil && s >= 0 {
		e = e.WithRetryAfter(now.Add(time.Duration(s) * time.Second))
	}
	return e
}

// MarkMayHaveRun takes back the promise that a request did not run, for a request of
// which an earlier attempt may have run.
func MarkMayHaveRun(err *result.Error) *result.Error {
	if !result.Lookup(err.Code()).NotRun {
		return err
	}
	return result.New(result.UpstreamFailed, "an earlier attempt may have run: %w", err)
}

// DecodeErrorBody reads an error that stands inside a stream.
func DecodeErrorBody(b []byte, fallback result.Code) *result.Error {
	var v errorBody
	if json.Unmarshal(b, &v) != nil || !known(v.Error.Code) {
		return result.New(fallback, "stream ended with an error that is not numbered")
	}
	return result.New(result.Code(v.Error.Code), "%s", v.Error.Message)
}

func known(code int) bool {
	c := result.Code(code)
	return c != result.OK && result.Lookup(c).Code == c
}

// ReadJSON decodes the whole body of r into v. Unknown fields are ignored,
// since the dialects grow.
func ReadJSON(r *http.Request, v any) error {
	b, err := io.ReadAll(r.Body)
	if err != nil {
		return result.New(result.RequestIncomplete, "read body: %w", err)
	}
	if err := json.Unmarshal(b, v); err != nil {
		return result.New(result.Malformed, "body is not the JSON expected: %w", err)
	}
	return nil
}

// WriteJSON answers with v and status 200.
func WriteJSON(w http.ResponseWriter, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		WriteError(w, result.New(result.Internal, "encode answer: %w", err), time.Now())
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	_, _ = w.Write(b)
}
