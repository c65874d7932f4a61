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
	// Freshness is how long a confirmation by a majority of witnesses lets a
	// daemon take new work, counted from when it asked for it.
	Freshness = witness.FreshFor
	// DriftMargin covers clocks of different rates and the granularity of
	// timers.
	DriftMargin = 150 * time.Millisecond
	// Wait is how long after a visible revocation the former owner may write.
	Wait = Freshness + DriftMargin
	// Grace is how long a daemon or upstream must be missing from the cluster
	// before the assigner takes it for gone; a new leader learns of them only
	// by and by.
	Grace = 2 * time.Second
	// MoveInterval is the least time between two moves that only serve balance.
	MoveInterval = time.Second
	// ProposalRetry is when a proposal without effect is made again.
	ProposalRetry = time.Second
	// remoteCost is how many more upstreams a daemon in the same data centre
	// may own before one in another is preferred.
	remoteCost = 2
)

// Daemon is what the leader knows of a daemon.
type Daemon struct {
	Name        ident.Daemon
	Incarnation ident.Incarnation
	DataCentre  ident.DataCentre
	// Suspect is true once a new connection to it has failed too.
	Suspect bool
	// Stale is true if it cannot confirm its configuration.
	Stale bool
}

// Upstream is what the leader knows of an upstream.
type Upstream struct {
	Name        ident.Upstream
	Incarnation ident.Incarnation
	DataCentre  ident.DataCentre
	// Leaving is true once it has announced that it takes no new work.
	Leaving bool
}

// Cluster is the membership as the leader sees it.
type Cluster struct {
	Daemons   []Daemon
	Upstreams []Upstream
}

// Assigner proposes ownership while its daemon leads. A daemon that becomes
// leader makes a new one.
type Assigner struct {
	// ready holds, for each revocation seen visible, when its wait ends.
	ready map[revocation]time.Time
	// missing holds when a daemon or upstream was first found missing.
	missing map[member]time.Time
	// pending holds the proposals whose effect is not in the view yet.
	pending map[ident.Upstream]proposal
	// nextMove is the earliest time of the next move for balance.
	nextMove time.Time
}

type revocation struct {
	upstream ident.Upstream
	index    uint64
}

// member is a run of a daemon, or an upstream.
type member struct {
	daemon      ident.Daemon
	incarnation ident.Incarnation
	upstream    ident.Upstream
}

type proposal struct {
	// base is the record that the proposal was decided on, zero if none.
	base state.Ownership
	// owner is empty unless an Assign is pending.
	owner ident.Daemon
	// until is when the proposal is made again.
	until time.Time
}

// New returns the assigner of a daemon that has just become leader.
func New() *Assigner {
	return &Assigner{
		ready:   map[revocation]time.Time{},
		missing: map[member]time.Time{},
		pending: map[ident.Upstream]proposal{},
	}
}

// Step returns the commands to propose. The view holds only entries that are
// committed; visible is the index up to which a majority of witnesses has
// applied them, as this leader has seen it. Time is monotonic.
func (a *Assigner) Step(now time.Time, v *state.View, visible uint64, c Cluster) []state.Command {
	s := a.survey(now, v, visible, c)
	a.forget(s)
	var out []state.Command
	for _, o := range v.Owners() {
		out = append(out, a.review(s, o)...)
	}
	for _, u := range s.upstreams {
		if _, ok := v.Owner(u.Name); !ok {
			out = append(out, a.assign(s, u.Name, state.Ownership{})...)
		}
	}
	out = append(out, a.move(s)...)
	a.missing = s.missing
	return out
}

// review returns what to do about one record.
func (a *Assigner) review(s *survey, o state.Ownership) []state.Command {
	if o.Owned() {
		if !s.mustEnd(o) {
			return nil
		}
		return a.propose(s, o.Upstream, o, "", state.Revoke{Upstream: o.Upstream, Fence: o.Fence})
	}
	if !a.waited(s, o) {
		return nil
	}
	if s.gone(member{upstream: o.Upstream}) {
		return a.propose(s, o.Upstream, o, "", state.Release{Upstream: o.Upstream, RevokedIndex: o.RevokedIndex})
	}
	return a.assign(s, o.Upstream, o)
}

// waited reports whether the former owner of a revoked record can write no
// more.
func (a *Assigner) waited(s *survey, o state.Ownership) bool {
	if s.visible < o.RevokedIndex {
		return false
	}
	if o.Yielded {
		return true
	}
	r := revocation{upstream: o.Upstream, index: o.RevokedIndex}
	at, ok := a.ready[r]
	if !ok {
		a.ready[r] = s.now.Add(Wait)
		return false
	}
	return !s.now.Before(at)
}

