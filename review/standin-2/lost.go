package main

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

const (
	// drainTime is how long a server serves after its report that it leaves was acknowledged: drain_ms and a little longer.
	drainTime = 7500 * time.Millisecond
	// startGap is how long after the exit of a server the new one starts at its address, with its log.
	startGap = 2 * time.Second
	// deafBefore is how long before the exit of the replica the third server begins to receive nothing, and deafTime for how
	// long it does. The site files have up to 6.5 s.
	deafBefore = 2 * time.Second
	deafTime   = 6500 * time.Millisecond
	// watchTime is how long the script goes on after the last step of the release.
	watchTime = 4 * time.Second
)

// loseAcknowledgedWrites plays case 7: in a service with a synchronous replica, a replica and the primary are replaced one
// after the other, while the third server receives nothing for a while.
func loseAcknowledgedWrites(w *world, trouble bool) error {
	s := newService(w, 1)
	if err := w.start(true); err != nil {
		return err
	}
	primary := s.add("i-primary", "zone-1", freeAddress(), true, nil)
	replica := s.add("i-replica", "zone-2", freeAddress(), false, nil)
	third := s.add("i-third", "zone-3", freeAddress(), false, nil)
	if err := w.putConfig(1); err != nil {
		return err
	}
	if err := w.awaitService(); err != nil {
		return err
	}
	w.group.Go(func() {
		for i := 0; w.sleep(50 * time.Millisecond); i++ {
			h := w.hosts[i%len(w.hosts)]
			w.group.Go(func() { w.write(h, fmt.Sprint(i%100), fmt.Sprint(i)) })
		}
	})
	w.sleep(2 * time.Second)
	if trouble {
		w.group.Go(func() {
			w.sleep(drainTime - deafBefore)
			w.note("server %s: receives nothing from now on", third.id)
			s.setDeaf(third, true)
			w.sleep(deafTime)
			s.setDeaf(third, false)
			w.note("server %s: receives again", third.id)
		})
	}
	var release sync.WaitGroup
	s.leave(replica)
	release.Go(func() { s.succeed(replica, "i-replica-2") })
	s.leave(primary)
	release.Go(func() { s.succeed(primary, "i-primary-2") })
	release.Wait()
	w.sleep(watchTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.lost) > 0 {
		return fmt.Errorf("%w: %d acknowledged writes, the first %s, are not in the log of the server that was promoted", errBroken, len(s.lost), s.lost[0])
	}
	return nil
}

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

func (s *service) setDeaf(v *server, deaf bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v.deaf = deaf
}
