package daemon

import (
	"testing"

	"gotest.tools/v3/assert"
	"papayaspoke/core/coordination/membership"
	"papayaspoke/core/ident"
)

// TestReplacedReplicasAreLeftOut guards against requests to replicas that no
// longer exist. After a crash of many replicas, each restarts under a new name
// at its old address, while its old record remains for minutes. Requests for
// the old replica would reach the new one, which rejects them.
func TestReplacedReplicasAreLeftOut(t *testing.T) {
	up := func(name, address string, inc ident.Incarnation, kind membership.Kind) membership.Upstream {
		return membership.Upstream{Name: ident.Upstream(name), Address: address, Version: membership.Version{Incarnation: inc}, Kind: kind}
	}
	cases := map[string]struct {
		all  []membership.Upstream
		want []string
	}{
		"none": {nil, nil},
		"a later one at the same address": {
			[]membership.Upstream{up("a", "x:1", 5, membership.Routed), up("b", "x:1", 9, membership.Routed)}, []string{"b"},
		},
		"an older record comes last": {
			[]membership.Upstream{up("b", "x:1", 9, membership.Routed), up("z", "x:1", 5, membership.Routed)}, []string{"b"},
		},
		"other addresses": {
			[]membership.Upstream{up("a", "x:1", 5, membership.Routed), up("b", "x:2", 9, membership.Routed)}, []string{"a", "b"},
		},
		"not of the platform": {
			[]membership.Upstream{up("a", "x:1", 5, membership.Engine), up("b", "x:1", 3, membership.Routed)}, []string{"b"},
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			var got []string
			for _, u := range latestPerAddress(tc.all) {
				got = append(got, string(u.Name))
			}
			assert.DeepEqual(t, got, tc.want)
		})
	}
}
