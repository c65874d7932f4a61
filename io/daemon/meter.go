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

// answerBuckets are the bounds of the histograms of how long answers take to
// begin.
var answerBuckets = tally.MustMakeExponentialDurationBuckets(5*time.Millisecond, 2, 14)

// count counts an event and whether it failed.
func (d *Daemon) count(name string, err error) {
	s := d.metrics.Scope()
	s.Counter(name).Inc(1)
	if err != nil {
		s.Counter(name + "_failed").Inc(1)
	}
}

// meter counts requests by result number and times those that are answered.
func (d *Daemon) meter(kind string, begun time.Time, err error) {
	s := d.metrics.Scope().Tagged(map[string]string{"kind": kind})
	code := strconv.Itoa(int(result.CodeOf(err)))
	s.Tagged(map[string]string{"result": code}).Counter("requests").Inc(1)
	if err == nil {
		s.Histogram("answer", answerBuckets).RecordDuration(d.clock().Sub(begun))
	}
}

// meteredInfer is infer with its metrics; an answer counts from when it
// begins.
func (d *Daemon) meteredInfer(ctx context.Context, x caller.InferRequest) (*caller.Answer, error) {
	begun := d.clock()
	a, err := d.infer(ctx, x)
	d.meter("text", begun, err)
	return a, err
}

// meteredCall is call with its metrics.
func (d *Daemon) meteredCall(ctx context.Context, x caller.ServiceRequest) (*caller.ServiceReply, error) {
	begun := d.clock()
	r, err := d.call(ctx, x)
	d.meter("call", begun, err)
	return r, err
}

// gauge shows the state that alarms look at.
func (d *Daemon) gauge(c *control, now time.Time) {
	s := d.metrics.Scope()
	for name, v := range map[string]float64{
		"fresh":       flag(now.Before(c.witness.FreshUntil())),
		"applied":     float64(c.witness.Applied()),
		"visible":     float64(c.witness.Visible()),
		"waiting":     float64(c.dispatcher.Waiting()),
		"requests_in": float64(c.dispatcher.Len()),
		"owned":       float64(len(c.owned)),
		"daemons":     float64(len(c.daemonTable)),
		"upstreams":   float64(len(c.upstreamTable)),
		"ledger":      float64(c.view.CountEntries()),
		"fallback":    flag(c.permits.lost),
	} {
		s.Gauge(name).Update(v)
	}
	if d.platform != nil {
		d.platform.gaugeRouted(s, now)
	}
	d.gaugeTraffic(s, now)
}

// trafficInterval separates the lines that tell what control traffic costs.
const trafficInterval = 10 * time.Second

// gaugeTraffic shows what calls to other daemons cost.
func (d *Daemon) gaugeTraffic(s tally.Scope, now time.Time) {
	var fields []any
	for name, t := range d.peers.client.Traffic() {
		of := s.Tagged(map[string]string{"procedure": name})
		of.Gauge("peer_calls").Update(float64(t.Calls))
		of.Gauge("peer_bytes").Update(float64(t.BytesSent + t.BytesReceived))
		fields = append(fields, name, fmt.Sprintf("%d/%d/%d", t.Calls, t.BytesSent, t.BytesReceived))
	}
	if now.Before(d.trafficAt) {
		return
	}
	d.trafficAt = now.Add(trafficInterval)
	d.log.Info("control traffic, calls/out/in", fields...)
}

func flag(v bool) float64 {
	if v {
		return 1
	}
	return 0
}
