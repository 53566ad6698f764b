package main

import (
	"fmt"
	"time"
)

const (
	// slowTime is how long the slow platform takes to handle an order. The system waits for a second.
	slowTime = 1500 * time.Millisecond
	// busyAfter is how long after the report of the primary that it leaves the slots of the first candidate are all taken, and
	// busyTime for how long.
	busyAfter = 400 * time.Millisecond
	busyTime  = 1500 * time.Millisecond
	// afterTime is how long the script goes on after the new server has started.
	afterTime = 3 * time.Second
)

// actOnTwoPrimaries plays case 6: the primary is replaced as planned while the platform is slow, and the replica that is ordered to
// lead is busy for a moment.
func actOnTwoPrimaries(w *world, trouble bool) error {
	s := newService(w, 0)
	if err := w.start(true); err != nil {
		return err
	}
	primary := s.add("i-1", "zone-1", freeAddress(), true, nil)
	candidate := s.add("i-2", "zone-2", freeAddress(), false, nil)
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
			w.group.Go(func() { w.write(h, fmt.Sprint(i%100), fmt.Sprint(i)) })
		}
	})
	w.sleep(2 * time.Second)
	if trouble {
		w.mu.Lock()
		w.platformSlow = true
		w.mu.Unlock()
		w.note("platform: is slow from now on")
		w.group.Go(func() {
			w.sleep(busyAfter)
			s.setBusy(candidate, true)
			w.sleep(busyTime)
			s.setBusy(candidate, false)
		})
	}
	s.leave(primary)
	s.succeed(primary, "i-4")
	w.sleep(afterTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.late) > 0 {
		return fmt.Errorf("%w: %d acknowledged writes were committed at the old primary after a promotion had taken effect, the first %s", errBroken, len(s.late), s.late[0])
	}
	return nil
}

func (s *service) setBusy(v *server, busy bool) {
	s.mu.Lock()
	v.busy = busy
	s.mu.Unlock()
	s.w.note("server %s: all its slots are taken: %v", v.id, busy)
}
