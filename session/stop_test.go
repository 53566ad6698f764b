package session

import (
	"bytes"
	"context"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/smartystreets/goconvey/convey"
)

// stopTimes returns the times of a stop that begins now, far enough apart for a busy machine.
func stopTimes() StopTimes {
	now := time.Now()
	return StopTimes{CloseIdle: now, Refuse: now.Add(300 * time.Millisecond)}
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
		"idle transaction":     {before: []string{"Q=begin", "Q=insert"}, answer: "E=57P01 closed"},
		"request without Sync": {send: "P=insert unread|B|E", answer: "E=57P01 closed"},
		"part of a message":    {raw: "Q\x00\x00", answer: "E=57P01 closed"},
	}
	convey.Convey("A host stops, and each guest gets its final answer", t, func() {
		fc := newFakeCluster()
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
