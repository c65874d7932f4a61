// Package scrape exposes the metrics of the process in the Prometheus text
// format over HTTP. Counters and gauges are collected by tally.
package scrape

import (
	"fmt"
	"io"
	"net/http"
	"time"

	prom "github.com/prometheus/client_golang/prometheus"
	tally "github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

const reportInterval = time.Second

// Metrics is the root of the process's metrics.
type Metrics struct {
	scope   tally.Scope
	closer  io.Closer
	handler http.Handler
}

// New returns metrics whose names start with "papayaspoke_".
func New(tags map[string]string) *Metrics {
	own := prom.NewRegistry()
	r := prometheus.NewReporter(prometheus.Options{Registerer: own, Gatherer: ordered(own), OnRegisterError: func(error) {}})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:         "papayaspoke",
		Tags:           tags,
		CachedReporter: r,
		Separator:      prometheus.DefaultSeparator,
	}, reportInterval)
	return &Metrics{scope: scope, closer: closer, handler: r.HTTPHandler()}
}

// Scope returns the scope in which to create metrics.
func (m *Metrics) Scope() tally.Scope { return m.scope }

// Handler serves the metrics page.
func (m *Metrics) Handler() http.Handler { return m.handler }

// Close reports the metrics a last time and stops the reporting.
func (m *Metrics) Close() error {
	if err := m.closer.Close(); err != nil {
		return fmt.Errorf("close metrics: %w", err)
	}
	return nil
}
