package cluster

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"papayaspoke/io/protocol/operator"
)

const (
	// token is the operators' and peers' token of the test cluster.
	token = "loopback-cluster-token"
	// pollInterval is how often a condition is looked at.
	pollInterval = 20 * time.Millisecond
)

// Spec describes a daemon.
type Spec struct {
	// Name is unique in the cluster.
	Name string
	// DataCentre is where its VM stands.
	DataCentre string
	// Disk is true for a voter.
	Disk bool
}

// Cluster is a set of processes on loopback. It is used by one goroutine.
type Cluster struct {
	dir, bin string
	specs    []Spec
	nodes    map[string]*node
	// others holds the engines and services by name.
	others map[string]*Process
	// args holds how each of them was started.
	args map[string][]string
}

// node is one daemon and its addresses.
type node struct {
	Spec
	host                   string
	caller, operator, peer string
	relay                  *relay
	process                *Process
}

// New prepares a cluster whose files live in dir and whose programs are found
// in bin. Nothing is started yet.
func New(dir, bin string, specs ...Spec) (*Cluster, error) {
	c := &Cluster{
		dir: dir, bin: bin, specs: specs, nodes: make(map[string]*node),
		others: make(map[string]*Process), args: make(map[string][]string),
	}
	if err := os.WriteFile(filepath.Join(dir, "token"), []byte(token+"\n"), 0o600); err != nil {
		return nil, fmt.Errorf("write token: %w", err)
	}
	for i, s := range specs {
		if err := c.prepare(i, s); err != nil {
			return nil, err
		}
	}
	for _, s := range specs {
		if err := c.writeSettings(c.nodes[s.Name]); err != nil {
			return nil, err
		}
	}
	return c, nil
}

func (c *Cluster) prepare(i int, s Spec) error {
	n := &node{Spec: s, host: fmt.Sprintf("127.0.%d.%d", 1+i/200, 1+i%200)}
	var err error
	for _, a := range []*string{&n.caller, &n.operator, &n.peer} {
		if *a, err = freeAddress(n.host); err != nil {
			return err
		}
	}
	if n.relay, err = newRelay(n.peer); err != nil {
		return err
	}
	c.nodes[s.Name] = n
	return nil
}

const (
	// firstPort and lastPort lie below the range that kernels take the ports
	// of outgoing connections from, so that no port is lost to one between
	// its choice here and the start of the program that listens on it.
	firstPort = 2000
	lastPort  = 14000
)

// nextPort is the next port to try, for all clusters of this process.
var nextPort atomic.Int64

// freeListener listens on a port that nobody listens on now.
func freeListener(host string) (net.Listener, error) {
	nextPort.CompareAndSwap(0, int64(os.Getpid())*portStride)
	var last error
	for range lastPort - firstPort {
		port := firstPort + nextPort.Add(1)%(lastPort-firstPort)
		l, err := net.Listen("tcp", net.JoinHostPort(host, strconv.FormatInt(port, 10)))
		if err == nil {
			return l, nil
		}
		last = err
	}
	return nil, fmt.Errorf("find a port: %w", last)
}

// portStride keeps apart the ports of processes that run at the same time.
const portStride = 97

