package daemon

import (
	"context"
	"time"

	"papayaspoke/core/coordination/placement"
	"papayaspoke/core/ident"
)

// handleUsage serves a usage report if this daemon holds the placer role.
func (d *Daemon) handleUsage(ctx context.Context, u placement.Usage) (placement.Answer, bool) {
	var a placement.Answer
	var ok bool
	err := d.ctl.call(ctx, func(now time.Time) {
		p := d.ctl.placementState.placer
		if p == nil {
			return
		}
		ok = true
		var e placement.Effects
		a, e = p.ApplyUsage(now, u)
		d.ctl.executePlacement(e)
	})
	return a, ok && err == nil
}

// usageDelay returns the time until the next usage report. Unless requests wait
// for weights, it grows with the number of daemons, so that the rate of reports
// at the placer stays constant.
func (p *Platform) usageDelay() time.Duration {
	if p.gateway.HasDemand() {
		return usageInterval
	}
	return max(usageInterval, time.Duration(len(p.d.view.Load().daemons))*usagePerDaemon)
}

// reportUsageLoop sends usage reports to the placer until the daemon stops. It
// sends one early when requests begin to wait for weights.
func (p *Platform) reportUsageLoop() {
	timer := time.NewTimer(p.usageDelay())
	defer timer.Stop()
	for {
		select {
		case <-p.d.ctx.Done():
			return
		case <-timer.C:
		case <-p.gateway.DemandSignal():
		}
		p.reportUsage()
		if !sleep(p.d.ctx, minUsagePause) {
			return
		}
		timer.Reset(p.usageDelay())
	}
}

// reportUsage sends one usage report to the placer and passes the answer to the
// gateway.
func (p *Platform) reportUsage() {
	placer := p.d.view.Load().state.Placer()
	if !placer.HoldsRole() {
		return
	}
	u := p.gateway.Usage()
	u.Daemon = p.d.self
	ctx, cancel := context.WithTimeout(p.d.ctx, usageTimeout)
	defer cancel()
	if err := p.d.ctl.call(ctx, func(time.Time) { u.Listings, p.d.ctl.pendingListings = p.d.ctl.pendingListings, nil }); err != nil {
		return
	}
	a, ok := p.d.sendUsage(ctx, placer.Daemon, u)
	if ok {
		p.gateway.ApplyPlacerAnswer(a)
	}
}

// sendUsage sends a usage report to a daemon, which may be this one.
func (d *Daemon) sendUsage(ctx context.Context, name ident.Daemon, u placement.Usage) (placement.Answer, bool) {
	if name == d.self {
		return d.handleUsage(ctx, u)
	}
	addr, ok := d.peerAddress(name)
	if !ok {
		return placement.Answer{}, false
	}
	a, ok, err := d.peers.client.Usage(ctx, addr, u)
	if err != nil {
		d.log.V(1).Info("placer did not answer", "placer", name, "error", err.Error())
	}
	return a, ok && err == nil
}
