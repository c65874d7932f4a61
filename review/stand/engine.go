//go:build review

package stand

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// diskLoadTime is how long a load of the model from the replica's disk takes; the
// config says the same.
const diskLoadTime = 1100 * time.Millisecond

// Engine is what a replica holds of the one model, m. It starts with the model; after
// a crash it holds nothing until it is ordered to load it, from its disk.
type Engine struct {
	mu       sync.Mutex
	absent   bool
	readyAt  time.Time
	sequence uint64
}

// Crashed empties the engine.
func (e *Engine) Crashed() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.absent, e.readyAt, e.sequence = true, time.Time{}, 0
}

// state reports whether the engine holds the model, and whether it loads it.
func (e *Engine) state() (holds, loading bool) {
	if e.absent && !e.readyAt.IsZero() && !time.Now().Before(e.readyAt) {
		e.absent, e.readyAt = false, time.Time{}
	}
	return !e.absent, !e.readyAt.IsZero()
}

// Describe returns what the replica adds to its status reports.
func (e *Engine) Describe() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return `,"stage":"both",` + e.models()
}

func (e *Engine) models() string {
	if holds, _ := e.state(); holds {
		return `"models":[{"name":"m","version":1,"adapters":[]}],"available":{"inMemory":["m"],"onDisk":["m"]}`
	}
	return `"models":[],"available":{"inMemory":[],"onDisk":["m"]}`
}

// Serve answers the system's own calls, and requests that can't run since the model
// isn't there. It returns false for a request that runs.
func (e *Engine) Serve(w http.ResponseWriter, q *http.Request) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	holds, loading := e.state()
	switch {
	case q.URL.Path == Name("path-report"):
		_, _ = fmt.Fprintf(w, `{"stage":"both",%s,"busy":%t,"sequence":%d,"queued":0,"active":0,"kvUsed":0,"kvTotal":131196,"handles":0}`, e.models(), loading, e.sequence)
	case q.URL.Path == Name("path-order"):
		w.WriteHeader(e.order(q, holds, loading))
	case loading:
		w.Header().Set(Name("not-run"), "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	case !holds:
		w.WriteHeader(http.StatusMisdirectedRequest)
	default:
		return false
	}
	return true
}

// order carries out an order and returns the status.
func (e *Engine) order(q *http.Request, holds, loading bool) int {
	var o struct {
		Operation    string
		Precondition *uint64
	}
	switch err := json.NewDecoder(q.Body).Decode(&o); {
	case err != nil || o.Operation != "load" && o.Operation != "unload":
		return http.StatusBadRequest
	case loading || o.Precondition != nil && *o.Precondition != e.sequence:
		return http.StatusConflict
	case holds == (o.Operation == "load"):
		return http.StatusOK
	}
	e.sequence++
	if o.Operation == "load" {
		e.readyAt = time.Now().Add(diskLoadTime)
		return http.StatusAccepted
	}
	e.absent = true
	return http.StatusAccepted
}
