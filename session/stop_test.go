package session

import (
	"bytes"
	"context"
	"errors"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/smartystreets/goconvey/convey"

	"github.com/jacinthtiller/jacinthtiller"
)

// stopTimes returns the times of a stop that begins now, far enough apart for a busy machine.
func stopTimes() StopTimes {
	now := time.Now()
	return StopTimes{CloseIdle: now, Refuse: now.Add(300 * time.Millisecond), Answer: now.Add(900 * time.Millisecond)}
}

// TestStopAnswersAll guards against requests whose connection is cut by the end of a planned stop, without an answer that says
// what has become of them.
func TestStopAnswersAll(t *testing.T) {
	cases := map[string]struct {
		// before is sent first and answered with one ReadyForQuery for each message.
		before []string
		// send is sent before the stop, and raw after it.
		send, raw string
		answer    string
	}{
		"read":                       {send: "Q=select slow", answer: "E=08007 Z=I E=57P01 closed"},
		"write":                      {send: "Q=insert slow", answer: "E=08007 Z=I E=57P01 closed"},
		"extended write":             {send: "P=insert slow|B|E|S", answer: "E=08007 Z=I E=57P01 closed"},
		"statement of a transaction": {before: []string{"Q=begin"}, send: "Q=insert slow", answer: "E=40000 Z=E E=57P01 closed"},
		"commit":                     {before: []string{"Q=begin", "Q=insert"}, send: "Q=commit -- slow", answer: "E=08007 Z=I E=57P01 closed"},
		"request without a target":   {send: "Q=insert nowhere", answer: "E=JT004 Z=I E=57P01 closed"},
		"pipelined request":          {send: "Q=insert slow|Q=insert unread", answer: "E=08007 Z=I E=57P01 closed"},
		"idle transaction":           {before: []string{"Q=begin", "Q=insert"}, answer: "E=57P01 closed"},
		"request without Sync":       {send: "P=insert unread|B|E", answer: "E=57P01 closed"},
		"part of a message":          {raw: "Q\x00\x00", answer: "E=57P01 closed"},
	}
	convey.Convey("A host stops, and each guest gets its final answer", t, func() {
		fc := newFakeCluster()
		fc.slow = "slow"
		fc.intercept = func(_ *fakeChannel, u jacinthtiller.Unit, _ jacinthtiller.Sink) (jacinthtiller.Result, error, bool) {
			return refused(u, jacinthtiller.ReasonNoLease), nil, strings.Contains(string(u.Frames), "nowhere")
		}
		fc.team.QueueDeadlineMicroseconds = time.Minute.Microseconds()
		h := fc.startHost(t)
		clients := map[string]*rawClient{}
		for name, c := range cases {
			k := h.connectRaw(t, "writer")
			for _, m := range c.before {
				k.send(m)
				k.readAnswer('Z', 1)
			}
			if c.send != "" {
				k.send(c.send)
			}
			_, err := k.conn.Write([]byte(c.raw))
			convey.So(err, convey.ShouldBeNil)
			clients[name] = k
		}
		time.Sleep(50 * time.Millisecond) // the host reads what was sent
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		times := stopTimes()
		drained := h.Drain(ctx, times)
		took := time.Since(times.CloseIdle)
		h.Close()
		answers, want := map[string]string{}, map[string]string{}
		for name, k := range clients {
			answers[name], want[name] = k.readAnswer('!', 1), cases[name].answer
		}
		convey.So(answers, convey.ShouldResemble, want)
		convey.So(drained, convey.ShouldBeNil)
		convey.So(took, convey.ShouldBeLessThan, 4*time.Second)
		convey.So(fc.unitsWith("unread"), convey.ShouldBeEmpty)
		convey.So(fc.positions["p"], convey.ShouldEqual, 0)
	})
}

