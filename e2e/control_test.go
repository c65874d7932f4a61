package e2e

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"papayaspoke/core/result"
	"papayaspoke/io/protocol/operator"
	"papayaspoke/io/standin/cluster"
)

// propagationTarget is how soon an accepted change is in force everywhere, as the
// users' target says.
const propagationTarget = 4 * time.Second

// A change that was accepted survives the kill of the leader that accepted it
// and is in force at the others.
func TestLeaderKilled(t *testing.T) {
	w := startCluster(t)
	v := w.classVersion()
	leader := w.waitForLeader(w.Names()...)
	a, err := w.setTarget(w.ctx, "c1", v, 3000, leader)
	assert.NilError(t, err)
	assert.Equal(t, a.Code, 0, a.Detail)
	w.Daemon(leader).Kill()
	rest := otherDaemons(w, leader)
	inForceBy := time.Now().Add(propagationTarget)
	for _, n := range rest {
		assert.NilError(t, cluster.WaitUntil(inForceBy, "the change is in force at "+n, func() bool {
			text, _ := w.classTarget(n)
			return text == "3s"
		}))
	}
	b, err := w.setTarget(w.ctx, "c2", a.Version, 4000, rest...)
	assert.NilError(t, err)
	assert.Equal(t, b.Code, 0, b.Detail)
	assert.NilError(t, w.Start(leader))
	w.eventually("the killed leader catches up", func() bool {
		d, err := w.Dump(w.ctx, leader)
		return err == nil && d.Version >= b.Version && d.Standing
	})
}

// A leader that was frozen and wakes has lost its place: what others accepted
// meanwhile is in force, and its own late change meets a conflict.
func TestLeaderFrozenAndWoken(t *testing.T) {
	w := startCluster(t)
	v := w.classVersion()
	leader := w.waitForLeader(w.Names()...)
	w.Daemon(leader).Suspend()
	a, err := w.setTarget(w.ctx, "c1", v, 3000, otherDaemons(w, leader)...)
	assert.NilError(t, err)
	assert.Equal(t, a.Code, 0, a.Detail)
	w.Daemon(leader).Resume()
	b, err := w.setTarget(w.ctx, "c2", v, 5000, leader)
	assert.NilError(t, err)
	assert.Equal(t, result.Code(b.Code), result.VersionConflict)
	w.eventually("the woken daemon has the change", func() bool {
		text, _ := w.classTarget(leader)
		return text == "3s"
	})
}

// A VM that is cut off silently stops taking work by itself, and takes it
// again, under the newest configuration, once the cut has healed.
func TestCutOffVMStopsTakingWork(t *testing.T) {
	w := startCluster(t)
	v := w.classVersion()
	w.startEngine("engine-1")
	w.waitUntilServed("glyfada", "notes@v1")
	cut := otherDaemons(w, w.waitForLeader(w.Names()...))[0]
	w.Partition(cut)
	w.eventually("the cut VM refuses", func() bool {
		_, err := w.Complete(w.ctx, cut, "urgent", "notes@v1", "x")
		return err != nil && strings.Contains(err.Error(), `"code":204`)
	})
	a, err := w.setTarget(w.ctx, "c1", v, 3000, otherDaemons(w, cut)...)
	assert.NilError(t, err)
	assert.Equal(t, a.Code, 0, a.Detail)
	_, err = w.Complete(w.ctx, cut, "urgent", "notes@v1", "x")
	assert.ErrorContains(t, err, `"code":204`)
	w.Heal(cut)
	w.waitUntilServed(cut, "notes@v1")
	text, _ := w.classTarget(cut)
	assert.Equal(t, text, "3s")
}

// A voter loses its disk and is repaired without help; a second VM fails
// right after. Nothing that was accepted is lost.
func TestSecondVMFailsAfterRepair(t *testing.T) {
	w := startCluster(t)
	v := w.classVersion()
	names := w.Names()
	lost, second := names[0], names[1]
	a, err := w.setTarget(w.ctx, "c1", v, 3000)
	assert.NilError(t, err)
	assert.Equal(t, a.Code, 0, a.Detail)
	old := diskOfVoter(w, names[2], lost)
	w.Daemon(lost).Kill()
	assert.NilError(t, w.RemoveDataFolder(lost))
	assert.NilError(t, w.Start(lost))
	w.eventually("the new disk votes", func() bool {
		disk := diskOfVoter(w, lost, lost)
		return disk != "" && disk != old && disk == diskOfVoter(w, names[2], lost)
	})
	w.Daemon(second).Kill()
	for _, n := range []string{lost, names[2]} {
		w.eventually("the change is there", func() bool { text, _ := w.classTarget(n); return text == "3s" })
	}
	b, err := w.setTarget(w.ctx, "c2", a.Version, 4000, lost, names[2])
	assert.NilError(t, err)
	assert.Equal(t, b.Code, 0, b.Detail)
}

// diskOfVoter returns the disk under which a daemon votes, as another sees it,
// or nothing.
func diskOfVoter(w *testCluster, through, name string) string {
	t, err := w.OperatorClient(through).List(w.ctx, "voters")
	if err != nil {
		return ""
	}
	for _, r := range t.Rows {
		if r[0] == name && r[2] == "voter" {
			return r[1]
		}
	}
	return ""
}

