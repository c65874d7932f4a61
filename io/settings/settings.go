package settings

import (
	"errors"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"

	"github.com/BurntSushi/toml"
	"papayaspoke/core/ident"
	"papayaspoke/core/result"
)

// Settings are the checked contents of a settings file.
type Settings struct {
	name       ident.Daemon
	dataCentre ident.DataCentre
	data       string
	caller     netip.AddrPort
	operator   netip.AddrPort
	peer       netip.AddrPort
	shownCall  netip.AddrPort
	shownPeer  netip.AddrPort
	peers      []netip.AddrPort
	voters     []ident.Daemon
	token      string
	level      int
	open       bool
	founder    bool
	metrics    netip.AddrPort
	platform   Platform
}

// Name returns the daemon's name, unique in the cluster.
func (s Settings) Name() ident.Daemon { return s.name }

// DataCentre returns the data centre that the daemon's VM stands in.
func (s Settings) DataCentre() ident.DataCentre { return s.dataCentre }

// DataFolder returns the data folder, or "" for a daemon without a disk.
func (s Settings) DataFolder() string { return s.data }

// Caller returns the address that callers and upstreams connect to.
func (s Settings) Caller() netip.AddrPort { return s.caller }

// Operator returns the address that operators connect to.
func (s Settings) Operator() netip.AddrPort { return s.operator }

// Peer returns the address that other daemons connect to.
func (s Settings) Peer() netip.AddrPort { return s.peer }

// AdvertisedCaller returns the address that callers and upstreams are told;
// it differs from Caller where a port is forwarded.
func (s Settings) AdvertisedCaller() netip.AddrPort { return s.shownCall }

// AdvertisedPeer returns the address that other daemons are told.
func (s Settings) AdvertisedPeer() netip.AddrPort { return s.shownPeer }

// Peers returns the peer addresses to join through.
func (s Settings) Peers() []netip.AddrPort { return slices.Clone(s.peers) }

// Voters returns the names of the daemons that form a fresh cluster. It is
// used only until the cluster has formed.
func (s Settings) Voters() []ident.Daemon { return slices.Clone(s.voters) }

// Token returns the secret that operators and peers present.
func (s Settings) Token() string { return s.token }

// Open reports whether every daemon with a data folder is a voter, so that no
// list of voters is given and peers show no token: the network between the VMs
// is trusted.
func (s Settings) Open() bool { return s.open }

// Founder reports whether an open cluster starts for the first time, so that
// the first peer with a data folder founds it.
func (s Settings) Founder() bool { return s.founder }

// Metrics returns the address that shows metrics without a token; it may be
// invalid, which means none.
func (s Settings) Metrics() netip.AddrPort { return s.metrics }

// Platform returns the table [platform].
func (s Settings) Platform() Platform { return s.platform }

// LogLevel returns the log verbosity, 0 to 2.
func (s Settings) LogLevel() int { return s.level }

// file is the wire form of the settings.
type file struct {
	Name   string     `toml:"name"`
	Centre string     `toml:"centre"`
	Data   string     `toml:"data"`
	Listen listenPart `toml:"listen"`
	Shown  shownPart  `toml:"advertise"`
	Group  groupPart  `toml:"cluster"`
	Log    logPart    `toml:"log"`

	Platform platformPart `toml:"platform"`
}

type listenPart struct {
	Caller   string `toml:"caller"`
	Operator string `toml:"operator"`
	Peer     string `toml:"peer"`
	Metrics  string `toml:"metrics"`
	// Ports is an IP number and the first of three ports, for peers, callers
	// and operators, in the place of their addresses.
	Ports string `toml:"ports"`
}

type shownPart struct {
	Caller string `toml:"caller"`
	Peer   string `toml:"peer"`
}

