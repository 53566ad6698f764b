package main

import (
	"fmt"
	"time"
)

const (
	// stepTime is how far the time of day of one machine jumps ahead.
	stepTime = 2400 * time.Millisecond
	// crashAfter is how long after its start the server on that machine crashes, and downTime how long it is down. The time of day has jumped
	// back when it starts again.
	crashAfter, downTime = time.Second, time.Second
	// calmTime is how long the server then runs before it leaves as planned.
	calmTime = 10 * time.Second
	// lingerTime is how long it serves after its report was acknowledged: drain_ms and a little longer.
	lingerTime = 12 * time.Second
)

// drainAfterStep plays a planned departure of a replica that crashed soon after its start and started again under its id. With
// trouble, the time of day of its machine was ahead at the first start.
func drainAfterStep(w *world, trouble bool) error {
	s := newService(w, 0)
	if err := w.start(true); err != nil {
		return err
	}
	s.add("i-1", "zone-1", freeAddress(), true, nil)
	s.add("i-3", "zone-3", freeAddress(), false, nil)
	if err := w.putConfig(0); err != nil {
		return err
	}
	if err := w.awaitService(); err != nil {
		return err
	}
	w.group.Go(func() {
		for i := 0; w.sleep(25 * time.Millisecond); i++ {
			h := w.hosts[i%len(w.hosts)]
			w.group.Go(func() {
				if i%5 == 0 {
					w.write(h, fmt.Sprint(i%100), fmt.Sprint(i))
					return
				}
				w.read(h, fmt.Sprint(i%100))
			})
		}
	})
	ahead := time.Duration(0)
	if trouble {
		ahead = stepTime
	}
	w.note("the time of day of the machine of i-2 is %v ahead", ahead)
	v := s.addAhead("i-2", "zone-2", freeAddress(), ahead)
	w.sleep(crashAfter)
	w.note("server %s: crashes", v.id)
	v.stop()
	w.sleep(downTime)
	s.mu.Lock()
	v.aheadMilliseconds = 0
	s.mu.Unlock()
	w.note("the time of day of the machine of i-2 is true")
	v.start()
	w.sleep(calmTime)
	v.drain()
	w.sleep(lingerTime)
	v.leave()
	s.mu.Lock()
	defer s.mu.Unlock()
	w.note("server %s: %d requests arrived later than %v after the acknowledgement", v.id, v.lateArrivals, drainBound)
	if v.lateArrivals > 0 {
		return fmt.Errorf("%w: %d requests reached %s later than drain_ms after its report that it is draining was acknowledged", errBroken, v.lateArrivals, v.id)
	}
	return nil
}

// addAhead starts a replica on a machine whose time of day is ahead.
func (s *service) addAhead(id, zone, address string, ahead time.Duration) *server {
	s.mu.Lock()
	log := append([]entry(nil), s.leading().log...)
	s.mu.Unlock()
	return s.addWith(id, zone, address, false, log, ahead)
}