// All daemons restart at once after hundreds of changes; the last accepted
// version is in force afterwards.
func TestRestartAfterHundredsOfChanges(t *testing.T) {
	w := startCluster(t)
	v := w.classVersion()
	const changes = 300
	for i := range changes {
		a, err := w.setTarget(w.ctx, fmt.Sprintf("c%d", i), v, uint64(1000+i))
		assert.NilError(t, err)
		assert.Equal(t, a.Code, 0, a.Detail)
		v = a.Version
	}
	for range 2 {
		for _, n := range w.Names() {
			w.Daemon(n).Kill()
		}
		assert.NilError(t, w.Start())
		for _, n := range w.Names() {
			w.eventually("the last change is there", func() bool {
				d, err := w.Dump(w.ctx, n)
				return err == nil && d.Version >= v
			})
			text, _ := w.classTarget(n)
			assert.Equal(t, text, (time.Duration(1000+changes-1) * time.Millisecond).String())
		}
	}
}

// Two operators race with equal versions through different daemons: one wins,
// the other gets the current version; a resend gets the first answer.
func TestOperatorsRace(t *testing.T) {
	w := startCluster(t)
	v := w.classVersion()
	const rounds = 10
	for i := range rounds {
		answers := make([]operator.Answer, 2)
		errs := make([]error, 2)
		done := make(chan int)
		for j, through := range w.Names()[:2] {
			go func() {
				answers[j], errs[j] = w.setTarget(w.ctx, fmt.Sprintf("r%d-%d", i, j), v, uint64(1000+10*i+j), through)
				done <- j
			}()
		}
		<-done
		<-done
		assert.NilError(t, errs[0])
		assert.NilError(t, errs[1])
		winner := 0
		if answers[0].Code != 0 {
			winner = 1
		}
		assert.Equal(t, answers[winner].Code, 0, answers[winner].Detail)
		assert.Equal(t, result.Code(answers[1-winner].Code), result.VersionConflict)
		again, err := w.setTarget(w.ctx, fmt.Sprintf("r%d-%d", i, winner), v, uint64(1000+10*i+winner), w.Names()[2])
		assert.NilError(t, err)
		assert.DeepEqual(t, again.Version, answers[winner].Version)
		v = answers[winner].Version
	}
}

// With two of three disks gone, idempotent work goes on under the last
// accepted configuration; changes and bookings are refused as not run.
func TestDiskQuorumLost(t *testing.T) {
	specs := append([]cluster.DaemonSpec{}, cluster.ThreeDaemons...)
	for i := range 4 {
		specs = append(specs, cluster.DaemonSpec{Name: fmt.Sprintf("entry-%d", i), DataCentre: "piraeus"})
	}
	w := startCluster(t, specs...)
	w.startBookingService()
	w.startEngine("engine-1")
	w.waitUntilServed("entry-0", "notes@v1")
	w.eventually("all are witnesses", func() bool {
		l, err := w.OperatorClient().List(w.ctx, "witnesses")
		return err == nil && len(l.Rows) == len(specs)
	})
	owner := waitForOwner(w, "engine-1")
	killed := 0
	for _, n := range []string{"piraeus", "marousi", "glyfada"} {
		if n != owner && killed < 2 {
			w.Daemon(n).Kill()
			killed++
		}
	}
	w.waitUntilServed("entry-0", "notes@v1")
	r, err := w.SendBooking(w.ctx, "entry-0", "booking", "k1", "{}")
	assert.NilError(t, err)
	// The ledger may be out of reach only after the proposal has left: then
	// the answer is that nothing was sent, but that it can't be confirmed.
	assert.Assert(t, strings.Contains(r.Body, `"ran":false`) || strings.Contains(r.Body, `"code":307`), r.Body)
	runs, err := cluster.RunsByKey(w.ctx, w.serviceAddress)
	assert.NilError(t, err)
	assert.Equal(t, runs["k1"], 0)
	ctx, cancel := cluster.WithTimeout(3 * time.Second)
	defer cancel()
	a, err := w.setTarget(ctx, "late", 1, 1000, "entry-0")
	assert.Assert(t, err != nil || a.Code != 0)
}

func waitForOwner(w *testCluster, upstream string) string {
	w.t.Helper()
	var owner string
	w.eventually("an owner", func() bool {
		for _, n := range w.Names() {
			d, err := w.Dump(w.ctx, n)
			if err != nil {
				continue
			}
			for _, r := range d.Replicas {
				if r.Upstream == upstream && r.Claimed {
					owner = n
				}
			}
		}
		return owner != ""
	})
	return owner
}

// Two of three disks are lost for good. Operators start a new cluster from
// what the third holds; the others come back with empty disks and vote again.
func TestForcedRecovery(t *testing.T) {
	w := startCluster(t)
	v := w.classVersion()
	a, err := w.setTarget(w.ctx, "c1", v, 3000)
	assert.NilError(t, err)
	assert.Equal(t, a.Code, 0, a.Detail)
	names := w.Names()
	left := names[2]
	w.eventually("the change is at the survivor", func() bool { text, _ := w.classTarget(left); return text == "3s" })
	for _, n := range names[:2] {
		w.Daemon(n).Kill()
		assert.NilError(t, w.RemoveDataFolder(n))
	}
	w.eventually("recovered", func() bool {
		r, err := w.OperatorClient(left).Recover(w.ctx)
		return err == nil && r.Code == 0
	})
	text, _ := w.classTarget(left)
	assert.Equal(t, text, "3s")
	b, err := w.setTarget(w.ctx, "c2", a.Version, 4000, left)
	assert.NilError(t, err)
	assert.Equal(t, b.Code, 0, b.Detail)
	assert.NilError(t, w.Start(names[:2]...))
	for _, n := range names[:2] {
		w.eventually(n+" votes again", func() bool { return diskOfVoter(w, left, n) != "" })
		w.eventually(n+" has the changes", func() bool { text, _ := w.classTarget(n); return text == "4s" })
	}
}
