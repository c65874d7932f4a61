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
	// token authenticates operators and daemons in the cluster.
	token = "loopback-cluster-token"
	// pollInterval is the time between checks of a condition.
	pollInterval = 20 * time.Millisecond
)

// DaemonSpec describes a daemon.
type DaemonSpec struct {
	// Name is unique in the cluster.
	Name string
	// DataCentre is the data centre of its VM.
	DataCentre string
	// Disk is true for a voter.
	Disk bool
}

// Cluster is a set of processes on loopback. Only one goroutine may start
// and stop its processes.
type Cluster struct {
	dir, binDir string
	specs       []DaemonSpec
	daemons     map[string]*daemonNode
	// programs holds the processes of engines and services by name.
	programs map[string]*Process
	// programArgs would hold the arguments of programs by name; nothing uses it.
	programArgs map[string][]string
}

// daemonNode is a daemon with its addresses, its relay and its process, which is
// nil until it is started.
type daemonNode struct {
	DaemonSpec
	// host is the IP address that the daemon listens on and connects from.
	host                               string
	callerAddr, operatorAddr, peerAddr string
	relay                              *relay
	process                            *Process
}

// New prepares a cluster that keeps its files in dir and takes its programs from
// the folder binDir. It starts the relays, but no process.
func New(dir, binDir string, specs ...DaemonSpec) (*Cluster, error) {
	c := &Cluster{
		dir: dir, binDir: binDir, specs: specs, daemons: make(map[string]*daemonNode),
		programs: make(map[string]*Process), programArgs: make(map[string][]string),
	}
	if err := os.WriteFile(filepath.Join(dir, "token"), []byte(token+"\n"), 0o600); err != nil {
		return nil, fmt.Errorf("write token file: %w", err)
	}
	for i, s := range specs {
		if err := c.addDaemon(i, s); err != nil {
			return nil, err
		}
	}
	for _, s := range specs {
		if err := c.writeSettings(c.daemons[s.Name]); err != nil {
			return nil, err
		}
	}
	return c, nil
}

// addDaemon chooses the addresses of daemon i and starts its relay.
func (c *Cluster) addDaemon(i int, s DaemonSpec) error {
	n := &daemonNode{DaemonSpec: s, host: fmt.Sprintf("127.0.%d.%d", 1+i/200, 1+i%200)}
	var err error
	for _, a := range []*string{&n.callerAddr, &n.operatorAddr, &n.peerAddr} {
		if *a, err = freeAddress(n.host); err != nil {
			return err
		}
	}
	if n.relay, err = newRelay(n.peerAddr); err != nil {
		return err
	}
	c.daemons[s.Name] = n
	return nil
}

const (
	// firstPort and lastPort bound the ports that are tried. They lie below
	// the ephemeral ports that kernels use for outgoing connections. Otherwise
	// such a connection could take a port between its choice here and the
	// start of the program that listens on it.
	firstPort = 2000
	lastPort  = 14000
)

// nextPort determines the next port to try, for all clusters of this process.
var nextPort atomic.Int64

// freeListener listens on a free port of host.
func freeListener(host string) (net.Listener, error) {
	nextPort.CompareAndSwap(0, int64(os.Getpid())*portStride)
	var lastErr error
	for range lastPort - firstPort {
		port := firstPort + nextPort.Add(1)%(lastPort-firstPort)
		l, err := net.Listen("tcp", net.JoinHostPort(host, strconv.FormatInt(port, 10)))
		if err == nil {
			return l, nil
		}
		lastErr = err
	}
	return nil, fmt.Errorf("no free port: %w", lastErr)
}

// portStride spreads the first ports of processes with successive process ids,
// so that test processes that run at the same time try different ports.
const portStride = 97

