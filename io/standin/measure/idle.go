package measure

import (
	"context"
	"fmt"
	"time"

	"papayaspoke/io/standin/cluster"
)

// idleUsage holds the resource use of the daemons of an idle cluster, one value
// per daemon.
type idleUsage struct {
	// cpuShares are fractions of one core.
	cpuShares, peerBytesPerSecond []float64
	residentBytes, heapBytes      []uint64
}

// newIdleTable returns an empty table for rows of idleUsage.
func newIdleTable() *table {
	return newTable(fmt.Sprintf("per daemon while nobody calls, median / worst of %v", idleDuration),
		"daemons", "core", "resident", "heap", "peers' bytes")
}

func (u idleUsage) addRow(t *table, name string) {
	core, coreWorst := medianAndMax(u.cpuShares)
	rss, rssWorst := medianAndMax(u.residentBytes)
	heap, heapWorst := medianAndMax(u.heapBytes)
	net, netWorst := medianAndMax(u.peerBytesPerSecond)
	t.add(name, fmt.Sprintf("%.2f%% / %.2f%%", 100*core, 100*coreWorst), formatMegabytes(rss)+" / "+formatMegabytes(rssWorst),
		formatMegabytes(heap)+" / "+formatMegabytes(heapWorst), formatKilobytesPerSecond(net)+" / "+formatKilobytesPerSecond(netWorst))
}

// usageSample holds the cumulative resource use of all daemons at one time.
type usageSample struct {
	at        time.Time
	usage     map[string]cluster.Usage
	peerBytes map[string]uint64
}

// sampleUsage reads the resource use of all daemons.
func (f *fleet) sampleUsage() (usageSample, error) {
	m := usageSample{at: time.Now(), usage: make(map[string]cluster.Usage), peerBytes: make(map[string]uint64)}
	for _, name := range f.Names() {
		u, err := f.Daemon(name).Usage()
		if err != nil {
			return m, err
		}
		m.usage[name], m.peerBytes[name] = u, f.PeerBytes(name)
	}
	return m, nil
}

// measureIdleUsage measures the resource use of the cluster over idleDuration,
// without sending anything to it.
func (f *fleet) measureIdleUsage() (u idleUsage, err error) {
	before, err := f.sampleUsage()
	if err != nil {
		return u, err
	}
	time.Sleep(idleDuration)
	after, err := f.sampleUsage()
	if err != nil {
		return u, err
	}
	seconds := after.at.Sub(before.at).Seconds()
	for _, name := range f.Names() {
		cpuTime := after.usage[name].CPUTime() - before.usage[name].CPUTime()
		u.cpuShares = append(u.cpuShares, cpuTime.Seconds()/seconds)
		u.peerBytesPerSecond = append(u.peerBytesPerSecond, float64(after.peerBytes[name]-before.peerBytes[name])/seconds)
		u.residentBytes = append(u.residentBytes, after.usage[name].ResidentBytes())
		d, err := f.Dump(context.Background(), name)
		if err != nil {
			return u, err
		}
		u.heapBytes = append(u.heapBytes, d.Heap)
	}
	return u, nil
}
