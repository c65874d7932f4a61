package daemon

import (
	"testing"

	"gotest.tools/v3/assert"
	"papayaspoke/core/coordination/consensus"
	"papayaspoke/core/coordination/membership"
	"papayaspoke/core/ident"
)

// TestFoundedClusterPromisesNothingAlone: a cluster that was just founded must
// not acknowledge a change that one disk holds while others are about to join.
func TestFoundedClusterPromisesNothingAlone(t *testing.T) {
	disks := []membership.Daemon{{Name: "a", Disk: "x"}, {Name: "b", Disk: "x"}, {Name: "c", Disk: "x"}, {Name: "d"}}
	cases := map[string]struct {
		voters []ident.Daemon
		disks  []membership.Daemon
		down   ident.Daemon
		want   bool
	}{
		"founder alone":                  {[]ident.Daemon{"a"}, disks, "", false},
		"two of three":                   {[]ident.Daemon{"a", "b"}, disks, "", false},
		"all three":                      {[]ident.Daemon{"a", "b", "c"}, disks, "", true},
		"the third is out of reach":      {[]ident.Daemon{"a", "b"}, disks, "c", true},
		"there is one disk only":         {[]ident.Daemon{"a"}, disks[:1], "", true},
		"others have no disk":            {[]ident.Daemon{"a"}, []membership.Daemon{disks[0], disks[3]}, "", true},
		"three of many, one is replaced": {[]ident.Daemon{"a", "b", "x"}, disks, "", true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			var voters []consensus.Voter
			for _, v := range tc.voters {
				voters = append(voters, consensus.Voter{Daemon: v, Disk: "x"})
			}
			got := seated(voters, tc.disks, func(d ident.Daemon) bool { return d != tc.down })
			assert.Equal(t, got, tc.want)
		})
	}
}
