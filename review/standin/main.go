package main

import (
	"bufio"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func main() { os.Exit(run()) }

func run() (code int) {
	name := flag.String("case", "", "lost, foreign or report")
	output := flag.String("record", "record.txt", "file to write")
	program := flag.String("program", "", "path of jacinthd")
	flag.Parse()
	f, err := os.Create(*output)
	must(err)
	defer func() { _ = f.Close() }()
	dir, err := os.MkdirTemp("", "review")
	must(err)
	defer func() {
		if os.Getenv("KEEP") == "" {
			_ = os.RemoveAll(dir)
		}
	}()
	w := &world{dir: dir, program: *program, trouble: os.Getenv("TROUBLE") != "0", began: time.Now(), output: bufio.NewWriter(f)}
	defer w.stop()
	defer func() {
		if r := recover(); r != nil {
			w.record("the case couldn't run: %v", r)
			code = exitNoRun
		}
	}()
	cases := map[string]func(*world) (bool, string){"lost": lost, "foreign": foreign, "report": report}
	broken, text := cases[*name](w)
	w.record("%s", text)
	fmt.Println(text)
	if broken {
		return exitBroken
	}
	return exitHeld
}

// setUp starts a service and the system, and waits until it is configured.
func setUp(w *world, syncReplicas int) *service {
	s := newService(w, "costura", syncReplicas)
	w.startSystem(s.platform.Addr().String())
	must(w.configure(s.name, syncReplicas))
	must(w.awaitReady())
	return s
}

// traffic runs sessions until end: writers that write on the route orders, and two that read on the route stock. It returns how
// many requests were sent and how many were served.
func traffic(w *world, s *service, writers int, end time.Time) (sent, served int64) {
	var wg sync.WaitGroup
	var nSent, nServed atomic.Int64
	for i := range writers + 2 {
		wg.Go(func() {
			var c *client
			for n := 0; time.Now().Before(end); n++ {
				time.Sleep(20 * time.Millisecond)
				e := w.edges[(i+n)%len(w.edges)]
				writes := i < writers
				var err error
				if c == nil {
					database := "stock"
					if writes {
						database = "orders"
					}
					if c, err = connect(e.front, database); err != nil {
						nSent.Add(1)
						w.record("client %d: no session at %s: %v", i, e.name, err)
						c = nil
						time.Sleep(200 * time.Millisecond)
						continue
					}
				}
				id, text, data := fmt.Sprintf("%x%06x", i+1, n), "READ 1", ""
				if writes {
					data = fmt.Sprintf("c%d.%d", i, n)
					text = fmt.Sprintf("WRITE %d %s", i, data)
				}
				nSent.Add(1)
				w.record("client %d sends %s %s", i, id, text)
				line, err := c.query(id, text)
				if err == nil && strings.HasPrefix(line, "COMPLETE ") {
					nServed.Add(1)
					if writes {
						s.mu.Lock()
						s.acked = append(s.acked, data)
						s.mu.Unlock()
					}
					w.record("client %d is answered %s %s", i, id, line)
					continue
				}
				w.record("client %d is answered %s %s %v", i, id, line, err)
				_ = c.conn.Close()
				c = nil
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	wg.Wait()
	return nSent.Load(), nServed.Load()
}

// lost: a service with sync_replicas 1. One replica is replaced (release), the other receives nothing for a while and the
// primary crashes meanwhile (replica_lag, deaf crash). With DEAF=0 the other one receives all the time.
func lost(w *world) (bool, string) {
	s := setUp(w, 1)
	s.backends[2].far = true
	time.Sleep(2 * time.Second)
	begin := time.Now()
	at := func(seconds float64) {
		time.Sleep(time.Until(begin.Add(time.Duration(seconds * float64(time.Second)))))
	}
	primary, leaving, deaf := s.backends[0], s.backends[1], s.backends[2]
	var trouble sync.WaitGroup
	if w.trouble {
		trouble.Go(func() {
			at(3)
			w.record("%s is draining, to be replaced", leaving.id)
			s.mu.Lock()
			leaving.draining = true
			s.mu.Unlock()
			at(10.5)
			w.record("%s deletes itself and exits; %s takes its address and its log", leaving.id, leaving.id+"b")
			_ = call(http.MethodDelete, w.seeds[0], "/jacinthtiller/instances/"+leaving.id, nil)
			leaving.stop()
			next := &backend{
				s: s, id: leaving.id + "b", address: leaving.address, zone: leaving.zone, conns: leaving.conns, term: leaving.term,
				log: leaving.log, beat: make(chan struct{}, 1),
			}
			next.start()
			s.mu.Lock()
			s.backends = append(s.backends, next)
			s.replicate()
			s.mu.Unlock()
			background.Go(next.sendHeartbeats)
		})
		trouble.Go(func() {
			at(4)
			if os.Getenv("DEAF") != "0" {
				w.record("%s receives nothing for 6 s", deaf.id)
				deaf.setDeaf(true)
			}
			at(5.5)
			w.record("%s, the primary, crashes for 7 s", primary.id)
			primary.stop()
			at(10)
			deaf.setDeaf(false)
			at(12.5)
			w.record("%s is back, with its log", primary.id)
			s.mu.Lock()
			if s.current() != nil {
				primary.primary = false
			}
			s.mu.Unlock()
			primary.start()
			s.mu.Lock()
			s.replicate()
			s.mu.Unlock()
		})
	}
	sent, served := traffic(w, s, 14, begin.Add(18*time.Second))
	trouble.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	text := fmt.Sprintf("sent %d, served %d, acknowledged commits %d, missing in the log of a promoted backend %d", sent, served, len(s.acked), len(s.lost))
	if served == 0 {
		panic(text)
	}
	return len(s.lost) > 0, text
}

// foreign: before traffic starts, another writer sends one heartbeat for each backend that names a service which no
// configuration holds.
func foreign(w *world) (bool, string) {
	s := setUp(w, 0)
	time.Sleep(4 * time.Second)
	if w.trouble {
		for i, b := range s.backends {
			body, err := json.Marshal(map[string]any{
				"service": "metrics-agent", "address": b.address, "zone": b.zone, "version": "v1", "slots": 5, "state": "ready",
				"cold_remaining_ms": 0, "db_role": "replica", "sequence": 1, "born": time.Now().UnixMilli(),
			})
			must(err)
			err = call(http.MethodPut, w.seeds[i], "/jacinthtiller/instances/"+b.id, body)
			w.record("another writer sends a heartbeat for %s with the service metrics-agent; answered %v", b.id, err)
		}
	}
	time.Sleep(4 * time.Second)
	sent, served := traffic(w, s, 4, time.Now().Add(30*time.Second))
	return served == 0, fmt.Sprintf("sent %d, served %d", sent, served)
}

const (
	memoryLimitMB = 284
	// largeRows and usualRows are the rows of a report with and without the trouble.
	largeRows = 128 << 10
	usualRows = 1
)

// report: one client reads reports, each an answer of many rows. A process over its memory is killed and restarted, as the
// platform does.
func report(w *world) (bool, string) {
	s := setUp(w, 0)
	s.reportRows = usualRows
	if w.trouble {
		s.reportRows = largeRows
	}
	time.Sleep(2 * time.Second)
	end := time.Now().Add(40 * time.Second)
	var mu sync.Mutex
	ends := map[string]int{}
	stop := make(chan struct{})
	var group sync.WaitGroup
	for _, e := range w.edges {
		group.Go(func() {
			peak := 0
			for {
				select {
				case <-stop:
					w.record("%s used %d MB at most", e.name, peak)
					return
				case <-time.After(5 * time.Millisecond):
				}
				mb := residentMB(e.proc)
				peak = max(peak, mb)
				if mb <= memoryLimitMB {
					continue
				}
				mu.Lock()
				ends[e.name]++
				mu.Unlock()
				w.record("platform: %s uses %d MB, more than %d, and is killed", e.name, mb, memoryLimitMB)
				e.kill()
				time.Sleep(500 * time.Millisecond)
				w.run(e.proc)
				time.Sleep(time.Second)
			}
		})
	}
	var asked, answered int
	group.Go(func() {
		for n := 0; time.Now().Before(end); n++ {
			time.Sleep(500 * time.Millisecond)
			e := w.edges[n%len(w.edges)]
			c, err := connect(e.front, "stock")
			if err != nil {
				continue
			}
			asked++
			w.record("the report's client sends READ %s to %s", reportItem, e.name)
			line, err := c.query(fmt.Sprintf("f%06x", n), "READ "+reportItem)
			if err == nil && strings.HasPrefix(line, "COMPLETE ") {
				answered++
			}
			w.record("the report's client is answered %s %v", line, err)
			_ = c.conn.Close()
		}
	})
	sent, served := traffic(w, s, 4, end)
	close(stop)
	group.Wait()
	machines := 0
	for _, n := range ends {
		if n >= 3 {
			machines++
		}
	}
	return machines >= 2, fmt.Sprintf("sent %d, served %d; reports asked for %d, answered %d; processes that ended by themselves: %v",
		sent, served, asked, answered, ends)
}

// residentMB returns the memory of a process; 0 when it has none.
func residentMB(p *proc) int {
	p.mu.Lock()
	pid := p.cmd.Process.Pid
	p.mu.Unlock()
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	f := strings.Fields(string(b))
	if len(f) < 2 {
		return 0
	}
	pages, _ := strconv.Atoi(f[1])
	return pages * os.Getpagesize() >> 20
}
