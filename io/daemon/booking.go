package daemon

import (
	"context"
	"sync"
	"time"

	"papayaspoke/core/coordination/balance"
	"papayaspoke/core/coordination/pace"
	"papayaspoke/core/ident"
)

// bookTimeout bounds the question when to send a request. It is less than what
// two prompts at a time would cost.
const bookTimeout = 60 * time.Millisecond

// booking keeps the gates and doors of the replicas that fall to this daemon.
type booking struct {
	mu    sync.Mutex
	gates pace.PromptPacers
	doors pace.AdmissionPacers
}

// keep forgets replicas that are not known.
func (b *booking) keep(known func(name ident.Upstream) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.gates.Retain(known)
	b.doors.Retain(known)
}

// bookHere books at a gate that this daemon keeps, or is believed to keep by
// the daemon that asks.
func (d *Daemon) bookHere(_ context.Context, name ident.Upstream, p pace.Prompt) pace.Reservation {
	d.booking.mu.Lock()
	defer d.booking.mu.Unlock()
	return d.booking.gates.Reserve(d.clock(), name, p)
}

// bookDoorHere books at a door that this daemon keeps, or is believed to keep by the
// daemon that asks.
func (d *Daemon) bookDoorHere(_ context.Context, name ident.Upstream, a pace.AdmissionRequest) pace.Reservation {
	d.booking.mu.Lock()
	defer d.booking.mu.Unlock()
	return d.booking.doors.Admit(d.clock(), name, a)
}

// book books at the gate of a replica, wherever it is kept.
func (d *Daemon) book(ctx context.Context, r balance.Replica, p pace.Prompt) (pace.Reservation, bool) {
	return d.askKeeper(ctx, r, func(ctx context.Context, addr string) (pace.Reservation, error) {
		if addr == "" {
			return d.bookHere(ctx, r.Name, p), nil
		}
		return d.peers.client.ReservePrefill(ctx, addr, r.Name, p)
	})
}

// bookDoor books at the door of a replica, wherever it is kept.
func (d *Daemon) bookDoor(ctx context.Context, r balance.Replica, a pace.AdmissionRequest) (pace.Reservation, bool) {
	return d.askKeeper(ctx, r, func(ctx context.Context, addr string) (pace.Reservation, error) {
		if addr == "" {
			return d.bookDoorHere(ctx, r.Name, a), nil
		}
		return d.peers.client.RequestAdmission(ctx, addr, r.Name, a)
	})
}

// askKeeper calls ask with the address of the daemon that keeps gate and door of
// a replica, which is empty for this one; ok is false without an answer.
func (d *Daemon) askKeeper(ctx context.Context, r balance.Replica, ask func(ctx context.Context, addr string) (pace.Reservation, error)) (t pace.Reservation, ok bool) {
	v := d.view.Load()
	keepers := make([]pace.Host, 0, len(v.daemons))
	for name, i := range v.daemons {
		if !i.suspected && !i.draining && i.front != "" {
			keepers = append(keepers, pace.Host{Name: name, DataCentre: i.dataCentre})
		}
	}
	name, addr := pace.HostOf(r.Name, r.DataCentre, keepers), ""
	if name != d.self && name != "" {
		if addr, ok = d.peerAddress(name); !ok {
			return pace.Reservation{}, false
		}
	}
	ctx, cancel := context.WithTimeout(ctx, bookTimeout)
	defer cancel()
	t, err := ask(ctx, addr)
	if err != nil {
		d.log.V(1).Info("no answer from the keeper of a gate", "keeper", name, "replica", r.Name, "error", err.Error())
		return pace.Reservation{}, false
	}
	return t, true
}
