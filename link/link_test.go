package link

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"github.com/sourcegraph/conc"

	"github.com/jacinthtiller/jacinthtiller"
	"github.com/jacinthtiller/jacinthtiller/wire"
)

var background = context.Background()

// fakeChannel answers each unit with the unit's own frames, or through respond.
type fakeChannel struct {
	respond func(ctx context.Context, u jacinthtiller.Unit, sink jacinthtiller.Sink) (jacinthtiller.Result, error)

	mu sync.Mutex // guards the fields below
	// units, cancels and closes record the calls.
	units           []jacinthtiller.Unit
	cancels, closes int
	// cancelled has capacity 1 and is full after a cancel; more cancels are only counted.
	cancelled chan struct{}
}

func (f *fakeChannel) Run(ctx context.Context, u jacinthtiller.Unit, sink jacinthtiller.Sink) (jacinthtiller.Result, error) {
	f.mu.Lock()
	f.units = append(f.units, u)
	f.mu.Unlock()
	if f.respond != nil {
		return f.respond(ctx, u, sink)
	}
	return doneResult(u, 'I'), sink(u.Frames)
}

func doneResult(u jacinthtiller.Unit, status byte) jacinthtiller.Result {
	return jacinthtiller.Result{Number: u.Number, Outcome: jacinthtiller.OutcomeDone, Status: status}
}

func (f *fakeChannel) Cancel(context.Context) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cancels++
	select {
	case f.cancelled <- struct{}{}:
	default:
	}
	return nil
}

func (f *fakeChannel) Close() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closes++
	return nil
}

func (f *fakeChannel) count() (units, cancels, closes int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.units), f.cancels, f.closes
}

// pair is an opener connected to a server over loopback.
type pair struct {
	opener *Opener
	server *Server
	// opened counts the channels that the server opened.
	opened int
}

func newPair(t testing.TB, f *fakeChannel) *pair {
	f.cancelled = make(chan struct{}, 1)
	p := &pair{}
	p.server = NewServer(func(context.Context) (jacinthtiller.Channel, error) { p.opened++; return f, nil })
	address := serve(t, p.server.Serve)
	t.Cleanup(func() { _ = p.server.Close() })
	p.opener = newOpener(t, address)
	return p
}

func newOpener(t testing.TB, address string) *Opener {
	o := NewOpener("a", nil, func(host string) (string, bool) { return address, host == "b" })
	t.Cleanup(func() { _ = o.Close() })
	return o
}

// serve runs a server on a free port until the test ends.
func serve(t testing.TB, f func(net.Listener) error) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var g conc.WaitGroup
	g.Go(func() { _ = f(l) })
	t.Cleanup(func() { _ = l.Close(); g.Wait() })
	return l.Addr().String()
}

func (p *pair) open(t testing.TB) jacinthtiller.Channel {
	c, err := p.opener.Open(background, "b")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// run runs a unit and returns the answer as "outcome code: frames".
func run(c jacinthtiller.Channel, u jacinthtiller.Unit) string {
	var got []byte
	res, err := c.Run(background, u, func(b []byte) error { got = append(got, b...); return nil })
	if err != nil {
		e := jacinthtiller.AsError(err)
		return fmt.Sprintf("broken, %s %s: %s", e.Outcome, e.Code, got)
	}
	if res.Number != u.Number {
		return fmt.Sprintf("number %d for unit %d", res.Number, u.Number)
	}
	return fmt.Sprintf("%s %c: %s", res.Outcome, res.Status, got)
}

func eventually(t testing.TB, f func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if f() {
			return
		}
	}
	t.Fatal("condition not met within 10 s")
}

