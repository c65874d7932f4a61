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

const maxBodyBytes = 64 << 10

// Handler serves the operators' interface. The daemon sets its functions, all
// of which are called concurrently.
type Handler struct {
	// Token must not be empty; requests without it are rejected.
	Token string
	// Change proposes a change and waits for its outcome.
	Change func(ctx context.Context, c Change) (Answer, error)
	// List returns the table with the given name, or [result.NotFound] if
	// there is none.
	List func(name string) (Table, error)
	// Dump returns the state of the daemon.
	Dump func(ctx context.Context) (any, error)
	// Recover starts a new cluster from the newest state that any daemon
	// holds, after the loss of a majority of the voters' disks.
	Recover func(ctx context.Context) (Answer, error)
	// Metrics serves the metrics page.
	Metrics http.Handler
}

// ServeHTTP serves one request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !h.authorized(r) {
		writeError(w, result.New(result.WrongToken, "set the header Authorization: Bearer TOKEN"))
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
		writeResult(w, v, err)
	case r.Method == http.MethodGet && r.URL.Path == "/metrics":
		h.Metrics.ServeHTTP(w, r)
	case r.Method == http.MethodGet && strings.HasPrefix(r.URL.Path, "/v1/lists/"):
		t, err := h.List(strings.TrimPrefix(r.URL.Path, "/v1/lists/"))
		writeResult(w, t, err)
	default:
		writeError(w, result.New(result.NotFound, "%s %s", r.Method, r.URL.Path))
	}
}

func (h *Handler) authorized(r *http.Request) bool {
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

// DecodeChange decodes one change. Unknown fields are rejected with
// [result.Malformed].
func DecodeChange(r io.Reader) (Change, error) {
	d := json.NewDecoder(io.LimitReader(r, maxBodyBytes))
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

// AnswerFromError returns the answer that represents err.
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

func writeResult(w http.ResponseWriter, v any, err error) {
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
