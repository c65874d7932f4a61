package daemon

import (
	"context"
	"sync"
	"time"

	"papayaspoke/core/coordination/balance"
	"papayaspoke/core/coordination/pace"
	"papayaspoke/core/ident"
)

// reserveTimeout bounds the question when to send a request. It is less than what
// two prompts at a time would cost.
const reserveTimeout = 60 * time.Millisecond

// pacers keeps the gates and doors of the replicas that fall to this daemon.
type pacers struct {
	mu         sync.Mutex
	prompts    pace.Gates
	admissions pace.Doors
}

// retain forgets replicas that are not known.
func (b *pacers) retain(known func(name ident.Upstream) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.prompts.Keep(known)
	b.admissions.Keep(known)
}

// reservePromptLocal books at a gate that this daemon keeps, or is believed to keep by
// the daemon that asks.
func (d *Daemon) reservePromptLocal(_ context.Context, name ident.Upstream, p pace.Prompt) pace.Turn {
	d.pacers.mu.Lock()
	defer d.pacers.mu.Unlock()
	return d.pacers.prompts.Book(d.clock(), name, p)
}

// reserveAdmissionLocal books at a door that this daemon keeps, or is believed to keep by the
// daemon that asks.
func (d *Daemon) reserveAdmissionLocal(_ context.Context, name ident.Upstream, a pace.Arrival) pace.Turn {
	d.pacers.mu.Lock()
	defer d.pacers.mu.Unlock()
	return d.pacers.admissions.Enter(d.clock(), name, a)
}

// reservePrompt books at the gate of a replica, wherever it is kept.
func (d *Daemon) reservePrompt(ctx context.Context, r balance.Replica, p pace.Prompt) (pace.Turn, bool) {
	return d.askPacerHost(ctx, r, func(ctx context.Context, addr string) (pace.Turn, error) {
		if addr == "" {
			return d.reservePromptLocal(ctx, r.Name, p), nil
		}
		return d.peers.client.Book(ctx, addr, r.Name, p)
	})
}

// reserveAdmission books at the door of a replica, wherever it is kept.
func (d *Daemon) reserveAdmission(ctx context.Context, r balance.Replica, a pace.Arrival) (pace.Turn, bool) {
	return d.askPacerHost(ctx, r, func(ctx context.Context, addr string) (pace.Turn, error) {
		if addr == "" {
			return d.reserveAdmissionLocal(ctx, r.Name, a), nil
		}
		return d.peers.client.Enter(ctx, addr, r.Name, a)
	})
}

// askPacerHost calls ask with the address of the daemon that keeps gate and door of
// a replica, which is empty for this one; ok is false without an answer.
func (d *Daemon) askPacerHost(ctx context.Context, r balance.Replica, ask func(ctx context.Context, addr string) (pace.Turn, error)) (t pace.Turn, ok bool) {
	v := d.view.Load()
	keepers := make([]pace.Keeper, 0, len(v.daemons))
	for name, i := range v.daemons {
		if !i.suspected && !i.draining && i.front != "" {
			keepers = append(keepers, pace.Keeper{Name: name, DataCentre: i.dataCentre})
		}
	}
	name, addr := pace.KeeperOf(r.Name, r.DataCentre, keepers), ""
	if name != d.self && name != "" {
		if addr, ok = d.peerAddress(name); !ok {
			return pace.Turn{}, false
		}
	}
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	t, err := ask(ctx, addr)
	if err != nil {
		d.log.V(1).Info("no answer from the keeper of a gate", "keeper", name, "replica", r.Name, "error", err.Error())
		return pace.Turn{}, false
	}
	return t, true
}
