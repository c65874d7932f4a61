package settings

import (
	"net/netip"
	"reflect"
	"time"

	"papayaspoke/core/coordination/balance"
)

// Platform are the settings of a daemon that serves the users' platform. All
// of it is zero if the settings file has no table [platform].
type Platform struct {
	front, ready, control, directory netip.AddrPort
	grace, rival                     time.Duration
	retries                          balance.RetryBudget
	keep                             time.Duration
	memory                           int
	power                            float64
	gather                           time.Duration
}

// Enabled reports whether the daemon serves the platform.
func (p Platform) Enabled() bool { return p.front.IsValid() }

// Front returns the address for requests of clients.
func (p Platform) Front() netip.AddrPort { return p.front }

// Readiness returns the address that the platform asks for readiness.
func (p Platform) Readiness() netip.AddrPort { return p.ready }

// Control returns the address for replicas and operators.
func (p Platform) Control() netip.AddrPort { return p.control }

// Directory returns the address at which clients ask where to connect.
func (p Platform) Directory() netip.AddrPort { return p.directory }

// StopGrace returns how long a process lives on after it was told to stop.
func (p Platform) StopGrace() time.Duration { return p.grace }

// CompetingPlacerWindow returns how long after an order of one placer replicas take an order
// of another for a rival's.
func (p Platform) CompetingPlacerWindow() time.Duration { return p.rival }

// RetryAllowance returns what may be sent again, by all daemons together.
func (p Platform) RetryAllowance() balance.RetryBudget { return p.retries }

// DirectoryTTL returns how long clients keep the answer to where to connect.
func (p Platform) DirectoryTTL() time.Duration { return p.keep }

// CoalesceDelay returns how long pieces of a stream may wait for others.
func (p Platform) CoalesceDelay() time.Duration { return p.gather }

// MemoryLimitMiB returns the process's limit in MiB, 0 if none was stated.
func (p Platform) MemoryLimitMiB() int { return p.memory }

// Cores returns how much of a processor the process may use, in cores, 0 if it
// was not stated.
func (p Platform) Cores() float64 { return p.power }

// platformPart is the wire form of the table [platform].
type platformPart struct {
	Front     string  `toml:"front"`
	Ready     string  `toml:"ready"`
	Control   string  `toml:"control"`
	Directory string  `toml:"directory"`
	Grace     float64 `toml:"grace"`
	Rival     float64 `toml:"rival"`
	Keep      float64 `toml:"keep"`
	Window    float64 `toml:"window"`
	Share     float64 `toml:"share"`
	Extra     float64 `toml:"extra"`
	Memory    int     `toml:"memory"`
	Power     float64 `toml:"power"`
	// Pass is how late a piece of a stream may reach the client after it was
	// made, 0 if the platform states no bound.
	Pass float64 `toml:"pass"`
}

// Defaults of the table [platform], in seconds but for the share. They are
// used where the platform states no bound.
const (
	defaultGrace  = 8
	defaultRival  = 3
	defaultKeep   = 2
	defaultWindow = 10
	defaultShare  = 0.1
	maxSeconds    = 3600
	// gatherShare is the part of the time that a piece may take for which it
	// waits for others; the rest is for its way.
	gatherShare = 0.6
)

func (c *checker) platform(f platformPart) Platform {
	if f == (platformPart{}) {
		return Platform{}
	}
	p := Platform{
		front:     c.listen("platform.front", f.Front),
		ready:     c.listen("platform.ready", f.Ready),
		control:   c.listen("platform.control", f.Control),
		directory: c.listen("platform.directory", f.Directory),
		grace:     c.seconds("platform.grace", f.Grace, defaultGrace),
		rival:     c.seconds("platform.rival", f.Rival, defaultRival),
		keep:      c.seconds("platform.keep", f.Keep, defaultKeep),
		memory:    f.Memory,
		power:     f.Power,
	}
	p.retries = balance.RetryBudget{
		Window: c.seconds("platform.window", f.Window, defaultWindow), Share: f.Share, Extra: f.Extra,
	}
	if f.Share < 0 || f.Extra < 0 {
		c.addf("platform.share", "platform.share and platform.extra must not be negative")
	}
	if f.Share == 0 && f.Extra == 0 {
		p.retries.Share = defaultShare
	}
	if f.Pass > 0 {
		p.gather = time.Duration(gatherShare * float64(c.seconds("platform.pass", f.Pass, 0)))
	}
	if f.Memory < 0 {
		c.addf("platform.memory", "platform.memory %d is negative", f.Memory)
	}
	if !(f.Power >= 0 && f.Power <= maxPower) {
		c.addf("platform.power", "platform.power %g is not a number of cores up to %d", f.Power, maxPower)
	}
	return p
}

// maxPower bounds the stated number of cores.
const maxPower = 4096

// seconds checks a number of seconds; 0 stands for the default.
func (c *checker) seconds(key string, v, otherwise float64) time.Duration {
	if v < 0 || v > maxSeconds {
		c.addf(key, "%s %v is not between 0 and %d seconds", key, v, maxSeconds)
		return 0
	}
	if v == 0 {
		v = otherwise
	}
	return time.Duration(v * float64(time.Second))
}

// NeedsRestart reports whether s and o differ in anything that only a start of the
// daemon takes up.
func (s Settings) NeedsRestart(o Settings) bool {
	s.peers, o.peers = nil, nil
	s.founder, o.founder = false, false
	return !reflect.DeepEqual(s, o)
}
