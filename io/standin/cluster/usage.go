package cluster

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// clockTick is the unit of CPU times in /proc/PID/stat.
const clockTick = 10 * time.Millisecond

// Usage is the resource use of a process.
type Usage struct {
	cpuTime       time.Duration
	residentBytes uint64
}

// CPUTime returns the CPU time used since the start of the process.
func (u Usage) CPUTime() time.Duration { return u.cpuTime }

// ResidentBytes returns the resident memory in bytes.
func (u Usage) ResidentBytes() uint64 { return u.residentBytes }

// Usage returns the current resource use of the process.
func (p *Process) Usage() (Usage, error) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.PID()))
	if err != nil {
		return Usage{}, fmt.Errorf("read process usage: %w", err)
	}
	// The second field is the program's name in parentheses, which may contain
	// spaces. The indexes below count from the third field.
	_, rest, _ := strings.Cut(string(raw), ") ")
	fields := strings.Fields(rest)
	const userTime, systemTime, residentPages = 11, 12, 21
	if len(fields) <= residentPages {
		return Usage{}, fmt.Errorf("read process usage: only %d fields in the stat file", len(fields))
	}
	var values [3]uint64
	for i, f := range []int{userTime, systemTime, residentPages} {
		if values[i], err = strconv.ParseUint(fields[f], 10, 64); err != nil {
			return Usage{}, fmt.Errorf("read process usage: %w", err)
		}
	}
	return Usage{
		cpuTime:       time.Duration(values[0]+values[1]) * clockTick,
		residentBytes: values[2] * uint64(os.Getpagesize()),
	}, nil
}

// PeerBytes returns the number of bytes that a daemon has exchanged with other
// daemons, in both directions, without TCP and IP headers.
func (c *Cluster) PeerBytes(name string) uint64 {
	d := c.daemons[name]
	sum := d.relay.bytes()
	for other, o := range c.daemons {
		if other != name {
			sum += o.relay.bytesFrom(d.host)
		}
	}
	return sum
}
