package control

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"github.com/sourcegraph/conc"

	"github.com/jacinthtiller/jacinthtiller"
)

// regionRoundTrip is how long a call to a leader in another region takes.
const regionRoundTrip = 24 * time.Millisecond

// fakeLeader answers calls after a round trip to another region.
type fakeLeader struct {
	calls, renewals atomic.Int64
	// silent makes calls hang until their deadline.
	silent atomic.Bool
}

func (l *fakeLeader) answer(ctx context.Context, _ string, m RenewManyRequest) (RenewManyResponse, error) {
	l.calls.Add(1)
	l.renewals.Add(int64(len(m.Renewals)))
	if l.silent.Load() {
		<-ctx.Done()
		return RenewManyResponse{}, ctx.Err()
	}
	time.Sleep(regionRoundTrip)
	var out RenewManyResponse
	for _, r := range m.Renewals {
		out.Answers = append(out.Answers, jacinthtiller.RenewResponse{LeaseMicroseconds: Lease.Microseconds(), Index: r.Index})
	}
	return out, nil
}

// TestForwardedRenewals guards against a load on the leader and on the links between regions that grows with every host
// of every failure domain, and against batching that costs a host its lease or delays a change of primary.
func TestForwardedRenewals(t *testing.T) {
	type figures struct {
		calls, renewals int64
		// The times are in microseconds; timeToFail is how long a renewal takes to fail when the leader is silent.
		slowest, urgent, timeToFail int64
		wrong                       int
	}
	var f figures
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var leader fakeLeader
		wg := conc.NewWaitGroup()
		x := newForwarder(ctx, wg, leader.answer, nil)
		var mu sync.Mutex
		hosts := conc.NewWaitGroup()
		// A fifth of the target size: the hosts of one failure domain, which renew as often as entry.Host does.
		for i := range 97 {
			hosts.Go(func() {
				time.Sleep(time.Duration(i) * 4 * time.Millisecond)
				for turn := range 25 {
					r := jacinthtiller.RenewRequest{Host: fmt.Sprint("h", i), Index: 7}
					urgent := turn == 12 && i%10 == 0
					if turn >= 12 && i%10 == 0 {
						r.Index = 8
					}
					began := time.Now()
					a, err := x.renew(ctx, "leader", r)
					took := time.Since(began)
					us := took.Microseconds()
					mu.Lock()
					if err != nil || a.Index != r.Index {
						f.wrong++
					}
					f.slowest = max(f.slowest, us)
					if urgent {
						f.urgent = max(f.urgent, us)
					}
					mu.Unlock()
					time.Sleep(RenewInterval - took)
				}
			})
		}
		hosts.Wait()
		f.calls, f.renewals = leader.calls.Load(), leader.renewals.Load()
		leader.silent.Store(true)
		began := time.Now()
		_, err := x.renew(ctx, "leader", jacinthtiller.RenewRequest{Host: "h1", Index: 7})
		f.timeToFail = time.Since(began).Microseconds()
		if err == nil || !errors.Is(err, context.DeadlineExceeded) {
			f.wrong++
		}
		cancel()
		wg.Wait()
	})
	convey.Convey("97 hosts of one failure domain renew for ten seconds, in virtual time", t, func() {
		convey.So(f.wrong, convey.ShouldEqual, 0)
		convey.So(f.renewals, convey.ShouldEqual, 97*25)
		convey.Convey("in at most a quarter as many calls", func() { convey.So(f.calls*4, convey.ShouldBeLessThan, f.renewals) })
		convey.Convey("a renewal takes less than half of a host's attempt", func() {
			convey.So(f.slowest, convey.ShouldBeLessThan, renewTimeout.Microseconds()/2)
		})
		convey.Convey("a renewal with a new view in force is delayed at most by a call in progress", func() {
			convey.So(f.urgent, convey.ShouldBeLessThanOrEqualTo, 2*regionRoundTrip.Microseconds())
		})
		convey.Convey("a host learns of a silent leader within its attempt", func() {
			convey.So(f.timeToFail, convey.ShouldBeLessThan, renewTimeout.Microseconds())
		})
	})
}

// TestBusyLeader guards against an overload that sustains itself when many hosts return at once: the leader answers
// later than the timeout of an attempt, each abandoned attempt wastes its work, and retries keep the leader busy.
func TestBusyLeader(t *testing.T) {
	var answered, failed int
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		wg := conc.NewWaitGroup()
		x := newForwarder(ctx, wg, func(ctx context.Context, _ string, m RenewManyRequest) (RenewManyResponse, error) {
			select {
			case <-time.After(500 * time.Millisecond): // three times what a call may take at first
			case <-ctx.Done():
				return RenewManyResponse{}, ctx.Err()
			}
			return RenewManyResponse{Answers: make([]jacinthtiller.RenewResponse, len(m.Renewals))}, nil
		}, nil)
		for range 10 {
			if _, err := x.renew(ctx, "leader", jacinthtiller.RenewRequest{Host: "h"}); err != nil {
				failed++
			} else {
				answered++
			}
		}
		cancel()
		wg.Wait()
	})
	convey.Convey("Of ten renewals through a leader that takes half a second, most are answered", t, func() {
		convey.So(failed, convey.ShouldBeLessThanOrEqualTo, 5)
		convey.So(answered, convey.ShouldBeGreaterThanOrEqualTo, 5)
	})
}