// freeAddress returns an address of host with a free port.
func freeAddress(host string) (string, error) {
	l, err := freeListener(host)
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// FreeAddress returns a loopback address with a free port.
func FreeAddress() (string, error) { return freeAddress("127.0.0.1") }

// settingsFormat is the settings file of a daemon.
const settingsFormat = `name = %q
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

func (c *Cluster) writeSettings(n *daemonNode) error {
	var peers, voters []string
	for _, s := range c.specs {
		if s.Name != n.Name {
			peers = append(peers, fmt.Sprintf("%q", c.daemons[s.Name].relay.addr()))
		}
		if s.Disk {
			voters = append(voters, fmt.Sprintf("%q", s.Name))
		}
	}
	data := ""
	if n.Disk {
		data = fmt.Sprintf("data = %q", n.Name+".data")
	}
	text := fmt.Sprintf(settingsFormat, n.Name, n.DataCentre, data, n.callerAddr, n.operatorAddr, n.peerAddr, n.relay.addr(),
		strings.Join(peers, ", "), strings.Join(voters, ", "))
	return os.WriteFile(c.settingsPath(n.Name), []byte(text), 0o600)
}

func (c *Cluster) settingsPath(name string) string { return filepath.Join(c.dir, name+".toml") }

// Start starts the named daemons, or all of them if no name is given.
func (c *Cluster) Start(names ...string) error {
	if len(names) == 0 {
		for _, s := range c.specs {
			names = append(names, s.Name)
		}
	}
	for _, name := range names {
		p, err := spawn(c.dir, name, filepath.Join(c.binDir, "papayaspoked"), "run", "--settings", c.settingsPath(name))
		if err != nil {
			return err
		}
		c.daemons[name].process = p
	}
	return nil
}

// Daemon returns the process of a daemon.
func (c *Cluster) Daemon(name string) *Process { return c.daemons[name].process }

// Names returns the names of all daemons.
func (c *Cluster) Names() []string {
	var out []string
	for _, s := range c.specs {
		out = append(out, s.Name)
	}
	return out
}

// CallerAddress returns the address where a daemon accepts requests of callers.
func (c *Cluster) CallerAddress(name string) string { return c.daemons[name].callerAddr }

// RemoveDataFolder removes the data folder of a daemon, to simulate the loss of
// its disk.
func (c *Cluster) RemoveDataFolder(name string) error {
	return os.RemoveAll(filepath.Join(c.dir, name+".data"))
}

// Partition drops all traffic between a daemon and the other daemons, in both
// directions. The connections stay open, so that neither end gets an error.
func (c *Cluster) Partition(name string) { c.setPartitioned(name, true) }

// Heal ends a partition. Connections that have lost bytes stay unusable.
func (c *Cluster) Heal(name string) { c.setPartitioned(name, false) }

func (c *Cluster) setPartitioned(name string, on bool) {
	isolated := c.daemons[name]
	for other, n := range c.daemons {
		if other != name {
			n.relay.setDropping(isolated.host, on)
			isolated.relay.setDropping(n.host, on)
		}
	}
}

// OperatorClient returns a client of the operators' interface of the named
// daemons, or of all of them if no name is given.
func (c *Cluster) OperatorClient(names ...string) *operator.Client {
	if len(names) == 0 {
		names = c.Names()
	}
	var addrs []string
	for _, name := range names {
		addrs = append(addrs, c.daemons[name].operatorAddr)
	}
	return operator.NewClient(addrs, token)
}

// TokenFile returns the path of the token file.
func (c *Cluster) TokenFile() string { return filepath.Join(c.dir, "token") }

// OperatorAddress returns the address of a daemon's operators' interface.
func (c *Cluster) OperatorAddress(name string) string { return c.daemons[name].operatorAddr }

// StartProgram starts another program, such as an engine, which announces itself
// to all daemons.
func (c *Cluster) StartProgram(name, program string, args ...string) (*Process, error) {
	var daemons []string
	for _, s := range c.specs {
		daemons = append(daemons, c.daemons[s.Name].callerAddr)
	}
	args = append([]string{"--name", name, "--daemons", strings.Join(daemons, ",")}, args...)
	p, err := spawn(c.dir, name, filepath.Join(c.binDir, program), args...)
	if err == nil {
		c.programs[name] = p
	}
	return p, err
}

// Close kills all processes and closes all relays.
func (c *Cluster) Close() {
	for _, n := range c.daemons {
		if n.process != nil && !n.process.Exited() {
			n.process.Resume()
			n.process.Kill()
		}
		n.relay.close()
	}
	for _, p := range c.programs {
		if !p.Exited() {
			p.Resume()
			p.Kill()
		}
	}
}

// MakeChange sends a change by an operator until it is accepted or refused.
func (c *Cluster) MakeChange(ctx context.Context, ch operator.Change) (operator.Answer, error) {
	return operator.RetryUntilFinal(ctx, c.OperatorClient(), ch)
}

// errTimedOut is returned by [WaitUntil] after the deadline.
var errTimedOut = errors.New("condition not met before the deadline")

// WaitUntil polls until the condition holds or the deadline passes. The error
// after the deadline begins with the description.
func WaitUntil(deadline time.Time, description string, condition func() bool) error {
	for !condition() {
		if time.Now().After(deadline) {
			return fmt.Errorf("%s: %w", description, errTimedOut)
		}
		time.Sleep(pollInterval)
	}
	return nil
}