// TestStopEndsBusyGuests guards against guests that keep a stopping host busy until the end of the process cuts them off: one
// whose next request has always arrived, and one that asks again at once in an open transaction.
func TestStopEndsBusyGuests(t *testing.T) {
	query := encode(nil, &pgproto3.Query{String: "select a"})
	cases := map[string]struct {
		before string
		// streams is true for a guest that sends requests without waiting for answers.
		streams bool
	}{
		"pipelines requests":       {streams: true},
		"asks in a transaction":    {before: "Q=begin"},
		"pipelines in transaction": {before: "Q=begin", streams: true},
	}
	convey.Convey("A host with busy guests stops", t, func() {
		h := newFakeCluster().startHost(t)
		var guests sync.WaitGroup
		var mu sync.Mutex
		last, want := map[string]string{}, map[string]string{}
		for name, c := range cases {
			want[name] = "E=57P01 closed"
			k := h.connectRaw(t, "writer")
			if c.before != "" {
				k.send(c.before)
				k.readAnswer('Z', 1)
			}
			if c.streams {
				guests.Go(func() {
					for many := bytes.Repeat(query, 100); ; {
						if _, err := k.conn.Write(many); err != nil {
							return
						}
					}
				})
			}
			guests.Go(func() {
				for {
					if !c.streams {
						_, _ = k.conn.Write(query) // the answer shows a failure
					}
					if a := k.readAnswer('Z', 1); !strings.HasSuffix(a, "Z=I") && !strings.HasSuffix(a, "Z=T") {
						mu.Lock()
						defer mu.Unlock()
						last[name] = a
						return
					}
				}
			})
		}
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		times := stopTimes()
		drained := h.Drain(ctx, times)
		late := time.Since(times.Refuse.Add(time.Second))
		h.Close()
		guests.Wait()
		convey.So(last, convey.ShouldResemble, want)
		convey.So(drained, convey.ShouldBeNil)
		convey.So(late, convey.ShouldBeLessThan, 0)
	})
}

// TestStopLate guards against a busy machine on which the steps of a stop run late, after its time is over: the request was
// cut off without its answer.
func TestStopLate(t *testing.T) {
	convey.Convey("All steps are overdue", t, func() {
		fc := newFakeCluster()
		fc.slow = "slow"
		h := fc.startHost(t)
		k := h.connectRaw(t, "writer")
		k.send("Q=insert slow")
		time.Sleep(50 * time.Millisecond) // the host reads what was sent
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		past := time.Now().Add(-time.Second)
		_ = h.Drain(ctx, StopTimes{CloseIdle: past, Refuse: past, Answer: past}) // the guest may not have left in time
		h.Close()
		convey.So(k.readAnswer('!', 1), convey.ShouldEqual, "E=08007 Z=I E=57P01 closed")
	})
}

// TestStopDeadline guards against a request that waits for a target until after the stop, so that its outcome is unknown
// although it has not run.
func TestStopDeadline(t *testing.T) {
	convey.Convey("A request that is taken during a stop may wait until shortly before Answer", t, func() {
		fc := newFakeCluster()
		fc.team.QueueDeadlineMicroseconds = time.Minute.Microseconds()
		h := fc.startHost(t)
		k := h.connectRaw(t, "writer")
		times := StopTimes{CloseIdle: time.Now().Add(time.Minute), Refuse: time.Now().Add(time.Minute), Answer: time.Now().Add(10 * time.Second)}
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		convey.So(errors.Is(h.Drain(ctx, times), context.DeadlineExceeded), convey.ShouldBeTrue)
		k.send("Q=begin|Q=select a|Q=rollback|Q=select b")
		k.readAnswer('Z', 4)
		units := fc.unitsWith("")
		convey.So(units, convey.ShouldHaveLength, 4)
		for _, u := range units {
			convey.So(u.Deadline, convey.ShouldHappenBefore, times.Answer)
		}
	})
}

// TestStopRejectsLogins guards against a guest whose login is cut off by the stop of the host without a reason.
func TestStopRejectsLogins(t *testing.T) {
	cases := map[string]struct {
		// sent is what the guest has sent before the stop, and received the types of the answers to it.
		sent     []byte
		received string
	}{
		"nothing sent":      {},
		"part of a startup": {sent: []byte{0, 0, 0}},
		"no password yet": {
			sent:     encode(nil, &pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{"user": "writer", "database": "db"}}),
			received: "R",
		},
	}
	convey.Convey("A host stops while guests log in", t, func() {
		h := newFakeCluster().startHost(t)
		clients := map[string]*rawClient{}
		for name, c := range cases {
			conn, err := net.Dial("tcp", h.address)
			convey.So(err, convey.ShouldBeNil)
			defer conn.Close()
			convey.So(conn.SetDeadline(time.Now().Add(5*time.Second)), convey.ShouldBeNil)
			_, err = conn.Write(c.sent)
			convey.So(err, convey.ShouldBeNil)
			clients[name] = &rawClient{conn: conn, frontend: pgproto3.NewFrontend(conn, conn)}
			if c.received != "" {
				convey.So(clients[name].readAnswer(c.received[0], 1), convey.ShouldEqual, c.received)
			}
		}
		time.Sleep(50 * time.Millisecond) // the host accepts all
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		convey.So(h.Drain(ctx, stopTimes()), convey.ShouldBeNil)
		for _, k := range clients {
			convey.So(k.readAnswer('!', 1), convey.ShouldEqual, "E=57P03 closed")
		}
	})
}
