package cluster

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// tickLength is the unit of the times in /proc/PID/stat.
const tickLength = 10 * time.Millisecond

// Usage is what a process has used so far.
type Usage struct {
	processor time.Duration
	resident  uint64
}

// Processor returns the processor time used since the start.
func (u Usage) Processor() time.Duration { return u.processor }

// Resident returns the bytes of memory that are resident now.
func (u Usage) Resident() uint64 { return u.resident }

// Usage reads what the process has used.
func (p *Process) Usage() (Usage, error) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.PID()))
	if err != nil {
		return Usage{}, fmt.Errorf("usage: %w", err)
	}
	// The second field is the program's name in parentheses, which may hold
	// spaces.
	_, rest, _ := strings.Cut(string(raw), ") ")
	fields := strings.Fields(rest)
	const user, system, pages = 11, 12, 21
	if len(fields) <= pages {
		return Usage{}, fmt.Errorf("usage: %d fields", len(fields))
	}
	var n [3]uint64
	for i, f := range []int{user, system, pages} {
		if n[i], err = strconv.ParseUint(fields[f], 10, 64); err != nil {
			return Usage{}, fmt.Errorf("usage: %w", err)
		}
	}
	return Usage{
		processor: time.Duration(n[0]+n[1]) * tickLength,
		resident:  n[2] * uint64(os.Getpagesize()),
	}, nil
}

// PeerBytes returns the bytes that a daemon has exchanged with other daemons,
// sent and received, without the headers of TCP and IP.
func (c *Cluster) PeerBytes(name string) uint64 {
	n := c.nodes[name]
	sum := n.relay.bytes()
	for other, o := range c.nodes {
		if other != name {
			sum += o.relay.bytesFrom(n.host)
		}
	}
	return sum
}
