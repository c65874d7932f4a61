package ownership

import (
	"cmp"
	"slices"
	"time"

	"papayaspoke/core/coordination/witness"
	"papayaspoke/core/ident"
	"papayaspoke/core/state"
)

const (
	// Freshness is how long a daemon may take new work after a confirmation by a
	// majority of witnesses, counted from when it sent the request for it.
	Freshness = witness.FreshFor
	// DriftMargin allows for clocks that run at different rates and for timer
	// granularity.
	DriftMargin = 150 * time.Millisecond
	// RevocationWait is how long the former owner may still write after its
	// revocation has become visible.
	RevocationWait = Freshness + DriftMargin
	// MissingGrace is how long a daemon or upstream must be missing from the
	// cluster before the assigner considers it gone. A new leader learns of the
	// members only gradually.
	MissingGrace = 2 * time.Second
	// RebalanceInterval is the minimum time between two moves that only balance
	// the load.
	RebalanceInterval = time.Second
	// ProposalRetry is how long after a proposal without effect it is made again.
	ProposalRetry = time.Second
	// remoteCost is how many more upstreams a daemon in the upstream's data centre
	// may own before a daemon in another data centre is preferred.
	remoteCost = 2
)

// Daemon is the leader's knowledge of a daemon.
type Daemon struct {
	Name        ident.Daemon
	Incarnation ident.Incarnation
	DataCentre  ident.DataCentre
	// Suspect is true once a new connection to it has failed.
	Suspect bool
	// Stale is true if it cannot confirm its configuration.
	Stale bool
}

// Upstream is the leader's knowledge of an upstream.
type Upstream struct {
	Name        ident.Upstream
	Incarnation ident.Incarnation
	DataCentre  ident.DataCentre
	// Leaving is true once it has announced that it accepts no new work.
	Leaving bool
}

// Cluster is the leader's view of the membership.
type Cluster struct {
	Daemons   []Daemon
	Upstreams []Upstream
}

// Assigner proposes assignments and revocations while its daemon is the leader.
// A daemon that becomes leader creates a new one.
type Assigner struct {
	// waitEnds holds when the wait of each visible revocation ends.
	waitEnds map[revocation]time.Time
	// missingSince holds when a daemon or upstream was first found missing.
	missingSince map[memberKey]time.Time
	// pending holds the proposals whose effect is not yet in the view.
	pending map[ident.Upstream]proposal
	// nextMove is the earliest time of the next rebalancing move.
	nextMove time.Time
}

// revocation identifies the revocation of an upstream's ownership at a log
// index.
type revocation struct {
	upstream ident.Upstream
	index    uint64
}

// memberKey identifies either a run of a daemon or an upstream.
type memberKey struct {
	daemon      ident.Daemon
	incarnation ident.Incarnation
	upstream    ident.Upstream
}

// proposal is a command whose effect the assigner is waiting for.
type proposal struct {
	// base is the ownership record that the proposal is based on, zero if none.
	base state.Ownership
	// owner is the proposed owner, empty unless an Assign is pending.
	owner ident.Daemon
	// retryAt is when a new proposal may be made.
	retryAt time.Time
}

// New returns the assigner of a daemon that has just become leader.
func New() *Assigner {
	return &Assigner{
		waitEnds:     map[revocation]time.Time{},
		missingSince: map[memberKey]time.Time{},
		pending:      map[ident.Upstream]proposal{},
	}
}

// Step returns the commands to propose. The view holds only committed entries;
// visible is the index up to which this leader knows that a majority of
// witnesses has applied them. Time is monotonic.
func (a *Assigner) Step(now time.Time, v *state.View, visible uint64, c Cluster) []state.Command {
	s := a.stepState(now, v, visible, c)
	a.pruneWaits(s)
	var out []state.Command
	for _, o := range v.Owners() {
		out = append(out, a.reviewOwnership(s, o)...)
	}
	for _, u := range s.upstreams {
		if _, ok := v.Owner(u.Name); !ok {
			out = append(out, a.assign(s, u.Name, state.Ownership{})...)
		}
	}
	out = append(out, a.rebalance(s)...)
	a.missingSince = s.missingSince
	return out
}

