package main

import (
	"os"
	"syscall"
	"time"
)

// The times of the case "founding", from the start of the first machine.
const (
	// startSpread is the time between the starts of two control processes; all start within 0.3 s.
	startSpread = 100 * time.Millisecond
	// killAt is when core-2 is killed, and restartAt when the platform starts it again.
	killAt, restartAt = 2 * time.Second, 3 * time.Second
	// thawAt is when core-3, which froze at its start, goes on.
	thawAt = 5 * time.Second
	// recovery is recovery_s of the small deployments.
	recovery = 12 * time.Second
	// observed is how long requests are counted after that.
	observed = 15 * time.Second
)

// playFounding starts a system for the first time. With trouble, one core machine freezes for 5 s while it starts, and meanwhile the
// process of another one is killed and started again by the platform, with bootstrap false.
func playFounding(r *record, trouble bool) int {
	dir, err := os.MkdirTemp("", "standin-3-")
	if err != nil {
		r.write("temporary folder: %v", err)
		return exitCannot
	}
	defer func() { _ = os.RemoveAll(dir) }()
	// No primary has to be replaced here, so nothing listens at the platform's address.
	platform, err := addresses(1)
	if err != nil {
		r.write("%v", err)
		return exitCannot
	}
	d, err := newDeployment(r, dir, platform[0])
	if err != nil {
		r.write("%v", err)
		return exitCannot
	}
	defer d.kill()
	for i, p := range d.control {
		if err := p.start(true); err != nil {
			r.write("%v", err)
			return exitCannot
		}
		if trouble && i == 2 {
			p.signal(syscall.SIGSTOP)
		}
		time.Sleep(startSpread)
	}
	for _, p := range d.entry {
		if err := p.start(true); err != nil {
			r.write("%v", err)
			return exitCannot
		}
	}
	s, err := newService(r, d.controlAddresses)
	if err != nil {
		r.write("%v", err)
		return exitCannot
	}
	defer s.close()
	c := newCallers(r)
	c.group.Go(func() { c.sendConfig(d.controlAddresses) })
	c.group.Go(func() { c.runClients(d.guestAddresses) })
	if trouble {
		sleepUntil(r, killAt)
		r.write("core-2 is killed")
		d.control[1].kill()
		sleepUntil(r, restartAt)
		if err := d.control[1].start(false); err != nil {
			r.write("%v", err)
			return exitCannot
		}
		sleepUntil(r, thawAt)
		d.control[2].signal(syscall.SIGCONT)
	}
	sleepUntil(r, thawAt)
	r.write("all machines are back")
	sleepUntil(r, thawAt+recovery)
	since := time.Now()
	r.write("recovery_s is over")
	sleepUntil(r, thawAt+recovery+observed)
	c.stop()
	c.group.Wait()
	return judgeFounding(r, c, since)
}

// judgeFounding checks that requests are served.
func judgeFounding(r *record, c *callers, since time.Time) int {
	sent, served := c.countSince(since)
	_, all := c.countSince(time.Time{})
	c.mu.Lock()
	accepted := !c.acceptedAt.IsZero()
	c.mu.Unlock()
	r.write("sent later than recovery_s after all machines were back: %d requests, served %d; served in the whole run: %d; configuration acknowledged: %t", sent, served, all, accepted)
	switch {
	case sent == 0:
		return exitCannot
	case all == 0:
		r.write("BROKEN: Fault: no request is served")
		return exitBroken
	}
	return exitHeld
}