// freeAddress returns an address whose port nobody listens on now.
func freeAddress(host string) (string, error) {
	l, err := freeListener(host)
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// FreeAddress returns a loopback address whose port nobody listens on now.
func FreeAddress() (string, error) { return freeAddress("127.0.0.1") }

const settingsText = `name = %q
centre = %q
%s
[listen]
caller = %q
operator = %q
peer = %q
[advertise]
peer = %q
[cluster]
peers = [%s]
voters = [%s]
token = "token"
[log]
level = 1
`

func (c *Cluster) writeSettings(n *node) error {
	var peers, voters []string
	for _, s := range c.specs {
		if s.Name != n.Name {
			peers = append(peers, fmt.Sprintf("%q", c.nodes[s.Name].relay.addr()))
		}
		if s.Disk {
			voters = append(voters, fmt.Sprintf("%q", s.Name))
		}
	}
	data := ""
	if n.Disk {
		data = fmt.Sprintf("data = %q", n.Name+".data")
	}
	text := fmt.Sprintf(settingsText, n.Name, n.DataCentre, data, n.caller, n.operator, n.peer, n.relay.addr(),
		strings.Join(peers, ", "), strings.Join(voters, ", "))
	return os.WriteFile(c.settings(n.Name), []byte(text), 0o600)
}

func (c *Cluster) settings(name string) string { return filepath.Join(c.dir, name+".toml") }

// Start starts the daemons of those names, or all of them.
func (c *Cluster) Start(names ...string) error {
	if len(names) == 0 {
		for _, s := range c.specs {
			names = append(names, s.Name)
		}
	}
	for _, name := range names {
		p, err := spawn(c.dir, name, filepath.Join(c.bin, "papayaspoked"), "run", "--settings", c.settings(name))
		if err != nil {
			return err
		}
		c.nodes[name].process = p
	}
	return nil
}

// Daemon returns the process of a daemon.
func (c *Cluster) Daemon(name string) *Process { return c.nodes[name].process }

// Names returns the names of the daemons.
func (c *Cluster) Names() []string {
	var out []string
	for _, s := range c.specs {
		out = append(out, s.Name)
	}
	return out
}

// Caller returns the address that callers use for a daemon.
func (c *Cluster) Caller(name string) string { return c.nodes[name].caller }

// RemoveDisk removes the data folder of a daemon, as a lost disk does.
func (c *Cluster) RemoveDisk(name string) error {
	return os.RemoveAll(filepath.Join(c.dir, name+".data"))
}

// Cut drops everything between a daemon and all others, both ways, silently;
// the connections stay open.
func (c *Cluster) Cut(name string) { c.setCut(name, true) }

// Heal ends a cut.
func (c *Cluster) Heal(name string) { c.setCut(name, false) }

func (c *Cluster) setCut(name string, on bool) {
	cut := c.nodes[name]
	for other, n := range c.nodes {
		if other != name {
			n.relay.cut(cut.host, on)
			cut.relay.cut(n.host, on)
		}
	}
}

// Operator returns a client of the daemons' operators' interface, of those
// names or of all.
func (c *Cluster) Operator(names ...string) *operator.Client {
	if len(names) == 0 {
		names = c.Names()
	}
	var addrs []string
	for _, name := range names {
		addrs = append(addrs, c.nodes[name].operator)
	}
	return operator.NewClient(addrs, token)
}

// TokenFile returns the path of the token.
func (c *Cluster) TokenFile() string { return filepath.Join(c.dir, "token") }

// OperatorAddress returns the operators' address of a daemon.
func (c *Cluster) OperatorAddress(name string) string { return c.nodes[name].operator }

// Run starts another program, such as an engine, that announces itself to all
// daemons.
func (c *Cluster) Run(name, program string, args ...string) (*Process, error) {
	var daemons []string
	for _, s := range c.specs {
		daemons = append(daemons, c.nodes[s.Name].caller)
	}
	args = append([]string{"--name", name, "--daemons", strings.Join(daemons, ",")}, args...)
	p, err := spawn(c.dir, name, filepath.Join(c.bin, program), args...)
	if err == nil {
		c.others[name] = p
	}
	return p, err
}

// Close ends every process and relay.
func (c *Cluster) Close() {
	for _, n := range c.nodes {
		if n.process != nil && !n.process.Ended() {
			n.process.Thaw()
			n.process.Kill()
		}
		n.relay.close()
	}
	for _, p := range c.others {
		if !p.Ended() {
			p.Thaw()
			p.Kill()
		}
	}
}

// Change makes one operator's change, resending it until it is accepted or
// refused.
func (c *Cluster) Change(ctx context.Context, ch operator.Change) (operator.Answer, error) {
	return operator.RetryUntilFinal(ctx, c.Operator(), ch)
}

// errNotYet is the end of a wait whose condition never held.
var errNotYet = errors.New("condition did not hold in time")

// Wait waits until the condition holds or the deadline passes.
func Wait(deadline time.Time, what string, holds func() bool) error {
	for !holds() {
		if time.Now().After(deadline) {
			return fmt.Errorf("%s: %w", what, errNotYet)
		}
		time.Sleep(pollInterval)
	}
	return nil
}
