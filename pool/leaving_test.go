package pool

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"github.com/sourcegraph/conc"

	"github.com/jacinthtiller/jacinthtiller"
)

// TestQueueOfLeavingTarget guards against requests that wait in the queue of a target when it begins to leave and reach it
// seconds later, although other targets could run them.
func TestQueueOfLeavingTarget(t *testing.T) {
	const wait = 10 * time.Second // a route with a long timeout
	leave := func(d jacinthtiller.Database, target string) jacinthtiller.Database {
		s := d.Targets[target]
		s.State = jacinthtiller.StateLeaving
		return d.WithTarget(s)
	}
	cases := map[string]struct {
		target string
		change func(d jacinthtiller.Database) jacinthtiller.Database
		// runs is true when the requests stay in the queue.
		runs bool
	}{
		"a replica leaves": {"b", func(d jacinthtiller.Database) jacinthtiller.Database { return leave(d, "b") }, false},
		"the primary leaves and stays in service": {"a", func(d jacinthtiller.Database) jacinthtiller.Database {
			return leave(d, "a")
		}, true},
		"the primary leaves and goes out of service": {"a", func(d jacinthtiller.Database) jacinthtiller.Database {
			return leave(d, "a").WithPrimary(d.Term, "")
		}, false},
		"another target leaves": {"b", func(d jacinthtiller.Database) jacinthtiller.Database { return leave(d, "c") }, true},
	}
	for name, c := range cases {
		var refused, ran int
		var refusedWithin time.Duration
		synctest.Test(t, func(*testing.T) {
			f := newFakeTargets()
			f.reply = func(string, jacinthtiller.TargetRequest) (jacinthtiller.Reply, error) {
				time.Sleep(4 * time.Second)
				return jacinthtiller.Reply{Body: []byte("ok"), State: jacinthtiller.StateIdle}, nil
			}
			p := New(f, fakeDialect{}, WithHost("h0"))
			v := view(1, 30)
			p.Apply(v)
			target := p.Find(v.Databases["db"].Targets[c.target])
			var wg conc.WaitGroup
			type result struct {
				err   error
				endAt time.Time
			}
			results := make(chan result, 6)
			for range cap(results) { // of which four run at once
				wg.Go(func() {
					j := newJob("read")
					j.Deadline = time.Now().Add(wait)
					_, err := run(target, j)
					results <- result{err, time.Now()}
				})
			}
			synctest.Wait()
			changedAt := time.Now()
			v.Index++
			v.Databases = map[string]jacinthtiller.Database{"db": c.change(v.Databases["db"])}
			p.Apply(v)
			wg.Wait()
			for range cap(results) {
				var notRun *jacinthtiller.Error
				r := <-results
				if r.err == nil {
					ran++
					continue
				}
				refusedWithin = max(refusedWithin, r.endAt.Sub(changedAt))
				if errors.As(r.err, &notRun) && notRun.Reason == jacinthtiller.ReasonDraining {
					refused++
				}
			}
			p.Close()
		})
		convey.Convey("Requests wait for a target and "+name, t, func() {
			if c.runs {
				convey.So(ran, convey.ShouldEqual, 6)
				return
			}
			convey.So(ran, convey.ShouldEqual, 4)
			convey.So(refused, convey.ShouldEqual, 2)
			convey.So(refusedWithin, convey.ShouldBeLessThan, 100*time.Millisecond)
		})
	}
}

// TestTransactionOnRemovedTarget guards against transactions that are rolled back because their target leaves the view while it
// still answers.
func TestTransactionOnRemovedTarget(t *testing.T) {
	cases := map[string]func(v jacinthtiller.View) jacinthtiller.Database{
		"leaves": func(v jacinthtiller.View) jacinthtiller.Database {
			s := v.Databases["db"].Targets["b"]
			s.State = jacinthtiller.StateLeaving
			return v.Databases["db"].WithTarget(s)
		},
		"is removed": func(v jacinthtiller.View) jacinthtiller.Database { return v.Databases["db"].WithoutTarget("b") },
		"is replaced": func(v jacinthtiller.View) jacinthtiller.Database {
			s := v.Databases["db"].Targets["b"]
			s.StartedMilliseconds++
			return v.Databases["db"].WithTarget(s)
		},
	}
	convey.Convey("A target with an open transaction", t, func() {
		for name, change := range cases {
			convey.Convey(name, func() {
				f := newFakeTargets()
				p := New(f, fakeDialect{}, WithHost("h0"))
				defer p.Close()
				v := view(1, 30)
				p.Apply(v)
				j := newJob("begin")
				j.BeginsTransaction = true
				c, err := p.Find(v.Databases["db"].Targets["b"]).Open(j)
				convey.So(err, convey.ShouldBeNil)
				_, err = c.Run(j)
				convey.So(err, convey.ShouldBeNil)
				v.Index++
				v.Databases = map[string]jacinthtiller.Database{"db": change(v)}
				p.Apply(v)
				for _, text := range []string{"write", "commit"} {
					_, err = c.Run(newJob(text))
					convey.So(err, convey.ShouldBeNil)
				}
				c.Put()
				convey.So(f.sent("b"), convey.ShouldResemble, []string{"begin", "write", "commit"})
			})
		}
	})
}
