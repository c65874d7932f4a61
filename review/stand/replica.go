//go:build review

package stand

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// Replica is a stand-in for a replica of a service. Its handler answers requests
// of clients; it announces itself as the pages say.
type Replica struct {
	ID, Service, Zone, Address string

	world    *World
	slots    int
	handler  http.HandlerFunc
	mu       sync.Mutex
	born     int64
	sequence int
	state    string
	server   *http.Server
	stop     chan struct{}
	// extra returns JSON that the announcement also holds, such as models; nil for
	// none.
	extra func() string
	conns map[net.Conn]bool
}

// NewReplica returns a replica that doesn't run yet. Extra returns what is added
// to what it says of itself, such as `,"models":[]`; nil for nothing.
func (w *World) NewReplica(id, service, zone string, slots int, extra func() string, handler http.HandlerFunc) *Replica {
	r := &Replica{ID: id, Service: service, Zone: zone, world: w, slots: slots, handler: handler, extra: extra, state: "ready"}
	w.replicas = append(w.replicas, r)
	return r
}

// Start starts the replica at its former address, or at a new one.
func (r *Replica) Start() error {
	addr := r.Address
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Address, r.born, r.sequence, r.stop = l.Addr().String(), time.Now().UnixMilli(), 0, make(chan struct{})
	r.conns = make(map[net.Conn]bool)
	conns := r.conns
	r.server = &http.Server{Handler: http.HandlerFunc(r.serve), ConnState: func(c net.Conn, s http.ConnState) {
		r.mu.Lock()
		defer r.mu.Unlock()
		if conns[c] = s != http.StateClosed && s != http.StateHijacked; !conns[c] {
			delete(conns, c)
		}
	}}
	go func(s *http.Server) { _ = s.Serve(l) }(r.server)
	go r.beat(r.stop)
	r.world.Note("replica %s of %s starts at %s", r.ID, r.Service, r.Address)
	return nil
}

// Crash ends the replica at once: its channels break and its port refuses.
func (r *Replica) Crash() {
	r.mu.Lock()
	s, conns := r.server, r.conns
	r.server, r.conns = nil, nil
	if r.stop != nil {
		close(r.stop)
		r.stop = nil
	}
	r.mu.Unlock()
	if s == nil {
		return
	}
	for c := range conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
	}
	_ = s.Close()
	r.world.Note("replica %s ends", r.ID)
}

// Close ends the replica.
func (r *Replica) Close() { r.Crash() }

func (r *Replica) serve(w http.ResponseWriter, q *http.Request) {
	w.Header().Set(Name("instance"), r.ID)
	if id := q.Header.Get("X-Request-Id"); id != "" {
		w.Header().Set("X-Request-Id", id)
	}
	if t := q.Header.Get(Name("target")); t != "" && t != r.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	r.handler(w, q)
}

// Announcement returns the next status report.
func (r *Replica) Announcement(state string) string {
	extra := ""
	if r.extra != nil {
		extra = r.extra()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sequence++
	return fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":%d,"state":%q,"coldMs":0,"sequence":%d,"born":%d%s}`,
		r.Service, r.Address, r.Zone, r.slots, state, r.sequence, r.born, extra)
}

// beat sends a status report each 1.2 s to the first machine that takes it.
func (r *Replica) beat(stop chan struct{}) {
	for n := 0; ; n++ {
		body := r.Announcement("ready")
		for i := range r.world.Machines {
			m := r.world.Machines[(i+n)%len(r.world.Machines)]
			if !m.Running() {
				continue
			}
			if status, _, _ := CallWithin(time.Second, http.MethodPut, m.Control, Name("path-instances")+r.ID, body); status == http.StatusOK {
				break
			}
		}
		select {
		case <-stop:
			return
		case <-time.After(1200 * time.Millisecond):
		}
	}
}
