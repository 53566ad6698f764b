package quickstart

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/smartystreets/goconvey/convey"
	"github.com/sourcegraph/conc/pool"

	"github.com/jacinthtiller/jacinthtiller/bench"
	"github.com/jacinthtiller/jacinthtiller/standin"
)

// TestQuickstart guards the README's first command: the demonstration succeeds and prints the processes, the targets and
// its measurements.
func TestQuickstart(t *testing.T) {
	convey.Convey("The demonstration runs", t, func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		c, err := Start(ctx, Options{})
		convey.So(err, convey.ShouldBeNil)
		defer c.Kill()
		var out strings.Builder
		c.Describe(&out)
		convey.So(c.Demonstrate(ctx, &out), convey.ShouldBeNil)
		convey.So(strings.Count(out.String(), "\nentry "), convey.ShouldEqual, 7)
		convey.So(strings.Count(out.String(), "target "), convey.ShouldEqual, 3)
		convey.So(out.String(), convey.ShouldContainSubstring, "replica share")
		convey.So(out.String(), convey.ShouldContainSubstring, "failover gap")
		convey.So(c.Stop(ctx), convey.ShouldBeNil)
	})
}

// BenchmarkRoundTrip compares one guest's statements through an entry host with the same
// statements on a target, which has no replicas to wait for. Run it with -count 5.
func BenchmarkRoundTrip(b *testing.B) {
	ctx := context.Background()
	c, err := Start(ctx, Options{})
	if err != nil {
		b.Fatal(err)
	}
	defer c.Kill()
	directTarget, err := standin.Start(standin.Config{Name: "alone", Database: "alone", Domain: "cluj-a"})
	if err != nil {
		b.Fatal(err)
	}
	defer directTarget.Kill()
	login, database := c.Logins()[0], c.Databases()[0]
	urls := map[string]string{
		"direct":             fmt.Sprintf("postgres://u@%s/alone?sslmode=disable", directTarget.Addr()),
		"host-of-the-domain": c.URL(c.Hosts[0], login, database),
		"host-elsewhere":     c.URL(c.Hosts[6], login, database),
	}
	for name, url := range urls {
		conn, err := pgx.Connect(ctx, url)
		if err != nil {
			b.Fatal(err)
		}
		defer conn.Close(ctx)
		if _, err := conn.Exec(ctx, "CREATE TABLE IF NOT EXISTS lots (id INTEGER PRIMARY KEY, viability INTEGER)"); err != nil {
			b.Fatal(err)
		}
		if _, err := conn.Exec(ctx, "INSERT INTO lots VALUES (1, 0) ON CONFLICT DO NOTHING"); err != nil {
			b.Fatal(err)
		}
		b.Run("read/"+name, func(b *testing.B) {
			for b.Loop() {
				var v int
				if err := conn.QueryRow(ctx, "SELECT viability FROM lots WHERE id = $1", 1).Scan(&v); err != nil {
					b.Fatal(err)
				}
			}
		})
		b.Run("write/"+name, func(b *testing.B) {
			for b.Loop() {
				if _, err := conn.Exec(ctx, "UPDATE lots SET viability = viability + 1 WHERE id = $1", 1); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkLoad runs guests on all hosts at a fixed rate; its profiles show where the statement path spends its time.
func BenchmarkLoad(b *testing.B) {
	for name, readShare := range map[string]float64{"reads": 1, "writes": 0} {
		b.Run(name, func(b *testing.B) {
			for range b.N {
				c, err := Start(context.Background(), Options{})
				if err != nil {
					b.Fatal(err)
				}
				r, err := bench.Run(context.Background(), bench.Plan{
					Logins: c.BenchLogins(14)[:1], Milliseconds: 8000, Rate: 2000, ReadShare: readShare, Seed: 1,
				}, io.Discard)
				if err != nil || r.ViolationCount > 0 {
					b.Fatalf("%d violations, error %v", r.ViolationCount, err)
				}
				b.ReportMetric(float64(r.Reads.Median), "read-us-median")
				b.ReportMetric(float64(r.Writes.Median), "write-us-median")
				b.ReportMetric(r.OperationsPerSecond(), "operations/s")
				c.Kill()
			}
		})
	}
}

// throughputGuests is the number of connections in BenchmarkThroughput: as many as an owner opens to a target.
const throughputGuests = 26

// BenchmarkThroughput compares the throughput of reads and writes through an entry host with that of a target, at the
// same number of connections.
func BenchmarkThroughput(b *testing.B) {
	ctx := context.Background()
	c, err := Start(ctx, Options{Slots: 26})
	if err != nil {
		b.Fatal(err)
	}
	defer c.Kill()
	directTarget, err := standin.Start(standin.Config{Name: "alone", Database: "alone", Domain: "cluj-a", Slots: 26})
	if err != nil {
		b.Fatal(err)
	}
	defer directTarget.Kill()
	database := c.Databases()[0]
	urls := map[string]string{
		"direct":                  fmt.Sprintf("postgres://u@%s/alone?sslmode=disable", directTarget.Addr()),
		"read-write-role":         c.URL(c.hostIn("iasi-a"), DefaultLogins[0], database),
		"read-only-role":          c.URL(c.hostIn("iasi-a"), DefaultLogins[2], database),
		"primary-read-write-role": c.URL(c.hostIn("cluj-a"), DefaultLogins[0], database),
	}
	for _, url := range []string{urls["direct"], urls["read-write-role"]} {
		conn, err := pgx.Connect(ctx, url)
		if err != nil {
			b.Fatal(err)
		}
		for _, sql := range []string{
			"CREATE TABLE IF NOT EXISTS lots (id INTEGER PRIMARY KEY, viability INTEGER)", "INSERT INTO lots VALUES (1, 0)",
		} {
			if _, err := conn.Exec(ctx, sql); err != nil {
				b.Fatal(err)
			}
		}
		conn.Close(ctx)
	}
	for name, url := range urls {
		b.Run("read/"+name, func(b *testing.B) { throughput(b, url, "SELECT viability FROM lots WHERE id = $1") })
		if name == "direct" || name == "primary-read-write-role" {
			b.Run("write/"+name, func(b *testing.B) { throughput(b, url, "UPDATE lots SET viability = viability + 1 WHERE id = $1") })
		}
	}
}

func throughput(b *testing.B, url, sql string) {
	ctx := context.Background()
	var conns []*pgx.Conn
	for range throughputGuests {
		conn, err := pgx.Connect(ctx, url)
		if err != nil {
			b.Fatal(err)
		}
		defer conn.Close(ctx)
		conns = append(conns, conn)
	}
	var remaining atomic.Int64
	remaining.Store(int64(b.N))
	b.ResetTimer()
	group := pool.New().WithErrors()
	for _, conn := range conns {
		group.Go(func() error {
			for remaining.Add(-1) >= 0 {
				if _, err := conn.Exec(ctx, sql, 1); err != nil {
					return err
				}
			}
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "statements/s")
}
