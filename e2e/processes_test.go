// Package e2e_test runs the programs as separate processes and drives them with
// an ordinary PostgreSQL client.
package e2e_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"io/fs"
	"maps"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/sourcegraph/conc"

	"github.com/jacinthtiller/jacinthtiller"
	"github.com/jacinthtiller/jacinthtiller/bench"
	"github.com/jacinthtiller/jacinthtiller/control"
	"github.com/jacinthtiller/jacinthtiller/daemon"
	"github.com/jacinthtiller/jacinthtiller/document"
	"github.com/jacinthtiller/jacinthtiller/quickstart"
	"github.com/jacinthtiller/jacinthtiller/trace"
	"github.com/jacinthtiller/jacinthtiller/wire"
)

// readyTimeout bounds the start of all processes on a busy machine.
const readyTimeout = 60 * time.Second

const database = "registru-1"

// process is a running program. Its endpoint is the RPC URL of a daemon or the address of a target.
type process struct {
	name         string
	cmd          *exec.Cmd
	endpoint     string
	guestAddress string
	output       *lockedBuffer
	exited       chan struct{}
}

// lockedBuffer keeps a program's output for reports of failures.
type lockedBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buffer.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buffer.String()
}

// installation is a set of processes: three with the control role, seven with the entry role, three targets.
type installation struct {
	t       testing.TB
	binDir  string
	dir     string
	group   conc.WaitGroup
	members map[string]string
	control map[string]*process
	hosts   map[string]*process
	targets map[string]*process
	client  *control.Client
}

var buildPrograms = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "jacinthtiller-bin-")
	if err != nil {
		return "", err
	}
	if err := statSources(); err != nil {
		return "", err
	}
	out, err := exec.Command("go", "build", "-o", dir, "../cmd/jacinthd", "../cmd/jacinth-standin").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("build the programs: %w: %s", err, out)
	}
	return dir, nil
})

// statSources looks at all sources of the programs, so that go test does not repeat a cached result after a change of the
// programs: the test's own binary holds only a part of them.
func statSources() error {
	err := filepath.WalkDir("..", func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || filepath.Ext(path) != ".go" {
			return err
		}
		_, err = os.Stat(path)
		return err
	})
	if err != nil {
		return fmt.Errorf("look at the sources: %w", err)
	}
	return nil
}

// startControlOnly starts the control processes alone and applies the document.
func startControlOnly(t testing.TB) *installation {
	bin, err := buildPrograms()
	if err != nil {
		t.Fatal(err)
	}
	n := &installation{
		t: t, binDir: bin, dir: t.TempDir(), members: map[string]string{},
		control: map[string]*process{}, hosts: map[string]*process{}, targets: map[string]*process{},
	}
	t.Cleanup(n.stop)
	for i := range 3 {
		n.members[fmt.Sprintf("control-%d", i+1)] = "http://" + freeAddress(t)
	}
	for name := range n.members {
		n.startControl(name)
	}
	n.client = control.NewClient(n.controlURLs(), wire.NewHTTPClient())
	n.applyDocument()
	return n
}

// controlURLs returns the RPC URLs of the control processes.
func (n *installation) controlURLs() []string { return slices.Collect(maps.Values(n.members)) }

// startInstallation starts all processes and waits until every host serves writes.
func startInstallation(t testing.TB) *installation {
	n := startControlOnly(t)
	for _, domain := range quickstart.FailureDomains {
		for i := range domain.EntryHosts {
			n.startHost(fmt.Sprintf("%s-entry-%d", domain.Name, i+1), domain)
		}
	}
	n.startTargets(database)
	n.waitReady()
	return n
}

// firstPort and portCount describe a range below the one from which the system takes ports for listeners on port 0 and
// for outgoing connections, so that no process of another test case takes a port between its choice and its use.
const (
	firstPort = 20000
	portCount = 10000
)

// nextPort counts the allocated ports; different test processes begin at different ports.
var nextPort atomic.Int64

func init() { nextPort.Store(int64(os.Getpid()) * 37) }

// freeAddress returns an address that nothing listens on; control processes must know each other's addresses before they
// start.
func freeAddress(t testing.TB) string {
	for range portCount {
		a := fmt.Sprintf("127.0.0.1:%d", firstPort+nextPort.Add(1)%portCount)
		l, err := net.Listen("tcp", a)
		if err != nil {
			continue
		}
		l.Close()
		return a
	}
	t.Fatal("no port is free")
	return ""
}

