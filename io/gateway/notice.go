package gateway

import (
	"papayaspoke/core/coordination/balance"
	"papayaspoke/core/ident"
	"papayaspoke/io/transport/client"
)

// Reasons for which a replica is left alone, in logs and metrics.
const (
	reasonLeaving = "leaving"
	reasonQuiet   = "quiet"
)

// hear records what the replica that answered says of itself. At the address of the
// replica that was meant, another one may answer.
func (x *exchange) hear(r balance.Replica, a *client.Answer, h ResponseHead) {
	if h.Misdirected && h.Replica != "" && h.Replica != r.Name {
		return
	}
	x.g.noteSign(r)
	x.g.Hear(r.Name, r.Incarnation, x.g.Dialect.ParseNotice(a.Status(), a.Header(), x.g.Clock()))
}

// Hear records what an incarnation of a replica says of itself.
func (g *Gateway) Hear(name ident.Upstream, i ident.Incarnation, n Notice) {
	if n.Unread != "" {
		g.Log.Info("header of a replica ignored", "replica", name, "header", n.Unread)
	}
	if !n.Leaving && n.QuietUntil.IsZero() {
		return
	}
	leaves, quiet := g.recordNotice(name, i, n)
	if leaves {
		g.Log.Info("replica left alone", "replica", name, "incarnation", uint64(i), "reason", reasonLeaving)
		g.LeftAlone(reasonLeaving)
		g.ReplicaLeaves(name, i)
	}
	if quiet {
		g.Log.Info("replica left alone", "replica", name, "incarnation", uint64(i), "reason", reasonQuiet, "for", n.QuietUntil.Sub(g.Clock()).Milliseconds())
		g.LeftAlone(reasonQuiet)
	}
}

// recordNotice records a notice and reports what of it is new. Requests that wait
// for the replica look again.
func (g *Gateway) recordNotice(name ident.Upstream, i ident.Incarnation, n Notice) (leaves, quiet bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	leaves = n.Leaving && g.balancer.RecordLeaving(name, i)
	quiet = !n.QuietUntil.IsZero() && g.balancer.RecordQuiet(name, i, n.QuietUntil)
	if leaves || quiet {
		g.wakeWaiting()
	}
	return leaves, quiet
}

// IsQuiet reports whether an incarnation of a replica wants nothing of this daemon
// now.
func (g *Gateway) IsQuiet(name ident.Upstream, i ident.Incarnation) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.Clock().Before(g.balancer.QuietUntil(name, i))
}
