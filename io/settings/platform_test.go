package settings_test

import (
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"papayaspoke/core/result"
	"papayaspoke/io/settings"
)

const openCluster = `name = "d1"
centre = "z"
[listen]
ports = "10.0.0.1:7380"
metrics = "10.0.0.1:9102"
[cluster]
open = true
founder = true
seeds = ["10.0.0.1:8144", "10.0.0.2:8144"]
[platform]
front = "10.0.0.1:1"
ready = "10.0.0.1:2"
control = "10.0.0.1:3"
directory = "10.0.0.1:4"
grace = 8
pass = 0.12
`

func TestOpenCluster(t *testing.T) {
	s, err := settings.Parse(openCluster, ".", os.ReadFile)
	assert.NilError(t, err)
	assert.Equal(t, s.Peer().String(), "10.0.0.1:7380")
	assert.Equal(t, s.Caller().String(), "10.0.0.1:7381")
	assert.Equal(t, s.Operator().String(), "10.0.0.1:7382")
	assert.Equal(t, s.Metrics().String(), "10.0.0.1:9102")
	assert.Equal(t, s.Peers()[1].String(), "10.0.0.2:7380")
	p := s.Platform()
	assert.Assert(t, p.Enabled())
	assert.Equal(t, p.StopGrace(), 8*time.Second)
	assert.Equal(t, p.CompetingPlacerWindow(), 3*time.Second)
	assert.Equal(t, p.CoalesceDelay(), 72*time.Millisecond)
	assert.Equal(t, p.RetryAllowance().Window, 10*time.Second)
	assert.Equal(t, p.RetryAllowance().Share, 0.1)
}

func TestPlatformIsOptional(t *testing.T) {
	s, err := settings.Parse(openCluster[:strings.Index(openCluster, "[platform]")], ".", os.ReadFile)
	assert.NilError(t, err)
	assert.Assert(t, !s.Platform().Enabled())
}

func TestPlatformNamesTheLine(t *testing.T) {
	cases := map[string]struct{ old, text, want string }{
		"address missing": {`front = "10.0.0.1:1"`, "", "platform.front"},
		"no address":      {`ready = "10.0.0.1:2"`, `ready = "here"`, "line 12"},
		"too long":        {"grace = 8", "grace = 1e9", "line 15"},
		"negative":        {"grace = 8", "memory = -1", "line 15"},
		"negative share":  {"grace = 8", "share = -0.1", "platform.share"},
		"unknown key":     {"grace = 8", "mercy = 8", "mercy"},
		"bad ports":       {`ports = "10.0.0.1:7380"`, `ports = "7380"`, "line 4"},
		"bad seed":        {`"10.0.0.2:8144"`, `"seed"`, "line 9"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := settings.Parse(strings.Replace(openCluster, tc.old, tc.text, 1), ".", os.ReadFile)
			assert.Equal(t, result.CodeOf(err), result.SettingsInvalid)
			assert.ErrorContains(t, err, tc.want)
		})
	}
}

func TestDiffers(t *testing.T) {
	a, err := settings.Parse(openCluster, ".", os.ReadFile)
	assert.NilError(t, err)
	seeds, err := settings.Parse(strings.Replace(openCluster, "10.0.0.2", "10.0.0.3", 1), ".", os.ReadFile)
	assert.NilError(t, err)
	assert.Assert(t, !a.NeedsRestart(seeds))
	grace, err := settings.Parse(strings.Replace(openCluster, "grace = 8", "grace = 9", 1), ".", os.ReadFile)
	assert.NilError(t, err)
	assert.Assert(t, a.NeedsRestart(grace))
}