// TestUnit guards against fields that get lost in transfer, deadlines that depend on the clock of the
// other host, and connections that are dialled again for each channel.
func TestUnit(t *testing.T) {
	convey.Convey("A unit arrives unchanged and its connection is reused", t, func() {
		f := &fakeChannel{}
		p := newPair(t, f)
		sent := jacinthtiller.Unit{
			Number: 7, Database: "d", Target: "t", Term: 3, Epoch: 4, Team: "x", Guest: "g", Session: "s",
			Access: jacinthtiller.AccessRead, Mark: jacinthtiller.Position{Term: 1, Index: 2}, Key: "k", Fingerprint: 1 << 63,
			Deadline: time.Now().Add(time.Minute), WaitUntil: time.Now().Add(-time.Second),
			Prepares: []jacinthtiller.Statement{{Name: "p", SQL: "SELECT 1", Types: []uint32{23}}}, Frames: []byte("Q...."),
		}
		for range 3 {
			c := p.open(t)
			convey.So(run(c, sent), convey.ShouldEqual, "done I: Q....")
			convey.So(c.Close(), convey.ShouldBeNil)
		}
		convey.So(p.opened, convey.ShouldEqual, 1)
		got := f.units[0]
		convey.So(time.Until(got.Deadline), convey.ShouldBeBetween, 50*time.Second, time.Minute)
		convey.So(time.Since(got.WaitUntil), convey.ShouldBeBetween, time.Second, 10*time.Second)
		convey.So(run(p.open(t), jacinthtiller.Unit{Number: 9, Frames: []byte("Q....")}), convey.ShouldEqual, "done I: Q....")
		convey.So(f.units[3].Deadline.IsZero(), convey.ShouldBeTrue)
		got.Deadline, got.WaitUntil = sent.Deadline, sent.WaitUntil
		convey.So(got, convey.ShouldResemble, sent)
	})
	convey.Convey("The local host needs no connection", t, func() {
		f := &fakeChannel{}
		o := NewOpener("a", func(context.Context) (jacinthtiller.Channel, error) { return f, nil }, nil)
		c, err := o.Open(background, "a")
		convey.So(err, convey.ShouldBeNil)
		convey.So(run(c, jacinthtiller.Unit{Number: 1, Frames: []byte("Q")}), convey.ShouldEqual, "done I: Q")
	})
}

// TestOutcome guards against an outcome that claims more than is known, and against answers that reach
// another unit than their own.
func TestOutcome(t *testing.T) {
	// The first unit has the number 5 and the sequence 1.
	numbered := func(n, sequence uint64) []byte {
		b, _ := appendFrame(nil, frameResult, reply{
			Result: jacinthtiller.Result{Number: n, Outcome: jacinthtiller.OutcomeDone, Status: 'I'}, Sequence: sequence,
		})
		return b
	}
	result := func(n uint64) []byte { return numbered(n+4, n) }
	rows := func(n uint64) []byte { b, _ := appendMessages(nil, n, []byte("row")); return b }
	cases := map[string]struct {
		// answers are what the owner's host writes after each unit before it closes the connection.
		answers [][]byte
		want    []string
	}{
		"closed without an answer": {nil, []string{"broken, unknown 08007: "}},
		"closed within the answer": {[][]byte{rows(1)}, []string{"broken, unknown 08007: row"}},
		"another unit's result":    {[][]byte{append(rows(1), result(2)...)}, []string{"broken, unknown 08007: row"}},
		"another number":           {[][]byte{numbered(6, 1)}, []string{"broken, unknown 08007: "}},
		"another sequence":         {[][]byte{numbered(5, 2)}, []string{"broken, unknown 08007: "}},
		"another unit's rows":      {[][]byte{append(rows(9), result(1)...)}, []string{"broken, unknown 08007: "}},
		"unknown frame":            {[][]byte{append([]byte("?\x00\x00\x00\x04"), result(1)...)}, []string{"broken, unknown 08007: "}},
		"frame too long":           {[][]byte{append([]byte("M\x7f\x00\x00\x04"), result(1)...)}, []string{"broken, unknown 08007: "}},
		"duplicate result is late": {[][]byte{append(result(1), result(1)...), result(2)}, []string{"done I: ", "broken, unknown 08007: "}},
		"keepalive and go-away":    {[][]byte{append([]byte("B\x00\x00\x00\x04G\x00\x00\x00\x04"), result(1)...)}, []string{"done I: "}},
	}
	convey.Convey("The outcome of a unit is unknown unless its own result arrived", t, func() {
		for name, c := range cases {
			convey.Convey(name, func() {
				address := serve(t, func(l net.Listener) error { return serveScript(l, c.answers) })
				o := newOpener(t, address)
				ch, err := o.Open(background, "b")
				convey.So(err, convey.ShouldBeNil)
				defer ch.Close()
				for i, want := range c.want {
					convey.So(run(ch, jacinthtiller.Unit{Number: uint64(i) + 5, Frames: []byte("Q")}), convey.ShouldEqual, want)
				}
				if c.want[len(c.want)-1] != "done I: " {
					convey.So(run(ch, jacinthtiller.Unit{Number: 99}), convey.ShouldEqual, "broken, not-run JT003: ")
				}
			})
		}
	})
	convey.Convey("A length beyond the limit is refused before memory is allocated for it", t, func() {
		_, _, err := newReader(strings.NewReader("M\x7f\x00\x00\x04")).read()
		convey.So(err.Error(), convey.ShouldContainSubstring, "not allowed")
	})
	convey.Convey("A host that cannot be reached proves that nothing ran", t, func() {
		l, _ := net.Listen("tcp", "127.0.0.1:0")
		_ = l.Close()
		_, err := newOpener(t, l.Addr().String()).Open(background, "b")
		convey.So(jacinthtiller.AsError(err).Outcome, convey.ShouldEqual, jacinthtiller.OutcomeNotRun)
		_, err = newOpener(t, l.Addr().String()).Open(background, "nobody")
		convey.So(jacinthtiller.AsError(err).Outcome, convey.ShouldEqual, jacinthtiller.OutcomeNotRun)
	})
}