type groupPart struct {
	Peers  []string `toml:"peers"`
	Voters []string `toml:"voters"`
	// Seeds are addresses of VMs to join through, in an order that is the same
	// everywhere at the first start. Peers listen on the port of this daemon's
	// own peer address.
	Seeds   []string `toml:"seeds"`
	Open    bool     `toml:"open"`
	Founder bool     `toml:"founder"`
	Token   string   `toml:"token"`
}

type logPart struct {
	Level int `toml:"level"`
}

const (
	maxVoters      = 5
	maxNameLength  = 64
	minTokenLength = 8
	maxLevel       = 2
)

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)

// Read reads and checks the file at path. Relative paths in it are taken from
// the file's folder. The error is a [result.Error] with code
// [result.SettingsInvalid] that lists every problem, a line each.
func Read(path string) (Settings, error) {
	src, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, result.New(result.SettingsInvalid, "%w", err)
	}
	return Parse(string(src), filepath.Dir(path), os.ReadFile)
}

// Parse checks the text of a settings file; readFile is called for the token
// file. Errors are as for [Read].
func Parse(src, dir string, readFile func(string) ([]byte, error)) (Settings, error) {
	var f file
	md, err := toml.Decode(src, &f)
	if err != nil {
		return Settings{}, decodeError(err)
	}
	c := checker{src: src, dir: dir, readFile: readFile}
	for _, key := range md.Undecoded() {
		c.addf(key.String(), "unknown key %q", key.String())
	}
	s := c.settings(f)
	if len(c.problems) > 0 {
		return Settings{}, result.New(result.SettingsInvalid, "%s", strings.Join(c.problems, "\n"))
	}
	return s, nil
}

func decodeError(err error) error {
	var pe toml.ParseError
	if errors.As(err, &pe) {
		return result.New(result.SettingsInvalid, "line %d: %s", pe.Position.Line, pe.Message)
	}
	return result.New(result.SettingsInvalid, "%w", err)
}

// checker gathers the problems of one file.
type checker struct {
	src      string
	dir      string
	readFile func(string) ([]byte, error)
	problems []string
}

func (c *checker) addf(key, format string, args ...any) {
	msg := fmt.Sprintf(format, args...)
	c.problems = append(c.problems, fmt.Sprintf("line %d: %s", lineOf(c.src, key), msg))
}

func (c *checker) settings(f file) Settings {
	c.ports(&f.Listen)
	s := Settings{
		name:       ident.Daemon(c.name("name", f.Name)),
		dataCentre: ident.DataCentre(c.name("centre", f.Centre)),
		data:       c.path(f.Data),
		caller:     c.listen("listen.caller", f.Listen.Caller),
		operator:   c.listen("listen.operator", f.Listen.Operator),
		peer:       c.listen("listen.peer", f.Listen.Peer),
		level:      f.Log.Level,
	}
	s.shownCall = c.advertise("advertise.caller", f.Shown.Caller, s.caller)
	s.shownPeer = c.advertise("advertise.peer", f.Shown.Peer, s.peer)
	for _, p := range f.Group.Peers {
		s.peers = append(s.peers, c.address("cluster.peers", p))
	}
	for _, p := range f.Group.Seeds {
		a := c.address("cluster.seeds", p)
		s.peers = append(s.peers, netip.AddrPortFrom(a.Addr(), s.shownPeer.Port()))
	}
	s.open, s.founder = f.Group.Open, f.Group.Founder
	if !s.open {
		c.voters(&s, f.Group.Voters)
		c.token(&s, f.Group.Token)
	}
	if f.Listen.Metrics != "" {
		s.metrics = c.listen("listen.metrics", f.Listen.Metrics)
	}
	s.platform = c.platform(f.Platform)
	if f.Log.Level < 0 || f.Log.Level > maxLevel {
		c.addf("log.level", "log.level %d is not between 0 and %d", f.Log.Level, maxLevel)
	}
	return s
}