// startProcess starts a program and reads its log until the event that reports its start.
func (n *installation) startProcess(name, program string, args ...string) *process {
	p := &process{name: name, output: &lockedBuffer{}, exited: make(chan struct{})}
	p.cmd = exec.Command(filepath.Join(n.binDir, program), args...)
	p.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "TMPDIR=" + n.dir}
	r, w := io.Pipe()
	p.cmd.Stdout, p.cmd.Stderr = w, w
	if err := p.cmd.Start(); err != nil {
		n.t.Fatalf("start %s: %v", name, err)
	}
	started := make(chan map[string]any, 1)
	n.group.Go(func() {
		s := bufio.NewScanner(r)
		s.Buffer(nil, 1<<20)
		for s.Scan() {
			fmt.Fprintln(p.output, s.Text())
			var fields map[string]any
			if json.Unmarshal(s.Bytes(), &fields) == nil && strings.HasSuffix(fmt.Sprint(fields["msg"]), "-started") {
				select {
				case started <- fields:
				default:
				}
			}
		}
	})
	n.group.Go(func() {
		_ = p.cmd.Wait()
		w.Close()
		close(p.exited)
	})
	select {
	case f := <-started:
		p.endpoint, _ = f["rpc"].(string)
		p.guestAddress, _ = f["guests"].(string)
		if a, ok := f["address"].(string); ok {
			p.endpoint = a
		}
	case <-p.exited:
		n.t.Fatalf("%s exited before it reported its start:\n%s", name, p.output)
	case <-time.After(readyTimeout):
		n.t.Fatalf("%s did not report its start in time:\n%s", name, p.output)
	}
	return p
}

func (n *installation) daemonFlags(name string, domain quickstart.FailureDomain, args ...string) []string {
	out := []string{
		"--name", name, "--failure-domain", domain.Name, "--region", domain.Region, "--log-format", "json",
		"--trace-file", filepath.Join(n.dir, name+".trace"),
	}
	for m, u := range n.members {
		out = append(out, "--control", m+"="+u)
	}
	return append(out, args...)
}

func (n *installation) startControl(name string) {
	domain := quickstart.FailureDomains[int(name[len(name)-1]-'1')%len(quickstart.FailureDomains)]
	n.control[name] = n.startProcess(name, "jacinthd", n.daemonFlags(name, domain, "--role", daemon.RoleControl, "--bootstrap",
		"--rpc-listen", strings.TrimPrefix(n.members[name], "http://"), "--data-dir", filepath.Join(n.dir, name))...)
}

func (n *installation) startHost(name string, domain quickstart.FailureDomain, args ...string) {
	args = append([]string{"--role", daemon.RoleEntry}, args...)
	n.hosts[name] = n.startProcess(name, "jacinthd", n.daemonFlags(name, domain, args...)...)
}

// restartHost starts an ended host again on its former addresses and waits until it is ready.
func (n *installation) restartHost(name string) {
	old := n.hosts[name]
	for _, domain := range quickstart.FailureDomains {
		if strings.HasPrefix(name, domain.Name+"-") {
			n.startHost(name, domain, "--guest-listen", old.guestAddress, "--rpc-listen", strings.TrimPrefix(old.endpoint, "http://"))
		}
	}
	n.eventually(name+" is ready", func(context.Context) error {
		_, err := n.hosts[name].httpGet("/readyz")
		return err
	})
}

func (n *installation) startTargets(database string) {
	primaryAddress := ""
	for _, domain := range quickstart.FailureDomains {
		var announce []string
		for name, h := range n.hosts {
			if strings.HasPrefix(name, domain.Name) {
				announce = append(announce, h.endpoint)
			}
		}
		name := database + "-" + domain.Name
		args := []string{
			"--name", name, "--database", database, "--failure-domain", domain.Name, "--group-size", "3",
			"--announce", strings.Join(announce, ","), "--log-format", "json",
		}
		if primaryAddress != "" {
			args = append(args, "--follow", primaryAddress)
		}
		n.targets[name] = n.startProcess(name, "jacinth-standin", args...)
		if primaryAddress == "" {
			primaryAddress = n.targets[name].endpoint
		}
	}
}

