package main

import (
	"slices"
	"time"
)

const (
	// drainTime is how long a server serves after its report that it leaves was acknowledged: drain_ms and a little longer.
	drainTime = 7500 * time.Millisecond
	// startGap is how long after the exit of a server the new one starts at its address, with its log.
	startGap = 2 * time.Second
)

// leave makes a server leave as planned, and returns when it has ended.
func (s *service) leave(v *server) {
	s.w.sleep(time.Until(v.drain().Add(drainTime)))
	v.leave()
}

// succeed starts a new server at the address of one that has left, with its log.
func (s *service) succeed(v *server, id string) {
	if !s.w.sleep(startGap) {
		return
	}
	s.mu.Lock()
	log := slices.Clone(v.log)
	s.mu.Unlock()
	s.add(id, v.zone, v.address, false, log)
}
