package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
)

// The figures of the case "growth".
const (
	// growthRoutes is the number of idle routes of the grown configuration: big_config three times with 442 routes each.
	growthRoutes = 3 * 442
	// usualRoutes is that of the configuration without the disruption.
	usualRoutes = 8
	// changeCount is the number of changes of the configuration, and changesInFlight how many are sent at once.
	changeCount, changesInFlight = 800, 8
	// changePause is the pause of each of those between two changes.
	changePause = 500 * time.Millisecond
	// memoryLimit is memory_mb of a core machine.
	memoryLimit = 280 << 20
	// memoryCheckInterval is the time between two checks of the memory of a process.
	memoryCheckInterval = 50 * time.Millisecond
	// restartDelay is the time until the platform starts a process again.
	restartDelay = time.Second
	// endsUntilFault is how often processes end by themselves on a machine until that counts as a fault.
	endsUntilFault = 3
	// changesEnd is when the operator stops at the latest.
	changesEnd = 85 * time.Second
	// rest is how long the processes run on after the last change.
	rest = 12 * time.Second
)

// guard is the platform's watch over the memory of one process.
type guard struct {
	record *record
	p      *process
	// limit is the memory of the machine in bytes.
	limit int64
	ends  int
	peak  int64
}

// residentBytes returns the memory of a process; 0 if it cannot be read.
func residentBytes(pid int) int64 {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(b)) {
		if f := strings.Fields(line); len(f) > 1 && f[0] == "VmRSS:" {
			kilobytes, _ := strconv.ParseInt(f[1], 10, 64) // the kernel writes a number
			return kilobytes << 10
		}
	}
	return 0
}

// watch kills the process whenever it uses more than its memory, and starts it again, until stop is closed.
func (g *guard) watch(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(memoryCheckInterval):
		}
		used := residentBytes(g.p.command.Process.Pid)
		g.peak = max(g.peak, used)
		if used <= g.limit {
			continue
		}
		g.ends++
		g.record.write("platform: %s uses %d MiB of %d and is killed, for the %d. time", g.p.name, used>>20, g.limit>>20, g.ends)
		g.p.kill()
		time.Sleep(restartDelay)
		if err := g.p.start(false); err != nil {
			g.record.write("%v", err)
			return
		}
	}
}

// configuration returns a configuration with a number of idle routes. The time limits of these change with the version.
func configuration(version, routes int) []byte {
	list := []any{route("r-1", databaseName, 1000)}
	for i := range routes {
		list = append(list, route(fmt.Sprintf("r-%07x", i), fmt.Sprintf("idle%04xnotused", i), 800+version%100))
	}
	b, _ := json.Marshal(map[string]any{ // maps of plain values can always be encoded
		"version": version, "routes": list,
		"services": []any{map[string]any{
			"name": serviceName, "health_check_path": "/health", "max_connections": 33, "protocol": "h1", "tls": false, "sync_replicas": 0,
		}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000, "tx_idle_ms": 3000},
	})
	return b
}

func route(name, database string, timeout int) map[string]any {
	return map[string]any{
		"name": name, "database_name": database, "path_prefix": "/", "type": "primary", "timeout_ms": timeout,
		"target_latency_ms": 300, "priority": 1, "service": serviceName, "max_attempts": 2,
	}
}

// sendChanges sends changes, each again to the next process until it is acknowledged, and returns how many were.
func (c *callers) sendChanges(control []string, count, routes int) int {
	var next, acknowledged atomic.Int64
	next.Store(1)
	var group conc.WaitGroup
	for i := range changesInFlight {
		group.Go(func() {
			client := &http.Client{Timeout: time.Second}
			for c.record.now() < changesEnd {
				version := int(next.Add(1))
				if version > count+1 {
					return
				}
				body := configuration(version, routes)
				for try := i; c.record.now() < changesEnd; try++ {
					status, err := put(client, "http://"+control[try%len(control)]+"/jacinthtiller/config", body)
					if err == nil && status == http.StatusOK {
						acknowledged.Add(1)
						break
					}
					c.pause(200 * time.Millisecond)
				}
				c.pause(changePause)
			}
		})
	}
	group.Wait()
	return int(acknowledged.Load())
}

// playGrowth changes the configuration many times. With trouble, it has grown by many routes before.
func playGrowth(r *record, trouble bool) int {
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
	for _, p := range append(append([]*process(nil), d.control...), d.entry...) {
		if err := p.start(true); err != nil {
			r.write("%v", err)
			return exitCannot
		}
		time.Sleep(startSpread / 2)
	}
	s, err := newService(r, d.controlAddresses)
	if err != nil {
		r.write("%v", err)
		return exitCannot
	}
	defer s.close()
	c := newCallers(r)
	c.sendConfig(d.controlAddresses)
	c.group.Go(func() { c.runClients(d.guestAddresses) })
	stop := make(chan struct{})
	var guards []*guard
	var watches conc.WaitGroup
	for _, p := range d.control {
		g := &guard{record: r, p: p, limit: memoryLimit}
		guards = append(guards, g)
		watches.Go(func() { g.watch(stop) })
	}
	routes := usualRoutes
	if trouble {
		routes = growthRoutes
	}
	r.write("operator: %d changes of a configuration of %d routes and %d bytes begin", changeCount, routes+1, len(configuration(2, routes)))
	var once sync.Once
	acknowledged := c.sendChanges(d.controlAddresses, changeCount, routes)
	r.write("operator: %d changes were acknowledged", acknowledged)
	time.Sleep(rest)
	once.Do(func() { close(stop) })
	watches.Wait()
	c.stop()
	c.group.Wait()
	return judgeGrowth(r, c, guards, dir)
}

// judgeGrowth checks on how many core machines the process has ended too often.
func judgeGrowth(r *record, c *callers, guards []*guard, dir string) int {
	faulty := 0
	for _, g := range guards {
		var size int64
		if f, err := os.Stat(dir + "/" + g.p.name + "/quorum.db"); err == nil {
			size = f.Size()
		}
		r.write("%s: ended %d times, memory at most %d MiB, %d MiB of disk", g.p.name, g.ends, g.peak>>20, size>>20)
		if g.ends >= endsUntilFault {
			faulty++
		}
	}
	sent, served := c.countSince(time.Time{})
	r.write("clients: %d of %d requests were served", served, sent)
	switch {
	case sent == 0 || served == 0:
		return exitCannot
	case faulty*2 >= len(guards):
		r.write("BROKEN: Fault: on half of the core or more, processes ended by themselves %d times", endsUntilFault)
		return exitBroken
	}
	return exitHeld
}
