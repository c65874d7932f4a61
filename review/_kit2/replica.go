package main

import (
	"bufio"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// server is a stand-in for a replica, as PROTOCOL.md describes it.
type server struct {
	id, addr, service, zone string
	controls                []string
	slots                   chan struct{}
	work                    time.Duration
	// model is the base model of an engine; empty for a plain service. loadTime is
	// how long a load takes.
	model    string
	loadTime time.Duration
	// deadly is the id of a part of a prompt that crashes the replica as it begins to
	// write an answer.
	deadly string
	// unframed streams have neither a length nor chunks.
	unframed bool
	// events is how many events an answer has.
	events int

	mu       sync.Mutex
	out      *bufio.Writer
	born     int64
	beat     uint64
	left     bool
	holds    bool
	loading  bool
	sequence uint64
}

// report writes a line for the program that started the replica.
func (s *server) report(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.out, format+"\n", args...)
	_ = s.out.Flush()
}

func runReplica(args []string) {
	f := flag.NewFlagSet("replica", flag.ExitOnError)
	s := &server{out: bufio.NewWriter(os.Stdout), born: time.Now().UnixMilli()}
	f.StringVar(&s.id, "id", "", "")
	f.StringVar(&s.addr, "addr", "", "")
	f.StringVar(&s.service, "service", "desk", "")
	f.StringVar(&s.zone, "zone", "z1", "")
	f.StringVar(&s.model, "model", "", "")
	f.StringVar(&s.deadly, "deadly", "", "")
	f.BoolVar(&s.unframed, "unframed", false, "")
	f.BoolVar(&s.holds, "holds", false, "")
	f.IntVar(&s.events, "events", 8, "")
	f.DurationVar(&s.work, "work", 20*time.Millisecond, "")
	f.DurationVar(&s.loadTime, "load", time.Second, "")
	slots := f.Int("slots", 6, "")
	controls := f.String("controls", "", "")
	_ = f.Parse(args)
	s.controls, s.slots = strings.Split(*controls, ","), make(chan struct{}, *slots)
	l, err := net.Listen("tcp", s.addr)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotTried)
	}
	go func() { _ = (&http.Server{Handler: s, IdleTimeout: 10 * time.Second}).Serve(l) }()
	go s.beats()
	in := bufio.NewScanner(os.Stdin)
	for in.Scan() {
		if at, ok := strings.CutPrefix(in.Text(), "leave "); ok {
			go s.leave(at)
		}
	}
	os.Exit(0)
}

// beats sends status reports to a machine, and to the next one if it gives no ack.
func (s *server) beats() {
	at := rand.IntN(len(s.controls))
	for {
		s.mu.Lock()
		left := s.left
		s.beat++
		models := "[]"
		if s.model != "" && s.holds {
			models = fmt.Sprintf(`[{"name":%q,"version":1,"adapters":[]}]`, s.model)
		}
		body := fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":%d,"state":"ready","coldMs":0,"stage":"both","models":%s,"sequence":%d,"born":%d}`,
			s.service, s.addr, s.zone, cap(s.slots), models, s.beat, s.born)
		s.mu.Unlock()
		if left {
			return
		}
		for range s.controls {
			if status, _ := call(http.MethodPut, "http://"+s.controls[at]+wire("instances")+s.id, body, time.Second); status == http.StatusOK {
				break
			}
			at = (at + 1) % len(s.controls)
		}
		time.Sleep(1200 * time.Millisecond)
	}
}

