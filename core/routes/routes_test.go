package routes

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"papayaspoke/core/ident"
	"papayaspoke/core/result"
)

func route(name, host, prefix string) Route {
	return Route{
		Name: name, Host: host, Prefix: prefix, Kind: AtMostOnce, Timeout: time.Second,
		Shares: []Share{{Service: "s", Weight: 1}}, MaxAttempts: 1,
	}
}

func TestNewRefuses(t *testing.T) {
	cases := map[string]func(r *Route){
		"unknown service":  func(r *Route) { r.Shares = []Share{{Service: "other", Weight: 1}} },
		"no weight":        func(r *Route) { r.Shares = []Share{{Service: "s"}} },
		"negative weight":  func(r *Route) { r.Shares = []Share{{Service: "s", Weight: -1}, {Service: "s", Weight: 2}} },
		"no service":       func(r *Route) { r.Shares = nil },
		"no timeout":       func(r *Route) { r.Timeout = 0 },
		"prefix no slash":  func(r *Route) { r.Prefix = "/a" },
		"prefix no start":  func(r *Route) { r.Prefix = "a/" },
		"prefix empty":     func(r *Route) { r.Prefix = "" },
		"same host prefix": func(r *Route) { r.Prefix = "/first/" },
	}
	for name, change := range cases {
		t.Run(name, func(t *testing.T) {
			r := route("second", "h", "/second/")
			change(&r)
			_, err := New(1, []Route{route("first", "h", "/first/"), r}, []Service{{Name: "s"}}, Limits{})
			assert.Equal(t, result.CodeOf(err), result.ChangeInvalid)
		})
	}
	_, err := New(1, nil, []Service{{Name: "s"}, {Name: "s"}}, Limits{})
	assert.Equal(t, result.CodeOf(err), result.ChangeInvalid)
}

func TestLookup(t *testing.T) {
	table, err := New(7, []Route{
		route("root", "h", "/"), route("a", "h", "/a/"), route("ab", "h", "/a/b/"), route("other", "g", "/a/"),
	}, []Service{{Name: "s"}}, Limits{})
	assert.NilError(t, err)
	cases := map[string]struct{ host, path, want string }{
		"longest":          {"h", "/a/b/c", "ab"},
		"the prefix alone": {"h", "/a/b/", "ab"},
		"no last slash":    {"h", "/a/b", "a"},
		"root":             {"h", "/x", "root"},
		"host":             {"g", "/a/b/c", "other"},
		"no route":         {"g", "/b/", ""},
		"no host":          {"x", "/a/", ""},
		"port and case":    {"G:8080", "/a/x", "other"},
		"empty path":       {"h", "", ""},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			got := table.Lookup(tc.host, tc.path)
			if tc.want == "" {
				assert.Assert(t, got == nil)
				return
			}
			assert.Equal(t, got.Name, tc.want)
		})
	}
	assert.Equal(t, table.Version(), uint64(7))
	assert.Equal(t, table.Len(), 4)
}

// TestLookupOfManyRoutes finds each of some hundred routes.
func TestLookupOfManyRoutes(t *testing.T) {
	var rs []Route
	for i := range 800 {
		rs = append(rs, route(fmt.Sprint(i), fmt.Sprintf("h%d", i%7), fmt.Sprintf("/p%d/", i)))
	}
	table, err := New(1, rs, []Service{{Name: "s"}}, Limits{})
	assert.NilError(t, err)
	for i := range rs {
		assert.Equal(t, table.Lookup(rs[i].Host, rs[i].Prefix+"x").Name, rs[i].Name)
	}
}

func TestPick(t *testing.T) {
	r := Route{Shares: []Share{{"a", 90}, {"b", 0}, {"c", 10}}}
	cases := map[string]struct {
		draw float64
		want ident.Service
	}{
		"first": {0, "a"}, "still first": {0.89, "a"}, "third": {0.91, "c"}, "last": {0.9999, "c"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) { assert.Equal(t, r.PickService(tc.draw), tc.want) })
	}
}

func TestRepeatable(t *testing.T) {
	cases := map[string]struct {
		route Route
		want  bool
	}{
		"idempotent": {Route{Kind: Idempotent}, true},
		"once":       {Route{Kind: AtMostOnce, Resumable: true}, false},
		"stream":     {Route{Kind: Stream}, false},
		"resumable":  {Route{Kind: Stream, Resumable: true}, true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) { assert.Equal(t, tc.route.Repeatable(), tc.want) })
	}
}
