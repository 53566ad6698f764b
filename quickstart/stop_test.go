package quickstart

import (
	"context"
	"errors"
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
