package control

import (
	"context"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"github.com/sourcegraph/conc"

	"github.com/jacinthtiller/jacinthtiller"
)

// busyPlatform is a syncPlatform whose answers take time on their way back.
type busyPlatform struct{ *syncPlatform }

func (p busyPlatform) Inspect(_ context.Context, t jacinthtiller.Target) (jacinthtiller.TargetStatus, error) {
	s, err := p.syncPlatform.Inspect(context.Background(), t)
	time.Sleep(50 * time.Millisecond)
	return s, err
}

// TestCommitsDuringInspection guards against the loss of a commit that a host acknowledged, under a lease that had not ended,
// after the targets had answered how much of the log they have.
func TestCommitsDuringInspection(t *testing.T) {
	lost, promoted := 0, 0
	for seed := range uint64(40) {
		synctest.Test(t, func(t *testing.T) {
			r := rand.New(rand.NewPCG(seed, 0))
			p := newSyncPlatform(map[string]uint64{"a": 100, "b": 100, "c": 100})
			p.deaf["b"], p.deaf["c"] = true, true // the test moves their logs
			s := newGroupServer(t, busyPlatform{p}, directGroup())
			s.machine.current.View.Hosts = map[string]jacinthtiller.Host{"h1": {Name: "h1", Incarnation: "i"}}
			s.machine.current.View.Edition = &jacinthtiller.Edition{Number: 1, Groups: map[string]jacinthtiller.Group{"db": {SyncReplicas: 1}}}
			began := time.Now()
			startLeader(s)
			time.Sleep(time.Second + time.Duration(r.IntN(100))*time.Millisecond)
			var group conc.WaitGroup
			group.Go(func() {
				s.replacePrimary(context.Background(), s.machine.state().View.Databases["db"], causeCutOff, 1, time.Now())
			})
			// h1 goes on under its lease. Each commit is acknowledged once one of the replicas has it; the other one gets it
			// with the next commit but four.
			commits, ahead, behind := uint64(100), "b", "c"
			for time.Since(began) < Lease+ClockRateBound-time.Millisecond {
				commits++
				if r.IntN(8) == 0 {
					ahead, behind = behind, ahead
				}
				p.set(func() {
					p.received["a"], p.received[ahead] = commits, commits
					p.received[behind] = max(p.received[behind], commits-4)
				})
				time.Sleep(time.Millisecond)
			}
			p.set(func() { p.down["a"] = true })
			time.Sleep(3 * time.Second)
			group.Wait()
			_ = s.Close()
			promoted += len(p.promotions)
			for _, n := range p.promotions {
				if p.received[n] < commits {
					lost++
				}
			}
		})
	}
	convey.Convey("Over 40 seeds no promoted target lacks a commit that was acknowledged", t, func() {
		convey.So(promoted, convey.ShouldBeGreaterThanOrEqualTo, 40)
		convey.So(lost, convey.ShouldEqual, 0)
	})
}