func (c *checker) name(key, v string) string {
	if v == "" {
		c.addf(key, "%s is missing", key)
		return v
	}
	if len(v) > maxNameLength || !namePattern.MatchString(v) {
		c.addf(key, "%s %q may hold letters, digits, '.', '_' and '-', %d at most", key, v, maxNameLength)
	}
	return v
}

func (c *checker) path(v string) string {
	if v == "" || filepath.IsAbs(v) {
		return v
	}
	return filepath.Join(c.dir, v)
}

// address checks an address by IP number; names are not resolved, since the
// system has no name service to rely on.
func (c *checker) address(key, v string) netip.AddrPort {
	a, err := netip.ParseAddrPort(v)
	if err != nil || a.Port() == 0 {
		c.addf(key, "%s %q is not IP:PORT", key, v)
	}
	return a
}

// ports fills in the addresses that are given by their first port.
func (c *checker) ports(l *listenPart) {
	if l.Ports == "" {
		return
	}
	a := c.address("listen.ports", l.Ports)
	for i, at := range []*string{&l.Peer, &l.Caller, &l.Operator} {
		if *at == "" && a.IsValid() {
			*at = netip.AddrPortFrom(a.Addr(), a.Port()+uint16(i)).String()
		}
	}
}

func (c *checker) listen(key, v string) netip.AddrPort {
	if v == "" {
		c.addf(key, "%s is missing", key)
		return netip.AddrPort{}
	}
	a := c.address(key, v)
	if a.IsValid() && a.Addr().IsUnspecified() {
		c.addf(key, "%s %q must be an address that others can connect to", key, v)
	}
	return a
}

// advertise checks an address that is optional and defaults to the one
// listened on.
func (c *checker) advertise(key, v string, listen netip.AddrPort) netip.AddrPort {
	if v == "" {
		return listen
	}
	return c.listen(key, v)
}

func (c *checker) voters(s *Settings, names []string) {
	if len(names) == 0 {
		c.addf("cluster.voters", "cluster.voters is missing")
		return
	}
	if len(names)%2 == 0 || len(names) > maxVoters {
		c.addf("cluster.voters", "cluster.voters must be 1, 3 or %d names, not %d", maxVoters, len(names))
	}
	for _, n := range names {
		v := ident.Daemon(c.name("cluster.voters", n))
		if slices.Contains(s.voters, v) {
			c.addf("cluster.voters", "cluster.voters names %q twice", n)
		}
		s.voters = append(s.voters, v)
	}
	if slices.Contains(s.voters, s.name) && s.data == "" {
		c.addf("cluster.voters", "%q is listed as a voter but has no data folder", s.name)
	}
}

func (c *checker) token(s *Settings, path string) {
	if path == "" {
		c.addf("cluster.token", "cluster.token is missing: it names a file")
		return
	}
	b, err := c.readFile(c.path(path))
	if err != nil {
		c.addf("cluster.token", "cluster.token: %v", err)
		return
	}
	s.token = strings.TrimSpace(string(b))
	if len(s.token) < minTokenLength {
		c.addf("cluster.token", "the token has fewer than %d characters", minTokenLength)
	}
}

// lineOf returns the line that sets the dotted key, or else the line of its
// table, or 1.
func lineOf(src, key string) int {
	want, table, found := key, "", 1
	parent := ""
	if i := strings.LastIndex(key, "."); i >= 0 {
		parent = key[:i]
	}
	for i, l := range strings.Split(src, "\n") {
		l = strings.TrimSpace(l)
		if strings.HasPrefix(l, "[") {
			table = strings.Trim(strings.SplitN(l, "#", 2)[0], "[] \t")
			if table == parent || table == want {
				found = i + 1
			}
			continue
		}
		name, _, ok := strings.Cut(l, "=")
		if ok && join(table, strings.Trim(name, " \t\"'")) == want {
			return i + 1
		}
	}
	return found
}

func join(table, name string) string {
	if table == "" {
		return name
	}
	return table + "." + name
}
