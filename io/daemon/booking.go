package daemon

import (
	"context"
	"sync"
	"time"

	"papayaspoke/core/coordination/balance"
	"papayaspoke/core/coordination/pace"
	"papayaspoke/core/ident"
)

// reserveTimeout limits the call that reserves a time to send a request. It is
// shorter than the delay that two concurrent prefills cause, which is the risk
// of sending without a reservation.
const reserveTimeout = 60 * time.Millisecond

// pacers holds the prompt and admission pacers of the replicas whose pacer host
// is this daemon.
type pacers struct {
	mu         sync.Mutex
	prompts    pace.PromptPacers
	admissions pace.AdmissionPacers
}

// retain removes the pacers of replicas for which known returns false.
func (p *pacers) retain(known func(name ident.Upstream) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.prompts.Retain(known)
	p.admissions.Retain(known)
}

// reservePromptLocal reserves a prefill at this daemon's prompt pacer of a
// replica. The calling daemon considers this one the pacer host; while their
// views of the members differ, it may be wrong.
func (d *Daemon) reservePromptLocal(_ context.Context, name ident.Upstream, p pace.Prompt) pace.Reservation {
	d.pacers.mu.Lock()
	defer d.pacers.mu.Unlock()
	return d.pacers.prompts.Reserve(d.clock(), name, p)
}

// reserveAdmissionLocal reserves an admission at this daemon's admission pacer
// of a replica. As in reservePromptLocal, the calling daemon chose the pacer
// host.
func (d *Daemon) reserveAdmissionLocal(_ context.Context, name ident.Upstream, a pace.AdmissionRequest) pace.Reservation {
	d.pacers.mu.Lock()
	defer d.pacers.mu.Unlock()
	return d.pacers.admissions.Admit(d.clock(), name, a)
}

// reservePrompt reserves a prefill at the pacer host of a replica, which may be
// this daemon.
func (d *Daemon) reservePrompt(ctx context.Context, r balance.Replica, p pace.Prompt) (pace.Reservation, bool) {
	return d.askPacerHost(ctx, r, func(ctx context.Context, addr string) (pace.Reservation, error) {
		if addr == "" {
			return d.reservePromptLocal(ctx, r.Name, p), nil
		}
		return d.peers.client.ReservePrefill(ctx, addr, r.Name, p)
	})
}

// reserveAdmission reserves an admission at the pacer host of a replica, which
// may be this daemon.
func (d *Daemon) reserveAdmission(ctx context.Context, r balance.Replica, a pace.AdmissionRequest) (pace.Reservation, bool) {
	return d.askPacerHost(ctx, r, func(ctx context.Context, addr string) (pace.Reservation, error) {
		if addr == "" {
			return d.reserveAdmissionLocal(ctx, r.Name, a), nil
		}
		return d.peers.client.RequestAdmission(ctx, addr, r.Name, a)
	})
}

// askPacerHost calls ask with the address of the pacer host of a replica, which
// is empty if that is this daemon. It returns false if the host did not answer.
func (d *Daemon) askPacerHost(ctx context.Context, r balance.Replica, ask func(ctx context.Context, addr string) (pace.Reservation, error)) (t pace.Reservation, ok bool) {
	v := d.view.Load()
	hosts := make([]pace.Host, 0, len(v.daemons))
	for name, i := range v.daemons {
		if !i.suspected && !i.draining && i.front != "" {
			hosts = append(hosts, pace.Host{Name: name, DataCentre: i.dataCentre})
		}
	}
	name, addr := pace.HostOf(r.Name, r.DataCentre, hosts), ""
	if name != d.self && name != "" {
		if addr, ok = d.peerAddress(name); !ok {
			return pace.Reservation{}, false
		}
	}
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	t, err := ask(ctx, addr)
	if err != nil {
		d.log.V(1).Info("pacer host did not answer", "keeper", name, "replica", r.Name, "error", err.Error())
		return pace.Reservation{}, false
	}
	return t, true
}
