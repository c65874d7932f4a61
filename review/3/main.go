//go:build review

// The first start of a system whose seeds have no disk: the daemon that has the
// lowest name of those with a disk starts 0.29 s after the others.
package main

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"papayaspoke/review/stand"
)

const (
	// startSpread is how far the starts lie apart; the pages allow 0.3 s.
	startSpread = 290 * time.Millisecond
	// trafficAt is when traffic starts, counted from the start of the machines.
	trafficAt = 10 * time.Second
	// watched is how long the operator sends its first config. The bound ackMs is
	// 4 s.
	watched = 30 * time.Second
)

func main() {
	zones := []string{"piraeus", "marousi", "glyfada"}
	var specs []stand.Spec
	for _, z := range zones {
		specs = append(specs, stand.Spec{Name: "front-" + z + "-1", Zone: z, Disk: true}, stand.Spec{Name: "front-" + z + "-2", Zone: z})
	}
	// The seeds are all that differs without the disruption.
	seeds := []string{"front-piraeus-2", "front-marousi-2", "front-glyfada-2"}
	if !stand.Trouble() {
		seeds = []string{"front-piraeus-1", "front-marousi-1", "front-glyfada-1"}
	}
	w, err := stand.New(os.Args[1], specs, seeds)
	if err != nil {
		fmt.Println(err)
		os.Exit(stand.NotRun)
	}
	other := w.Machine("front-glyfada-1")
	start := time.Now()
	for _, m := range w.Machines {
		if m == other {
			continue
		}
		if err := w.Start(m, true); err != nil {
			w.Finish(stand.NotRun, "start: %v", err)
		}
	}
	time.Sleep(time.Until(start.Add(startSpread)))
	if err := w.Start(other, true); err != nil {
		w.Finish(stand.NotRun, "start: %v", err)
	}
	desk := w.NewReplica("i-1", "desk", "piraeus", 6, nil, func(rw http.ResponseWriter, q *http.Request) {
		rw.Header().Set(stand.Name("signature"), "signed")
		_, _ = fmt.Fprintf(rw, "rota of %s", q.URL.Path)
	})
	if err := desk.Start(); err != nil {
		w.Finish(stand.NotRun, "replica: %v", err)
	}
	time.Sleep(time.Until(start.Add(3 * time.Second)))
	asked := time.Now()
	config := stand.Config(7, stand.Route("read-rota", "/rota/", "safe", "desk", 2500, 150, 2, ""), stand.PlainService("desk"))
	by := w.PutConfig(config, watched)
	took := time.Since(asked)
	time.Sleep(time.Until(start.Add(trafficAt)))
	served, sent := 0, 0
	for range 3 {
		for _, m := range w.Machines {
			sent++
			status, _, body := stand.CallWithin(2500*time.Millisecond, http.MethodGet, m.Front, "/rota/x", "", "Host", stand.Host, "X-Request-Id", fmt.Sprint("q-", sent), stand.Name("deadline"), "2500")
			w.Note("request to %s: %d %.80s", m.Name, status, body)
			if status == http.StatusOK {
				served++
			}
		}
	}
	for _, m := range w.Machines {
		for _, line := range strings.Split(w.LogOf(m), "\n") {
			if strings.Contains(line, `"role":"leader"`) || strings.Contains(line, "voters changed") {
				w.Note("log of %s: %s", m.Name, line)
			}
		}
	}
	switch {
	case by == nil:
		w.Finish(stand.Broken, "Acks broken: the first config has no ack after %s (ackMs 4000), %d of %d requests served", took.Round(time.Millisecond), served, sent)
	case took > 4*time.Second:
		w.Finish(stand.Broken, "Acks broken: the first config was acknowledged after %s (ackMs 4000)", took.Round(time.Millisecond))
	default:
		w.Finish(stand.Held, "held: config acknowledged after %s, %d of %d requests served", took.Round(time.Millisecond), served, sent)
	}
}
