package daemon

import (
	"context"
	"fmt"
	"strconv"
	"time"

	tally "github.com/uber-go/tally/v4"
	"papayaspoke/core/result"
	"papayaspoke/io/protocol/caller"
)

// answerBuckets are the buckets of the histograms of answer times.
var answerBuckets = tally.MustMakeExponentialDurationBuckets(5*time.Millisecond, 2, 14)

// countEvent counts an event and, in a counter of its own, its failures.
func (d *Daemon) countEvent(name string, err error) {
	s := d.metrics.Scope()
	s.Counter(name).Inc(1)
	if err != nil {
		s.Counter(name + "_failed").Inc(1)
	}
}

// recordRequest counts requests by result code and records the time of those
// that are answered.
func (d *Daemon) recordRequest(kind string, start time.Time, err error) {
	s := d.metrics.Scope().Tagged(map[string]string{"kind": kind})
	code := strconv.Itoa(int(result.CodeOf(err)))
	s.Tagged(map[string]string{"result": code}).Counter("requests").Inc(1)
	if err == nil {
		s.Histogram("answer", answerBuckets).RecordDuration(d.clock().Sub(start))
	}
}

// meteredInfer is serveInfer with metrics. It records the time until the answer
// begins.
func (d *Daemon) meteredInfer(ctx context.Context, x caller.InferRequest) (*caller.Answer, error) {
	start := d.clock()
	a, err := d.serveInfer(ctx, x)
	d.recordRequest("text", start, err)
	return a, err
}

// meteredCall is serveCall with metrics.
func (d *Daemon) meteredCall(ctx context.Context, x caller.ServiceRequest) (*caller.ServiceReply, error) {
	start := d.clock()
	r, err := d.serveCall(ctx, x)
	d.recordRequest("call", start, err)
	return r, err
}

// updateGauges updates the gauges that alarms are based on.
func (d *Daemon) updateGauges(c *control, now time.Time) {
	s := d.metrics.Scope()
	for name, v := range map[string]float64{
		"fresh":       boolGauge(now.Before(c.witness.FreshUntil())),
		"applied":     float64(c.witness.Applied()),
		"visible":     float64(c.witness.Visible()),
		"waiting":     float64(c.dispatcher.Waiting()),
		"requests_in": float64(c.dispatcher.Len()),
		"owned":       float64(len(c.owned)),
		"daemons":     float64(len(c.daemonTable)),
		"upstreams":   float64(len(c.upstreamTable)),
		"ledger":      float64(c.view.CountEntries()),
		"fallback":    boolGauge(c.permits.lost),
		"foreign":     float64(len(c.founding.foreign)),
	} {
		s.Gauge(name).Update(v)
	}
	c.updateDelayGauges(s, now)
	if d.platform != nil {
		d.platform.updateGatewayGauges(s, now)
	}
	d.reportTraffic(s, now)
}

// trafficLogInterval is how often the volume of control traffic is logged.
const trafficLogInterval = 10 * time.Second

// reportTraffic updates the gauges of calls and bytes to other daemons, and
// logs them from time to time.
func (d *Daemon) reportTraffic(s tally.Scope, now time.Time) {
	var fields []any
	for name, t := range d.peers.client.Traffic() {
		of := s.Tagged(map[string]string{"procedure": name})
		of.Gauge("peer_calls").Update(float64(t.Calls))
		of.Gauge("peer_bytes").Update(float64(t.BytesSent + t.BytesReceived))
		fields = append(fields, name, fmt.Sprintf("%d/%d/%d", t.Calls, t.BytesSent, t.BytesReceived))
	}
	if now.Before(d.nextTrafficLog) {
		return
	}
	d.nextTrafficLog = now.Add(trafficLogInterval)
	d.log.Info("control traffic, calls/out/in", fields...)
}

func boolGauge(v bool) float64 {
	if v {
		return 1
	}
	return 0
}
