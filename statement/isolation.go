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

// The loss of its lease alone does not tell a host whether to hold or to refuse requests. If the control group is
// unavailable to all hosts, holding is better: a refused guest meets the same state at every other host and soon uses up its
// attempts. If the host is in the minority side of a network partition, refusing at once is better, because most other hosts
// serve. So the host polls other hosts whether they hold a lease.

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

// peerPoll counts the results of one poll of other hosts: how many were asked, hold a lease, and did not answer.
type peerPoll struct{ asked, leased, silent int }

// indicatesIsolation reports whether the network is partitioned and most polled hosts hold a lease or are unreachable, so
// that guests are better served by other hosts. If fewer than isolationMinSilent hosts are polled, all must be silent.
func (l peerPoll) indicatesIsolation() bool {
	unleased := l.asked - l.leased - l.silent
	partitioned := l.leased > 0 || l.asked > 0 && l.silent >= min(isolationMinSilent, l.asked)
	return partitioned && unleased*100 <= l.asked*isolationMaxUnleasedPercent
}

// isolationDetector decides from consecutive polls whether a host that has lost its lease is isolated.
type isolationDetector struct {
	// consecutivePolls counts the latest consecutive polls that indicate isolation.
	consecutivePolls int
}

// update adds the result of a poll and reports whether the host counts as isolated.
func (i *isolationDetector) update(leased bool, l peerPoll) bool {
	if leased || !l.indicatesIsolation() {
		i.consecutivePolls = 0
		return false
	}
	i.consecutivePolls++
	return i.consecutivePolls >= isolationMinPolls
}

// monitorIsolation polls other hosts while this host has no lease.
func (s *Server) monitorIsolation() {
	ticks := time.NewTicker(isolationPollInterval)
	defer ticks.Stop()
	var i isolationDetector
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-ticks.C:
		}
		// A host that has not held a lease yet is starting, perhaps together with all others, which do not answer yet.
		held := *s.lease.Load()
		leased := held.Valid(clock.Now()) || held.Deadline.IsZero()
		var l peerPoll
		if !leased && s.asker != nil {
			l = s.pollPeers()
		}
		s.setIsolated(i.update(leased || s.lease.Load().Valid(clock.Now()), l), l)
	}
}

// pollPeers asks hosts of all failure domains concurrently whether they hold a lease.
func (s *Server) pollPeers() peerPoll {
	var leased, silent atomic.Int64
	var group conc.WaitGroup
	list := s.pool.Placement().Spread(s.host, isolationPeerCount)
	deadline := time.Now().Add(isolationTimeout)
	for _, h := range list {
		group.Go(func() {
			duty.Run(s.events, "ask another host for its lease", nil, func() {
				a, err := s.asker.AskFreshness(h.Link, jacinthtiller.FreshnessQuestion{}, deadline)
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
	return peerPoll{asked: len(list), leased: int(leased.Load()), silent: int(silent.Load())}
}

// setIsolated records whether the host is isolated. A change is logged and wakes requests that wait for control.
func (s *Server) setIsolated(now bool, l peerPoll) {
	if s.isolated.Swap(now) == now {
		return
	}
	s.events.Emit(event.HostIsolated, event.Fields{
		"isolated": now, "asked": l.asked, "leased": l.leased, "silent": l.silent, "index": s.view.Load().Index,
	})
	s.notifyChange()
}

// Isolated reports whether requests are refused instead of held until the control group is back: the host has no lease and
// is isolated, while most others are not.
func (s *Server) Isolated() bool { return s.isolated.Load() && !s.lease.Load().Valid(clock.Now()) }
