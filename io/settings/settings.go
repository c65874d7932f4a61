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

// Settings holds the validated contents of a settings file.
type Settings struct {
	name             ident.Daemon
	dataCentre       ident.DataCentre
	dataFolder       string
	caller           netip.AddrPort
	operator         netip.AddrPort
	peer             netip.AddrPort
	advertisedCaller netip.AddrPort
	advertisedPeer   netip.AddrPort
	peers            []netip.AddrPort
	voters           []ident.Daemon
	token            string
	logLevel         int
	open             bool
	founder          bool
	metrics          netip.AddrPort
	platform         Platform
}

// Name returns the daemon's name, which is unique in the cluster.
func (s Settings) Name() ident.Daemon { return s.name }

// DataCentre returns the data centre of the daemon's VM.
func (s Settings) DataCentre() ident.DataCentre { return s.dataCentre }

// DataFolder returns the path of the data folder, or "" for a daemon without one.
func (s Settings) DataFolder() string { return s.dataFolder }

// Caller returns the address that callers and upstreams connect to.
func (s Settings) Caller() netip.AddrPort { return s.caller }

// Operator returns the address that operators connect to.
func (s Settings) Operator() netip.AddrPort { return s.operator }

// Peer returns the address that other daemons connect to.
func (s Settings) Peer() netip.AddrPort { return s.peer }

// AdvertisedCaller returns the address that is announced to callers and upstreams.
// It differs from Caller if a port is forwarded.
func (s Settings) AdvertisedCaller() netip.AddrPort { return s.advertisedCaller }

// AdvertisedPeer returns the address that is announced to other daemons.
func (s Settings) AdvertisedPeer() netip.AddrPort { return s.advertisedPeer }

// Peers returns the addresses of the peers through which the daemon joins.
func (s Settings) Peers() []netip.AddrPort { return slices.Clone(s.peers) }

// Voters returns the names of the daemons that form a new cluster. It is used only
// until the cluster is formed.
func (s Settings) Voters() []ident.Daemon { return slices.Clone(s.voters) }

// Token returns the secret that authenticates operators and peers.
func (s Settings) Token() string { return s.token }

// Open reports whether the cluster is open: every daemon with a data folder is a
// voter, so the settings have no list of voters, and peers present no token, since
// the network between the VMs is trusted.
func (s Settings) Open() bool { return s.open }

// Founder reports whether an open cluster is started for the first time, so that the
// first peer with a data folder founds it.
func (s Settings) Founder() bool { return s.founder }

// Metrics returns the address that serves metrics without a token. It is the zero
// value if there is none.
func (s Settings) Metrics() netip.AddrPort { return s.metrics }

// Platform returns the settings of the table [platform].
func (s Settings) Platform() Platform { return s.platform }

// LogLevel returns the log verbosity, 0 to 2.
func (s Settings) LogLevel() int { return s.logLevel }

// rawSettings is the settings file as it is decoded.
type rawSettings struct {
	Name      string         `toml:"name"`
	Centre    string         `toml:"centre"`
	Data      string         `toml:"data"`
	Listen    listenTable    `toml:"listen"`
	Advertise advertiseTable `toml:"advertise"`
	Cluster   clusterTable   `toml:"cluster"`
	Log       logTable       `toml:"log"`

	Platform platformTable `toml:"platform"`
}

type listenTable struct {
	Caller   string `toml:"caller"`
	Operator string `toml:"operator"`
	Peer     string `toml:"peer"`
	Metrics  string `toml:"metrics"`
	// Ports is an IP address and the first of three consecutive ports, for peers,
	// callers and operators. They are used for addresses that are not set.
	Ports string `toml:"ports"`
}

type advertiseTable struct {
	Caller string `toml:"caller"`
	Peer   string `toml:"peer"`
}

type clusterTable struct {
	Peers  []string `toml:"peers"`
	Voters []string `toml:"voters"`
	// Seeds are addresses on the VMs to join through. All daemons must list them
	// in the same order at the first start. Their ports are ignored: peers are
	// expected on the port of this daemon's advertised peer address.
	Seeds   []string `toml:"seeds"`
	Open    bool     `toml:"open"`
	Founder bool     `toml:"founder"`
	Token   string   `toml:"token"`
}

type logTable struct {
	Level int `toml:"level"`
}

const (
	maxVoters      = 5
	maxNameLength  = 64
	minTokenLength = 8
	maxLevel       = 2
)

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)

// Read reads and checks the file at path. Relative paths in it are resolved against
// the folder of the file. The error is a [result.Error] with code
// [result.SettingsInvalid] that lists all problems, one per line.
func Read(path string) (Settings, error) {
	src, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, result.New(result.SettingsInvalid, "%w", err)
	}
	return Parse(string(src), filepath.Dir(path), os.ReadFile)
}