// serveScript accepts one connection and answers its units with the given bytes.
func serveScript(l net.Listener, answers [][]byte) error {
	c, err := l.Accept()
	if err != nil {
		return err
	}
	defer c.Close()
	r := newReader(c)
	for units := 0; ; {
		typ, _, err := r.read()
		if err != nil {
			return err
		}
		if typ != frameMessages {
			continue
		}
		if units == len(answers) {
			return nil
		}
		if _, err := c.Write(answers[units]); err != nil {
			return err
		}
		if units++; units == len(answers) {
			return nil
		}
	}
}

// TestPartialUnit guards against a unit that runs although only a part of it arrived.
func TestPartialUnit(t *testing.T) {
	u, _ := appendFrame(nil, frameHello, hello{Version: protocolVersion, Host: "a"})
	u, _ = appendFrame(u, frameUnit, newUnitHeader(jacinthtiller.Unit{Number: 1}, 1, time.Now()))
	u, _ = appendMessages(u, 1, []byte("Q...."))
	other, _ := appendMessages(nil, 2, []byte("Q...."))
	cases := map[string]struct {
		sent  []byte
		units int
	}{
		"complete":            {u, 1},
		"last byte missing":   {u[:len(u)-1], 0},
		"header only":         {u[:len(u)-18], 0},
		"no hello":            {u[helloBytes():], 0},
		"messages of another": {append(append([]byte(nil), u[:len(u)-18]...), other...), 0},
	}
	convey.Convey("A unit runs only when all of it has arrived", t, func() {
		for name, c := range cases {
			convey.Convey(name, func() {
				f := &fakeChannel{}
				s := NewServer(func(context.Context) (jacinthtiller.Channel, error) { return f, nil })
				nc, err := net.Dial("tcp", serve(t, s.Serve))
				convey.So(err, convey.ShouldBeNil)
				_, _ = nc.Write(c.sent)
				if c.units == 1 {
					eventually(t, func() bool { n, _, _ := f.count(); return n == 1 })
				}
				_ = nc.Close()
				eventually(t, func() bool { busy, _ := s.closeIdle(); return !busy && s.connCount() == 0 })
				n, _, _ := f.count()
				convey.So(n, convey.ShouldEqual, c.units)
				convey.So(s.Close(), convey.ShouldBeNil)
			})
		}
	})
}

func (s *Server) connCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

func helloBytes() int {
	b, _ := appendFrame(nil, frameHello, hello{Version: protocolVersion, Host: "a"})
	return len(b)
}

// TestPeerGone guards against transactions that stay open, and units that keep running, after the
// entry host has disconnected.
func TestPeerGone(t *testing.T) {
	convey.Convey("After the entry host has disconnected", t, func() {
		f := &fakeChannel{}
		p := newPair(t, f)
		c := p.open(t)
		closes := func() int { _, _, n := f.count(); return n }
		convey.Convey("the connection of an open transaction is closed, not reused", func() {
			f.respond = func(_ context.Context, u jacinthtiller.Unit, _ jacinthtiller.Sink) (jacinthtiller.Result, error) {
				return doneResult(u, 'T'), nil
			}
			convey.So(run(c, jacinthtiller.Unit{Number: 1}), convey.ShouldEqual, "done T: ")
			convey.So(c.Close(), convey.ShouldBeNil)
			eventually(t, func() bool { return closes() == 1 })
			convey.So(run(p.open(t), jacinthtiller.Unit{Number: 1}), convey.ShouldEqual, "done T: ")
			convey.So(p.opened, convey.ShouldEqual, 2)
		})
		convey.Convey("a running unit is interrupted", func() {
			started := make(chan struct{})
			f.respond = func(ctx context.Context, u jacinthtiller.Unit, _ jacinthtiller.Sink) (jacinthtiller.Result, error) {
				close(started)
				<-ctx.Done()
				return doneResult(u, 'I'), ctx.Err()
			}
			ctx, cancel := context.WithCancel(background)
			var g conc.WaitGroup
			g.Go(func() { <-started; cancel() })
			_, err := c.Run(ctx, jacinthtiller.Unit{Number: 1}, nil)
			convey.So(jacinthtiller.AsError(err).Outcome, convey.ShouldEqual, jacinthtiller.OutcomeUnknown)
			g.Wait()
			eventually(t, func() bool { return closes() == 1 })
		})
	})
}

