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
	// foreignService is a service that no configuration names.
	foreignService = "zeta40q"
	// minServedPercent is the share of the rule.
	minServedPercent = 25
)

// stayDownAfterForeignHeartbeats plays case 8: after all processes were killed and are back, another writer sends one heartbeat
// for each server, in which only the service is none that is named here.
func stayDownAfterForeignHeartbeats(w *world, trouble bool) error {
	s := newService(w, 0)
	if err := w.start(true); err != nil {
		return err
	}
	var servers []*server
	for i := range 3 {
		servers = append(servers, s.add(fmt.Sprintf("i-%d", i+1), zoneOf(i), freeAddress(), i == 0, nil))
	}
	if err := w.putConfig(0); err != nil {
		return err
	}
	if err := w.awaitService(); err != nil {
		return err
	}
	before := w.servedPercent()
	w.note("final fault: all processes are killed")
	w.killAll()
	w.sleep(downTime)
	if err := w.start(false); err != nil {
		return err
	}
	back := time.Now()
	w.note("final fault: all processes are back")
	if err := w.awaitService(); err != nil {
		return err
	}
	if trouble {
		for _, v := range servers {
			body := v.heartbeat(foreignService)
			w.note("another writer: heartbeat of %s for the service %s: status %d", v.id, foreignService, w.beatOnce(v.id, body))
		}
	}
	w.sleep(time.Until(back.Add(recoveryTime)))
	after := w.servedPercent()
	w.note("served before the final fault: %d %%, later than %v after all were back: %d %%", before, recoveryTime, after)
	if before >= minServedPercent && after < minServedPercent {
		return fmt.Errorf("%w: %d %% of the requests are served after the recovery, %d %% were before the final fault", errBroken, after, before)
	}
	return nil
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
