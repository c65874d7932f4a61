package measure

import (
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
)

// table is a text table with aligned columns. Its first row holds the column
// names.
type table struct {
	title string
	rows  [][]string
}

func newTable(title string, columns ...string) *table {
	return &table{title: title, rows: [][]string{columns}}
}

func (t *table) add(cells ...string) { t.rows = append(t.rows, cells) }

func (t *table) print(out io.Writer) error {
	fmt.Fprintf(out, "\n%s\n", t.title)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for _, r := range t.rows {
		fmt.Fprintln(w, strings.Join(r, "\t"))
	}
	return w.Flush()
}

// medianAndMax returns the median and the maximum of xs, which must not be
// empty.
func medianAndMax[T int | uint64 | float64 | time.Duration](xs []T) (median, maximum T) {
	sorted := slices.Sorted(slices.Values(xs))
	return sorted[len(sorted)/2], sorted[len(sorted)-1]
}

func formatMillis(d time.Duration) string {
	return fmt.Sprintf("%.1f ms", float64(d)/float64(time.Millisecond))
}

func formatMegabytes(n uint64) string { return fmt.Sprintf("%.1f MB", float64(n)/1e6) }

func formatKilobytesPerSecond(n float64) string { return fmt.Sprintf("%.1f KB/s", n/1e3) }

// printHeader prints what is measured, the current time and the load average of
// the machine.
func printHeader(out io.Writer, title string) {
	load, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		load = []byte("unknown")
	}
	fmt.Fprintf(out, "%s, %s, load average %s", title, time.Now().UTC().Format("2006-01-02 15:04:05"), load)
}
