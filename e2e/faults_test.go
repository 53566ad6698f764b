package e2e_test

import (
	"context"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/jacinthtiller/jacinthtiller/bench"
)

const (
	// loadMilliseconds is the length of the load; the fault is injected after faultAtMilliseconds.
	loadMilliseconds    = 6000
	faultAtMilliseconds = 1500
	// guestCount is the number of guests that write and read during a fault.
	guestCount = 12
	// failoverGapLimit is the goal for the worst failover gap at today's sizes.
	failoverGapLimit = 4 * time.Second
	// freezeDuration is longer than the lease of 1.5 s.
	freezeDuration = 3 * time.Second
)

// runLoad runs the load with the faults and logs a summary of the result.
func (n *installation) runLoad(faults ...bench.Fault) bench.Result {
	var out lockedBuffer
	ctx, cancel := context.WithTimeout(context.Background(), 2*readyTimeout)
	defer cancel()
	r, err := bench.Run(ctx, bench.Plan{
		Logins: n.logins(guestCount), Milliseconds: loadMilliseconds, ReadShare: 0.5, KeyedShare: 0.5, HostChangeShare: 0.2, Seed: 7,
		Faults: faults,
	}, &out)
	if err != nil {
		n.t.Fatalf("load: %v\n%s", err, out.String())
	}
	n.t.Logf("%d reads, %d writes, gap %d ms, resent %d, reconnected %d, failed %v, faults %v",
		r.Reads.Count, r.Writes.Count, r.WriteGapMilliseconds, r.Resent, r.Reconnected, r.Failed, r.Faults)
	return r
}

// TestFaults guards the guarantees under load while processes are killed, frozen or stopped: no acknowledged write is
// lost or duplicated, a write reported as "not run" did not run, guests read their own writes, and writes resume in time.
func TestFaults(t *testing.T) {
	if testing.Short() {
		t.Skip("starts 13 processes for each fault")
	}
	cases := map[string]struct {
		inject func(*installation) error
		// errorFree is true when no guest may see an error.
		errorFree bool
	}{
		"primary killed": {inject: func(n *installation) error {
			p, err := n.primary()
			if err == nil {
				p.kill()
			}
			return err
		}},
		"owner killed": {inject: func(n *installation) error {
			p, err := n.primaryOwner()
			if err == nil {
				p.kill()
			}
			return err
		}},
		"owner frozen past its lease": {inject: func(n *installation) error {
			p, err := n.primaryOwner()
			if err != nil {
				return err
			}
			p.signal(syscall.SIGSTOP)
			time.AfterFunc(freezeDuration, func() { p.signal(syscall.SIGCONT) })
			return nil
		}},
		"primary frozen": {inject: func(n *installation) error {
			p, err := n.primary()
			if err == nil {
				p.signal(syscall.SIGSTOP)
			}
			return err
		}},
		"primary and its owner killed together": {inject: func(n *installation) error {
			p, err := n.primary()
			if err != nil {
				return err
			}
			o, err := n.primaryOwner()
			if err != nil {
				return err
			}
			p.kill()
			o.kill()
			return nil
		}},
		"control leader killed": {inject: func(n *installation) error {
			ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
			defer cancel()
			s, err := n.client.Status(ctx)
			if err == nil {
				n.control[s.Leader].kill()
			}
			return err
		}},
		"owner stopped gracefully": {errorFree: true, inject: func(n *installation) error {
			p, err := n.primaryOwner()
			if err != nil {
				return err
			}
			if code := p.terminate(); code != 0 {
				t.Errorf("exit code %d after SIGTERM", code)
			}
			return nil
		}},
	}
	convey.Convey("The guarantees hold", t, func() {
		for name, c := range cases {
			convey.Convey(name, func() {
				n := startInstallation(t)
				defer n.stop()
				r := n.runLoad(bench.Fault{Name: name, AtMilliseconds: faultAtMilliseconds, Do: func() error { return c.inject(n) }})
				convey.So(r.Violations, convey.ShouldBeEmpty)
				convey.So(r.Unverified, convey.ShouldBeEmpty)
				convey.So(time.Duration(r.WriteGapMilliseconds)*time.Millisecond, convey.ShouldBeLessThan, failoverGapLimit)
				convey.So(r.Writes.Count, convey.ShouldBeGreaterThan, 100)
				convey.So(n.checkTraces(), convey.ShouldBeNil)
				if c.errorFree {
					convey.So(r.Failed, convey.ShouldBeEmpty)
				}
			})
		}
	})
}

// TestPages guards the HTTP pages on which load balancers and monitoring rely.
func TestPages(t *testing.T) {
	if testing.Short() {
		t.Skip("starts 13 processes")
	}
	n := startInstallation(t)
	convey.Convey("Each page returns its content", t, func() {
		for path, want := range map[string]string{
			"/healthz": "ok", "/readyz": "ready", "/metrics": "jacinthtiller_session_units_total", "/dump": `"lease-deadline"`,
		} {
			body, err := n.hosts["cluj-a-entry-1"].httpGet(path)
			convey.So(err, convey.ShouldBeNil)
			convey.So(body, convey.ShouldContainSubstring, want)
		}
		body, err := n.hosts["cluj-a-entry-1"].httpGet("/dump")
		convey.So(err, convey.ShouldBeNil)
		convey.So(body, convey.ShouldNotContainSubstring, "SCRAM-SHA-256$")
	})
	convey.Convey("A bad announcement is refused with its fault", t, func() {
		r, err := http.Post(n.hosts["cluj-a-entry-1"].endpoint+"/jacinthtiller.host/announce", "application/json",
			strings.NewReader(`{"database":"registru-1","target":"x","address":"nowhere","failure-domain":"cluj-a"}`))
		convey.So(err, convey.ShouldBeNil)
		defer r.Body.Close()
		convey.So(r.StatusCode, convey.ShouldEqual, http.StatusBadRequest)
	})
}
