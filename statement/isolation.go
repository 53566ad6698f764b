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
// to wait: a guest that is refused finds the same at every other host and soon has no try left. When only this host is cut
// off, it is best to refuse at once: others serve. So the host asks others whether they can be reached at all.

const (
	// isolationLook is the time between looks while the host has no lease.
	isolationLook = 200 * time.Millisecond
	// isolationPeers is how many other hosts are asked. One that answers shows that the host is not cut off.
	isolationPeers = 5
	// isolationTimeout bounds one question: several ways between regions and back at a busy host.
	isolationTimeout = 250 * time.Millisecond
	// isolationLooks is how many looks in a row must find nobody.
	isolationLooks = 2
)

// isolation is what a host that has lost its lease has found out about the others.
type isolation struct {
	// silent counts the looks in a row that found nobody.
	silent int
}

// look takes the result of one look and reports whether the host counts as cut off.
func (i *isolation) look(leased bool, asked, answered int) bool {
	if leased || asked == 0 || answered > 0 {
		i.silent = 0
		return false
	}
	i.silent++
	return i.silent >= isolationLooks
}

// watchIsolation looks after the others for as long as the host has no lease.
func (s *Server) watchIsolation() {
	ticks := time.NewTicker(isolationLook)
	defer ticks.Stop()
	var i isolation
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-ticks.C:
		}
		leased := s.lease.Load().Valid(clock.Now())
		asked, answered := 0, 0
		if !leased && s.asker != nil {
			asked, answered = s.askOthers()
		}
		s.setIsolated(i.look(leased || s.lease.Load().Valid(clock.Now()), asked, answered))
	}
}

// askOthers asks hosts of all failure domains at the same time and returns how many were asked and how many answered.
func (s *Server) askOthers() (asked, answered int) {
	var n atomic.Int64
	var group conc.WaitGroup
	list := s.pool.Placement().Spread(s.host, isolationPeers)
	deadline := time.Now().Add(isolationTimeout)
	for _, h := range list {
		group.Go(func() {
			duty.Run(s.events, "ask another host whether it can be reached", nil, func() {
				_, err := s.asker.AskFreshness(h.Link, jacinthtiller.FreshnessQuestion{}, deadline)
				// A refusal shows that the way is there; the other process is only starting.
				if err == nil || errors.Is(err, syscall.ECONNREFUSED) {
					n.Add(1)
				}
			})
		})
	}
	group.Wait()
	return len(list), int(n.Load())
}

// setIsolated notes whether the host is cut off, and wakes those who wait for control when it is.
func (s *Server) setIsolated(now bool) {
	if s.isolated.Swap(now) == now {
		return
	}
	s.events.Emit(event.HostIsolated, event.Fields{"isolated": now, "index": s.view.Load().Index})
	s.announce()
}

// unservable reports whether waiting for control is of no use, because the host is cut off.
func (s *Server) unservable() bool { return s.isolated.Load() && !s.lease.Load().Valid(clock.Now()) }

// Isolated reports whether the host is cut off from control and from all hosts that it has asked.
func (s *Server) Isolated() bool { return s.unservable() }
