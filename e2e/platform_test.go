package e2e_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/jacinthtiller/jacinthtiller/quorum"
)

// platformConfig returns a configuration with one route of each class.
func platformConfig(version, timeout int) string {
	route := func(name, class string) string {
		return fmt.Sprintf(`{"name":"r-%s","database_name":"%s","path_prefix":"/","type":"%s","timeout_ms":%d,"target_latency_ms":500,`+
			`"priority":1,"service":"svc","max_staleness_ms":1500}`, name, name, class, timeout)
	}
	return fmt.Sprintf(`{"version":%d,"routes":[%s,%s,%s],"services":[{"name":"svc","max_connections":30,"sync_replicas":0}],"limits":{"tx_idle_ms":3000}}`,
		version, route("strict", "primary"), route("bounded", "bounded_staleness"), route("own", "read_your_writes"))
}

// platformInstallation is a set of processes that use the platform's interface: three with the control role, three with
// the entry role, and a stand-in for the platform and its databases.
type platformInstallation struct {
	*installation
	seeds     []string
	databases *standinGroup
	// remote are the entry hosts in another failure domain than the databases.
	remote []string
}

func startPlatform(t testing.TB, remote ...string) *platformInstallation {
	bin, err := buildPrograms()
	if err != nil {
		t.Fatal(err)
	}
	n := &platformInstallation{remote: remote, installation: &installation{
		t: t, binDir: bin, dir: t.TempDir(), control: map[string]*process{}, hosts: map[string]*process{}, targets: map[string]*process{},
	}}
	t.Cleanup(n.stop)
	for range 3 {
		n.seeds = append(n.seeds, freeAddress(t))
	}
	n.databases = newStandinGroup(t, n.seeds)
	for i := range n.seeds {
		n.startControlProcess(i, n.seeds[i], true)
	}
	for i := range 3 {
		n.startEntryHost(i)
	}
	n.putConfig(platformConfig(1, 2000))
	n.eventually("a write is served", func(context.Context) error {
		for _, h := range n.hosts {
			g, err := dialGuest(h.guestAddress, "strict")
			if err != nil {
				return err
			}
			_, err = g.query("WRITE 0 start")
			g.conn.Close()
			if err != nil {
				return err
			}
		}
		return nil
	})
	return n
}

// settings writes a settings file and returns the flag that names it.
func (n *platformInstallation) settings(name string, lines ...string) string {
	path := filepath.Join(n.dir, name+".conf")
	domain := "zone-1"
	if slices.Contains(n.remote, name) {
		domain = "zone-2"
	}
	lines = append(lines, "interface platform", "name "+name, "failure-domain "+domain, "region region-1", "regions zone-1=region-1,zone-2=region-1",
		"seeds "+strings.Join(n.seeds, ","), "log-format json", "drain-milliseconds 3000")
	if err := os.WriteFile(path, []byte(strings.Join(lines, "\n")+"\n"), 0o600); err != nil {
		n.t.Fatal(err)
	}
	return "--settings-file=" + path
}

func (n *platformInstallation) startControlProcess(i int, address string, bootstrap bool) {
	name := fmt.Sprintf("core-%d", i)
	n.control[name] = n.startProcess(name, "jacinthd", n.settings(name, "role control", "rpc-listen "+address, "tolerate 1",
		"data-dir "+filepath.Join(n.dir, name), fmt.Sprintf("bootstrap %v", bootstrap), "platform-address "+n.databases.platform.Addr().String()))
}

func (n *platformInstallation) startEntryHost(i int) {
	name := fmt.Sprintf("edge-%d", i)
	n.hosts[name] = n.startEntryProcess(name, "127.0.0.1:0")
}

func (n *platformInstallation) startEntryProcess(name, guestAddress string) *process {
	return n.startProcess(name, "jacinthd", n.settings(name, "role entry", "guest-listen "+guestAddress, "link-listen 127.0.0.1:0",
		"ready-listen "+freeAddress(n.t)))
}

