//go:build review

// A machine is killed right after it has acknowledged that a replica is gone.
package main

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"

	"papayaspoke/review/stand"
)

// drain is the bound drainMs.
const drain = 2 * time.Second

// arrival is a request that reached a replica.
type arrival struct {
	at          time.Time
	replica, id string
}

func main() {
	var specs []stand.Spec
	for _, z := range []string{"piraeus", "marousi", "glyfada"} {
		specs = append(specs, stand.Spec{Name: "front-" + z + "-1", Zone: z, Disk: true}, stand.Spec{Name: "front-" + z + "-2", Zone: z})
	}
	w, err := stand.New(os.Args[1], specs, []string{"front-piraeus-1", "front-marousi-1", "front-glyfada-1"})
	if err != nil {
		fmt.Println(err)
		os.Exit(stand.NotRun)
	}
	if err := w.StartAll(); err != nil {
		w.Finish(stand.NotRun, "start: %v", err)
	}
	var mu sync.Mutex
	var arrivals []arrival
	leaving := map[string]bool{}
	handler := func(id string) http.HandlerFunc {
		return func(rw http.ResponseWriter, q *http.Request) {
			mu.Lock()
			arrivals = append(arrivals, arrival{time.Now(), id, q.Header.Get("X-Request-Id")})
			if leaving[id] {
				rw.Header().Set("Server-Leaving", "1")
			}
			mu.Unlock()
			rw.Header().Set("X-Response-Signature", id)
			_, _ = fmt.Fprintf(rw, "rota by %s", id)
		}
	}
	var replicas []*stand.Replica
	for i, z := range []string{"piraeus", "marousi", "glyfada"} {
		id := fmt.Sprintf("i-%d", i+1)
		r := w.NewReplica(id, "desk", z, 6, "", handler(id))
		if err := r.Start(); err != nil {
			w.Finish(stand.NotRun, "replica: %v", err)
		}
		replicas = append(replicas, r)
	}
	config := stand.Config(7, stand.Route("read-rota", "/rota/", "safe", "desk", 2500, 150, 2, ""), stand.PlainService("desk"))
	if w.PutConfig(config, 20*time.Second) == nil || !w.AwaitReady(20*time.Second) {
		w.Finish(stand.NotRun, "the system did not start")
	}
	n := 0
	request := func(m *stand.Machine) int {
		n++
		id := fmt.Sprintf("q-%d", n)
		status, _, body := stand.CallWithin(2500*time.Millisecond, http.MethodGet, m.Front, "/rota/x", "", "Host", stand.Host, "X-Request-Id", id, "X-Request-Deadline", "2500")
		w.Note("request %s to %s: %d %.60s", id, m.Name, status, body)
		return status
	}
	// All machines know all replicas and serve.
	time.Sleep(3 * time.Second)
	for range 4 {
		for _, m := range w.Machines {
			if request(m) != http.StatusOK {
				w.Finish(stand.NotRun, "a request before the disruption was not served")
			}
		}
	}
	// A quiet moment, longer than stableWindowMs.
	time.Sleep(3500 * time.Millisecond)
	gone, by := replicas[0], w.Machine("front-glyfada-2")
	gone.StopBeats()
	mu.Lock()
	leaving[gone.ID] = true
	mu.Unlock()
	status, _, _ := stand.CallWithin(time.Second, http.MethodDelete, by.Control, "/-/instances/"+gone.ID, "")
	acked := time.Now()
	if w.Trouble {
		w.Kill(by)
	}
	w.Note("replica %s is gone: %s answered %d; it serves on for some seconds", gone.ID, by.Name, status)
	if status != http.StatusOK {
		w.Finish(stand.NotRun, "the replica got no ack")
	}
	time.Sleep(time.Until(acked.Add(drain + 300*time.Millisecond)))
	sent := time.Now()
	// One request each, at the same moment: the answer of one can't tell the others.
	var wait sync.WaitGroup
	for _, m := range w.Machines {
		if m == by {
			continue
		}
		for range 3 {
			n++
			id := fmt.Sprintf("q-%d", n)
			wait.Add(1)
			go func() {
				defer wait.Done()
				status, _, body := stand.CallWithin(2500*time.Millisecond, http.MethodGet, m.Front, "/rota/x", "", "Host", stand.Host, "X-Request-Id", id, "X-Request-Deadline", "2500")
				w.Note("request %s to %s: %d %.60s", id, m.Name, status, body)
			}()
		}
	}
	wait.Wait()
	late := 0
	mu.Lock()
	for _, a := range arrivals {
		if a.replica == gone.ID && a.at.After(sent) {
			late++
			w.Note("request %s reached %s %.3f s after the ack", a.id, a.replica, a.at.Sub(acked).Seconds())
		}
	}
	mu.Unlock()
	if late > 0 {
		w.Finish(stand.Broken, "DRAIN broken: %d requests reached %s more than drainMs after the ack", late, gone.ID)
	}
	w.Finish(stand.Held, "held: no request reached %s later than drainMs after the ack", gone.ID)
}
