package statement

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"github.com/sourcegraph/conc"

	"github.com/jacinthtiller/jacinthtiller"
	"github.com/jacinthtiller/jacinthtiller/event"
)

// brokenGuest is a guest to which no answer of a target can be written.
type brokenGuest struct{ *fakeGuest }

var errBrokenPipe = errors.New("broken pipe")

func (brokenGuest) ForwardReply(jacinthtiller.Reply, byte) error { return errBrokenPipe }

// eventsNamed returns the fields of the events with the name in a trace.
func eventsNamed(trace *bytes.Buffer, name string) []event.Fields {
	var out []event.Fields
	for d := json.NewDecoder(trace); ; {
		var r event.Record
		if d.Decode(&r) != nil {
			return out
		}
		if r.Name == name {
			out = append(out, r.Fields)
		}
	}
}

// TestUnansweredRequestLogged guards against requests without a whole answer of which the logs say nothing, so that nobody can tell a connection that the
// host cut off from an answer that was lost on its way.
func TestUnansweredRequestLogged(t *testing.T) {
	convey.Convey("A guest to which the answer of a target can't be written", t, func() {
		var trace bytes.Buffer
		synctest.Test(t, func(*testing.T) {
			ts := newTestServer(t, WithEvents(event.New("h0", nil, event.WithTrace(&trace))))
			ts.lease(time.Hour)
			g := newFakeGuest(jacinthtiller.ClassPrimary)
			ts.serve(brokenGuest{g})
			<-g.answers
			g.ask("SET a 1")
			g.ask("READ 1")
			ts.close()
		})
		logged := eventsNamed(&trace, event.RequestUnanswered.Name)
		convey.So(logged, convey.ShouldHaveLength, 1)
		convey.So(logged[0]["verb"], convey.ShouldEqual, string(jacinthtiller.RequestRead))
		convey.So(logged[0]["error"], convey.ShouldEqual, errBrokenPipe.Error())
		convey.So(logged[0]["stop-step"], convey.ShouldEqual, "none")
	})
}

// TestStopStepsLogged guards against stops of which the logs do not say when their steps began and what was left at each.
func TestStopStepsLogged(t *testing.T) {
	convey.Convey("A stop with a session that stays in a transaction", t, func() {
		var trace bytes.Buffer
		synctest.Test(t, func(*testing.T) {
			ts := newTestServer(t, WithEvents(event.New("h0", nil, event.WithTrace(&trace))))
			ts.lease(time.Hour)
			g := ts.guest(jacinthtiller.ClassPrimary)
			g.ask("BEGIN")
			began := time.Now()
			var group conc.WaitGroup
			group.Go(func() {
				_ = ts.server.Drain(context.Background(), StopTimes{
					CloseIdle: began.Add(time.Second), Refuse: began.Add(3 * time.Second), Answer: began.Add(3050 * time.Millisecond),
				})
			})
			group.Wait()
			ts.close()
		})
		logged := eventsNamed(&trace, event.StopStepReached.Name)
		convey.So(logged, convey.ShouldHaveLength, 3)
		for i, step := range []string{"close-idle", "refuse", "answer"} {
			convey.So(logged[i]["step"], convey.ShouldEqual, step)
			convey.So(logged[i]["late-milliseconds"], convey.ShouldBeBetweenOrEqual, 0, 100)
		}
		convey.So(logged[0]["sessions"], convey.ShouldEqual, 1)
	})
}

// TestCutOffAnswers guards against requests that the end of a stop leaves without an answer because the state of their sessions was being read
// in that moment, as each tick of a drain does, which looked like an answer that is being written.
func TestCutOffAnswers(t *testing.T) {
	convey.Convey("A request is answered for the stop although the state of its session is read meanwhile", t, func() {
		const requests = 20_000
		left := 0
		for range requests {
			c := &sessionConn{GuestConn: newFakeGuest(jacinthtiller.ClassPrimary), state: jacinthtiller.StateIdle}
			c.pending, c.unanswered, c.request = true, true, jacinthtiller.GuestRequest{Kind: jacinthtiller.RequestRead}
			var group conc.WaitGroup
			begun, done := make(chan struct{}), make(chan struct{})
			group.Go(func() {
				close(begun)
				for open := true; open; {
					c.progress()
					c.isCutOff()
					select {
					case <-done:
						open = false
					default:
					}
				}
			})
			<-begun
			if _, _, cut := c.cutOff(); !cut {
				left++
			}
			close(done)
			group.Wait()
		}
		convey.So(left, convey.ShouldEqual, 0)
	})
}
