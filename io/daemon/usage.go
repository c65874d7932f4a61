package daemon

import (
	"context"
	"time"

	"papayaspoke/core/coordination/placement"
	"papayaspoke/core/ident"
)

// usageTold serves the word of a daemon to the placer.
func (d *Daemon) usageTold(ctx context.Context, u placement.Usage) (placement.Answer, bool) {
	var a placement.Answer
	var ok bool
	err := d.ctl.call(ctx, func(now time.Time) {
		p := d.ctl.placing.placer
		if p == nil {
			return
		}
		ok = true
		var e placement.Effects
		a, e = p.ApplyUsage(now, u)
		d.ctl.carryOrders(e)
	})
	return a, ok && err == nil
}

// usageTime returns how long the daemon is silent after a talk with the placer.
// While nothing waits here, all daemons together talk to it no more often the
// more of them there are.
func (p *Platform) usageTime() time.Duration {
	if p.gateway.HasDemand() {
		return usageInterval
	}
	return max(usageInterval, time.Duration(len(p.d.view.Load().daemons))*usageEach)
}

// talk tells the placer what happens here, for as long as the daemon lives.
func (p *Platform) talk() {
	timer := time.NewTimer(p.usageTime())
	defer timer.Stop()
	for {
		select {
		case <-p.d.ctx.Done():
			return
		case <-timer.C:
		case <-p.gateway.DemandSignal():
		}
		p.tellPlacer()
		if !pause(p.d.ctx, usagePause) {
			return
		}
		timer.Reset(p.usageTime())
	}
}

func (p *Platform) tellPlacer() {
	office := p.d.view.Load().state.Placer()
	if !office.HoldsRole() {
		return
	}
	u := p.gateway.Usage()
	u.Daemon = p.d.self
	ctx, cancel := context.WithTimeout(p.d.ctx, usageTimeout)
	defer cancel()
	if err := p.d.ctl.call(ctx, func(time.Time) { u.Listings, p.d.ctl.listings = p.d.ctl.listings, nil }); err != nil {
		return
	}
	a, ok := p.d.askPlacer(ctx, office.Daemon, u)
	if ok {
		p.gateway.ApplyPlacerAnswer(a)
	}
}

func (d *Daemon) askPlacer(ctx context.Context, name ident.Daemon, u placement.Usage) (placement.Answer, bool) {
	if name == d.self {
		return d.usageTold(ctx, u)
	}
	addr, ok := d.peerAddress(name)
	if !ok {
		return placement.Answer{}, false
	}
	a, ok, err := d.peers.client.Usage(ctx, addr, u)
	if err != nil {
		d.log.V(1).Info("the placer does not answer", "placer", name, "error", err.Error())
	}
	return a, ok && err == nil
}