// Parse parses and checks the text of a settings file. It calls readFile to read the
// token file. Errors are those of [Read].
func Parse(src, dir string, readFile func(string) ([]byte, error)) (Settings, error) {
	var f rawSettings
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

// checker checks one file and collects its problems.
type checker struct {
	src      string
	dir      string
	readFile func(string) ([]byte, error)
	problems []string
}

// addf adds a problem with the line of key.
func (c *checker) addf(key, format string, args ...any) {
	msg := fmt.Sprintf(format, args...)
	c.problems = append(c.problems, fmt.Sprintf("line %d: %s", lineOf(c.src, key), msg))
}

// settings checks the decoded file and converts it.
func (c *checker) settings(f rawSettings) Settings {
	c.fillPorts(&f.Listen)
	s := Settings{
		name:       ident.Daemon(c.name("name", f.Name)),
		dataCentre: ident.DataCentre(c.name("centre", f.Centre)),
		dataFolder: c.resolvePath(f.Data),
		caller:     c.listenAddress("listen.caller", f.Listen.Caller),
		operator:   c.listenAddress("listen.operator", f.Listen.Operator),
		peer:       c.listenAddress("listen.peer", f.Listen.Peer),
		logLevel:   f.Log.Level,
	}
	s.advertisedCaller = c.advertisedAddress("advertise.caller", f.Advertise.Caller, s.caller)
	s.advertisedPeer = c.advertisedAddress("advertise.peer", f.Advertise.Peer, s.peer)
	for _, p := range f.Cluster.Peers {
		s.peers = append(s.peers, c.address("cluster.peers", p))
	}
	for _, p := range f.Cluster.Seeds {
		a := c.address("cluster.seeds", p)
		s.peers = append(s.peers, netip.AddrPortFrom(a.Addr(), s.advertisedPeer.Port()))
	}
	s.open, s.founder = f.Cluster.Open, f.Cluster.Founder
	if !s.open {
		c.voters(&s, f.Cluster.Voters)
		c.token(&s, f.Cluster.Token)
	}
	if f.Listen.Metrics != "" {
		s.metrics = c.listenAddress("listen.metrics", f.Listen.Metrics)
	}
	s.platform = c.platform(f.Platform)
	if f.Log.Level < 0 || f.Log.Level > maxLevel {
		c.addf("log.level", "log.level %d is not between 0 and %d", f.Log.Level, maxLevel)
	}
	return s
}

// name checks a required name.
func (c *checker) name(key, v string) string {
	if v == "" {
		c.addf(key, "%s is missing", key)
		return v
	}
	if len(v) > maxNameLength || !namePattern.MatchString(v) {
		c.addf(key, "%s %q may hold letters, digits, '.', '_' and '-' and must not be longer than %d characters", key, v, maxNameLength)
	}
	return v
}

// resolvePath resolves a relative path against the folder of the settings file.
func (c *checker) resolvePath(v string) string {
	if v == "" || filepath.IsAbs(v) {
		return v
	}
	return filepath.Join(c.dir, v)
}

// address parses an address of an IP address and a port. Host names are rejected,
// since the system can't rely on a name service.
func (c *checker) address(key, v string) netip.AddrPort {
	a, err := netip.ParseAddrPort(v)
	if err != nil || a.Port() == 0 {
		c.addf(key, "%s %q is not IP:PORT", key, v)
	}
	return a
}

// fillPorts sets the addresses that are missing from the setting listen.ports.
func (c *checker) fillPorts(l *listenTable) {
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

// listenAddress checks a required address that others connect to.
func (c *checker) listenAddress(key, v string) netip.AddrPort {
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

// advertisedAddress checks an optional address, which defaults to the one that the
// daemon listens on.
func (c *checker) advertisedAddress(key, v string, listen netip.AddrPort) netip.AddrPort {
	if v == "" {
		return listen
	}
	return c.listenAddress(key, v)
}

// voters checks and sets the names of the voters.
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
	if slices.Contains(s.voters, s.name) && s.dataFolder == "" {
		c.addf("cluster.voters", "%q is listed as a voter but has no data folder", s.name)
	}
}

// token reads and checks the token file.
func (c *checker) token(s *Settings, path string) {
	if path == "" {
		c.addf("cluster.token", "cluster.token is missing; it must name a file")
		return
	}
	b, err := c.readFile(c.resolvePath(path))
	if err != nil {
		c.addf("cluster.token", "cluster.token: %v", err)
		return
	}
	s.token = strings.TrimSpace(string(b))
	if len(s.token) < minTokenLength {
		c.addf("cluster.token", "the token is shorter than %d characters", minTokenLength)
	}
}

// lineOf returns the number of the line that sets a dotted key. If there is none, it
// returns the line of the table of the key, or 1.
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
		if ok && joinKey(table, strings.Trim(name, " \t\"'")) == want {
			return i + 1
		}
	}
	return found
}

func joinKey(table, name string) string {
	if table == "" {
		return name
	}
	return table + "." + name
}
