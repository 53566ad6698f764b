package main

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"
)

// addresses reserves n free loopback addresses. The listeners are closed again, so that the processes can use them.
func addresses(n int) ([]string, error) {
	var out []string
	var open []net.Listener
	defer func() {
		for _, l := range open {
			_ = l.Close()
		}
	}()
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, fmt.Errorf("find a free port: %w", err)
		}
		open = append(open, l)
		out = append(out, l.Addr().String())
	}
	return out, nil
}

// process is one process of the system on a machine of its own, with what the template of its role makes of the settings.
type process struct {
	record *record
	// name is the name of the machine, and settings the settings without bootstrap.
	name, dir string
	settings  []string
	command   *exec.Cmd
}

// start writes the settings file and starts the program as the deploy file does, but for the place of the file.
func (p *process) start(bootstrap bool) error {
	settings := p.settings
	if p.isControl() {
		settings = append(append([]string(nil), settings...), fmt.Sprintf("bootstrap %t", bootstrap))
	}
	file := filepath.Join(p.dir, p.name+".conf")
	if err := os.WriteFile(file, []byte(strings.Join(settings, "\n")+"\n"), 0o600); err != nil {
		return fmt.Errorf("write settings: %w", err)
	}
	output, err := os.OpenFile(filepath.Join(p.dir, p.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("open output: %w", err)
	}
	defer func() { _ = output.Close() }()
	p.command = exec.Command("target/jacinthd", "--settings-file", file)
	p.command.Stdout, p.command.Stderr = output, output
	if err := p.command.Start(); err != nil {
		return fmt.Errorf("start %s: %w", p.name, err)
	}
	p.record.write("started %s, pid %d, bootstrap %t", p.name, p.command.Process.Pid, bootstrap)
	return nil
}

func (p *process) isControl() bool { return p.settings[0] == "role control" }

// kill ends the process at once and waits for its end.
func (p *process) kill() {
	if p.command == nil {
		return
	}
	_ = p.command.Process.Kill()
	_ = p.command.Wait()
	p.command = nil
}

// deployment is a small deployment: three control processes and two entry hosts, each on a machine of its own.
type deployment struct {
	control, entry []*process
	// controlAddresses, guestAddresses and readyAddresses are what the processes listen on.
	controlAddresses, guestAddresses, readyAddresses []string
}

const zones = "zone-1=region-1,zone-2=region-1,zone-3=region-1"

func newDeployment(r *record, dir, platform string) (*deployment, error) {
	const controls, hosts = 3, 2
	free, err := addresses(controls*2 + hosts*5)
	if err != nil {
		return nil, err
	}
	d := &deployment{}
	next := func() string {
		a := free[0]
		free = free[1:]
		return a
	}
	for range controls {
		d.controlAddresses = append(d.controlAddresses, next())
	}
	seeds := strings.Join(d.controlAddresses, ",")
	for i, address := range d.controlAddresses {
		name := fmt.Sprintf("core-%d", i+1)
		d.control = append(d.control, &process{record: r, name: name, dir: dir, settings: []string{
			"role control", "interface platform", "name " + name, fmt.Sprintf("failure-domain zone-%d", i+1), "region region-1",
			"regions " + zones, "seeds " + seeds, "rpc-listen " + address, "metrics-listen " + next(),
			"data-dir " + filepath.Join(dir, name), "tolerate 1", "platform-address " + platform,
			"drain-milliseconds 6000", "leave-milliseconds 7000", "log-format json",
		}})
	}
	for i := range hosts {
		guests, ready := next(), next()
		d.guestAddresses, d.readyAddresses = append(d.guestAddresses, guests), append(d.readyAddresses, ready)
		name := fmt.Sprintf("edge-%d", i+1)
		d.entry = append(d.entry, &process{record: r, name: name, dir: dir, settings: []string{
			"role entry", "interface platform", "name " + name, fmt.Sprintf("failure-domain zone-%d", i+1), "region region-1",
			"regions " + zones, "seeds " + seeds, "guest-listen " + guests, "ready-listen " + ready, "rpc-listen " + next(),
			"metrics-listen " + next(), "drain-milliseconds 6000", "log-format json", "link-listen " + next(),
		}})
	}
	return d, nil
}

func (d *deployment) kill() {
	for _, p := range append(d.control, d.entry...) {
		p.kill()
	}
}

func sleepUntil(r *record, at time.Duration) { time.Sleep(at - r.now()) }
