package routing_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"papayaspoke/core/coordination/dispatch/routing"
	"papayaspoke/core/ident"
)

const model = ident.Model("base")

func adapter(i int) ident.Adapter {
	return ident.Adapter{Name: fmt.Sprintf("lora%05d", i), Version: "1"}
}

func replica(i int, residents ...int) routing.Replica {
	r := routing.Replica{
		Upstream: ident.Upstream(fmt.Sprintf("gpu%04d", i)), Owner: ident.Daemon(fmt.Sprintf("vm%03d", i/2)),
		DataCentre: ident.DataCentre(fmt.Sprintf("dc%d", i%3)), Model: model, Slots: 6, MaxBatch: 16, CanLoad: true,
	}
	for _, a := range residents {
		r.Residents = append(r.Residents, adapter(a))
	}
	return r
}

func directory(rs ...routing.Replica) *routing.Directory {
	d := routing.NewDirectory(routing.Default())
	for _, r := range rs {
		d.Put(r)
	}
	return d
}

func with(r routing.Replica, change func(*routing.Replica)) routing.Replica {
	change(&r)
	return r
}

func outstanding(n int) func(*routing.Replica) {
	return func(r *routing.Replica) { r.Outstanding = n }
}

func TestRoute(t *testing.T) {
	cold := func(r *routing.Replica) { r.CanLoad = false }
	closed := func(r *routing.Replica) { r.Closed = true }
	alone := func(r *routing.Replica) { r.Isolating = true }
	cases := map[string]struct {
		d    *routing.Directory
		q    routing.Query
		want ident.Upstream
	}{
		"holder":                    {directory(replica(0), replica(1, 7), replica(2)), routing.Query{}, "gpu0001"},
		"fullest holder with room":  {directory(with(replica(0, 7), outstanding(3)), with(replica(1, 7), outstanding(9)), with(replica(2, 7), outstanding(16))), routing.Query{}, "gpu0001"},
		"same data centre on a tie": {directory(replica(0, 7), replica(1, 7)), routing.Query{DataCentre: "dc1"}, "gpu0001"},
		"short queue stays":         {directory(with(replica(0, 7), outstanding(19)), replica(1)), routing.Query{}, "gpu0000"},
		"long queue earns a copy":   {directory(with(replica(0, 7), outstanding(20)), replica(1)), routing.Query{}, "gpu0001"},
		"all full":                  {directory(with(replica(0, 7), outstanding(20)), with(replica(1), outstanding(24))), routing.Query{}, "gpu0000"},
		"closed holder":             {directory(with(replica(0, 7), closed), replica(1)), routing.Query{}, "gpu0001"},
		"isolating holder":          {directory(with(replica(0, 7), alone), replica(1)), routing.Query{}, "gpu0001"},
		"excluded":                  {directory(replica(0, 7), replica(1)), routing.Query{Exclude: []ident.Upstream{"gpu0000"}}, "gpu0001"},
		"home that may load":        {directory(with(replica(0), cold), replica(1), with(replica(2), cold)), routing.Query{}, "gpu0001"},
		"suspect to the idlest":     {directory(with(replica(0, 7), outstanding(2)), replica(1)), routing.Query{Suspect: true}, "gpu0001"},
		"none":                      {directory(with(replica(0, 7), closed)), routing.Query{}, ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			c.q.Model = model
			if c.q.Adapter.IsZero() {
				c.q.Adapter = adapter(7)
			}
			if c.q.Adapter.Name == "-" {
				c.q.Adapter = ident.Adapter{}
			}
			got, ok := c.d.Route(c.q)
			assert.Equal(t, got.Upstream, c.want)
			assert.Equal(t, ok, c.want != "")
		})
	}
}

func TestSentCountsUntilTheNextRecord(t *testing.T) {
	d := directory(replica(0, 7), replica(1))
	for range 20 {
		d.RecordSent("gpu0000", adapter(7))
	}
	got, _ := d.Route(routing.Query{Model: model, Adapter: adapter(7)})
	assert.Equal(t, got.Upstream, ident.Upstream("gpu0001"))
	d.Put(replica(0, 7))
	got, _ = d.Route(routing.Query{Model: model, Adapter: adapter(7)})
	assert.Equal(t, got.Upstream, ident.Upstream("gpu0000"))
}

