// Package wire implements what the HTTP protocols share: the JSON encoding of
// errors with result codes, JSON bodies, and reading lines of bounded length.
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

// ResultHeader carries the result code.
const ResultHeader = "Papayaspoke-Result"

// maxErrorBytes limits how much of an error body is read.
const maxErrorBytes = 64 << 10

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

// EncodeError returns the JSON encoding of err.
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

// WriteError sends err as the response. The header Retry-After is relative to
// now.
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

// Refuse sends err as the response at the current time. Its signature matches
// the server's option of the same name.
func Refuse(w http.ResponseWriter, err *result.Error) { WriteError(w, err, time.Now()) }

// DecodeError decodes an error that [WriteError] sent. Any other response is
// returned as an error with code fallback.
func DecodeError(header http.Header, body io.Reader, fallback result.Code, now time.Time) *result.Error {
	b, _ := io.ReadAll(io.LimitReader(body, maxErrorBytes))
	var v errorBody
	code, err := strconv.Atoi(header.Get(ResultHeader))
	if err != nil || json.Unmarshal(b, &v) != nil || v.Error.Code != code || !isKnownCode(code) {
		return result.New(fallback, "response is not an error with a result code: %.200q", b)
	}
	e := result.New(result.Code(code), "%s", v.Error.Message)
	if s, err := strconv.Atoi(header.Get("Retry-After")); err == nil && s >= 0 {
		e = e.WithRetryAfter(now.Add(time.Duration(s) * time.Second))
	}
	return e
}

// MarkMayHaveRun replaces an error that says that the request did not run by one that
// does not, for a request of which an earlier attempt may have run.
func MarkMayHaveRun(err *result.Error) *result.Error {
	if !result.Lookup(err.Code()).NotRun {
		return err
	}
	return result.New(result.UpstreamFailed, "an earlier attempt may have run: %w", err)
}

// DecodeErrorBody decodes an error inside a stream. Anything else is returned
// as an error with code fallback.
func DecodeErrorBody(b []byte, fallback result.Code) *result.Error {
	var v errorBody
	if json.Unmarshal(b, &v) != nil || !isKnownCode(v.Error.Code) {
		return result.New(fallback, "stream ended with an error without a known result code")
	}
	return result.New(result.Code(v.Error.Code), "%s", v.Error.Message)
}

func isKnownCode(code int) bool {
	c := result.Code(code)
	return c != result.OK && result.Lookup(c).Code == c
}

// ReadJSON decodes the body of r into v. Unknown fields are ignored, so that
// newer senders can add fields.
func ReadJSON(r *http.Request, v any) error {
	b, err := io.ReadAll(r.Body)
	if err != nil {
		return result.New(result.RequestIncomplete, "read body: %w", err)
	}
	if err := json.Unmarshal(b, v); err != nil {
		return result.New(result.Malformed, "decode JSON body: %w", err)
	}
	return nil
}

// WriteJSON sends v as the response, with status 200.
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