// leave tells a machine that the replica is gone, without reporting a state before.
// The replica goes on serving.
func (s *server) leave(at string) {
	s.mu.Lock()
	s.left = true
	s.mu.Unlock()
	time.Sleep(1100 * time.Millisecond) // A status report may be under way.
	for {
		if status, _ := call(http.MethodDelete, "http://"+at+wire("instances")+s.id, "", time.Second); status/100 == 2 {
			s.report("leave acknowledged by %s", at)
			return
		}
		at = s.controls[rand.IntN(len(s.controls))]
	}
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	if id != "" {
		w.Header().Set("X-Request-Id", id)
	}
	if t := r.Header.Get(wire("target")); t != "" && t != s.id {
		w.Header().Set(wire("instance"), s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch {
	case r.URL.Path == "/healthz":
		w.Header().Set(wire("instance"), s.id)
	case r.URL.Path == wire("report"):
		s.writeReport(w)
	case r.URL.Path == wire("order") && r.Method == http.MethodPost:
		s.order(w, r)
	default:
		s.run(w, r, id)
	}
}

func (s *server) writeReport(w http.ResponseWriter) {
	s.mu.Lock()
	models := "[]"
	if s.model != "" && s.holds {
		models = fmt.Sprintf(`[{"name":%q,"version":1,"adapters":[]}]`, s.model)
	}
	body := fmt.Sprintf(`{"stage":"both","models":%s,"busy":%t,"sequence":%d,"queued":0,"active":%d,"kvUsed":0,"kvTotal":120000,"handles":0}`,
		models, s.loading, s.sequence, len(s.slots))
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_, _ = io.WriteString(w, body)
}

// order takes an order to load the base model.
func (s *server) order(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Operation    string  `json:"operation"`
		Model        string  `json:"model"`
		Precondition *uint64 `json:"precondition"`
		Holder       string  `json:"holder"`
	}
	var fields map[string]any
	b, _ := io.ReadAll(r.Body)
	if json.Unmarshal(b, &o) != nil || json.Unmarshal(b, &fields) != nil || o.Holder == "" || fields[wire("fence")] == nil || o.Model != s.model {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.report("order %s %s from %s fence %v", o.Operation, o.Model, o.Holder, fields[wire("fence")])
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.loading || o.Precondition != nil && *o.Precondition != s.sequence:
		w.WriteHeader(http.StatusConflict)
	case o.Operation == "load" && s.holds:
		w.WriteHeader(http.StatusOK)
	case o.Operation == "load":
		s.loading = true
		s.sequence++
		time.AfterFunc(s.loadTime, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.loading, s.holds = false, true
		})
		w.WriteHeader(http.StatusAccepted)
	default:
		w.WriteHeader(http.StatusConflict)
	}
}

// run runs a client's request.
func (s *server) run(w http.ResponseWriter, r *http.Request, id string) {
	from, _, _ := net.SplitHostPort(r.RemoteAddr)
	if id == "" {
		w.Header().Set(wire("notrun"), "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	body, _ := io.ReadAll(r.Body)
	s.report("reached %s from %s parts %q", id, from, r.Header.Get(wire("parts")))
	s.mu.Lock()
	holds := s.model == "" || s.holds
	s.mu.Unlock()
	if !holds {
		w.Header().Set(wire("notrun"), "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	select {
	case s.slots <- struct{}{}:
	default:
		w.Header().Set(wire("notrun"), "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-s.slots }()
	time.Sleep(s.work)
	w.Header().Set(wire("receipt"), s.id+"."+id)
	if s.model != "" {
		s.stream(w, r, id)
		return
	}
	s.report("ran %s status 200", id)
	_, _ = fmt.Fprintf(w, "made for %s of %d bytes", id, len(body))
}

// stream writes the events of an answer.
func (s *server) stream(w http.ResponseWriter, r *http.Request, id string) {
	doomed := s.deadly != "" && strings.Contains(","+r.Header.Get(wire("parts")), ","+s.deadly+":")
	h := w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("X-Weight-Versions", "1")
	if s.unframed {
		s.streamUnframed(w, r, id, doomed)
		return
	}
	first, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for n := first + 1; n <= s.events; n++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: piece %d of %s\n\n", n, n, id)
		w.(http.Flusher).Flush()
		if doomed {
			s.crash(id)
		}
		time.Sleep(20 * time.Millisecond)
	}
	s.report("ran %s in full", id)
}

// streamUnframed writes an answer that ends with its channel.
func (s *server) streamUnframed(w http.ResponseWriter, r *http.Request, id string, doomed bool) {
	c, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	var head strings.Builder
	head.WriteString("HTTP/1.1 200 OK\r\n")
	_ = w.Header().Write(&head)
	head.WriteString("Connection: close\r\n\r\n")
	_, _ = io.WriteString(c, head.String())
	first, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for n := first + 1; n <= s.events; n++ {
		if _, err := fmt.Fprintf(c, "id: %d\ndata: piece %d of %s\n\n", n, n, id); err != nil {
			return
		}
		if doomed {
			s.crash(id)
		}
		time.Sleep(20 * time.Millisecond)
	}
	s.report("ran %s in full", id)
}

// crash ends the process.
func (s *server) crash(id string) {
	s.report("crash by %s", id)
	os.Exit(3)
}
