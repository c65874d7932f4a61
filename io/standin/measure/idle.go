package measure

import (
	"context"
	"fmt"
	"time"

	"papayaspoke/io/standin/cluster"
)

// idle is what the daemons of a quiet cluster use, one value a daemon.
type idle struct {
	// cores are shares of one core; traffic is in bytes a second.
	cores, traffic []float64
	resident, heap []uint64
}

func newIdleTable() *table {
	return newTable(fmt.Sprintf("per daemon while nobody calls, median / worst of %v", quietTime),
		"daemons", "core", "resident", "heap", "peers' bytes")
}

func (u idle) row(t *table, name string) {
	core, coreWorst := spread(u.cores)
	rss, rssWorst := spread(u.resident)
	heap, heapWorst := spread(u.heap)
	net, netWorst := spread(u.traffic)
	t.add(name, fmt.Sprintf("%.2f%% / %.2f%%", 100*core, 100*coreWorst), mega(rss)+" / "+mega(rssWorst),
		mega(heap)+" / "+mega(heapWorst), kilo(net)+" / "+kilo(netWorst))
}

// mark is what the daemons had used at one time.
type mark struct {
	at    time.Time
	usage map[string]cluster.Usage
	bytes map[string]uint64
}

func (f *fleet) mark() (mark, error) {
	m := mark{at: time.Now(), usage: make(map[string]cluster.Usage), bytes: make(map[string]uint64)}
	for _, name := range f.Names() {
		u, err := f.Daemon(name).Usage()
		if err != nil {
			return m, err
		}
		m.usage[name], m.bytes[name] = u, f.PeerBytes(name)
	}
	return m, nil
}

// watchIdle leaves the cluster alone for a while and returns what it used.
func (f *fleet) watchIdle() (u idle, err error) {
	before, err := f.mark()
	if err != nil {
		return u, err
	}
	time.Sleep(quietTime)
	after, err := f.mark()
	if err != nil {
		return u, err
	}
	seconds := after.at.Sub(before.at).Seconds()
	for _, name := range f.Names() {
		busy := after.usage[name].Processor() - before.usage[name].Processor()
		u.cores = append(u.cores, busy.Seconds()/seconds)
		u.traffic = append(u.traffic, float64(after.bytes[name]-before.bytes[name])/seconds)
		u.resident = append(u.resident, after.usage[name].Resident())
		d, err := f.Dump(context.Background(), name)
		if err != nil {
			return u, err
		}
		u.heap = append(u.heap, d.Heap)
	}
	return u, nil
}
