package main

import (
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// The figures of the case "bounds".
const (
	// wholeGrace is grace_s of the small deployments, and fractionalGrace a value that is a fraction.
	wholeGrace, fractionalGrace = "6", "6.5"
	// boundsObserved is how long the processes get to start and to serve.
	boundsObserved = 15 * time.Second
	// boundsRestarts is how often the platform starts a process again that has ended by itself.
	boundsRestarts = 3
)

// fill fills a template of the deploy file for one process: the places that the two templates have, as the platform fills them.
func fill(template, grace string, p *process) ([]string, error) {
	b, err := os.ReadFile(template)
	if err != nil {
		return nil, err
	}
	given := map[string]string{}
	for _, s := range p.settings {
		name, value, _ := strings.Cut(s, " ")
		given[name] = value
	}
	r := strings.NewReplacer(
		"{{node}}", given["name"], "{{zone}}", given["failure-domain"], "{{region}}", given["region"],
		"{{#zones}}{{@}}={{.}}{{,}}{{/zones}}", given["regions"], "{{seeds}}", given["seeds"],
		"{{listen.front}}", given["guest-listen"], "{{listen.ready}}", given["ready-listen"], "{{listen.control}}", given["rpc-listen"],
		"{{ip}}:{{internal_port_range.0}}", given["rpc-listen"], "{{ip}}:{{internal_port_range.1}}", given["link-listen"],
		"{{ip}}:9464", given["metrics-listen"], "{{data_dir}}", given["data-dir"], "{{fault_tolerance.machines}}", "1",
		"{{cloud_api.address}}", given["platform-address"], "{{bounds.grace_s}}", grace,
		"{{#bounds.drain_ms}}", "", "{{bounds.drain_ms}}", "7000", "{{/bounds.drain_ms}}", "",
	)
	var out []string
	for line := range strings.Lines(string(b)) {
		line = strings.TrimSpace(line)
		// Process.start sets bootstrap, and a small deployment has no bounds for accounts.
		if line == "" || strings.HasPrefix(line, "bootstrap ") || strings.Contains(line, "bounds.quota_") {
			continue
		}
		out = append(out, r.Replace(line))
	}
	return out, nil
}

// playBounds starts a system whose grace_s is a fraction or, without trouble, a whole number.
func playBounds(r *record, trouble bool) int {
	dir, err := os.MkdirTemp("", "standin-3-")
	if err != nil {
		r.write("temporary folder: %v", err)
		return exitCannot
	}
	defer func() { _ = os.RemoveAll(dir) }()
	platform, err := addresses(1) // no primary has to be replaced here
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
	grace := wholeGrace
	if trouble {
		grace = fractionalGrace
	}
	r.write("bounds.grace_s is %s", grace)
	all := append(append([]*process(nil), d.control...), d.entry...)
	for _, p := range all {
		template := "deploy/entry.conf"
		if p.isControl() {
			template = "deploy/control.conf"
		}
		if p.settings, err = fill(template, grace, p); err != nil {
			r.write("%v", err)
			return exitCannot
		}
		r.write("%s: %s", p.name, strings.Join(p.settings, "; "))
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
	failed := 0
	for _, p := range all {
		if endsAtStart(r, p) {
			failed++
		}
	}
	time.Sleep(boundsObserved)
	c.stop()
	c.group.Wait()
	sent, served := c.countSince(time.Time{})
	r.write("processes that do not start: %d of %d; requests: %d, served %d", failed, len(all), sent, served)
	switch {
	case sent == 0:
		return exitCannot
	case failed > 0 || served == 0:
		r.write("BROKEN: Fault: a program does not start, no request is served")
		return exitBroken
	}
	return exitHeld
}

// endsAtStart starts a process that has ended again, and reports whether it ends each time.
func endsAtStart(r *record, p *process) bool {
	const patience = 700 * time.Millisecond
	for range boundsRestarts {
		ended := make(chan error, 1)
		var group sync.WaitGroup
		command := p.command
		group.Go(func() { ended <- command.Wait() })
		select {
		case err := <-ended:
			r.write("%s has ended by itself: %v", p.name, err)
		case <-time.After(patience):
			return false // Process.kill ends the process
		}
		b, _ := os.ReadFile(filepath.Join(p.dir, p.name+".log"))
		r.write("%s said: %s", p.name, strings.ReplaceAll(strings.TrimSpace(string(b)), "\n", " / "))
		if err := p.start(false); err != nil {
			r.write("%v", err)
			return true
		}
	}
	return true
}
