package main

import (
	"fmt"
	"os"
	"slices"
	"time"
)

const (
	// cutTime is how long the new server is cut off from control, from its start on.
	cutTime = 5 * time.Second
	// deafTime is how long the other replica receives nothing, from the same moment on.
	deafTime = 6500 * time.Millisecond
	// crashDelay is how long after that moment the primary crashes.
	crashDelay = 2 * time.Second
	// watchTime is how long the script goes on after that moment.
	watchTime = 15 * time.Second
)

// loseUnknownHolder replaces a replica of a service with a synchronous replica, as planned. With trouble, the new server is cut off from control
// for a while, the other replica receives nothing, and the primary crashes meanwhile. The variable CUT=0 leaves the cut out.
func loseUnknownHolder(w *world, trouble bool) error {
	s := newService(w, 1)
	if err := w.start(true); err != nil {
		return err
	}
	primary := s.add("i-1", "zone-1", freeAddress(), true, nil)
	replaced := s.add("i-2", "zone-2", freeAddress(), false, nil)
	other := s.add("i-3", "zone-3", freeAddress(), false, nil)
	if err := w.putConfig(1); err != nil {
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
	s.leave(replaced)
	w.sleep(startGap)
	s.mu.Lock()
	log := slices.Clone(replaced.log)
	s.cutNext = trouble && os.Getenv("CUT") != "0"
	s.mu.Unlock()
	began := time.Now()
	successor := s.add("i-4", replaced.zone, replaced.address, false, log)
	if trouble {
		w.note("server %s: is cut off from control: %v", successor.id, successor.cut)
		s.setDeaf(other, true)
		w.sleep(time.Until(began.Add(crashDelay)))
		w.note("server %s: crashes", primary.id)
		primary.stop()
		w.group.Go(func() {
			w.sleep(time.Until(began.Add(cutTime)))
			s.mu.Lock()
			successor.cut = false
			s.mu.Unlock()
			w.note("server %s: reaches control again", successor.id)
			w.sleep(time.Until(began.Add(deafTime)))
			s.setDeaf(other, false)
		})
	}
	w.sleep(time.Until(began.Add(watchTime)))
	s.mu.Lock()
	defer s.mu.Unlock()
	w.note("%d writes were acknowledged", len(s.acknowledged))
	if len(s.lost) > 0 {
		return fmt.Errorf("%w: %d acknowledged writes, the first %s, are not in the log of the server that was promoted", errBroken, len(s.lost), s.lost[0])
	}
	return nil
}

func (s *service) setDeaf(v *server, deaf bool) {
	s.mu.Lock()
	v.deaf = deaf
	s.mu.Unlock()
	s.w.note("server %s: receives nothing: %v", v.id, deaf)
}
