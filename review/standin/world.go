// Command standin runs one case of the review: it starts the programs of the deploy file as separate processes on loopback
// addresses, with stand-ins of the clients, the backends and the platform, and judges one rule by what these have seen.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNoRun  = 2
)

// background runs what ends with the program; nobody waits for it.
var background sync.WaitGroup

func must(err error) {
	if err != nil {
		panic(err)
	}
}

// world is one run.
type world struct {
	dir, program string
	trouble      bool
	began        time.Time
	seeds        []string
	procs        []*proc
	edges        []*edge

	mu     sync.Mutex // guards output
	output *bufio.Writer
}

// edge is one entry host.
type edge struct {
	*proc
	front, ready string
}

// proc is one process of the system.
type proc struct {
	name, settings string

	mu  sync.Mutex // guards cmd
	cmd *exec.Cmd
	// done is closed when cmd has ended.
	done chan struct{}
}

func (w *world) record(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.output, "%8.3f  %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
	_ = w.output.Flush()
}

func freeAddress() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// start starts the process of a role with a settings file like the one that the platform makes of the role's template.
func (w *world) start(name, zone string, lines ...string) *proc {
	lines = append(lines, "interface platform", "name "+name, "failure-domain "+zone, "region region-"+zone,
		"regions zone-0=region-zone-0,zone-1=region-zone-1,zone-2=region-zone-2", "seeds "+strings.Join(w.seeds, ","),
		"metrics-listen "+freeAddress(), "drain-milliseconds 6000", "log-format json")
	p := &proc{name: name, settings: filepath.Join(w.dir, name+".conf")}
	must(os.WriteFile(p.settings, []byte(strings.Join(lines, "\n")+"\n"), 0o600))
	w.procs = append(w.procs, p)
	w.run(p)
	return p
}

func (w *world) run(p *proc) {
	log, err := os.OpenFile(filepath.Join(w.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must(err)
	cmd := exec.Command(w.program, "--settings-file", p.settings)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	must(cmd.Start())
	done := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.done = cmd, done
	p.mu.Unlock()
	background.Go(func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(done)
	})
}

func (p *proc) kill() {
	p.mu.Lock()
	cmd, done := p.cmd, p.done
	p.mu.Unlock()
	_ = cmd.Process.Kill()
	<-done
}

// startSystem starts three control processes and three entry hosts.
func (w *world) startSystem(platform string) {
	for range 3 {
		w.seeds = append(w.seeds, freeAddress())
	}
	for i, a := range w.seeds {
		name := fmt.Sprintf("core-%d", i)
		w.start(name, fmt.Sprintf("zone-%d", i), "role control", "rpc-listen "+a, "data-dir "+filepath.Join(w.dir, name), "bootstrap true",
			"tolerate 1", "platform-address "+platform, "leave-milliseconds 7000")
	}
	for i := range 3 {
		e := &edge{front: freeAddress(), ready: freeAddress()}
		e.proc = w.start(fmt.Sprintf("edge-%d", i), fmt.Sprintf("zone-%d", i), "role entry", "guest-listen "+e.front, "ready-listen "+e.ready,
			"rpc-listen "+freeAddress(), "link-listen "+freeAddress())
		w.edges = append(w.edges, e)
	}
}

func (w *world) stop() {
	for _, p := range w.procs {
		p.kill()
	}
}

// configure sends the first configuration until it is acknowledged.
func (w *world) configure(service string, syncReplicas int) error {
	body := fmt.Sprintf(`{"version":1,"routes":[`+
		`{"name":"r-orders","database_name":"orders","path_prefix":"/","type":"primary","timeout_ms":1000,"target_latency_ms":500,"priority":1,"service":%[1]q,"max_attempts":2},`+
		`{"name":"r-stock","database_name":"stock","path_prefix":"/","type":"bounded_staleness","timeout_ms":3000,"target_latency_ms":1200,"priority":2,"service":%[1]q,"max_attempts":2,"max_staleness_ms":1500}],`+
		`"services":[{"name":%[1]q,"health_check_path":"/health","max_connections":34,"protocol":"h1","tls":false,"sync_replicas":%[2]d}],`+
		`"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000,"tx_idle_ms":3000}}`, service, syncReplicas)
	var err error
	for i := range 100 {
		if err = call(http.MethodPut, w.seeds[i%3], "/jacinthtiller/config", []byte(body)); err == nil {
			w.record("operator: configuration 1 is acknowledged, sync_replicas %d", syncReplicas)
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return err
}

// awaitReady waits until every entry host reports itself ready.
func (w *world) awaitReady() error {
	for range 100 {
		n := 0
		for _, e := range w.edges {
			if r, err := http.Get("http://" + e.ready + "/jacinthtiller/readiness"); err == nil {
				_ = r.Body.Close()
				if r.StatusCode == http.StatusOK {
					n++
				}
			}
		}
		if n == len(w.edges) {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return errors.New("the entry hosts aren't ready")
}

// client is one session of a client.
type client struct {
	conn   net.Conn
	reader *bufio.Reader
}

func connect(address, database string) (*client, error) {
	c, err := net.DialTimeout("tcp", address, 2*time.Second)
	if err != nil {
		return nil, err
	}
	x := &client{conn: c, reader: bufio.NewReader(c)}
	_ = c.SetDeadline(time.Now().Add(2 * time.Second))
	fmt.Fprintf(c, "STARTUP %s u1\r\n", database)
	line, err := x.reader.ReadString('\n')
	if err == nil && !strings.HasPrefix(line, "READY I") {
		err = errors.New(strings.TrimSpace(line))
	}
	if err != nil {
		_ = c.Close()
		return nil, err
	}
	return x, nil
}

// query returns the line that completes the answer, COMPLETE or ERROR.
func (x *client) query(id, text string) (string, error) {
	_ = x.conn.SetDeadline(time.Now().Add(8 * time.Second))
	if _, err := fmt.Fprintf(x.conn, "QUERY %s %s\r\n", id, text); err != nil {
		return "", err
	}
	last := ""
	for {
		line, err := x.reader.ReadString('\n')
		if err != nil {
			return "", err
		}
		line = strings.TrimRight(line, "\r\n")
		if strings.HasPrefix(line, "READY ") {
			return last, nil
		}
		last = line
	}
}
