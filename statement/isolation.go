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

// A host without a lease cannot tell by that alone what its guests should do. When control is away for all hosts, it is best
// to wait: a guest that is refused finds the same at every other host and soon has no try left. When the host is on the
// wrong side of a cut with few others, it is best to refuse at once: most others serve. So the host asks others whether they
// hold a lease.

const (
	// isolationPollInterval is the time between looks while the host has no lease.
	isolationPollInterval = 200 * time.Millisecond
	// isolationPeerCount is how many other hosts are asked, of all failure domains.
	isolationPeerCount = 8
	// isolationMinSilent is how many of them must be silent, when none holds a lease, for the host to count as cut off: one
	// may just be lost.
	isolationMinSilent = 2
	// isolationTimeout bounds one question: several ways between regions and back at a busy host.
	isolationTimeout = 250 * time.Millisecond
	// isolationMaxUnleasedPercent is the share of the others, in percent, that may be without a lease too: with more of them a guest that
	// is refused uses up its three tries at hosts that cannot serve it either.
	isolationMaxUnleasedPercent = 34
	// isolationMinPolls is how many looks in a row must show the same.
	isolationMinPolls = 2
)

// peerPoll is what one peerPoll at the others has found.
type peerPoll struct{ asked, leased, silent int }

// indicatesIsolation reports whether a guest is better off elsewhere by this look: the network has fallen apart, and most others have a
// lease or are on the other side. Of few hosts that are asked, all must be silent.
func (l peerPoll) indicatesIsolation() bool {
	unleased := l.asked - l.leased - l.silent
	partitioned := l.leased > 0 || l.asked > 0 && l.silent >= min(isolationMinSilent, l.asked)
	return partitioned && unleased*100 <= l.asked*isolationMaxUnleasedPercent
}

// isolationDetector is what a host that has lost its lease has found out about the others.
type isolationDetector struct {
	// consecutivePolls counts the consecutivePolls in a row by which the host is cut off.
	consecutivePolls int
}

// update takes the result of a look and reports whether the host counts as cut off.
func (i *isolationDetector) update(leased bool, l peerPoll) bool {
	if leased || !l.indicatesIsolation() {
		i.consecutivePolls = 0
		return false
	}
	i.consecutivePolls++
	return i.consecutivePolls >= isolationMinPolls
}

// monitorIsolation looks after the others for as long as the host has no lease.
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
		// A host that has had no lease yet is starting, perhaps with all others, which are silent until they are back.
		held := *s.lease.Load()
		leased := held.Valid(clock.Now()) || held.Deadline.IsZero()
		var l peerPoll
		if !leased && s.asker != nil {
			l = s.pollPeers()
		}
		s.setIsolated(i.update(leased || s.lease.Load().Valid(clock.Now()), l), l)
	}
}

// pollPeers asks hosts of all failure domains at the same time.
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
				// A refusal shows that the way is there; the other process is only starting.
				case err != nil && !errors.Is(err, syscall.ECONNREFUSED):
					silent.Add(1)
				}
			})
		})
	}
	group.Wait()
	return peerPoll{asked: len(list), leased: int(leased.Load()), silent: int(silent.Load())}
}

// setIsolated notes whether the host is cut off, and wakes those who wait for control when it is.
func (s *Server) setIsolated(now bool, l peerPoll) {
	if s.isolated.Swap(now) == now {
		return
	}
	s.events.Emit(event.HostIsolated, event.Fields{
		"isolated": now, "asked": l.asked, "leased": l.leased, "silent": l.silent, "index": s.view.Load().Index,
	})
	s.notifyChange()
}

// Isolated reports whether waiting for control is of no use to guests, because the host is cut off and most others are not.
func (s *Server) Isolated() bool { return s.isolated.Load() && !s.lease.Load().Valid(clock.Now()) }