// TestHomesAreStable checks that daemons that learnt of replicas in different
// orders agree, and that a lost replica moves only its own adapters.
func TestHomesAreStable(t *testing.T) {
	a, b := directory(), directory()
	for i := range 30 {
		a.Put(replica(i))
	}
	home := func(d *routing.Directory, i int) ident.Upstream {
		c, _ := d.Route(routing.Query{Model: model, Adapter: adapter(i)})
		return c.Upstream
	}
	count := map[ident.Upstream]int{}
	for i := range 3000 {
		count[home(a, i)]++
		home(b, i) // caches homes before the replicas are known
	}
	for i := 29; i >= 0; i-- {
		b.Put(replica(i))
	}
	for name, n := range count {
		assert.Assert(t, n > 40 && n < 250, "%s is home to %d", name, n)
	}
	b.Remove("gpu0003")
	for i := range 3000 {
		if h := home(a, i); h != "gpu0003" {
			assert.Equal(t, home(b, i), h)
		}
	}
}

func TestPrefixBreaksTies(t *testing.T) {
	d := directory(replica(0, 7), replica(3, 7), replica(6, 7), replica(9, 7))
	seen := map[ident.Upstream]bool{}
	for prefix := range uint64(40) {
		q := routing.Query{Model: model, Adapter: adapter(7), Prefix: prefix + 1}
		first, _ := d.Route(q)
		again, _ := d.Route(q)
		assert.Equal(t, first, again)
		seen[first.Upstream] = true
	}
	assert.Equal(t, len(seen), 4, "prefixes do not spread")
}

func TestAddresses(t *testing.T) {
	d := directory(replica(0), replica(2, 7), with(replica(4, 7), func(r *routing.Replica) { r.Closed = true }), replica(6, 7))
	got := d.Addresses(routing.Query{Model: model, Adapter: adapter(7), DataCentre: "dc2"}, 3)
	assert.DeepEqual(t, got, []ident.Daemon{"vm001", "vm003", "vm000"})
}

func TestServices(t *testing.T) {
	s := routing.NewServices("dc0")
	for i := range 4 {
		s.Put(routing.ServiceReplica{Upstream: ident.Upstream(fmt.Sprintf("desk%d", i)), Service: "desk", DataCentre: ident.DataCentre(fmt.Sprintf("dc%d", i/2))})
	}
	var got []ident.Upstream
	for range 10 {
		name, ok := s.Pick("desk")
		assert.Assert(t, ok)
		s.RecordSent(name)
		got = append(got, name)
	}
	assert.DeepEqual(t, got, []ident.Upstream{"desk0", "desk1", "desk0", "desk1", "desk0", "desk1", "desk0", "desk1", "desk0", "desk1"}[:10])
	s.Put(routing.ServiceReplica{Upstream: "desk0", Service: "desk", DataCentre: "dc0", Closed: true})
	s.Put(routing.ServiceReplica{Upstream: "desk1", Service: "desk", DataCentre: "dc0", Closed: true})
	name, _ := s.Pick("desk")
	assert.Equal(t, name, ident.Upstream("desk2"))
	name, _ = s.Pick("desk", "desk2")
	assert.Equal(t, name, ident.Upstream("desk3"))
	_, ok := s.Pick("nothing")
	assert.Assert(t, !ok)
}

// BenchmarkRoute measures one decision; the cost must not grow with the
// number of adapters or replicas.
func BenchmarkRoute(b *testing.B) {
	for _, size := range []struct{ replicas, adapters int }{{33, 1000}, {33, 86000}, {430, 86000}, {4300, 86000}} {
		d := directory()
		for i := range size.replicas {
			d.Put(replica(i, i%size.adapters, (i*7+1)%size.adapters))
		}
		for i := range size.adapters {
			d.Route(routing.Query{Model: model, Adapter: adapter(i)})
		}
		names := make([]ident.Adapter, 1024)
		for i := range names {
			names[i] = adapter(i * 83 % size.adapters)
		}
		b.Run(fmt.Sprintf("replicas=%d/adapters=%d", size.replicas, size.adapters), func(b *testing.B) {
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				d.Route(routing.Query{Model: model, Adapter: names[i%len(names)]})
			}
		})
	}
}
