package settings

import (
	"net/netip"
	"reflect"
	"time"

	"papayaspoke/core/coordination/balance"
)

// Platform holds the settings of a daemon that serves the users' platform. It is
// the zero value if the settings file has no table [platform].
type Platform struct {
	front, readiness, control, directory netip.AddrPort
	stopGrace, competingPlacerWindow     time.Duration
	retryAllowance                       balance.RetryBudget
	directoryTTL                         time.Duration
	memoryLimitMiB                       int
	maxDescriptors                       int
	cores                                float64
	coalesceDelay                        time.Duration
}

// Enabled reports whether the daemon serves the platform.
func (p Platform) Enabled() bool { return p.front.IsValid() }

// Front returns the address that clients send requests to.
func (p Platform) Front() netip.AddrPort { return p.front }

// Readiness returns the address at which the platform checks readiness.
func (p Platform) Readiness() netip.AddrPort { return p.readiness }

// Control returns the address for replicas and operators.
func (p Platform) Control() netip.AddrPort { return p.control }

// Directory returns the address at which clients look up where to connect.
func (p Platform) Directory() netip.AddrPort { return p.directory }

// StopGrace returns how long the process may run after it was told to stop.
func (p Platform) StopGrace() time.Duration { return p.stopGrace }

// CompetingPlacerWindow returns for how long after an order of one placer
// replicas treat an order of another as that of a competing placer.
func (p Platform) CompetingPlacerWindow() time.Duration { return p.competingPlacerWindow }

// RetryAllowance returns how many requests all daemons together may retry.
func (p Platform) RetryAllowance() balance.RetryBudget { return p.retryAllowance }

// DirectoryTTL returns how long clients may cache the addresses of the directory.
func (p Platform) DirectoryTTL() time.Duration { return p.directoryTTL }

// CoalesceDelay returns how long chunks of a stream may be held back to be sent together
// with later ones.
func (p Platform) CoalesceDelay() time.Duration { return p.coalesceDelay }

// MemoryLimitMiB returns the memory limit of the process in MiB, or 0 if none is set.
func (p Platform) MemoryLimitMiB() int { return p.memoryLimitMiB }

// MaxDescriptors returns how many descriptors the process may use, or 0 if no number is
// set.
func (p Platform) MaxDescriptors() int { return p.maxDescriptors }

// Cores returns how many processor cores the process may use, or 0 if no number is
// set.
func (p Platform) Cores() float64 { return p.cores }

// platformTable is the table [platform] of the settings file.
type platformTable struct {
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
	Files     int     `toml:"files"`
	Power     float64 `toml:"power"`
	// Pass is the number of seconds within which a chunk of a stream must reach
	// the client after it was generated, or 0 if the platform sets no bound.
	Pass float64 `toml:"pass"`
}

// Defaults of the table [platform], for settings that are missing or zero. All are
// in seconds, except defaultRetryShare.
const (
	defaultStopGrace             = 8
	defaultCompetingPlacerWindow = 3
	defaultDirectoryTTL          = 2
	defaultRetryWindow           = 10
	defaultRetryShare            = 0.1
	maxSeconds                   = 3600
	// coalesceShare is the fraction of platform.pass for which a chunk may be held
	// back. The rest is left for its transmission.
	coalesceShare = 0.6
)

// platform checks the table [platform].
func (c *checker) platform(t platformTable) Platform {
	if t == (platformTable{}) {
		return Platform{}
	}
	p := Platform{
		front:                 c.listenAddress("platform.front", t.Front),
		readiness:             c.listenAddress("platform.ready", t.Ready),
		control:               c.listenAddress("platform.control", t.Control),
		directory:             c.listenAddress("platform.directory", t.Directory),
		stopGrace:             c.seconds("platform.grace", t.Grace, defaultStopGrace),
		competingPlacerWindow: c.seconds("platform.rival", t.Rival, defaultCompetingPlacerWindow),
		directoryTTL:          c.seconds("platform.keep", t.Keep, defaultDirectoryTTL),
		memoryLimitMiB:        t.Memory,
		maxDescriptors:        t.Files,
		cores:                 t.Power,
	}
	p.retryAllowance = balance.RetryBudget{
		Window: c.seconds("platform.window", t.Window, defaultRetryWindow), Share: t.Share, Extra: t.Extra,
	}
	if t.Share < 0 || t.Extra < 0 {
		c.addf("platform.share", "platform.share and platform.extra must not be negative")
	}
	if t.Share == 0 && t.Extra == 0 {
		p.retryAllowance.Share = defaultRetryShare
	}
	if t.Pass > 0 {
		p.coalesceDelay = time.Duration(coalesceShare * float64(c.seconds("platform.pass", t.Pass, 0)))
	}
	if t.Memory < 0 {
		c.addf("platform.memory", "platform.memory %d is negative", t.Memory)
	}
	if t.Files < 0 {
		c.addf("platform.files", "platform.files %d is negative", t.Files)
	}
	if !(t.Power >= 0 && t.Power <= maxCores) {
		c.addf("platform.power", "platform.power %g is not a number of cores up to %d", t.Power, maxCores)
	}
	return p
}

// maxCores is the largest valid number of cores.
const maxCores = 4096

// seconds checks a number of seconds. Zero means the default.
func (c *checker) seconds(key string, v, defaultValue float64) time.Duration {
	if v < 0 || v > maxSeconds {
		c.addf(key, "%s %v is not between 0 and %d seconds", key, v, maxSeconds)
		return 0
	}
	if v == 0 {
		v = defaultValue
	}
	return time.Duration(v * float64(time.Second))
}

// NeedsRestart reports whether s and other differ in a setting that takes effect only
// when the daemon is restarted.
func (s Settings) NeedsRestart(other Settings) bool {
	s.peers, other.peers = nil, nil
	s.founder, other.founder = false, false
	return !reflect.DeepEqual(s, other)
}