// TestCancel guards against a cancel that waits for the unit, or that cancels a later one.
func TestCancel(t *testing.T) {
	convey.Convey("A cancel reaches the running unit", t, func() {
		f := &fakeChannel{}
		p := newPair(t, f)
		c := p.open(t)
		started := make(chan struct{}, 1)
		f.respond = func(_ context.Context, u jacinthtiller.Unit, _ jacinthtiller.Sink) (jacinthtiller.Result, error) {
			started <- struct{}{}
			<-f.cancelled
			return doneResult(u, 'I'), nil
		}
		var g conc.WaitGroup
		var cancel error
		g.Go(func() { <-started; cancel = c.Cancel(background) })
		convey.So(run(c, jacinthtiller.Unit{Number: 1}), convey.ShouldEqual, "done I: ")
		g.Wait()
		convey.So(cancel, convey.ShouldBeNil)
		convey.Convey("and none that comes after it", func() {
			f.respond = nil
			convey.So(c.Cancel(background), convey.ShouldBeNil)
			h := c.(*channel)
			late := appendFrameHeader(nil, frameCancel, sequenceBytes)
			_, err := h.peer.conn.Write(append(late, 0, 0, 0, 0, 0, 0, 0, 1))
			convey.So(err, convey.ShouldBeNil)
			convey.So(run(c, jacinthtiller.Unit{Number: 2}), convey.ShouldEqual, "done I: ")
			_, cancels, _ := f.count()
			convey.So(cancels, convey.ShouldEqual, 1)
		})
	})
}

// TestDrain guards against a stop that interrupts a unit or an open transaction, and against idle
// connections that are used after the stop.
func TestDrain(t *testing.T) {
	convey.Convey("Drain waits for the transaction and closes idle connections", t, func() {
		f := &fakeChannel{}
		p := newPair(t, f)
		status := byte('T')
		f.respond = func(_ context.Context, u jacinthtiller.Unit, _ jacinthtiller.Sink) (jacinthtiller.Result, error) {
			return doneResult(u, status), nil
		}
		busy, idle, notified := p.open(t), p.open(t), p.open(t)
		convey.So(run(busy, jacinthtiller.Unit{Number: 1}), convey.ShouldEqual, "done T: ")
		status = 'I'
		convey.So(run(idle, jacinthtiller.Unit{Number: 1}), convey.ShouldEqual, "done I: ")
		convey.So(run(notified, jacinthtiller.Unit{Number: 1}), convey.ShouldEqual, "done I: ")
		convey.So(idle.Close(), convey.ShouldBeNil)
		var g conc.WaitGroup
		var drained error
		g.Go(func() { drained = p.server.Drain(background) })
		typ, _, err := notified.(*channel).peer.reader.read()
		convey.So(err, convey.ShouldBeNil)
		convey.So(typ, convey.ShouldEqual, byte(frameGoAway))
		eventually(t, func() bool { return wire.ClosedOrReadable(p.opener.idle[idle.(*channel).peer.address][0].raw) })
		convey.So(p.opener.takeIdle(idle.(*channel).peer.address), convey.ShouldBeNil)
		convey.So(run(busy, jacinthtiller.Unit{Number: 2}), convey.ShouldEqual, "done I: ")
		g.Wait()
		convey.So(drained, convey.ShouldBeNil)
	})
	convey.Convey("Drain returns when its context ends", t, func() {
		f := &fakeChannel{respond: func(_ context.Context, u jacinthtiller.Unit, _ jacinthtiller.Sink) (jacinthtiller.Result, error) {
			return doneResult(u, 'T'), nil
		}}
		p := newPair(t, f)
		convey.So(run(p.open(t), jacinthtiller.Unit{Number: 1}), convey.ShouldEqual, "done T: ")
		ctx, cancel := context.WithTimeout(background, 10*time.Millisecond)
		defer cancel()
		convey.So(errors.Is(p.server.Drain(ctx), context.DeadlineExceeded), convey.ShouldBeTrue)
	})
}
