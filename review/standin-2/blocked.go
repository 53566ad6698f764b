package main

import (
	"fmt"
	"time"
)

const (
	// downTime is how long all processes are down in the final fault.
	downTime = 1300 * time.Millisecond
	// recoveryTime is recovery_s of the site files.
	recoveryTime = 12 * time.Second
	// shareTime is how long the share of served requests is measured before the final fault and after the recovery.
	shareTime = 6 * time.Second
	// replaceTime is how long after the loss of a server a new one starts at another address.
	replaceTime = 2 * time.Second
	// catchUpTime is how long the new server has to receive the log before the final fault, beside shareTime.
	catchUpTime = 5 * time.Second
	// minServedPercent is the share of the rule.
	minServedPercent = 25
)

// stayWithoutPrimary plays case 8: in a service with a synchronous replica, a replica has been lost for good and replaced; at the
// final fault the primary is lost for good.
func stayWithoutPrimary(w *world, trouble bool) error {
	s := newService(w, 1)
	if err := w.start(true); err != nil {
		return err
	}
	primary := s.add("i-1", "zone-1", freeAddress(), true, nil)
	replica := s.add("i-2", "zone-2", freeAddress(), false, nil)
	s.add("i-3", "zone-3", freeAddress(), false, nil)
	if err := w.putConfig(1); err != nil {
		return err
	}
	if err := w.awaitService(); err != nil {
		return err
	}
	if trouble {
		s.loseForGood(replica)
		w.sleep(replaceTime)
		s.add("i-4", replica.zone, freeAddress(), false, nil)
	}
	w.sleep(catchUpTime)
	before := w.servedPercent()
	w.note("final fault: all processes are killed")
	w.killAll()
	s.loseForGood(primary)
	w.sleep(downTime)
	if err := w.start(false); err != nil {
		return err
	}
	back := time.Now()
	w.note("final fault: all processes are back")
	w.sleep(replaceTime)
	s.add("i-5", primary.zone, freeAddress(), false, nil)
	w.sleep(time.Until(back.Add(recoveryTime)))
	after := w.servedPercent()
	w.note("served before the final fault: %d %%, later than %v after all were back: %d %%", before, recoveryTime, after)
	if before >= minServedPercent && after < minServedPercent {
		return fmt.Errorf("%w: %d %% of the requests are served after the recovery, %d %% were before the final fault", errBroken, after, before)
	}
	return nil
}

// loseForGood ends a server that never comes back. It sends nothing.
func (s *service) loseForGood(v *server) {
	v.stop()
	s.w.note("server %s: is lost for good", v.id)
}

// servedPercent makes reads and writes for shareTime and returns how many of a hundred are served.
func (w *world) servedPercent() int {
	asked, served := 0, 0
	for end := time.Now().Add(shareTime); time.Now().Before(end); asked++ {
		h := w.hosts[asked%len(w.hosts)]
		ok := false
		if asked%2 == 0 {
			ok = w.write(h, fmt.Sprint(asked%100), fmt.Sprint(asked))
		} else {
			ok = w.read(h, fmt.Sprint(asked%100))
		}
		if ok {
			served++
		}
		w.sleep(20 * time.Millisecond)
	}
	return served * 100 / max(1, asked)
}
