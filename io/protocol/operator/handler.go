package operator

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"papayaspoke/core/result"
)

const maxBody = 64 << 10

// Handler serves the operators' interface. The daemon fills its functions,
// all of which may be called from many goroutines at once.
type Handler struct {
	// Token is not empty; calls without it are refused.
	Token string
	// Change proposes a change and waits for its outcome.
	Change func(ctx context.Context, c Change) (Answer, error)
	// List returns the table of that name; it fails with
	// [result.NotFound] for an unknown name.
	List func(name string) (Table, error)
	// Dump returns the process's state.
	Dump func(ctx context.Context) (any, error)
	// Recover starts a new cluster from the newest state any daemon holds,
	// after a majority of the voters' disks is lost.
	Recover func(ctx context.Context) (Answer, error)
	// Metrics serves the metrics page.
	Metrics http.Handler
}

// ServeHTTP routes one call.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !h.allowed(r) {
		writeError(w, result.New(result.WrongToken, "give Authorization: Bearer TOKEN"))
		return
	}
	switch {
	case r.Method == http.MethodPost && r.URL.Path == "/v1/changes":
		h.change(w, r)
	case r.Method == http.MethodPost && r.URL.Path == "/v1/recover":
		a, err := h.Recover(r.Context())
		writeAnswer(w, a, err)
	case r.Method == http.MethodGet && r.URL.Path == "/v1/state":
		v, err := h.Dump(r.Context())
		reply(w, v, err)
	case r.Method == http.MethodGet && r.URL.Path == "/metrics":
		h.Metrics.ServeHTTP(w, r)
	case r.Method == http.MethodGet && strings.HasPrefix(r.URL.Path, "/v1/lists/"):
		t, err := h.List(strings.TrimPrefix(r.URL.Path, "/v1/lists/"))
		reply(w, t, err)
	default:
		writeError(w, result.New(result.NotFound, "%s %s", r.Method, r.URL.Path))
	}
}

func (h *Handler) allowed(r *http.Request) bool {
	got := strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")
	return subtle.ConstantTimeCompare([]byte(got), []byte(h.Token)) == 1
}

func (h *Handler) change(w http.ResponseWriter, r *http.Request) {
	c, err := DecodeChange(r.Body)
	if err != nil {
		writeError(w, err)
		return
	}
	a, err := h.Change(r.Context(), c)
	writeAnswer(w, a, err)
}

// DecodeChange reads one change; unknown fields are refused with
// [result.Malformed].
func DecodeChange(r io.Reader) (Change, error) {
	d := json.NewDecoder(io.LimitReader(r, maxBody))
	d.DisallowUnknownFields()
	var c Change
	if err := d.Decode(&c); err != nil {
		return Change{}, result.New(result.Malformed, "change: %w", err)
	}
	if c.ID == "" {
		return Change{}, result.New(result.ChangeInvalid, "change has no id")
	}
	return c, nil
}

// AnswerFromError returns the answer that tells err.
func AnswerFromError(err error) Answer {
	e := result.From(err)
	info := result.Lookup(e.Code())
	status := "refused"
	if e.Code() == result.Pending {
		status = "pending"
	}
	return Answer{Code: int(e.Code()), Status: status, Detail: e.Detail(), Advice: info.Advice}
}

func writeAnswer(w http.ResponseWriter, a Answer, err error) {
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, result.Lookup(result.Code(a.Code)).HTTP, a)
}

func reply(w http.ResponseWriter, v any, err error) {
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, v)
}

func writeError(w http.ResponseWriter, err error) {
	a := AnswerFromError(err)
	writeJSON(w, result.Lookup(result.Code(a.Code)).HTTP, a)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(append(b, '\n'))
}
