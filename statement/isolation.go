package statement

import (
	"errors"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/jacinthtiller/jacinthtiller"
	"github.com/jacinthtiller/jacinthtiller/clock"
	"github.com/jacinthtiller/jacinthtiller/duty"
	"github.com/jacinthtiller/jacinthtiller/event"
)

// A host that has lost its lease must either hold or refuse requests. If the control group is unavailable to all hosts,
// holding is better: a refused guest soon uses up its attempts at other hosts. If the host is on the minority side of a
// network partition, refusing at once is better: most other hosts serve. So the host polls others whether they hold a lease.

const (
	// isolationPollInterval is the time between polls while the host has no lease.
	isolationPollInterval = 200 * time.Millisecond
	// isolationPeerCount is how many other hosts are polled, over all failure domains.
	isolationPeerCount = 8
	// isolationMinSilent is how many polled hosts must not answer, when none holds a lease, for the host to count as
	// isolated: a single one may have failed.
	isolationMinSilent = 2
	// isolationTimeout bounds one poll: several round trips between regions, to a busy host.
	isolationTimeout = 250 * time.Millisecond
	// isolationMaxUnleasedPercent is the share of the polled hosts that may answer without a lease. With more of them a
	// refused guest uses up its three attempts at hosts that cannot serve it either.
	isolationMaxUnleasedPercent = 34
	// isolationMinPolls is how many consecutive polls must indicate isolation.
	isolationMinPolls = 2
)

// peerPoll counts the hosts that were polled, hold a lease, and did not answer.
type peerPoll struct{ polled, leased, silent int }

// indicatesIsolation reports whether the network is partitioned and most polled hosts hold a lease or are unreachable, so
// that guests are better served by other hosts. If fewer than isolationMinSilent hosts are polled, all must be silent.
func (p peerPoll) indicatesIsolation() bool {
	unleased := p.polled - p.leased - p.silent
	partitioned := p.leased > 0 || p.polled > 0 && p.silent >= min(isolationMinSilent, p.polled)
	return partitioned && unleased*100 <= p.polled*isolationMaxUnleasedPercent
}

// isolationDetector decides from consecutive polls whether a host that has lost its lease is isolated.
type isolationDetector struct {
	// consecutivePolls counts the latest polls that indicate isolation.
	consecutivePolls int
}

// update adds the result of a poll and reports whether the host counts as isolated.
func (d *isolationDetector) update(leased bool, p peerPoll) bool {
	if leased || !p.indicatesIsolation() {
		d.consecutivePolls = 0
		return false
	}
	d.consecutivePolls++
	return d.consecutivePolls >= isolationMinPolls
}

// monitorIsolation polls other hosts while this host has no lease.
func (s *Server) monitorIsolation() {
	ticks := time.NewTicker(isolationPollInterval)
	defer ticks.Stop()
	var detector isolationDetector
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-ticks.C:
		}
		// A host that has not held a lease yet is starting, perhaps together with all others, which do not answer yet.
		lease := *s.lease.Load()
		leased := lease.Valid(clock.Now()) || lease.Deadline.IsZero()
		var poll peerPoll
		if !leased && s.freshnessClient != nil {
			poll = s.pollPeers()
		}
		s.setIsolated(detector.update(leased || s.lease.Load().Valid(clock.Now()), poll), poll)
	}
}

// pollPeers asks hosts of all failure domains concurrently whether they hold a lease.
func (s *Server) pollPeers() peerPoll {
	var leased, silent atomic.Int64
	var group conc.WaitGroup
	hosts := s.pool.Placement().SampleHosts(s.host, isolationPeerCount)
	deadline := time.Now().Add(isolationTimeout)
	for _, h := range hosts {
		group.Go(func() {
			duty.Run(s.events, "ask another host for its lease", nil, func() {
				a, err := s.freshnessClient.QueryFreshness(h.Link, jacinthtiller.FreshnessQuery{}, deadline)
				switch {
				case err == nil && a.Leased:
					leased.Add(1)
				// A refused connection shows that the network works and the other process is only starting.
				case err != nil && !errors.Is(err, syscall.ECONNREFUSED):
					silent.Add(1)
				}
			})
		})
	}
	group.Wait()
	return peerPoll{polled: len(hosts), leased: int(leased.Load()), silent: int(silent.Load())}
}

// setIsolated records whether the host is isolated. A change is logged and wakes requests that wait for control.
func (s *Server) setIsolated(isolated bool, p peerPoll) {
	if s.isolated.Swap(isolated) == isolated {
		return
	}
	s.events.Emit(event.HostIsolated, event.Fields{
		"isolated": isolated, "asked": p.polled, "leased": p.leased, "silent": p.silent, "index": s.view.Load().Index,
	})
	s.notifyChange()
}

// Isolated reports whether requests should be refused instead of held: the host has no lease and is isolated, while most
// others are not.
func (s *Server) Isolated() bool { return s.isolated.Load() && !s.lease.Load().Valid(clock.Now()) }
