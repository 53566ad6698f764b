package e2e_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"github.com/sourcegraph/conc"
)

// relayConnections is so few connections of a target that three of five hosts are its gateways.
const relayConnections = 10

// logLineTimeout bounds the wait for the log line of an answered request. The host writes the line after the answer and
// through a buffer, and the output is read from a pipe.
const logLineTimeout = 5 * time.Second

// findRelay returns a host that sends its writes through another one, and that one.
func (n *platformInstallation) findRelay() (sender, relay string) {
	n.eventually("a host sends its statements through another one", func(context.Context) error {
		for _, name := range slices.Sorted(maps.Keys(n.hosts)) {
			through, err := n.relayOf(name)
			if err != nil {
				return err
			}
			if through != "" {
				sender, relay = name, through
				return nil
			}
		}
		return errors.New("all hosts are gateways")
	})
	return sender, relay
}

// relayOf returns the host through which a write of the host went, according to its log, which has all late requests.
func (n *platformInstallation) relayOf(host string) (string, error) {
	g, err := dialGuest(n.hosts[host].guestAddress, "strict")
	if err != nil {
		return "", err
	}
	defer g.conn.Close()
	id := g.nextID()
	if _, _, err := g.exchange(id, "WRITE 1 slow"); err != nil {
		return "", err
	}
	deadline := time.Now().Add(logLineTimeout)
	for {
		for line := range strings.Lines(n.hosts[host].output.String()) {
			var e struct{ Request, Through string }
			if json.Unmarshal([]byte(line), &e) == nil && e.Request == id {
				return e.Through, nil
			}
		}
		if time.Now().After(deadline) {
			return "", fmt.Errorf("the log of %s lacks request %s", host, id)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// codes returns how often each error was answered until now.
func (r *stopRecord) codes() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.refused)
}

// TestStopOfRelay guards against requests of a host that end without a whole answer, writes with an unknown outcome and
// transactions that are rolled back, because the host that relays its statements stops.
func TestStopOfRelay(t *testing.T) {
	cases := map[string]struct {
		// senderMilliseconds is when the sending host gets its SIGTERM after the relaying one; negative for before it.
		senderMilliseconds int64
		senderStops        bool
		// relayGuests are guests of the relaying host itself that come while it stops.
		relayGuests []stopClient
		// draining is a target that reports that it leaves while the hosts stop; empty for none.
		draining string
	}{
		"it stops": {},
		"it stops and its own guests use up its time": {relayGuests: []stopClient{
			{database: "strict", texts: []string{"WRITE 7 stuck"}},
		}},
		"both stop at once":               {senderStops: true},
		"it stops before the sender":      {senderStops: true, senderMilliseconds: 600},
		"it stops after the sender":       {senderStops: true, senderMilliseconds: -600},
		"it stops while a replica leaves": {draining: "i-1"},
	}
	convey.Convey("A host relays statements of another one", t, func() {
		for name, c := range cases {
			convey.Convey(name, func() {
				n := startPlatform(t)
				n.startEntryHost(3)
				n.startEntryHost(4)
				n.databases.mu.Lock()
				n.databases.work = func(text string) time.Duration {
					switch {
					case strings.HasSuffix(text, "slow"):
						return 700 * time.Millisecond
					case strings.HasSuffix(text, "long"):
						return 1200 * time.Millisecond
					case strings.HasSuffix(text, "stuck"):
						return 4 * time.Second // longer than the route's timeout and the time to stop
					}
					return 20 * time.Millisecond
				}
				n.databases.mu.Unlock()
				n.putConfig(strings.Replace(platformConfig(2, 2000), `"max_connections":30`, fmt.Sprintf(`"max_connections":%d`, relayConnections), 1))
				senderName, relayName := n.findRelay()
				sender, relay := n.hosts[senderName], n.hosts[relayName]

				clients := []stopClient{
					{database: "own", texts: []string{"READ 1"}, pauseMilliseconds: 3},
					{database: "bounded", texts: []string{"READ 3"}, perSession: 1, pauseMilliseconds: 1},
					{database: "strict", texts: []string{"READ 2", "WRITE 2 a"}},
					{database: "strict", texts: []string{"WRITE 4 x"}, pauseMilliseconds: 5},
					{database: "strict", texts: []string{"BEGIN", "READ 5", "WRITE 5 y", "COMMIT"}, pauseMilliseconds: 5},
				}
				ran := func(id string) bool {
					n.databases.mu.Lock()
					defer n.databases.mu.Unlock()
					return n.databases.ran[id]
				}
				sent, own := &stopRecord{refused: map[string]int{}}, &stopRecord{refused: map[string]int{}}
				var group conc.WaitGroup
				for _, x := range clients {
					group.Go(func() { x.run(sender.guestAddress, sent, ran) })
				}
				for i := range 2 { // at other times
					if c.senderStops {
						break // its own stop ends what is this long
					}
					x := stopClient{database: "strict", texts: []string{"WRITE 3 long"}, pauseMilliseconds: 10}
					group.Go(func() {
						time.Sleep(time.Duration(i*600) * time.Millisecond)
						x.run(sender.guestAddress, sent, ran)
					})
				}
				n.eventually("statements are relayed under load", func(context.Context) error {
					through, err := n.relayOf(senderName)
					if err == nil && through != relayName {
						err = fmt.Errorf("%s sent a write through %q", senderName, through)
					}
					return err
				})

				began := time.Now()
				first, second, wait := relay, sender, c.senderMilliseconds
				if wait < 0 {
					first, second, wait = sender, relay, -wait
				}
				_ = first.cmd.Process.Signal(syscall.SIGTERM)
				if c.draining != "" {
					time.Sleep(300 * time.Millisecond)
					n.databases.drain(c.draining)
				}
				if c.senderStops {
					time.Sleep(time.Duration(wait) * time.Millisecond)
					_ = second.cmd.Process.Signal(syscall.SIGTERM)
				}
				for _, x := range c.relayGuests {
					group.Go(func() {
						time.Sleep(time.Until(began.Add(1200 * time.Millisecond)))
						x.run(relay.guestAddress, own, ran)
					})
				}
				<-relay.exited
				took := time.Since(began)
				time.Sleep(300 * time.Millisecond)
				codes := sent.codes()
				sender.terminate()
				group.Wait()
				t.Logf("%s: %s relayed for %s and took %v; %d answers, errors %v, at the end %v, %d requests reset unread; of its own guests %d answers, errors %v",
					name, relayName, senderName, took, sent.answered, codes, sent.refused, sent.resets, own.answered, own.refused)
				convey.So(sent.unanswered, convey.ShouldBeEmpty)
				convey.So(own.unanswered, convey.ShouldBeEmpty)
				convey.So(codes["INDOUBT"], convey.ShouldEqual, 0)
				if !c.senderStops {
					convey.So(codes["ABORTED"], convey.ShouldEqual, 0)
				}
			})
		}
	})
}
