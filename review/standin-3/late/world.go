// Command late plays the case of the third independent review that is about a slow platform. It comes from standin-2 of the second
// review: it starts the project's own programs as separate
// processes on loopback addresses, and stands in for the platform, its database servers, its operator and its clients.
package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

const (
	// program is the daemon, built by the command of the deploy file.
	program = "target/jacinthd"
	// hostCount and controlCount are the sizes of a small deployment.
	hostCount    = 3
	controlCount = 3
	// heartbeatInterval is heartbeat_ms of the site files.
	heartbeatInterval = 1200 * time.Millisecond
	// callTimeout is how long servers and the operator wait for an answer.
	callTimeout = time.Second
	// startTimeout bounds the wait for the first served request.
	startTimeout = 30 * time.Second
)

// world is one installation with its surroundings.
type world struct {
	dir     string
	began   time.Time
	group   sync.WaitGroup
	stopped chan struct{}
	client  *http.Client

	platform *http.Server
	// platformAddress is where promote orders arrive.
	platformAddress string
	seeds           []string
	hosts           []*hostProcess
	controls        []*controlProcess
	service         *service

	mu     sync.Mutex // guards the fields below
	record *os.File
	config string
	// holdsNext is true if the platform takes slowTime to handle the next order.
	holdsNext bool
}

// hostProcess is one process of the entry role.
type hostProcess struct {
	name, zone, guests, ready string
	process                   *process
}

// controlProcess is one process of the control role.
type controlProcess struct {
	name, zone, address string
	process             *process
}

// process is a running program.
type process struct {
	cmd  *exec.Cmd
	done chan struct{}
}

func newWorld(folder string) (*world, error) {
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, fmt.Errorf("make a temporary folder: %w", err)
	}
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, fmt.Errorf("write the record: %w", err)
	}
	w := &world{dir: dir, began: time.Now(), stopped: make(chan struct{}), record: record, client: &http.Client{Timeout: callTimeout}}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen for the platform: %w", err)
	}
	w.platformAddress = l.Addr().String()
	w.platform = &http.Server{Handler: http.HandlerFunc(w.promote), ReadHeaderTimeout: callTimeout}
	w.group.Go(func() { _ = w.platform.Serve(l) })
	return w, nil
}

// note writes a line with the time since the start to the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
}

// sleep waits, and reports false when the world ends meanwhile.
func (w *world) sleep(d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-w.stopped:
		return false
	}
}

// start starts the control processes and then the hosts. Bootstrap is true only for the first start.
func (w *world) start(bootstrap bool) error {
	if w.seeds == nil {
		for i := range controlCount {
			c := &controlProcess{name: fmt.Sprintf("core-%d", i+1), zone: zoneOf(i), address: freeAddress()}
			w.controls, w.seeds = append(w.controls, c), append(w.seeds, c.address)
		}
		for i := range hostCount {
			w.hosts = append(w.hosts, &hostProcess{name: fmt.Sprintf("edge-%d", i+1), zone: zoneOf(i), guests: freeAddress(), ready: freeAddress()})
		}
	}
	for _, c := range w.controls {
		var err error
		c.process, err = w.run(c.name, "role control", "failure-domain "+c.zone, "rpc-listen "+c.address,
			"metrics-listen "+freeAddress(), "data-dir "+filepath.Join(w.dir, c.name), fmt.Sprintf("bootstrap %v", bootstrap),
			"tolerate 1", "platform-address "+w.platformAddress, "leave-milliseconds 7000")
		if err != nil {
			return err
		}
	}
	for _, h := range w.hosts {
		var err error
		h.process, err = w.run(h.name, "role entry", "failure-domain "+h.zone, "guest-listen "+h.guests, "ready-listen "+h.ready,
			"rpc-listen "+freeAddress(), "metrics-listen "+freeAddress(), "link-listen "+freeAddress())
		if err != nil {
			return err
		}
	}
	return nil
}