// putConfig sends a configuration to the control processes in turn until one acknowledges it.
func (n *platformInstallation) putConfig(config string) {
	n.eventually("the configuration is acknowledged", func(ctx context.Context) error {
		var lastErr error
		for _, a := range n.seeds {
			r, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+a+"/jacinthtiller/config", bytes.NewReader([]byte(config)))
			if err != nil {
				return err
			}
			response, err := (&http.Client{Timeout: time.Second}).Do(r)
			if err != nil {
				lastErr = err
				continue
			}
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
			lastErr = fmt.Errorf("status %s", response.Status)
		}
		return lastErr
	})
}

// readConfig reads the configuration back from any control process.
func (n *platformInstallation) readConfig() string {
	var out string
	n.eventually("the configuration is read", func(context.Context) error {
		var lastErr error
		for _, a := range n.seeds {
			response, err := (&http.Client{Timeout: time.Second}).Get("http://" + a + "/jacinthtiller/config")
			if err != nil {
				lastErr = err
				continue
			}
			b, err := io.ReadAll(response.Body)
			response.Body.Close()
			if err == nil && response.StatusCode == http.StatusOK {
				out = string(b)
				return nil
			}
			lastErr = fmt.Errorf("status %s", response.Status)
		}
		return lastErr
	})
	return out
}

func (n *platformInstallation) connectGuest(host, database string) *lineGuest {
	g, err := dialGuest(n.hosts[host].guestAddress, database)
	convey.So(err, convey.ShouldBeNil)
	n.t.Cleanup(func() { g.conn.Close() })
	return g
}

