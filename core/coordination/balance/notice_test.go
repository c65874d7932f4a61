package balance

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"papayaspoke/core/ident"
)

func TestNoticesOfReplicas(t *testing.T) {
	after := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	again := func(b *Balancer, i ident.Incarnation) {
		near := replica("near", "here")
		near.Incarnation = i
		b.SetReplicas([]Replica{near, replica("far", "there")})
	}
	cases := map[string]struct {
		act  func(b *Balancer)
		now  time.Time
		want ident.Upstream
	}{
		"nothing": {func(*Balancer) {}, start, "near"},
		"leaves":  {func(b *Balancer) { b.RecordLeaving("near", 1) }, start, "far"},
		"leaves, but its announcements say that it is ready": {func(b *Balancer) {
			b.RecordLeaving("near", 1)
			again(b, 1)
		}, start, "far"},
		"leaves, is not announced for a while and is ready again": {func(b *Balancer) {
			b.RecordLeaving("near", 1)
			b.SetReplicas([]Replica{replica("far", "there")})
			again(b, 1)
		}, start, "far"},
		"an earlier incarnation left": {func(b *Balancer) {
			b.RecordLeaving("near", 1)
			again(b, 2)
		}, start, "near"},
		"a late answer of an earlier incarnation": {func(b *Balancer) {
			again(b, 2)
			b.RecordLeaving("near", 1)
		}, start, "near"},
		"said before it was announced": {func(b *Balancer) {
			b.RecordLeaving("near", 2)
			again(b, 2)
		}, start, "far"},
		"quiet":                  {func(b *Balancer) { b.RecordQuiet("near", 1, after(500)) }, after(499), "far"},
		"quiet no more":          {func(b *Balancer) { b.RecordQuiet("near", 1, after(500)) }, after(500), "near"},
		"quiet, then for longer": {func(b *Balancer) { b.RecordQuiet("near", 1, after(500)); b.RecordQuiet("near", 1, after(900)) }, after(600), "far"},
		"quiet, then for less":   {func(b *Balancer) { b.RecordQuiet("near", 1, after(900)); b.RecordQuiet("near", 1, after(500)) }, after(600), "far"},
		"quiet, announced anew":  {func(b *Balancer) { b.RecordQuiet("near", 1, after(900)); again(b, 1) }, after(600), "far"},
		"quiet, then restarted":  {func(b *Balancer) { b.RecordQuiet("near", 1, after(900)); again(b, 2) }, after(600), "near"},
		"both": {func(b *Balancer) {
			b.RecordQuiet("near", 1, after(100))
			b.RecordLeaving("near", 1)
		}, after(200), "far"},
		"a clock that went back": {func(b *Balancer) { b.RecordQuiet("near", 1, after(500)) }, start.Add(-time.Hour), "far"},
		"an unknown replica":     {func(b *Balancer) { b.RecordLeaving("nobody", 1); b.RecordQuiet("nobody", 1, after(900)) }, start, "near"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			b := newBalancer(replica("near", "here"), replica("far", "there"))
			c.act(b)
			got, _ := pick(b, c.now, Query{})
			assert.Equal(t, got, c.want)
		})
	}
}

func TestAllReplicasAreQuiet(t *testing.T) {
	b := newBalancer(replica("near", "here"), replica("far", "there"))
	b.RecordQuiet("near", 1, start.Add(3*time.Second))
	b.RecordQuiet("far", 1, start.Add(2*time.Second))
	_, reason, at := b.Pick(start, Query{Service: "s"})
	assert.Equal(t, reason, Quiet)
	assert.Equal(t, at, start.Add(2*time.Second))
	assert.Assert(t, !b.HasFreeReplica(start, Query{Service: "s"}))
}

// Guards against a request that is sent although its replica has said since the
// choice that it wants none.
func TestChoiceEndsWithANotice(t *testing.T) {
	for name, act := range map[string]func(b *Balancer){
		"leaves": func(b *Balancer) { b.RecordLeaving("near", 1) },
		"quiet":  func(b *Balancer) { b.RecordQuiet("near", 1, start.Add(time.Second)) },
	} {
		t.Run(name, func(t *testing.T) {
			b := newBalancer(replica("near", "here"))
			c, _, _ := b.Pick(start, Query{Service: "s"})
			assert.Assert(t, b.StillAccepts(start, c))
			act(b)
			assert.Assert(t, !b.StillAccepts(start, c))
		})
	}
}

func TestLeftAloneNamesReplicas(t *testing.T) {
	b := newBalancer(replica("near", "here"), replica("far", "there"), replica("other", "here"))
	b.RecordLeaving("near", 1)
	b.RecordQuiet("far", 1, start.Add(time.Second))
	b.RecordLeaving("gone", 1)
	assert.DeepEqual(t, b.LeftAlone(start), []ident.Upstream{"far", "near"})
	assert.DeepEqual(t, b.LeftAlone(start.Add(time.Second)), []ident.Upstream{"near"})
}

// Guards against memory that grows with ever new replicas.
func TestNoticesAreBounded(t *testing.T) {
	b := newBalancer(replica("near", "here"))
	b.RecordLeaving("near", 1)
	for i := range 2 * maxNotices {
		b.RecordLeaving(ident.Upstream(fmt.Sprint(i)), 1)
	}
	assert.Assert(t, len(b.notices) <= maxNotices)
	_, reason := pick(b, start, Query{})
	assert.Equal(t, reason, NoReplica)
}
