package statement

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/smartystreets/goconvey/convey"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/sdk/metric"
	"go.opentelemetry.io/otel/sdk/metric/metricdata"

	"github.com/jacinthtiller/jacinthtiller"
	"github.com/jacinthtiller/jacinthtiller/event"
)

// metricReader reads the metrics of all servers of later tests; the provider of a process can be set only once.
var metricReader = sync.OnceValue(func() *metric.ManualReader {
	r := metric.NewManualReader()
	otel.SetMeterProvider(metric.NewMeterProvider(metric.WithReader(r)))
	return r
})

// outputs collects what a server writes.
type outputs struct {
	log, trace bytes.Buffer
	events     *event.Log
}

func newOutputs() *outputs {
	o := &outputs{}
	logger := logrus.New()
	logger.SetOutput(&o.log)
	logger.SetLevel(logrus.DebugLevel)
	o.events = event.New("h0", logger, event.WithTrace(&o.trace))
	return o
}

// brokenAccountGuest is a guest with a key to which no answer of a target can be written.
type brokenAccountGuest struct{ *accountGuest }

func (brokenAccountGuest) ForwardReply(jacinthtiller.Reply, byte) error { return errBrokenPipe }

func (g *accountGuest) errorTexts() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return strings.Join(g.texts, "\n")
}

// TestNoKeyInOutputs guards against keys in logs, traces, dumps, metrics, errors and in what targets receive. Guests send their
// keys in all places of the startup message, and their sessions end in all ways that are logged.
func TestNoKeyInOutputs(t *testing.T) {
	const secret = "SeCrEt" // part of all keys
	const known, removed, unknown = secret + "-known", secret + "-removed", secret + "-unknown"
	read := metricReader()
	var all strings.Builder
	var events []string
	synctest.Test(t, func(t *testing.T) {
		o := newOutputs()
		l := &fakeLimiter{}
		ts := newTestServer(t, WithLimiter(l), WithEvents(o.events))
		ts.lease(time.Hour)
		ts.server.Apply(jacinthtiller.View{}) // the host has started
		waiting := ts.accountGuest(primaryRoute, known)
		time.Sleep(100 * time.Millisecond)
		ts.setKeys(map[string][]string{"acme": {known}, "beta": {removed}})
		guests := []*accountGuest{waiting}
		open := func(route jacinthtiller.ReadClass, key string) *accountGuest {
			g := ts.accountGuest(route, key)
			guests = append(guests, g)
			return g
		}
		<-waiting.answers
		for _, key := range []string{unknown, "", known + " " + known} {
			<-open(primaryRoute, key).answers
		}
		<-open(known, string(primaryRoute)).answers // the route and the key in the wrong order
		<-open(publicRoute, unknown).answers

		g := open(primaryRoute, known)
		<-g.answers
		late := func(o jacinthtiller.TargetRequest, _ time.Time) error {
			if o.ID != "" {
				time.Sleep(300 * time.Millisecond)
			}
			return nil
		}
		ts.group.set(func() { ts.group.receive = late })
		g.ask("READ 1") // answered late
		ts.group.set(func() { ts.group.receive = nil })
		for range successLogInterval {
			g.ask("READ 1")
		}
		for _, code := range []jacinthtiller.ErrorCode{jacinthtiller.ErrorCodeBusy, jacinthtiller.ErrorCodeExecution} {
			ts.group.set(func() {
				ts.group.script = func(string, jacinthtiller.TargetRequest) (jacinthtiller.Reply, error) { return fail(code) }
			})
			g.ask("WRITE 1 x")
			g.ask("READ 1")
		}
		ts.group.set(func() { ts.group.script = nil })
		g.ask("EXECUTE s 1")
		g.ask("STARTUP " + known) // not a request
		l.script(func(time.Time) jacinthtiller.LimitDecision { return jacinthtiller.LimitDecision{Exhausted: true} })
		g.ask("READ 1")
		l.script(nil)
		g.ask("BEGIN")
		g.ask("READ 1")

		r := open(primaryRoute, removed)
		<-r.answers
		ts.setKeys(map[string][]string{"acme": {known}})
		r.ask("READ 1")
		broken := &accountGuest{fakeGuest: newFakeGuest(primaryRoute), key: known}
		ts.serve(brokenAccountGuest{broken})
		<-broken.answers
		broken.ask("READ 1")

		for _, dump := range []any{ts.server.Stats(), ts.pool.Dump(), ts.view, ts.server.view.Load(), ts.job()} {
			b, err := json.Marshal(dump)
			all.Write(b)
			fmt.Fprintf(&all, "%+v %v", dump, err)
		}
		at := time.Now()
		_ = ts.server.Drain(context.Background(), StopTimes{CloseIdle: at, Refuse: at, Answer: at.Add(time.Second)})
		<-open(primaryRoute, known).answers
		<-open(publicRoute, unknown).answers
		ts.close()

		starting := newTestServer(t, WithEvents(o.events))
		starting.server.Apply(jacinthtiller.View{}) // the host stops before it has an edition
		g = starting.accountGuest(primaryRoute, known)
		time.Sleep(100 * time.Millisecond)
		_ = starting.server.Drain(context.Background(), StopTimes{CloseIdle: at, Refuse: at, Answer: at.Add(time.Hour)})
		<-g.answers
		starting.close()
		for _, g := range append(guests, g) {
			all.WriteString(g.errorTexts())
		}
		fmt.Fprint(&all, o.log.String(), o.trace.String(), ts.group.log())
		d := json.NewDecoder(&o.trace)
		for {
			var e event.Record
			if d.Decode(&e) != nil {
				break
			}
			events = append(events, e.Name)
		}
	})
	var metrics metricdata.ResourceMetrics
	err := read.Collect(context.Background(), &metrics)
	fmt.Fprintf(&all, "%+v", metrics)
	convey.Convey("A run with guests that send keys", t, func() {
		convey.So(err, convey.ShouldBeNil)
		convey.So(all.String(), convey.ShouldNotContainSubstring, secret)
		convey.So(all.String(), convey.ShouldContainSubstring, "jacinthtiller.statement.refused-operations")
		for _, k := range []event.Kind{
			event.StatementFailed, event.StatementDone, event.StatementLate, event.StatementRetried, event.TransactionAborted,
			event.GuestWithoutRoute, event.GuestWithoutAccount, event.OperationRefused, event.RequestUnanswered, event.SessionRejected,
		} {
			convey.So(events, convey.ShouldContain, k.Name)
		}
	})
}

// faultyLimiter panics.
type faultyLimiter struct{}

func (faultyLimiter) Admit(string, time.Time) jacinthtiller.LimitDecision {
	panic(errors.New("fault for a test"))
}

// TestNoKeyInPanicLog guards against a key in the line of a panic that ends a session.
func TestNoKeyInPanicLog(t *testing.T) {
	convey.Convey("The log of a panic names the account and no key", t, func() {
		o := newOutputs()
		ts := newTestServer(t, WithLimiter(faultyLimiter{}), WithEvents(o.events))
		ts.setKeys(map[string][]string{"acme": {"SeCrEt"}})
		g := ts.accountGuest(primaryRoute, "SeCrEt")
		<-g.answers
		g.requests <- requestOf("READ 1")
		_, open := <-g.answers
		convey.So(open, convey.ShouldBeFalse)
		ts.close()
		convey.So(o.log.String(), convey.ShouldContainSubstring, event.WorkPanicked.Name)
		convey.So(o.log.String(), convey.ShouldContainSubstring, "guest=acme")
		convey.So(o.log.String()+o.trace.String(), convey.ShouldNotContainSubstring, "SeCrEt")
	})
}
