package main

import (
	"fmt"
	"os"
	"strings"
	"time"
)

// The times of the case "founding", from the start of the first machine.
const (
	// startSpread is the time between the starts of two control processes; all start within 0.3 s.
	startSpread = 100 * time.Millisecond
	// lostAfter is when the first core machine that starts is lost for good.
	lostAfter = 50 * time.Millisecond
	// replacedAt is when an empty machine comes in its place, at another address.
	replacedAt = 2 * time.Second
	// recovery is recovery_s of the small deployments.
	recovery = 12 * time.Second
	// observed is how long requests are counted after that.
	observed = 15 * time.Second
)

// successor returns the process of an empty machine that takes the place of a core machine: the same settings, at other
// addresses and with a disk of its own.
func successor(p *process, name string) (*process, string, error) {
	free, err := addresses(2)
	if err != nil {
		return nil, "", err
	}
	out := &process{record: p.record, name: name, dir: p.dir}
	for _, s := range p.settings {
		setting, _, _ := strings.Cut(s, " ")
		switch setting {
		case "name":
			s = "name " + name
		case "rpc-listen":
			s = "rpc-listen " + free[0]
		case "metrics-listen":
			s = "metrics-listen " + free[1]
		case "data-dir":
			s = "data-dir " + p.dir + "/" + name
		}
		out.settings = append(out.settings, s)
	}
	return out, free[0], nil
}

// playFounding starts a system for the first time. With trouble, one of the three core machines is lost for good while it starts, and
// replaced by an empty one at another address.
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
	lost := d.control[2]
	next, address, err := successor(lost, "core-4")
	if err != nil {
		r.write("%v", err)
		return exitCannot
	}
	callable := d.controlAddresses
	if trouble {
		callable = append(append([]string(nil), callable...), address)
	}
	if err := startSystem(r, d, lost, trouble); err != nil {
		r.write("%v", err)
		return exitCannot
	}
	s, err := newService(r, callable)
	if err != nil {
		r.write("%v", err)
		return exitCannot
	}
	defer s.close()
	c := newCallers(r)
	c.group.Go(func() { c.sendConfig(callable) })
	c.group.Go(func() { c.runClients(d.guestAddresses) })
	sleepUntil(r, replacedAt)
	if trouble {
		r.write("an empty machine takes the place of core-3, at %s", address)
		if err := next.start(false); err != nil {
			r.write("%v", err)
			return exitCannot
		}
		defer next.kill()
	}
	sleepUntil(r, replacedAt+recovery)
	since := time.Now()
	r.write("recovery_s is over")
	sleepUntil(r, replacedAt+recovery+observed)
	c.stop()
	c.group.Wait()
	return judgeFounding(r, c, since)
}

// startSystem starts all processes, first the one that may be lost.
func startSystem(r *record, d *deployment, first *process, lost bool) error {
	for _, p := range []*process{first, d.control[0], d.control[1]} {
		if err := p.start(true); err != nil {
			return fmt.Errorf("start control: %w", err)
		}
		if p == first && lost {
			time.Sleep(lostAfter)
			r.write("%s is lost for good", p.name)
			p.kill()
		}
		time.Sleep(startSpread)
	}
	for _, p := range d.entry {
		if err := p.start(true); err != nil {
			return fmt.Errorf("start entry: %w", err)
		}
	}
	return nil
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