func (n *installation) applyDocument() {
	verifier, err := document.NewVerifier("seeds")
	if err != nil {
		n.t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
	defer cancel()
	text := fmt.Sprintf("databases: [%s]\nroles:\n  - {name: clerk, verifier: %q}\n", database, verifier)
	if err := quickstart.ApplySection(ctx, n.client, "intake", text); err != nil {
		n.t.Fatal(err)
	}
}

// waitReady waits until a guest can write on every host.
func (n *installation) waitReady() {
	for name := range n.hosts {
		n.eventually(name+" serves writes", func(ctx context.Context) error {
			c, err := pgx.Connect(ctx, n.guestURL(name))
			if err != nil {
				return err
			}
			defer c.Close(ctx)
			_, err = c.Exec(ctx, "CREATE TABLE IF NOT EXISTS accessions (id INTEGER PRIMARY KEY, name TEXT)")
			return err
		})
	}
}

// eventually repeats f until it succeeds; after readyTimeout the test fails.
func (n *installation) eventually(condition string, f func(context.Context) error) {
	n.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
	defer cancel()
	for {
		err := f(ctx)
		if err == nil {
			return
		}
		select {
		case <-ctx.Done():
			n.t.Fatalf("%s: %v", condition, err)
		case <-time.After(20 * time.Millisecond):
		}
	}
}

func (n *installation) guestURL(host string) string {
	return fmt.Sprintf("postgres://clerk:seeds@%s/%s?sslmode=disable", n.hosts[host].guestAddress, database)
}

// logins returns the login at every host for the load tool.
func (n *installation) logins(guests int) []bench.Login {
	var urls []string
	for name := range n.hosts {
		urls = append(urls, n.guestURL(name))
	}
	return []bench.Login{{Team: "intake", URLs: map[string][]string{database: urls}, Guests: guests}}
}

// primaryOwner returns the process of the host that owns the database's primary.
func (n *installation) primaryOwner() (*process, error) {
	d, err := n.status()
	if err != nil {
		return nil, err
	}
	p, ok := n.hosts[d.Targets[d.Primary].Owner]
	if !ok {
		return nil, fmt.Errorf("primary %q has no owner", d.Primary)
	}
	return p, nil
}

// primary returns the process of the primary.
func (n *installation) primary() (*process, error) {
	d, err := n.status()
	if err != nil {
		return nil, err
	}
	p, ok := n.targets[d.Primary]
	if !ok {
		return nil, fmt.Errorf("there is no primary")
	}
	return p, nil
}

func (n *installation) status() (jacinthtiller.Database, error) {
	ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
	defer cancel()
	r, err := n.client.Status(ctx)
	if err != nil || len(r.Databases) == 0 {
		return jacinthtiller.Database{}, fmt.Errorf("status with %d databases: %w", len(r.Databases), err)
	}
	return r.Databases[0], nil
}

// signal sends a signal to the process.
func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// kill ends a process with SIGKILL.
func (p *process) kill() {
	_ = p.cmd.Process.Kill()
	<-p.exited
}

// terminate asks a process to stop gracefully and returns its exit code.
func (p *process) terminate() int {
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	<-p.exited
	return p.cmd.ProcessState.ExitCode()
}

func (n *installation) stop() {
	all := []map[string]*process{n.hosts, n.targets, n.control}
	for _, m := range all {
		for _, p := range m {
			_ = p.cmd.Process.Kill()
		}
	}
	n.group.Wait()
	if n.t.Failed() {
		for _, m := range all {
			for _, p := range m {
				n.t.Logf("output of %s:\n%s", p.name, lastLines(p.output.String(), 20))
			}
		}
	}
}

// lastLines returns the last lines of s.
func lastLines(s string, lines int) string {
	all := strings.Split(strings.TrimSpace(s), "\n")
	return strings.Join(all[max(0, len(all)-lines):], "\n")
}

// checkTraces checks the traces of all processes.
func (n *installation) checkTraces() *trace.Violation {
	paths, err := filepath.Glob(filepath.Join(n.dir, "*.trace"))
	if err != nil || len(paths) != len(n.hosts)+len(n.control) {
		n.t.Fatalf("%d traces, error %v", len(paths), err)
	}
	records, err := trace.ReadFiles(paths...)
	if err != nil {
		n.t.Fatal(err)
	}
	return trace.Check(records)
}

// httpGet fetches a path of a process's HTTP service.
func (p *process) httpGet(path string) (string, error) {
	r, err := http.Get(p.endpoint + path)
	if err != nil {
		return "", err
	}
	defer r.Body.Close()
	b, err := io.ReadAll(r.Body)
	if err == nil && r.StatusCode != http.StatusOK {
		err = fmt.Errorf("%s: %s", r.Status, b)
	}
	return string(b), err
}