// reviewOwnership returns the command that one ownership record needs, if any.
func (a *Assigner) reviewOwnership(s *stepState, o state.Ownership) []state.Command {
	if o.Owned() {
		if !s.mustRevoke(o) {
			return nil
		}
		return a.propose(s, o.Upstream, o, "", state.Revoke{Upstream: o.Upstream, Fence: o.Fence})
	}
	if !a.waitElapsed(s, o) {
		return nil
	}
	if s.gone(memberKey{upstream: o.Upstream}) {
		return a.propose(s, o.Upstream, o, "", state.Release{Upstream: o.Upstream, RevokedIndex: o.RevokedIndex})
	}
	return a.assign(s, o.Upstream, o)
}

// waitElapsed reports whether the former owner of a revoked record can no
// longer write.
func (a *Assigner) waitElapsed(s *stepState, o state.Ownership) bool {
	if s.visible < o.RevokedIndex {
		return false
	}
	if o.Yielded {
		return true
	}
	r := revocation{upstream: o.Upstream, index: o.RevokedIndex}
	at, ok := a.waitEnds[r]
	if !ok {
		a.waitEnds[r] = s.now.Add(RevocationWait)
		return false
	}
	return !s.now.Before(at)
}

// assign proposes an owner for an upstream; o is its ownership record, zero if
// there is none.
func (a *Assigner) assign(s *stepState, name ident.Upstream, o state.Ownership) []state.Command {
	u, ok := s.upstream(name)
	if !ok || u.Leaving {
		return nil
	}
	d, ok := s.chooseOwner(u, o.Owner)
	if !ok {
		return nil
	}
	return a.propose(s, name, o, d.Name, state.Assign{
		Upstream:         u.Name,
		Incarnation:      u.Incarnation,
		Owner:            d.Name,
		OwnerIncarnation: d.Incarnation,
		RevokedIndex:     o.RevokedIndex,
	})
}

// propose returns c and records it as pending, unless a proposal for the same
// upstream is still pending.
func (a *Assigner) propose(s *stepState, name ident.Upstream, base state.Ownership, owner ident.Daemon, c state.Command) []state.Command {
	if _, ok := a.pending[name]; ok {
		return nil
	}
	a.pending[name] = proposal{base: base, owner: owner, retryAt: s.now.Add(ProposalRetry)}
	s.ownedCount[owner]++
	s.inTransition = true
	return []state.Command{c}
}

// rebalance returns the revocation of one upstream that another daemon should
// own, if no other change of ownership is in progress.
func (a *Assigner) rebalance(s *stepState) []state.Command {
	if s.inTransition || s.now.Before(a.nextMove) {
		return nil
	}
	for _, o := range s.view.Owners() {
		if !s.shouldMove(o) {
			continue
		}
		a.nextMove = s.now.Add(RebalanceInterval)
		return a.propose(s, o.Upstream, o, "", state.Revoke{Upstream: o.Upstream, Fence: o.Fence})
	}
	return nil
}

// pruneWaits removes the waits of revocations that are no longer in the view.
func (a *Assigner) pruneWaits(s *stepState) {
	for r := range a.waitEnds {
		if o, ok := s.view.Owner(r.upstream); !ok || o.RevokedIndex != r.index {
			delete(a.waitEnds, r)
		}
	}
}

// stepState is the input and the intermediate state of one step.
type stepState struct {
	now     time.Time
	view    *state.View
	visible uint64
	// daemons and upstreams are in the order of their names.
	daemons   []Daemon
	upstreams []Upstream
	// ownedCount is how many upstreams each daemon owns or is proposed to own.
	ownedCount map[ident.Daemon]int
	// prevMissingSince is the assigner's table before the step, missingSince the
	// one after it.
	prevMissingSince, missingSince map[memberKey]time.Time
	// inTransition is true if an ownership is revoked or a proposal is pending.
	inTransition bool
}