// TestPlatform guards the platform's interface, in separate processes, against writes that other hosts do not see, a
// primary that is not replaced, a write that is lost or duplicated by the replacement, a control process that cannot
// rejoin its group without its disk, and a stop that aborts a transaction.
func TestPlatform(t *testing.T) {
	convey.Convey("On the platform's interface", t, func() {
		n := startPlatform(t)
		expect := func(g *lineGuest, text, want string) {
			got, err := g.query(text)
			convey.So(err, convey.ShouldBeNil)
			convey.So(got, convey.ShouldStartWith, want)
		}

		// A write on one host is visible on the others as each read class guarantees.
		writer := n.connectGuest("edge-0", "strict")
		expect(writer, "WRITE 7 first", "COMPLETE ")
		expect(n.connectGuest("edge-1", "strict"), "READ 7", "ROW first")
		ownReader := n.connectGuest("edge-2", "own")
		expect(ownReader, "WRITE 8 mine", "COMPLETE ")
		for range 20 {
			expect(ownReader, "READ 8", "ROW mine")
		}
		_, err := dialGuest(n.hosts["edge-0"].guestAddress, "nothing")
		convey.So(err, convey.ShouldNotBeNil)
		convey.So(err.Error(), convey.ShouldContainSubstring, "UNKNOWNDB")

		// A transaction commits as a whole.
		for _, x := range [][2]string{{"BEGIN", "COMPLETE -"}, {"WRITE 9 a", "COMPLETE "}, {"WRITE 10 b", "COMPLETE "}, {"COMMIT", "COMPLETE "}} {
			expect(writer, x[0], x[1])
		}
		expect(n.connectGuest("edge-1", "strict"), "READ 10", "ROW b")

		// The primary is killed: another is promoted, and each acknowledged and replicated write is present once.
		time.Sleep(3 * standinLag)
		n.databases.kill("i-0")
		began := time.Now()
		n.eventually("a write is served by the new primary", func(context.Context) error {
			g, err := dialGuest(n.hosts["edge-1"].guestAddress, "strict")
			if err != nil {
				return err
			}
			defer g.conn.Close()
			_, err = g.query("WRITE 11 after")
			return err
		})
		t.Logf("a write was served %v after the primary was killed", time.Since(began).Round(time.Millisecond))
		convey.So(time.Since(began), convey.ShouldBeLessThan, 10*time.Second) // the limit of a change of primary
		expect(n.connectGuest("edge-2", "strict"), "READ 10", "ROW b")
		expect(n.connectGuest("edge-0", "strict"), "READ 11", "ROW after")
		n.databases.restart("i-0")

		// A control process is killed, loses its disk and rejoins the group: acknowledged configurations stay.
		n.putConfig(platformConfig(5, 1500))
		n.killControl("core-1")
		convey.So(os.RemoveAll(filepath.Join(n.dir, "core-1")), convey.ShouldBeNil)
		n.startControlProcess(1, n.seeds[1], false)
		n.putConfig(platformConfig(9, 1600))
		n.awaitVoters("core-1", n.seeds[1])
		convey.So(n.readConfig(), convey.ShouldEqual, platformConfig(9, 1600))
		n.putConfig(platformConfig(6, 1700)) // an older version is acknowledged and changes nothing
		convey.So(n.readConfig(), convey.ShouldEqual, platformConfig(9, 1600))

		// A control process is replaced by one at an address that the settings of the others do not contain.
		n.killControl("core-2")
		replacement := freeAddress(t)
		n.startControlProcess(3, replacement, false)
		n.awaitVoters("core-3", replacement)
		n.seeds = append(n.seeds, replacement)
		convey.So(n.readConfig(), convey.ShouldEqual, platformConfig(9, 1600))

		// On a planned stop, a host lets an open transaction end and then exits.
		transactionGuest := n.connectGuest("edge-0", "strict")
		expect(transactionGuest, "BEGIN", "COMPLETE -")
		expect(transactionGuest, "WRITE 12 c", "COMPLETE ")
		host := n.hosts["edge-0"]
		convey.So(host.cmd.Process.Signal(syscall.SIGTERM), convey.ShouldBeNil)
		expect(transactionGuest, "COMMIT", "COMPLETE ")
		select {
		case <-host.exited:
			convey.So(host.cmd.ProcessState.ExitCode(), convey.ShouldEqual, 0)
		case <-time.After(readyTimeout):
			t.Fatal("edge-0 did not exit after SIGTERM")
		}
		expect(n.connectGuest("edge-1", "strict"), "READ 12", "ROW c")

		// The fencing tokens of the promote orders never decrease.
		n.databases.mu.Lock()
		defer n.databases.mu.Unlock()
		convey.So(len(n.databases.tokens), convey.ShouldBeGreaterThan, 0)
		for i := 1; i < len(n.databases.tokens); i++ {
			convey.So(n.databases.tokens[i], convey.ShouldBeGreaterThanOrEqualTo, n.databases.tokens[i-1])
		}
	})
}

// killControl ends a control process with SIGKILL.
func (n *platformInstallation) killControl(name string) {
	p := n.control[name]
	convey.So(p.cmd.Process.Kill(), convey.ShouldBeNil)
	<-p.exited
	delete(n.control, name)
}

// awaitVoters waits until a control process knows three voters, itself among them, and no repair is unfinished.
func (n *platformInstallation) awaitVoters(name, address string) {
	n.eventually(name+" is a voter", func(context.Context) error {
		b, err := n.control[name].httpGet("/dump")
		if err != nil {
			return err
		}
		var dump struct {
			Control struct {
				Log quorum.Status `json:"log"`
			} `json:"control"`
		}
		if err := json.Unmarshal([]byte(b), &dump); err != nil {
			return err
		}
		voters, isVoter := 0, false
		for _, m := range dump.Control.Log.Members {
			if m.Voter {
				voters++
				isVoter = isVoter || m.Name == address && m.Identity == dump.Control.Log.Identity
			}
		}
		if voters != 3 || !isVoter || dump.Control.Log.RepairUnfinished {
			return fmt.Errorf("members are %+v", dump.Control.Log.Members)
		}
		return nil
	})
}
