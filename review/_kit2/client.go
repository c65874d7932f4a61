package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// clients is a stand-in for the clients of one zone: it asks a directory where to
// connect, as PROTOCOL.md says, and keeps channels open.
type clients struct {
	w    *world
	zone string
	http *http.Client

	mu        sync.Mutex
	addresses []string
	until     time.Time
	failed    map[string]time.Time
}

func (w *world) newClients(zone string) *clients {
	return &clients{
		w: w, zone: zone, failed: make(map[string]time.Time),
		http: &http.Client{Transport: &http.Transport{
			DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, MaxIdleConnsPerHost: 32, IdleConnTimeout: 8 * time.Second, DisableCompression: true,
		}},
	}
}

// resolve returns the addresses to connect to.
func (c *clients) resolve() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().Before(c.until) {
		return c.addresses
	}
	tried := 0
	for _, i := range rand.Perm(len(c.w.daemons)) {
		if tried++; tried > 3 {
			break
		}
		d := c.w.daemons[i]
		q := url.Values{"name": {"shop.example"}, "region": {"r"}, "zone": {c.zone}}
		status, body := call(http.MethodGet, "http://"+d.addr(c.w.ports.directory)+wire("resolve")+"?"+q.Encode(), "", time.Second)
		var answer struct {
			Addresses []string `json:"addresses"`
			TTL       float64  `json:"ttlS"`
		}
		if status != http.StatusOK || json.Unmarshal([]byte(body), &answer) != nil || len(answer.Addresses) == 0 {
			continue
		}
		c.addresses, c.until = answer.Addresses, time.Now().Add(time.Duration(min(answer.TTL, 5)*float64(time.Second)))
		break
	}
	return c.addresses
}

// pick returns an address at random, without those that failed lately.
func (c *clients) pick() string {
	all := c.resolve()
	c.mu.Lock()
	defer c.mu.Unlock()
	good := slices.DeleteFunc(slices.Clone(all), func(a string) bool { return time.Since(c.failed[a]) < 3*time.Second })
	if len(good) == 0 {
		good = all
	}
	if len(good) == 0 {
		return ""
	}
	return good[rand.IntN(len(good))]
}

// request is one client attempt.
type request struct {
	id, method, path, body string
	deadline               time.Duration
	header                 map[string]string
	// at is the address of a machine; empty for one of the directory's.
	at string
}

// response is what the client saw.
type response struct {
	at     string
	status int
	header http.Header
	body   string
	// err is set if the answer did not arrive in full.
	err error
}

// send makes one client attempt.
func (c *clients) send(r request) response {
	addr := r.at
	if addr == "" {
		addr = c.pick()
	}
	if addr == "" {
		return response{err: fmt.Errorf("no address")}
	}
	ctx, cancel := context.WithTimeout(context.Background(), r.deadline+time.Second)
	defer cancel()
	var body io.Reader
	if r.body != "" {
		body = strings.NewReader(r.body)
	}
	q, err := http.NewRequestWithContext(ctx, r.method, "http://"+addr+r.path, body)
	if err != nil {
		return response{at: addr, err: err}
	}
	q.Host = "shop.example"
	q.Header.Set("X-Request-Id", r.id)
	q.Header.Set(wire("deadline"), strconv.FormatInt(r.deadline.Milliseconds(), 10))
	for k, v := range r.header {
		q.Header.Set(k, v)
	}
	resp, err := c.http.Do(q)
	if err != nil {
		c.mu.Lock()
		c.failed[addr] = time.Now()
		c.mu.Unlock()
		return response{at: addr, err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(bufio.NewReader(resp.Body))
	return response{at: addr, status: resp.StatusCode, header: resp.Header, body: string(b), err: err}
}

// newID returns the id of a client attempt.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }
