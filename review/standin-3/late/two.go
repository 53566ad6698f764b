package main

import (
	"fmt"
	"time"
)

const (
	// slowTime is how long the platform takes to handle the order with which it is slow. The system waits for a second.
	slowTime = 7 * time.Second
	// releaseGap is how long after the change of primary the new primary is to be replaced, too.
	releaseGap = time.Second
	// changeTimeout bounds the wait for a change of primary.
	changeTimeout = 10 * time.Second
	// afterTime is how long the script goes on after the last server has been replaced.
	afterTime = 3 * time.Second
)

// actOnLateOrder plays a release of two servers, the primary first and then the one that has taken over. With trouble, the platform is
// slow with the first order to promote, and handles the later ones at once.
func actOnLateOrder(w *world, trouble bool) error {
	s := newService(w, 0)
	if err := w.start(true); err != nil {
		return err
	}
	primary := s.add("i-1", "zone-1", freeAddress(), true, nil)
	s.add("i-2", "zone-2", freeAddress(), false, nil)
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
		w.holdsNext = true
		w.mu.Unlock()
	}
	first := make(chan struct{})
	w.group.Go(func() {
		s.leave(primary)
		s.succeed(primary, "i-4")
		close(first)
	})
	second := s.awaitOther(primary)
	if second == nil {
		return fmt.Errorf("no server took over from %s within %v", primary.id, changeTimeout)
	}
	w.sleep(releaseGap)
	s.leave(second)
	s.succeed(second, "i-5")
	<-first
	w.sleep(afterTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	w.note("%d writes were acknowledged", len(s.acknowledged))
	if len(s.late) > 0 {
		return fmt.Errorf("%w: %d acknowledged writes were committed at the old primary after a promotion had taken effect, the first %s", errBroken, len(s.late), s.late[0])
	}
	return nil
}

// awaitOther waits until another server leads, and returns it; nil if none does in time.
func (s *service) awaitOther(v *server) *server {
	for end := time.Now().Add(changeTimeout); time.Now().Before(end) && s.w.sleep(20*time.Millisecond); {
		s.mu.Lock()
		leading := s.leading()
		s.mu.Unlock()
		if leading != nil && leading != v {
			return leading
		}
	}
	return nil
}
