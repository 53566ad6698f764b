package quickstart

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/smartystreets/goconvey/convey"
	"github.com/sourcegraph/conc"

	"github.com/jacinthtiller/jacinthtiller"
	"github.com/jacinthtiller/jacinthtiller/daemon"
)

// TestStopWithOpenTransactions guards against a transaction that takes all of the time of its owner's stop: the targets kept
// the stopping owner, the lease was not released, and the host's own guests were cut off without an answer.
func TestStopWithOpenTransactions(t *testing.T) {
	convey.Convey("The owner of a primary stops while transactions on it are open", t, func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		c, err := Start(ctx, Options{})
		convey.So(err, convey.ShouldBeNil)
		defer c.Kill()
		var owner *daemon.Process
		convey.So(c.onOwner(func(p *daemon.Process) error {
			owner = p
			return nil
		})(), convey.ShouldBeNil)
		other := c.Hosts[0]
		if other == owner {
			other = c.Hosts[1]
		}
		connect := func(h *daemon.Process) *pgx.Conn {
			g, err := c.connect(ctx, h, c.Logins()[0], failoverDatabase)
			convey.So(err, convey.ShouldBeNil)
			return g
		}
		exec := func(g *pgx.Conn, sql string) string {
			_, err := g.Exec(ctx, sql, pgx.QueryExecModeSimpleProtocol)
			var e *pgconn.PgError
			switch {
			case errors.As(err, &e):
				return e.Code
			case err != nil:
				return err.Error()
			}
			return ""
		}
		writer := connect(other)
		convey.So(exec(writer, "CREATE TABLE a (id INTEGER PRIMARY KEY, v TEXT)"), convey.ShouldBeEmpty)
		own, remote := connect(owner), connect(other)
		convey.So(exec(own, "BEGIN")+exec(own, "SELECT count(*) FROM a"), convey.ShouldBeEmpty)
		convey.So(exec(remote, "BEGIN")+exec(remote, "INSERT INTO a VALUES (1, 'x')"), convey.ShouldBeEmpty)
		began := time.Now()
		stopCtx, cancelStop := context.WithDeadline(ctx, began.Add(3*time.Second))
		defer cancelStop()
		var stop conc.WaitGroup
		stop.Go(func() { _ = owner.Stop(stopCtx) }) // an abandoned transaction may keep its connection until the end
		time.Sleep(100 * time.Millisecond)
		convey.So(exec(writer, "INSERT INTO a VALUES (2, 'x')"), convey.ShouldBeEmpty)
		convey.So(time.Since(began), convey.ShouldBeLessThan, 2500*time.Millisecond)
		convey.So(exec(own, "COMMIT"), convey.ShouldEqual, "57P01")
		convey.So(exec(remote, "COMMIT"), convey.ShouldEqual, jacinthtiller.CodeRolledBack)
		stop.Wait()
		convey.So(time.Since(began), convey.ShouldBeLessThan, 5*time.Second)
	})
}

// TestStopWithUnconfirmedWrites guards against writes that get no answer because a host on their way stops before the group
// has confirmed them: the guest's own host, the owner of the primary, or both in one.
func TestStopWithUnconfirmedWrites(t *testing.T) {
	convey.Convey("The owner of a primary and another host stop while writes wait for a majority", t, func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		c, err := Start(ctx, Options{})
		convey.So(err, convey.ShouldBeNil)
		defer c.Kill()
		var owner *daemon.Process
		convey.So(c.onOwner(func(p *daemon.Process) error {
			owner = p
			return nil
		})(), convey.ShouldBeNil)
		others := slices.DeleteFunc(slices.Clone(c.Hosts), func(p *daemon.Process) bool { return p == owner })
		hosts := map[string]*daemon.Process{"owner": owner, "stops": others[0], "remains": others[1]}
		conns := map[string]*pgx.Conn{}
		for name, h := range hosts {
			conns[name], err = c.connect(ctx, h, c.Logins()[0], failoverDatabase)
			convey.So(err, convey.ShouldBeNil)
			_, err = conns[name].Exec(ctx, "CREATE TABLE "+name+" (id INTEGER PRIMARY KEY)")
			convey.So(err, convey.ShouldBeNil)
		}
		primary := c.Primary(failoverDatabase)
		for name, g := range c.Targets[failoverDatabase] {
			if name != primary {
				g.SetLag(20 * time.Second)
			}
		}
		var writes, stops conc.WaitGroup
		var mu sync.Mutex
		codes := map[string]string{}
		for name, g := range conns {
			writes.Go(func() {
				_, err := g.Exec(ctx, "INSERT INTO "+name+" VALUES (1)", pgx.QueryExecModeSimpleProtocol)
				mu.Lock()
				defer mu.Unlock()
				codes[name] = fmt.Sprint(err)
				var e *pgconn.PgError
				if errors.As(err, &e) {
					codes[name] = e.Code
				}
			})
		}
		time.Sleep(200 * time.Millisecond) // the writes have been sent
		began := time.Now()
		for _, name := range []string{"owner", "stops"} {
			stops.Go(func() {
				stopCtx, cancelStop := context.WithDeadline(ctx, began.Add(3*time.Second))
				defer cancelStop()
				_ = hosts[name].Stop(stopCtx) // the owner may have cut off the writes of other hosts
			})
		}
		writes.Wait()
		stops.Wait()
		t.Logf("the writes had %v, the stops took %v", codes, time.Since(began))
		unknown := jacinthtiller.CodeOutcomeUnknown
		convey.So(codes, convey.ShouldResemble, map[string]string{"owner": unknown, "stops": unknown, "remains": unknown})
	})
}
