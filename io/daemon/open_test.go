package daemon

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"papayaspoke/core/coordination/consensus"
	"papayaspoke/core/coordination/membership"
	"papayaspoke/core/ident"
)

// TestFoundedClusterPromisesNothingAlone guards against lost changes: a cluster
// that was just founded must not acknowledge a change that only one disk holds
// while others are about to join.
func TestFoundedClusterPromisesNothingAlone(t *testing.T) {
	disks := []membership.Daemon{{Name: "a", Disk: "x"}, {Name: "b", Disk: "x"}, {Name: "c", Disk: "x"}, {Name: "d"}}
	five := append(slices.Clone(disks), membership.Daemon{Name: "e", Disk: "x"}, membership.Daemon{Name: "f", Disk: "x"})
	cases := map[string]struct {
		voters []ident.Daemon
		disks  []membership.Daemon
		down   ident.Daemon
		// founding is true before anything has been acknowledged.
		founding bool
		want     bool
	}{
		"founder alone":                  {[]ident.Daemon{"a"}, disks, "", false, false},
		"two of three":                   {[]ident.Daemon{"a", "b"}, disks, "", false, false},
		"all three":                      {[]ident.Daemon{"a", "b", "c"}, disks, "", false, true},
		"the third is out of reach":      {[]ident.Daemon{"a", "b"}, disks, "c", false, true},
		"there is one disk only":         {[]ident.Daemon{"a"}, disks[:1], "", false, true},
		"others have no disk":            {[]ident.Daemon{"a"}, []membership.Daemon{disks[0], disks[3]}, "", false, true},
		"three of five":                  {[]ident.Daemon{"a", "b", "c"}, five, "", true, false},
		"five of five":                   {[]ident.Daemon{"a", "b", "c", "e", "f"}, five, "", true, true},
		"three of four":                  {[]ident.Daemon{"a", "b", "c"}, five[:5], "", true, true},
		"three of five, complete before": {[]ident.Daemon{"a", "b", "c"}, five, "", false, true},
		"three of many, one is replaced": {[]ident.Daemon{"a", "b", "x"}, disks, "", false, true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			var voters []consensus.Voter
			for _, v := range tc.voters {
				voters = append(voters, consensus.Voter{Daemon: v, Disk: "x"})
			}
			got := enoughVoters(!tc.founding, voters, tc.disks, func(d ident.Daemon) bool { return d != tc.down })
			assert.Equal(t, got, tc.want)
		})
	}
}