// run starts one process with the settings that the templates of the deploy file have.
func (w *world) run(name string, lines ...string) (*process, error) {
	lines = append(lines, "interface platform", "name "+name, "region region-1", "regions zone-1=region-1,zone-2=region-1,zone-3=region-1",
		"seeds "+strings.Join(w.seeds, ","), "drain-milliseconds 6000", "log-format json")
	path := filepath.Join(w.dir, name+".conf")
	if err := os.WriteFile(path, []byte(strings.Join(lines, "\n")+"\n"), 0o600); err != nil {
		return nil, fmt.Errorf("write the settings of %s: %w", name, err)
	}
	log, err := os.OpenFile(filepath.Join(w.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, fmt.Errorf("open the log of %s: %w", name, err)
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(program, "--settings-file", path)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return nil, fmt.Errorf("start %s: %w", name, err)
	}
	p := &process{cmd: cmd, done: make(chan struct{})}
	w.group.Go(func() {
		_ = cmd.Wait() // killed, or ended by itself: the case sees what follows
		close(p.done)
	})
	return p, nil
}

// kill ends a process with SIGKILL and waits for its end.
func (p *process) kill() {
	if p != nil {
		_ = p.cmd.Process.Kill() // fails only if it has ended
		<-p.done
	}
}

// killAll kills all processes of the system at once.
func (w *world) killAll() {
	var group sync.WaitGroup
	for _, c := range w.controls {
		group.Go(c.process.kill)
	}
	for _, h := range w.hosts {
		group.Go(h.process.kill)
	}
	group.Wait()
}

// close ends everything and keeps the logs of the processes only if the variable KEEP names a folder.
func (w *world) close() {
	close(w.stopped)
	w.killAll()
	_ = w.platform.Close()
	if w.service != nil {
		w.service.close()
	}
	w.group.Wait()
	_ = w.record.Close()
	if keep := os.Getenv("KEEP"); keep != "" {
		_ = os.CopyFS(keep, os.DirFS(w.dir))
	}
	_ = os.RemoveAll(w.dir)
}

// putConfig sends a configuration to the control processes in turn until one acknowledges it.
func (w *world) putConfig(syncReplicas int) error {
	route := func(name, class string) string {
		return fmt.Sprintf(`{"name":"r-%s","database_name":"%s","path_prefix":"/","type":"%s","timeout_ms":1000,"target_latency_ms":500,`+
			`"priority":1,"service":"%s","max_attempts":2,"max_staleness_ms":1500}`, name, name, class, serviceName)
	}
	w.config = fmt.Sprintf(`{"version":7,"routes":[%s,%s],"services":[{"name":"%s","health_check_path":"/health","max_connections":30,`+
		`"protocol":"h1","tls":false,"sync_replicas":%d}],"limits":{"max_header_bytes":16384,"max_body_bytes":262144,`+
		`"header_timeout_ms":3000,"idle_timeout_ms":15000,"tx_idle_ms":3000}}`,
		route("strict", "primary"), route("own", "read_your_writes"), serviceName, syncReplicas)
	for end := time.Now().Add(startTimeout); time.Now().Before(end); {
		for _, a := range w.seeds {
			if status := w.call(http.MethodPut, a, "/jacinthtiller/config", []byte(w.config)); status == http.StatusOK {
				w.note("operator: configuration 7 is acknowledged")
				return nil
			}
		}
		if !w.sleep(100 * time.Millisecond) {
			break
		}
	}
	return fmt.Errorf("the configuration was not acknowledged within %v", startTimeout)
}

// call makes one call to a control process and returns the status; 0 without an answer. It follows redirects.
func (w *world) call(method, address, path string, body []byte) int {
	r, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0
	}
	r.Header.Set("Content-Type", "application/json")
	response, err := w.client.Do(r)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, response.Body) // only the status counts
	return response.StatusCode
}

// promote serves the platform's endpoint for promote orders.
func (w *world) promote(out http.ResponseWriter, r *http.Request) {
	var order struct {
		Service string `json:"service"`
		ID      string `json:"id"`
	}
	if r.Method != http.MethodPost || r.URL.Path != "/promote" || json.NewDecoder(r.Body).Decode(&order) != nil {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	by := fmt.Sprintf("%s by %s, token %s", order.ID, r.Header.Get("Jacinthtiller-Lease-Holder"), r.Header.Get("Jacinthtiller-Fencing-Token"))
	w.note("platform: order to promote %s arrives", by)
	w.mu.Lock()
	slow := w.holdsNext
	w.holdsNext = false
	w.mu.Unlock()
	if slow {
		w.note("platform: is slow with this order, and handles it in %v", slowTime)
		w.sleep(slowTime)
	}
	status := w.service.promote(order.ID)
	w.note("platform: order to promote %s: %d", by, status)
	out.WriteHeader(status)
}

func zoneOf(i int) string { return fmt.Sprintf("zone-%d", i%3+1) }

// lowestPort and highestPort bound the ports of the case. They are below those that the system gives to outgoing connections,
// so that none of these takes the port of a process that is down.
const (
	lowestPort  = 12_000
	highestPort = 32_000
)

// usedPorts holds the ports that the case has chosen; none is chosen twice.
var usedPorts = struct {
	sync.Mutex
	ports map[int]bool
}{ports: map[int]bool{}}

// freeAddress returns a loopback address that nothing listens on.
func freeAddress() string {
	usedPorts.Lock()
	defer usedPorts.Unlock()
	for {
		port := lowestPort + rand.IntN(highestPort-lowestPort)
		address := fmt.Sprintf("127.0.0.1:%d", port)
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = l.Close()
		if !usedPorts.ports[port] {
			usedPorts.ports[port] = true
			return address
		}
	}
}