// stepState sorts the members, counts the upstreams of each daemon and removes
// pending proposals that took effect or may be retried.
func (a *Assigner) stepState(now time.Time, v *state.View, visible uint64, c Cluster) *stepState {
	s := &stepState{
		now:              now,
		view:             v,
		visible:          visible,
		daemons:          slices.SortedFunc(slices.Values(c.Daemons), func(x, y Daemon) int { return cmp.Compare(x.Name, y.Name) }),
		upstreams:        slices.SortedFunc(slices.Values(c.Upstreams), func(x, y Upstream) int { return cmp.Compare(x.Name, y.Name) }),
		ownedCount:       map[ident.Daemon]int{},
		prevMissingSince: a.missingSince,
		missingSince:     map[memberKey]time.Time{},
	}
	for _, o := range v.Owners() {
		if o.Owned() {
			s.ownedCount[o.Owner]++
		} else {
			s.inTransition = true
		}
	}
	for name, p := range a.pending {
		o, _ := v.Owner(name)
		if o != p.base || !now.Before(p.retryAt) {
			delete(a.pending, name)
			continue
		}
		s.ownedCount[p.owner]++
		s.inTransition = true
	}
	return s
}

func (s *stepState) daemon(name ident.Daemon) (Daemon, bool) {
	i, ok := slices.BinarySearchFunc(s.daemons, name, func(d Daemon, n ident.Daemon) int { return cmp.Compare(d.Name, n) })
	if !ok {
		return Daemon{}, false
	}
	return s.daemons[i], true
}

func (s *stepState) upstream(name ident.Upstream) (Upstream, bool) {
	i, ok := slices.BinarySearchFunc(s.upstreams, name, func(u Upstream, n ident.Upstream) int { return cmp.Compare(u.Name, n) })
	if !ok {
		return Upstream{}, false
	}
	return s.upstreams[i], true
}

func (s *stepState) present(m memberKey) bool {
	if m.upstream != "" {
		_, ok := s.upstream(m.upstream)
		return ok
	}
	d, ok := s.daemon(m.daemon)
	return ok && d.Incarnation == m.incarnation
}

// gone reports whether m has been missing for [MissingGrace].
func (s *stepState) gone(m memberKey) bool {
	if s.present(m) {
		return false
	}
	since, ok := s.prevMissingSince[m]
	if !ok {
		since = s.now
	}
	s.missingSince[m] = since
	return s.now.Sub(since) >= MissingGrace
}

// mustRevoke reports whether an ownership must end regardless of the balance.
// An owner that is only stale, suspect or drained stays if no daemon is
// eligible.
func (s *stepState) mustRevoke(o state.Ownership) bool {
	if s.gone(memberKey{upstream: o.Upstream}) || s.gone(memberKey{daemon: o.Owner, incarnation: o.OwnerIncarnation}) {
		return true
	}
	d, ok := s.daemon(o.Owner)
	if !ok || d.Incarnation != o.OwnerIncarnation || s.eligible(d) {
		return false
	}
	return slices.ContainsFunc(s.daemons, s.eligible)
}

// eligible reports whether d may become an owner.
func (s *stepState) eligible(d Daemon) bool {
	_, drained := s.view.Drained(d.Name)
	return !d.Suspect && !d.Stale && !drained
}

// cost returns the cost of d as the owner of u if it then owns n upstreams,
// including u.
func cost(d Daemon, u Upstream, n int) int {
	if d.DataCentre != u.DataCentre {
		return n + remoteCost
	}
	return n
}

// chooseOwner returns the eligible daemon with the lowest cost for u, which has
// no owner. The last owner wins a tie.
func (s *stepState) chooseOwner(u Upstream, last ident.Daemon) (Daemon, bool) {
	var best Daemon
	found := false
	for _, d := range s.daemons {
		if !s.eligible(d) {
			continue
		}
		c, bestCost := cost(d, u, s.ownedCount[d.Name]+1), cost(best, u, s.ownedCount[best.Name]+1)
		if !found || c < bestCost || c == bestCost && d.Name == last {
			best, found = d, true
		}
	}
	return best, found
}

// shouldMove reports whether another daemon would own the upstream of o at a
// lower cost. A move never makes the reverse move worthwhile.
func (s *stepState) shouldMove(o state.Ownership) bool {
	u, known := s.upstream(o.Upstream)
	owner, ok := s.daemon(o.Owner)
	if !known || !ok || u.Leaving || owner.Incarnation != o.OwnerIncarnation {
		return false
	}
	current := cost(owner, u, s.ownedCount[owner.Name])
	return slices.ContainsFunc(s.daemons, func(d Daemon) bool {
		return d.Name != owner.Name && s.eligible(d) && cost(d, u, s.ownedCount[d.Name]+1) < current
	})
}
