package scrape

import (
	"cmp"
	"errors"
	"slices"

	"github.com/prometheus/client_golang/prometheus"
	dto "github.com/prometheus/client_model/go"
)

// ordered gathers the project's own metrics before those of the runtime, and
// plain values before histograms: a collector may keep the beginning of a page
// only.
func ordered(own prometheus.Gatherer) prometheus.Gatherer {
	return prometheus.GathererFunc(func() ([]*dto.MetricFamily, error) {
		families, err := own.Gather()
		slices.SortStableFunc(families, func(a, b *dto.MetricFamily) int {
			return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(len(a.GetMetric()), len(b.GetMetric())))
		})
		runtime, runtimeErr := prometheus.DefaultGatherer.Gather()
		return append(families, runtime...), errors.Join(err, runtimeErr)
	})
}

// rank orders kinds of metrics by the space that they take.
func rank(f *dto.MetricFamily) int {
	switch f.GetType() {
	case dto.MetricType_GAUGE:
		return 0
	case dto.MetricType_COUNTER:
		return 1
	}
	return 2
}
