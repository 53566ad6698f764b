package link_test

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/sourcegraph/conc"

	"github.com/jacinthtiller/jacinthtiller"
	"github.com/jacinthtiller/jacinthtiller/link"
	"github.com/jacinthtiller/jacinthtiller/owner"
	"github.com/jacinthtiller/jacinthtiller/standin"
)

const benchSlots = 5

// benchPath is an owner with a server in front of it and an opener on another host.
type benchPath struct {
	target *standin.Target
	owner  *owner.Owner
	remote *link.Opener
}

func newBenchPath(b *testing.B) *benchPath {
	s, err := standin.Start(standin.Config{Name: "t", Database: "d"})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = s.Close() })
	o := owner.New(owner.WithHost("h"), owner.WithSlots(benchSlots))
	b.Cleanup(func() { _ = o.Close() })
	o.SetLease(jacinthtiller.Lease{Host: "h", Deadline: time.Now().Add(time.Hour)})
	db := jacinthtiller.Database{Name: "d", Term: 1, Primary: "t", GroupSize: 1}.WithTarget(jacinthtiller.Target{
		Name: "t", Database: "d", Address: s.Addr(), Owner: "h", Epoch: 1, State: jacinthtiller.StateServing,
	})
	o.Apply(jacinthtiller.View{Index: 1, Databases: map[string]jacinthtiller.Database{"d": db}})
	srv := link.NewServer(o.Open)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	var g conc.WaitGroup
	g.Go(func() { _ = srv.Serve(l) })
	b.Cleanup(func() { _ = srv.Close(); g.Wait() })
	remote := link.NewOpener("a", nil, func(string) (string, bool) { return l.Addr().String(), true })
	b.Cleanup(func() { _ = remote.Close() })
	return &benchPath{target: s, owner: o, remote: remote}
}

// runParallel calls the functions from open in n goroutines, b.N times in all.
func runParallel(b *testing.B, n int, open func() (runOnce func() error, end func())) {
	var left atomic.Int64
	left.Store(int64(b.N))
	var g conc.WaitGroup
	b.ResetTimer()
	for range n {
		runOnce, end := open()
		g.Go(func() {
			defer end()
			for left.Add(-1) >= 0 {
				if err := runOnce(); err != nil {
					b.Error(err)
					return
				}
			}
		})
	}
	g.Wait()
}

// BenchmarkPath compares a direct connection to the target with the owner, and with
// the owner behind a link, by one session, by as many as the target has slots, and by twice as many.
func BenchmarkPath(b *testing.B) {
	p := newBenchPath(b)
	frames, _ := (&pgproto3.Query{String: "SELECT 1"}).Encode(nil)
	var session atomic.Int64
	openThrough := func(open func(ctx context.Context) (jacinthtiller.Channel, error)) func() (func() error, func()) {
		return func() (func() error, func()) {
			c, err := open(b.Context())
			if err != nil {
				b.Fatal(err)
			}
			u := jacinthtiller.Unit{
				Database: "d", Target: "t", Term: 1, Epoch: 1, Team: "team", Guest: "guest",
				Session: string(rune('a' + session.Add(1))), Access: jacinthtiller.AccessRead, Primary: true, Frames: frames,
			}
			return func() error {
				u.Number++
				u.Deadline = time.Now().Add(time.Minute)
				res, err := c.Run(b.Context(), u, func([]byte) error { return nil })
				if err == nil && res.Err != nil {
					err = res.Err
				}
				return err
			}, func() { _ = c.Close() }
		}
	}
	direct := func() (func() error, func()) {
		c, err := pgconn.Connect(b.Context(), "postgres://u@"+p.target.Addr()+"/d?sslmode=disable")
		if err != nil {
			b.Fatal(err)
		}
		return func() error { _, err := c.Exec(b.Context(), "SELECT 1").ReadAll(); return err }, func() { _ = c.Close(context.Background()) }
	}
	remote := func(ctx context.Context) (jacinthtiller.Channel, error) { return p.remote.Open(ctx, "h") }
	for _, n := range []int{1, benchSlots, 2 * benchSlots} {
		b.Run(fmt.Sprintf("direct/%d", n), func(b *testing.B) { runParallel(b, n, direct) })
		b.Run(fmt.Sprintf("owner/%d", n), func(b *testing.B) { runParallel(b, n, openThrough(p.owner.Open)) })
		b.Run(fmt.Sprintf("link/%d", n), func(b *testing.B) { runParallel(b, n, openThrough(remote)) })
	}
}
