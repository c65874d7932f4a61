//go:build review

// A request crashes each replica that begins to run it: the replica ends right
// after the event with its first token.
package main

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"papayaspoke/review/stand"
)

const (
	// away is how long a crashed replica is away.
	away = 3 * time.Second
	// stableWindow is the bound stableWindowMs.
	stableWindow = 3 * time.Second
	// replicas is the number of replicas, and maxRetries the bound of the rule.
	replicas, maxRetries = 8, 3
	// length is how long the client sends its request.
	length = 40 * time.Second
)

// world is the state of the replicas.
type world struct {
	*stand.World
	mu sync.Mutex
	// crashes holds the times of the crashes, arrivals those at which a copy of
	// the request reached a replica.
	crashes, arrivals []time.Time
	// firstEvent is true if the replica still sends the event with the first token.
	firstEvent bool
}

// bad is the body of the request that crashes replicas.
const bad = `{"note":"bad"}`

// generate plays a replica: each event holds one token.
func (w *world) generate(r **stand.Replica, e *stand.Engine) http.HandlerFunc {
	return func(rw http.ResponseWriter, q *http.Request) {
		if e.Serve(rw, q) {
			return
		}
		body := make([]byte, 256)
		n, _ := q.Body.Read(body)
		crashes := w.Trouble && string(body[:n]) == bad
		if string(body[:n]) == bad {
			w.mu.Lock()
			w.arrivals = append(w.arrivals, time.Now())
			w.mu.Unlock()
			w.Note("bad request %s reaches %s", q.Header.Get("X-Request-Id"), (*r).ID)
		}
		rw.Header().Set("Content-Type", "text/event-stream")
		rw.Header().Set(stand.Name("signature"), (*r).ID)
		rw.Header().Set("X-Weight-Versions", "1")
		start := 1
		if last := q.Header.Get("Last-Event-Id"); last != "" {
			_, _ = fmt.Sscan(last, &start)
			start++
		}
		for i := start; i <= 20; i++ {
			time.Sleep(20 * time.Millisecond)
			if !crashes || w.firstEvent {
				_, _ = fmt.Fprintf(rw, "id: %d\ndata: token%d\n\n", i, i)
				_ = http.NewResponseController(rw).Flush()
			}
			if crashes {
				time.Sleep(10 * time.Millisecond)
				w.mu.Lock()
				w.crashes = append(w.crashes, time.Now())
				w.mu.Unlock()
				go w.crash(*r, e)
				<-q.Context().Done()
				return
			}
		}
	}
}

func (w *world) crash(r *stand.Replica, e *stand.Engine) {
	r.Crash()
	e.Crashed()
	time.Sleep(away)
	if err := r.Start(); err != nil {
		w.Note("replica %s does not come back: %v", r.ID, err)
	}
}

func main() {
	var specs []stand.Spec
	for _, z := range []string{"piraeus", "marousi", "glyfada"} {
		specs = append(specs, stand.Spec{Name: "front-" + z + "-1", Zone: z, Disk: true}, stand.Spec{Name: "front-" + z + "-2", Zone: z})
	}
	base, err := stand.New(os.Args[1], specs, []string{"front-piraeus-1", "front-marousi-1", "front-glyfada-1"})
	if err != nil {
		fmt.Println(err)
		os.Exit(stand.NotRun)
	}
	w := &world{World: base, firstEvent: os.Getenv("FIRST_EVENT") != "0"}
	if err := w.StartAll(); err != nil {
		w.Finish(stand.NotRun, "start: %v", err)
	}
	for i := range replicas {
		zone := []string{"piraeus", "marousi", "glyfada"}[i%3]
		var r *stand.Replica
		e := &stand.Engine{}
		r = w.NewReplica(fmt.Sprintf("i-%d", i+1), "scribe", zone, 64, e.Describe, w.generate(&r, e))
		if err := r.Start(); err != nil {
			w.Finish(stand.NotRun, "replica: %v", err)
		}
	}
	route := stand.Route("visit-note", "/note/", "streaming", "scribe", 15000, 1000, 2, `,"sessionAffinity":true,"resumable":true,"targetGapMs":300`)
	service := fmt.Sprintf(stand.Name("engine-service"), 1)
	if w.PutConfig(stand.Config(7, route, service), 20*time.Second) == nil || !w.AwaitReady(20*time.Second) {
		w.Finish(stand.NotRun, "the system did not start")
	}
	time.Sleep(4 * time.Second)
	n, served, sent := 0, 0, 0
	send := func(m *stand.Machine, body, part string) bool {
		n++
		id := fmt.Sprintf("q-%d", n)
		status, _, answer := stand.CallWithin(15*time.Second, http.MethodPost, m.Front, "/note/x", body, "Host", stand.Host, "X-Request-Id", id,
			stand.Name("deadline"), "15000", stand.Name("model"), "m", stand.Name("tokens"), "100,20", stand.Name("parts"), part+":100")
		w.Note("request %s (%s) to %s: %d, %d events", id, body, m.Name, status, strings.Count(string(answer), "\n\n"))
		return status == http.StatusOK && strings.Contains(string(answer), "id: 20\n")
	}
	for _, m := range w.Machines {
		if !send(m, `{"note":"good"}`, fmt.Sprintf("a%d", n)) {
			w.Finish(stand.NotRun, "a request before the disruption was not served")
		}
	}
	// The same client sends the same request again and again, at any machine, each
	// attempt with an id of its own. Others send sound ones.
	end := time.Now().Add(length)
	for i := 0; time.Now().Before(end); i++ {
		send(w.Machines[i%len(w.Machines)], bad, "bad1")
		sent++
		if send(w.Machines[(i+1)%len(w.Machines)], `{"note":"good"}`, fmt.Sprintf("b%d", i)) {
			served++
		}
		time.Sleep(700 * time.Millisecond)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	late := 0
	if len(w.crashes) >= 3 {
		for _, at := range w.arrivals {
			if at.After(w.crashes[2].Add(stableWindow)) {
				late++
			}
		}
	}
	if late > maxRetries {
		w.Finish(stand.Broken, "BUDGET broken: %d crashes; %d arrivals later than stableWindowMs after the third, at most %d; sound requests served %d of %d", len(w.crashes), late, maxRetries, served, sent)
	}
	w.Finish(stand.Held, "held: %d crashes; %d arrivals later than stableWindowMs after the third; sound requests served %d of %d", len(w.crashes), late, served, sent)
}
