//go:build review

// One part of prompts crashes each replica that begins to write an answer on it.
// The part after it is that of a customer, who asks a few times.
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
	replicas     = 8
	// maxLate is the bound of the rule.
	maxLate = 3
	// customers is the number of customers, perCustomer how many bad requests each
	// of them sends, one each pause.
	customers, perCustomer = 10, 4
	pause                  = 900 * time.Millisecond
	// badPart crashes replicas, firstPart is shared by all requests.
	badPart, firstPart = "bad0", "f1f1"
)

// world is the state of the replicas.
type world struct {
	*stand.World
	mu sync.Mutex
	// crashes holds the times of the crashes, arrivals those at which a request
	// with the part reached a replica.
	crashes, arrivals []time.Time
}

// generate plays a replica.
func (w *world) generate(r **stand.Replica, e *stand.Engine) http.HandlerFunc {
	return func(rw http.ResponseWriter, q *http.Request) {
		if e.Serve(rw, q) {
			return
		}
		if strings.Contains(q.Header.Get(stand.Name("parts")), badPart+":") {
			w.mu.Lock()
			w.arrivals = append(w.arrivals, time.Now())
			w.mu.Unlock()
			w.Note("bad request %s reaches %s: %s", q.Header.Get("X-Request-Id"), (*r).ID, q.Header.Get(stand.Name("parts")))
			if w.Trouble {
				time.Sleep(50 * time.Millisecond)
				w.mu.Lock()
				w.crashes = append(w.crashes, time.Now())
				w.mu.Unlock()
				go w.crash(*r, e)
				<-q.Context().Done()
				return
			}
		}
		rw.Header().Set("Content-Type", "text/event-stream")
		rw.Header().Set(stand.Name("signature"), (*r).ID)
		rw.Header().Set("X-Weight-Versions", "1")
		for i := 1; i <= 10; i++ {
			time.Sleep(20 * time.Millisecond)
			_, _ = fmt.Fprintf(rw, "id: %d\ndata: token%d\n\n", i, i)
			_ = http.NewResponseController(rw).Flush()
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
	w := &world{World: base}
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
	route := stand.Route("visit-note", "/note/", "streaming", "scribe", 15000, 1000, 1, `,"sessionAffinity":true,"resumable":false,"targetGapMs":300`)
	service := fmt.Sprintf(stand.Name("engine-service"), 2)
	if w.PutConfig(stand.Config(7, route, service), 20*time.Second) == nil || !w.AwaitReady(20*time.Second) {
		w.Finish(stand.NotRun, "the system did not start")
	}
	time.Sleep(4 * time.Second)
	n := 0
	send := func(prompt string) bool {
		n++
		m := w.Machines[n%len(w.Machines)]
		id := fmt.Sprintf("q-%d", n)
		parts := fmt.Sprintf("%s,%x:100", prompt, 0xe000+n)
		status, _, answer := stand.CallWithin(15*time.Second, http.MethodPost, m.Front, fmt.Sprintf("/note/%d", n), fmt.Sprintf(`{"n":%d}`, n), "Host", stand.Host, "X-Request-Id", id,
			stand.Name("deadline"), "15000", stand.Name("model"), "m", stand.Name("tokens"), "400,20", stand.Name("parts"), parts)
		w.Note("request %s with %s to %s: %d, %d events", id, parts, m.Name, status, strings.Count(string(answer), "\n\n"))
		return status == http.StatusOK && strings.Contains(string(answer), "id: 10\n")
	}
	customer := func(c int) string { return fmt.Sprintf("c%02x:100", c) }
	// Sound requests share the first part and the customers' parts.
	for c := range customers {
		if !send(firstPart + ":100," + customer(c)) {
			w.Finish(stand.NotRun, "a request before the disruption was not served")
		}
	}
	served, sound := 0, 0
	for c := range customers {
		for i := range perCustomer {
			send(firstPart + ":100," + badPart + ":100," + customer(c))
			// Meanwhile others send sound requests, each customer in turn.
			sound++
			if send(firstPart + ":100," + customer((c+2+2*i)%customers)) {
				served++
			}
			time.Sleep(pause)
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	late := 0
	if len(w.crashes) >= 5 {
		for _, at := range w.arrivals {
			if at.After(w.crashes[4].Add(stableWindow)) {
				late++
			}
		}
	}
	if late > maxLate {
		w.Finish(stand.Broken, "BUDGET broken: %d crashes; %d requests with the part arrived later than stableWindowMs after the fifth, at most %d; sound requests served %d of %d", len(w.crashes), late, maxLate, served, sound)
	}
	w.Finish(stand.Held, "held: %d crashes; %d requests with the part arrived later than stableWindowMs after the fifth; sound requests served %d of %d", len(w.crashes), late, served, sound)
}
