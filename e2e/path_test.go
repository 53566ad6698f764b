package e2e_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/smartystreets/goconvey/convey"

	"github.com/jacinthtiller/jacinthtiller"
)

// failoverLimit is the required limit of a change of primary.
const failoverLimit = 10 * time.Second

// errUnknownOutcome is the error of a request whose outcome is unknown.
var errUnknownOutcome error = &pgconn.PgError{Code: jacinthtiller.CodeOutcomeUnknown}

func isUnknownOutcome(err error) bool {
	var p *pgconn.PgError
	return errors.As(err, &p) && p.Code == jacinthtiller.CodeOutcomeUnknown
}

// TestPath guards reads and writes through separate processes: a write on one host is read on every other, and after
// the primary is killed, the next write succeeds within the limit.
func TestPath(t *testing.T) {
	if testing.Short() {
		t.Skip("starts 13 processes")
	}
	n := startInstallation(t)
	ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
	defer cancel()
	convey.Convey("A guest writes on one host and reads on every other", t, func() {
		conns := map[string]*pgx.Conn{}
		for name := range n.hosts {
			c, err := pgx.Connect(ctx, n.guestURL(name))
			convey.So(err, convey.ShouldBeNil)
			conns[name] = c
			defer c.Close(ctx)
		}
		writer := conns["cluj-a-entry-1"]
		_, err := writer.Exec(ctx, "INSERT INTO accessions VALUES ($1, $2)", 1, "Zea mays")
		convey.So(err, convey.ShouldBeNil)
		for _, c := range conns {
			var name string
			convey.So(c.QueryRow(ctx, "SELECT name FROM accessions WHERE id = 1").Scan(&name), convey.ShouldBeNil)
			convey.So(name, convey.ShouldEqual, "Zea mays")
		}

		convey.Convey("After the primary is killed the next write succeeds in time", func() {
			primary := n.targets[database+"-cluj-a"]
			primary.kill()
			began := time.Now()
			// A write in flight when the target is killed has an unknown outcome; with its key it can be sent again.
			err := errUnknownOutcome
			for isUnknownOutcome(err) && time.Since(began) < failoverLimit {
				_, err = writer.Exec(ctx, "/* idempotency-key: second */ INSERT INTO accessions VALUES ($1, $2)",
					pgx.QueryExecModeExec, 2, "Secale cereale")
			}
			convey.So(err, convey.ShouldBeNil)
			convey.So(time.Since(began), convey.ShouldBeLessThan, failoverLimit)
			t.Logf("failover gap %d ms", time.Since(began).Milliseconds())
			for _, c := range conns {
				var rows int
				convey.So(c.QueryRow(ctx, "SELECT count(*) FROM accessions").Scan(&rows), convey.ShouldBeNil)
				convey.So(rows, convey.ShouldEqual, 2)
			}
		})
	})
}
