package quickstart

import (
	"context"
	"os"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/smartystreets/goconvey/convey"

	"github.com/jacinthtiller/jacinthtiller/bench"
	"github.com/jacinthtiller/jacinthtiller/daemon"
)

// isolationDuration is how long the domain is isolated; it is longer than a lease and a change of primary.
const isolationDuration = 4 * time.Second

// failoverGapLimit is the goal for the worst failover gap at today's sizes.
const failoverGapLimit = 4 * time.Second

// loginInDomain returns a login at the hosts inside or outside a failure domain.
func (c *Cluster) loginInDomain(l Login, domain string, inside bool, guests int) bench.Login {
	urls := map[string][]string{}
	for _, d := range c.options.Databases {
		for _, h := range c.Hosts {
			if (h.Domain() == domain) == inside {
				urls[d] = append(urls[d], c.URL(h, l, d))
			}
		}
	}
	return bench.Login{Team: l.Team, URLs: urls, ReadOnly: l.ReadOnly, Guests: guests}
}

// TestPartition guards against the effects of an isolated domain: writes acknowledged on both sides, writes that are
// lost when it reconnects, writes outside that wait for it, and reads inside that stop although a target there has the
// data.
func TestPartition(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	defer cancel()
	cases := map[string]struct {
		domain string
		// primaryMoves is true when the primary is in the domain.
		primaryMoves bool
	}{
		"domain of the primary": {"cluj-a", true},
		"domain of a replica":   {"iasi-a", false},
	}
	convey.Convey("A domain is isolated while guests write on both sides", t, func() {
		for name, k := range cases {
			convey.Convey(name, func() {
				c, err := Start(ctx, Options{Network: NewNetwork(), TraceDir: os.Getenv("JACINTH_TEST_TRACES")})
				convey.So(err, convey.ShouldBeNil)
				defer c.Kill()
				initialPrimary := c.Primary("registru-1")
				clerk, tray, breeder := DefaultLogins[0], DefaultLogins[1], DefaultLogins[2]
				reader, err := pgx.Connect(ctx, c.URL(c.hostIn(k.domain), breeder, "registru-1"))
				convey.So(err, convey.ShouldBeNil)
				defer reader.Close(ctx)
				rowsRead := -1
				var readDuration time.Duration
				r, err := bench.Run(ctx, bench.Plan{
					// Only 2 guests are inside, because each of their writes waits while the domain is isolated.
					Logins:       []bench.Login{c.loginInDomain(clerk, k.domain, false, 12), c.loginInDomain(tray, k.domain, true, 2)},
					Milliseconds: 8000, ReadShare: 0.5, KeyedShare: 0.5, HostChangeShare: 0.2, Seed: 3,
					Faults: []bench.Fault{
						{Name: "cut off", AtMilliseconds: 2000, Do: func() error {
							c.Isolate(k.domain)
							return nil
						}},
						{Name: "read inside", AtMilliseconds: 4500, Do: func() error {
							began := time.Now()
							err := reader.QueryRow(ctx, "SELECT count(*) FROM ledger").Scan(&rowsRead)
							readDuration = time.Since(began)
							return err
						}},
						{Name: "reconnect", AtMilliseconds: 2000 + isolationDuration.Milliseconds(), Do: func() error {
							c.Reconnect(k.domain)
							return nil
						}},
					},
				}, &testWriter{t})
				convey.So(err, convey.ShouldBeNil)
				t.Logf("gap %d ms, read inside took %d ms, failed %v, %v", r.WriteGapMilliseconds, readDuration.Milliseconds(), r.Failed, r.Faults)
				convey.So(r.Violations, convey.ShouldBeEmpty)
				convey.So(r.Unverified, convey.ShouldBeEmpty)
				convey.So(time.Duration(r.WriteGapMilliseconds)*time.Millisecond, convey.ShouldBeLessThan, failoverGapLimit)
				convey.So(c.Primary("registru-1") != initialPrimary, convey.ShouldEqual, k.primaryMoves)
				convey.So(rowsRead, convey.ShouldBeGreaterThan, 0)
				convey.So(readDuration, convey.ShouldBeLessThan, failoverGapLimit)
			})
		}
	})
}

// hostIn returns a host of the failure domain.
func (c *Cluster) hostIn(domain string) *daemon.Process {
	for _, h := range c.Hosts {
		if h.Domain() == domain {
			return h
		}
	}
	return nil
}

// testWriter writes progress lines to the test's log.
type testWriter struct{ t *testing.T }

func (w *testWriter) Write(p []byte) (int, error) {
	w.t.Log(string(p))
	return len(p), nil
}
