package e2e_test

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/jacinthtiller/jacinthtiller/bench"
	"github.com/jacinthtiller/jacinthtiller/control"
	"github.com/jacinthtiller/jacinthtiller/quickstart"
)

// TestRollingRestart guards against errors that guests see while all hosts are restarted one after the other under load,
// and against a restarted host that has an older document than the one in force.
func TestRollingRestart(t *testing.T) {
	if testing.Short() {
		t.Skip("starts 13 processes")
	}
	n := startInstallation(t)
	names := slices.Sorted(maps.Keys(n.hosts))
	var faults []bench.Fault
	for i, name := range names {
		faults = append(faults, bench.Fault{
			Name: "restart " + name, AtMilliseconds: 1000 + int64(i)*1500,
			Do: func() error {
				if code := n.hosts[name].terminate(); code != 0 {
					return fmt.Errorf("exit code %d after SIGTERM", code)
				}
				n.restartHost(name)
				return nil
			},
		})
	}
	convey.Convey("All hosts are restarted under load", t, func() {
		ctx, cancel := context.WithTimeout(context.Background(), 3*readyTimeout)
		defer cancel()
		r, err := bench.Run(ctx, bench.Plan{
			Logins: n.logins(guestCount), Milliseconds: 13_000, ReadShare: 0.5, KeyedShare: 0.5, HostChangeShare: 0.2, Seed: 9, Faults: faults,
		}, &lockedBuffer{})
		convey.So(err, convey.ShouldBeNil)
		t.Logf("%d reads, %d writes, gap %d ms, reconnected %d, failed %v, faults %v",
			r.Reads.Count, r.Writes.Count, r.WriteGapMilliseconds, r.Reconnected, r.Failed, r.Faults)
		convey.So(r.Faults, convey.ShouldHaveLength, len(names))
		for _, f := range r.Faults {
			convey.So(f, convey.ShouldNotContainSubstring, "exit code")
		}
		convey.So(r.Failed, convey.ShouldBeEmpty)
		convey.So(r.Violations, convey.ShouldBeEmpty)
		convey.So(r.Unverified, convey.ShouldBeEmpty)
		convey.So(n.checkTraces(), convey.ShouldBeNil)
	})
	convey.Convey("An edit is in force on every restarted host in time, and survives a restart of control", t, func() {
		ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
		defer cancel()
		began := time.Now()
		convey.So(quickstart.ApplySection(ctx, n.client, "breeding", "databases: ["+database+"]\nweight: 7\n"), convey.ShouldBeNil)
		n.eventually("the edit is in force", func(ctx context.Context) error { return n.checkInForce(ctx, 1) })
		convey.So(time.Since(began), convey.ShouldBeLessThan, 6*time.Second)
		for _, name := range slices.Sorted(maps.Keys(n.control)) {
			convey.So(n.control[name].terminate(), convey.ShouldEqual, 0)
			n.startControl(name)
		}
		n.eventually("the edit is still in force", func(ctx context.Context) error { return n.checkInForce(ctx, 1) })
		r, err := n.client.SectionGet(ctx, control.SectionGetRequest{Team: "breeding"})
		convey.So(err, convey.ShouldBeNil)
		convey.So(r.Section.Text, convey.ShouldContainSubstring, "weight: 7")
		convey.So(n.checkTraces(), convey.ShouldBeNil)
	})
}

// checkInForce returns nil when all hosts have the newest document in force and the section of breeding has the revision.
func (n *installation) checkInForce(ctx context.Context, revision uint64) error {
	s, err := n.client.Status(ctx)
	if err != nil {
		return err
	}
	if s.Sections["breeding"] != revision {
		return fmt.Errorf("section at revision %d", s.Sections["breeding"])
	}
	for _, h := range s.Hosts {
		if h.InForce < s.Document {
			return fmt.Errorf("host %s has index %d in force, the document is of %d", h.Host.Name, h.InForce, s.Document)
		}
	}
	return nil
}