// assign gives an upstream an owner; o is its record, zero if there is none.
func (a *Assigner) assign(s *survey, name ident.Upstream, o state.Ownership) []state.Command {
	u, ok := s.upstream(name)
	if !ok || u.Leaving {
		return nil
	}
	d, ok := s.choose(u, o.Owner)
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

// propose returns c unless a proposal on the same upstream is still pending.
func (a *Assigner) propose(s *survey, name ident.Upstream, base state.Ownership, owner ident.Daemon, c state.Command) []state.Command {
	if _, ok := a.pending[name]; ok {
		return nil
	}
	a.pending[name] = proposal{base: base, owner: owner, until: s.now.Add(ProposalRetry)}
	s.count[owner]++
	s.unsettled = true
	return []state.Command{c}
}

// move returns the revocation of one upstream that another daemon should own,
// if nothing else is under way.
func (a *Assigner) move(s *survey) []state.Command {
	if s.unsettled || s.now.Before(a.nextMove) {
		return nil
	}
	for _, o := range s.view.Owners() {
		if !s.better(o) {
			continue
		}
		a.nextMove = s.now.Add(MoveInterval)
		return a.propose(s, o.Upstream, o, "", state.Revoke{Upstream: o.Upstream, Fence: o.Fence})
	}
	return nil
}

// forget drops what no longer concerns anything in the view.
func (a *Assigner) forget(s *survey) {
	for r := range a.ready {
		if o, ok := s.view.Owner(r.upstream); !ok || o.RevokedIndex != r.index {
			delete(a.ready, r)
		}
	}
}

// survey is what one step looks at.
type survey struct {
	now     time.Time
	view    *state.View
	visible uint64
	// daemons and upstreams are in the order of their names.
	daemons   []Daemon
	upstreams []Upstream
	// count is how many upstreams each daemon owns or is about to own.
	count map[ident.Daemon]int
	// wasMissing is the assigner's table before the step, missing the one
	// after it.
	wasMissing, missing map[member]time.Time
	// unsettled is true if an upstream has no owner or a proposal is pending.
	unsettled bool
}

func (a *Assigner) survey(now time.Time, v *state.View, visible uint64, c Cluster) *survey {
	s := &survey{
		now:        now,
		view:       v,
		visible:    visible,
		daemons:    slices.SortedFunc(slices.Values(c.Daemons), func(x, y Daemon) int { return cmp.Compare(x.Name, y.Name) }),
		upstreams:  slices.SortedFunc(slices.Values(c.Upstreams), func(x, y Upstream) int { return cmp.Compare(x.Name, y.Name) }),
		count:      map[ident.Daemon]int{},
		wasMissing: a.missing,
		missing:    map[member]time.Time{},
	}
	for _, o := range v.Owners() {
		if o.Owned() {
			s.count[o.Owner]++
		} else {
			s.unsettled = true
		}
	}
	for name, p := range a.pending {
		o, _ := v.Owner(name)
		if o != p.base || !now.Before(p.until) {
			delete(a.pending, name)
			continue
		}
		s.count[p.owner]++
		s.unsettled = true
	}
	return s
}

func (s *survey) daemon(name ident.Daemon) (Daemon, bool) {
	i, ok := slices.BinarySearchFunc(s.daemons, name, func(d Daemon, n ident.Daemon) int { return cmp.Compare(d.Name, n) })
	if !ok {
		return Daemon{}, false
	}
	return s.daemons[i], true
}

func (s *survey) upstream(name ident.Upstream) (Upstream, bool) {
	i, ok := slices.BinarySearchFunc(s.upstreams, name, func(u Upstream, n ident.Upstream) int { return cmp.Compare(u.Name, n) })
	if !ok {
		return Upstream{}, false
	}
	return s.upstreams[i], true
}

func (s *survey) present(m member) bool {
	if m.upstream != "" {
		_, ok := s.upstream(m.upstream)
		return ok
	}
	d, ok := s.daemon(m.daemon)
	return ok && d.Incarnation == m.incarnation
}

// gone reports whether m has been missing for Grace.
func (s *survey) gone(m member) bool {
	if s.present(m) {
		return false
	}
	since, ok := s.wasMissing[m]
	if !ok {
		since = s.now
	}
	s.missing[m] = since
	return s.now.Sub(since) >= Grace
}

// mustEnd reports whether an ownership must end, whatever the balance. An
// owner that is only stale, suspect or drained stays if nobody can follow.
func (s *survey) mustEnd(o state.Ownership) bool {
	if s.gone(member{upstream: o.Upstream}) || s.gone(member{daemon: o.Owner, incarnation: o.OwnerIncarnation}) {
		return true
	}
	d, ok := s.daemon(o.Owner)
	if !ok || d.Incarnation != o.OwnerIncarnation || s.eligible(d) {
		return false
	}
	return slices.ContainsFunc(s.daemons, s.eligible)
}

func (s *survey) eligible(d Daemon) bool {
	_, drained := s.view.Drained(d.Name)
	return !d.Suspect && !d.Stale && !drained
}

// cost ranks a daemon that owns n upstreams, u among them.
func cost(d Daemon, u Upstream, n int) int {
	if d.DataCentre != u.DataCentre {
		return n + remoteCost
	}
	return n
}

// choose returns the daemon that should own u, which nobody owns. Among equals
// the last owner comes first.
func (s *survey) choose(u Upstream, last ident.Daemon) (Daemon, bool) {
	var best Daemon
	found := false
	for _, d := range s.daemons {
		if !s.eligible(d) {
			continue
		}
		c, least := cost(d, u, s.count[d.Name]+1), cost(best, u, s.count[best.Name]+1)
		if !found || c < least || c == least && d.Name == last {
			best, found = d, true
		}
	}
	return best, found
}

// better reports whether another daemon should own what o's owner owns. After
// a move the reverse is never better.
func (s *survey) better(o state.Ownership) bool {
	u, known := s.upstream(o.Upstream)
	owner, ok := s.daemon(o.Owner)
	if !known || !ok || u.Leaving || owner.Incarnation != o.OwnerIncarnation {
		return false
	}
	now := cost(owner, u, s.count[owner.Name])
	return slices.ContainsFunc(s.daemons, func(d Daemon) bool {
		return d.Name != owner.Name && s.eligible(d) && cost(d, u, s.count[d.Name]+1) < now
	})
}
