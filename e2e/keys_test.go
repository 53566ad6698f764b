package e2e_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"github.com/sourcegraph/conc"

	"github.com/jacinthtiller/jacinthtiller"
)

// configDeadline is how long after its acknowledgement a configuration must be in force on all hosts.
const configDeadline = 4 * time.Second

// The keys of the test. They have no common part with any other text of a run, so that a search for them finds only themselves.
const (
	keyRemoved = "hk4vTqRemoved81z"
	keyKept    = "pw9XcKept27mLd"
	keyAdded   = "zb3GnAdded64yUo"
	keyMoved   = "jr7DsMoved05fEa"
	keyOther   = "ta2QvOther39kHi"
	keyUnknown = "xe8BwUnknown73nOs"
	keyShared  = "uc6LyShared12gPt"
)

var testKeys = []string{keyRemoved, keyKept, keyAdded, keyMoved, keyOther, keyUnknown, keyShared}

// startKeys starts five hosts with the accounts north and south, and waits until all hosts require keys.
func startKeys(t testing.TB) *platformInstallation {
	n := startPlatform(t)
	n.startEntryHost(3)
	n.startEntryHost(4)
	n.databases.recordAccounts(testKeys...)
	n.databases.mu.Lock()
	n.databases.work = func(text string) time.Duration {
		if strings.HasSuffix(text, "slow") {
			return 700 * time.Millisecond
		}
		return time.Millisecond
	}
	n.databases.mu.Unlock()
	n.putConfig(accountsConfig(2, tenantConfig{Name: "north", APIKeys: []string{keyRemoved, keyKept}},
		tenantConfig{Name: "south", APIKeys: []string{keyMoved, keyOther}}))
	acknowledgedAt := time.Now()
	for name := range n.hosts {
		n.eventually(name+" accepts a key", func(context.Context) error {
			g, err := dialGuestAs(n.hosts[name].guestAddress, "strict", keyKept)
			if err != nil {
				return err
			}
			defer g.conn.Close()
			if _, err := g.query("WRITE 0 start"); err != nil {
				return err
			}
			g, err = dialGuest(n.hosts[name].guestAddress, "strict")
			if err == nil {
				g.conn.Close()
				return errors.New("a guest without a key is accepted")
			}
			return nil
		})
	}
	t.Logf("%v after the acknowledgement, all hosts require keys", time.Since(acknowledgedAt).Round(time.Millisecond))
	return n
}

// sendAtOnce sends STARTUP and a write together and returns everything that the host answers until it closes the connection.
func sendAtOnce(address, startup, id string) (string, error) {
	c, err := net.DialTimeout("tcp", address, readyTimeout)
	if err != nil {
		return "", err
	}
	defer c.Close()
	if _, err := fmt.Fprintf(c, "%s\r\nQUERY %s WRITE 1 refused\r\n", startup, id); err != nil {
		return "", err
	}
	_ = c.SetReadDeadline(time.Now().Add(readyTimeout))
	b, err := io.ReadAll(c)
	return string(b), err
}

// TestUnknownKeys guards against guests that are served without a key of an account, and against statements of such guests that
// reach a database because they arrive together with STARTUP.
func TestUnknownKeys(t *testing.T) {
	cases := map[string]struct{ startup string }{
		"unknown":           {"STARTUP strict " + keyUnknown},
		"none":              {"STARTUP strict"},
		"name of account":   {"STARTUP strict north"},
		"digest of a key":   {"STARTUP strict " + string(jacinthtiller.DigestKey(keyKept))},
		"part of a key":     {"STARTUP strict " + keyKept[:len(keyKept)-1]},
		"other case":        {"STARTUP strict " + strings.ToUpper(keyKept)},
		"two keys":          {"STARTUP strict " + keyUnknown + " " + keyKept},
		"name of the proxy": {"STARTUP strict " + noAccount},
	}
	convey.Convey("Hosts that require keys", t, func() {
		n := startKeys(t)
		for name, c := range cases {
			for _, host := range slices.Sorted(maps.Keys(n.hosts)) {
				id := fmt.Sprintf("unknown%s%d", strings.ReplaceAll(name, " ", ""), time.Now().UnixNano())
				answer, err := sendAtOnce(n.hosts[host].guestAddress, c.startup, id)
				convey.So(err, convey.ShouldBeNil)
				convey.So(answer, convey.ShouldStartWith, "ERROR UNAUTH ")
				convey.So(strings.Count(answer, "\n"), convey.ShouldEqual, 1)
				convey.So(findSecret(answer, testKeys), convey.ShouldBeEmpty)
				n.databases.mu.Lock()
				ran := n.databases.ran[id]
				n.databases.mu.Unlock()
				convey.So(ran, convey.ShouldBeFalse)
			}
		}
		n.checkSecrets(t)
	})
}

// keyedSession is an open session of a guest while the configuration changes.
type keyedSession struct {
	host, key string
	guest     *lineGuest
	// want is what ends the wait: the account of an operation, or UNAUTH.
	want   string
	result error
	doneAt time.Time
}

// await sends reads until the wanted result, and for one second longer if that is an account: no later read may run under another one.
func (k *keyedSession) await(n *platformInstallation) {
	giveUpAt := time.Now().Add(readyTimeout)
	for time.Now().Before(giveUpAt) {
		id := k.guest.nextID()
		lines, _, err := k.guest.exchange(id, "READ 1")
		account := n.databases.operationAccount(id)
		switch {
		case err != nil:
			k.result = fmt.Errorf("end without an answer: %w", err)
			return
		case strings.HasPrefix(lines[0], "ERROR UNAUTH ") && k.want == "UNAUTH":
			k.doneAt = time.Now()
			_ = k.guest.conn.SetReadDeadline(time.Now().Add(readyTimeout))
			switch rest, err := io.ReadAll(k.guest.reader); {
			case err != nil || len(rest) > 0:
				k.result = fmt.Errorf("after UNAUTH: %q, %w", rest, err)
			case account != "":
				k.result = fmt.Errorf("the refused read ran under %q", account)
			case findSecret(strings.Join(lines, " "), testKeys) != "":
				k.result = fmt.Errorf("the refusal holds a key: %q", lines)
			}
			return
		case strings.HasPrefix(lines[0], "ERROR"):
			k.result = fmt.Errorf("refused: %s", lines[0])
			return
		case account == k.want && k.doneAt.IsZero():
			k.doneAt = time.Now()
			giveUpAt = k.doneAt.Add(time.Second)
		case account != k.want && !k.doneAt.IsZero():
			k.result = fmt.Errorf("a read ran under %q again", account)
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	if k.doneAt.IsZero() {
		k.result = errors.New("the change never came")
	}
}

// TestKeyChanges guards against sessions that are served after their key was removed, transactions that this aborts, keys that are
// accepted late, sessions that end or keep their account when their key moves to another one, and sessions of other
// keys that the change disturbs.
func TestKeyChanges(t *testing.T) {
	convey.Convey("Keys are removed, added and moved", t, func() {
		n := startKeys(t)
		var sessions []*keyedSession
		var open []*lineGuest
		for _, host := range slices.Sorted(maps.Keys(n.hosts)) {
			for key, want := range map[string]string{keyRemoved: "UNAUTH", keyKept: "north", keyMoved: "north", keyOther: "south"} {
				g, err := dialGuestAs(n.hosts[host].guestAddress, "own", key)
				convey.So(err, convey.ShouldBeNil)
				t.Cleanup(func() { g.conn.Close() })
				_, err = g.query("READ 1")
				convey.So(err, convey.ShouldBeNil)
				sessions = append(sessions, &keyedSession{host: host, key: key, guest: g, want: want})
			}
			g, err := dialGuestAs(n.hosts[host].guestAddress, "strict", keyRemoved)
			convey.So(err, convey.ShouldBeNil)
			t.Cleanup(func() { g.conn.Close() })
			for _, text := range []string{"BEGIN", "WRITE 5 " + host} {
				_, err = g.query(text)
				convey.So(err, convey.ShouldBeNil)
			}
			open = append(open, g)
			answer, err := sendAtOnce(n.hosts[host].guestAddress, "STARTUP strict "+keyAdded, fmt.Sprintf("early%d", time.Now().UnixNano()))
			convey.So(err, convey.ShouldBeNil)
			convey.So(answer, convey.ShouldStartWith, "ERROR UNAUTH ")
		}

		n.putConfig(accountsConfig(3, tenantConfig{Name: "north", APIKeys: []string{keyKept, keyAdded, keyMoved}},
			tenantConfig{Name: "south", APIKeys: []string{keyOther}}))
		acknowledgedAt := time.Now()
		var group conc.WaitGroup
		for _, k := range sessions {
			group.Go(func() { k.await(n) })
		}
		acceptedAt := make([]time.Time, len(open))
		for i, host := range slices.Sorted(maps.Keys(n.hosts)) {
			group.Go(func() {
				for time.Since(acknowledgedAt) < readyTimeout && acceptedAt[i].IsZero() {
					if g, err := dialGuestAs(n.hosts[host].guestAddress, "strict", keyAdded); err == nil {
						if _, err = g.query("WRITE 2 added"); err == nil {
							acceptedAt[i] = time.Now()
						}
						g.conn.Close()
					}
					time.Sleep(10 * time.Millisecond)
				}
			})
		}
		// The transactions stay open until after the change is in force, and less than the route's idle time.
		time.Sleep(1500 * time.Millisecond)
		for _, g := range open {
			for _, text := range []string{"READ 5", "COMMIT"} {
				_, err := g.query(text)
				convey.So(err, convey.ShouldBeNil)
			}
		}
		group.Wait()

		slowest := map[string]time.Duration{}
		for _, k := range sessions {
			if k.result != nil {
				t.Errorf("%s, key %s, expecting %s: %v", k.host, k.key, k.want, k.result)
			}
			slowest[k.key] = max(slowest[k.key], k.doneAt.Sub(acknowledgedAt).Round(time.Millisecond))
		}
		for _, at := range acceptedAt {
			convey.So(at, convey.ShouldNotResemble, time.Time{})
			slowest[keyAdded] = max(slowest[keyAdded], at.Sub(acknowledgedAt).Round(time.Millisecond))
		}
		t.Logf("slowest host after the acknowledgement: %v", slowest)
		for _, d := range slowest {
			convey.So(d, convey.ShouldBeLessThan, configDeadline)
		}
		for _, g := range open {
			_, err := g.query("READ 5")
			convey.So(err, convey.ShouldNotBeNil)
			convey.So(err.Error(), convey.ShouldContainSubstring, "ERROR UNAUTH ")
		}
		for _, host := range slices.Sorted(maps.Keys(n.hosts)) {
			answer, err := sendAtOnce(n.hosts[host].guestAddress, "STARTUP strict "+keyRemoved, fmt.Sprintf("late%d", time.Now().UnixNano()))
			convey.So(err, convey.ShouldBeNil)
			convey.So(answer, convey.ShouldStartWith, "ERROR UNAUTH ")
		}
		n.checkSecrets(t)
	})
}

// checkSecrets searches everything that the processes print, their pages and what the databases received for keys.
func (n *platformInstallation) checkSecrets(t testing.TB) {
	texts := map[string]string{}
	for _, processes := range []map[string]*process{n.hosts, n.control} {
		for name, p := range processes {
			texts["output of "+name] = p.output.String()
			for _, path := range []string{"/dump", "/metrics"} {
				body, err := p.httpGet(path)
				if err != nil {
					t.Errorf("%s of %s: %v", path, name, err)
				}
				texts[path+" of "+name] = body
			}
		}
	}
	for place, text := range texts {
		if text == "" {
			t.Errorf("the %s is empty", place)
		}
		if key := findSecret(text, testKeys); key != "" {
			i := strings.Index(text, key)
			t.Errorf("the %s holds the key %s: %q", place, key, text[max(0, i-100):min(len(text), i+100)])
		}
	}
	n.databases.mu.Lock()
	defer n.databases.mu.Unlock()
	convey.So(n.databases.record.leaks, convey.ShouldBeEmpty)
	convey.So(n.databases.record.startups["north"], convey.ShouldBeGreaterThan, 0)
	for name := range n.databases.record.startups {
		convey.So([]string{"north", "south", noAccount}, convey.ShouldContain, name)
	}
}

// requestLog is what the log of a host states about a request.
type requestLog struct{ Request, Guest, Through string }

// awaitRequestLog waits until the log of a host has a request, and returns its first line.
func (n *platformInstallation) awaitRequestLog(host, id string) (out requestLog) {
	n.eventually("the log of "+host+" has request "+id, func(context.Context) error {
		for line := range strings.Lines(n.hosts[host].output.String()) {
			var e requestLog
			if json.Unmarshal([]byte(line), &e) == nil && e.Request == id {
				out = e
				return nil
			}
		}
		return errors.New("no line has it")
	})
	return out
}

// TestKeysAreSecret guards against keys of guests in STARTUP at databases, logs, dumps, metrics and errors, also of guests that
// are served through another host, on a public route, or while the primary and a host fail or a configuration is rejected.
func TestKeysAreSecret(t *testing.T) {
	convey.Convey("No output has a key", t, func() {
		n := startKeys(t)
		relayed := 0
		connect := func(host, database, key string) *lineGuest {
			g, err := dialGuestAs(n.hosts[host].guestAddress, database, key)
			convey.So(err, convey.ShouldBeNil)
			t.Cleanup(func() { g.conn.Close() })
			return g
		}
		for _, host := range slices.Sorted(maps.Keys(n.hosts)) {
			for _, x := range []struct{ database, key, account, guest string }{
				{"strict", keyKept, "north", "north"},
				{"strict", keyOther, "south", "south"},
				{"open", keyOther, "south", "south"},
				{"open", keyUnknown, noAccount, ""},
			} {
				g := connect(host, x.database, x.key)
				id := g.nextID()
				lines, _, err := g.exchange(id, "WRITE 1 slow")
				convey.So(err, convey.ShouldBeNil)
				convey.So(lines[0], convey.ShouldStartWith, "COMPLETE ")
				convey.So(n.databases.operationAccount(id), convey.ShouldEqual, x.account)
				if n.awaitRequestLog(host, id).Through != "" {
					relayed++
				}
				failed := g.nextID() // the log names the guests of failed requests only
				lines, _, err = g.exchange(failed, "EXECUTE missing 1")
				convey.So(err, convey.ShouldBeNil)
				convey.So(lines[0], convey.ShouldStartWith, "ERROR NOSUCHSTMT ")
				convey.So(n.awaitRequestLog(host, failed).Guest, convey.ShouldEqual, x.guest)
			}
		}
		convey.So(relayed, convey.ShouldBeGreaterThan, 0)

		status, text := n.tryConfig(accountsConfig(3, tenantConfig{Name: "north", APIKeys: []string{keyKept, keyShared}},
			tenantConfig{Name: "south", APIKeys: []string{keyOther, keyShared}}))
		convey.So(status, convey.ShouldEqual, http.StatusBadRequest)
		convey.So(text, convey.ShouldContainSubstring, "north")
		convey.So(findSecret(text, testKeys), convey.ShouldBeEmpty)
		_, err := dialGuestAs(n.hosts["edge-0"].guestAddress, "strict", keyShared)
		convey.So(err, convey.ShouldNotBeNil)
		convey.So(err.Error(), convey.ShouldContainSubstring, "ERROR UNAUTH ")

		// The primary is killed while it runs writes of guests with keys.
		var group conc.WaitGroup
		answers := make([]string, len(n.hosts))
		for i, host := range slices.Sorted(maps.Keys(n.hosts)) {
			g := connect(host, "strict", keyKept)
			group.Go(func() {
				lines, _, err := g.queryLines("WRITE 3 slow")
				answers[i] = fmt.Sprint(lines, err)
			})
		}
		time.Sleep(200 * time.Millisecond)
		n.databases.kill("i-0")
		group.Wait()
		t.Logf("answers to writes when the primary was killed: %q", answers)
		convey.So(findSecret(strings.Join(answers, " "), testKeys), convey.ShouldBeEmpty)
		n.eventually("a write is served by the new primary", func(context.Context) error {
			g, err := dialGuestAs(n.hosts["edge-1"].guestAddress, "strict", keyKept)
			if err != nil {
				return err
			}
			defer g.conn.Close()
			_, err = g.query("WRITE 4 after")
			return err
		})
		n.databases.restart("i-0")
		n.checkSecrets(t)

		// A host stops while a transaction of a guest with a key is open.
		g := connect("edge-0", "strict", keyKept)
		for _, text := range []string{"BEGIN", "WRITE 6 open"} {
			_, err := g.query(text)
			convey.So(err, convey.ShouldBeNil)
		}
		host := n.hosts["edge-0"]
		convey.So(host.cmd.Process.Signal(syscall.SIGTERM), convey.ShouldBeNil)
		select {
		case <-host.exited:
		case <-time.After(readyTimeout):
			t.Fatal("edge-0 did not exit after SIGTERM")
		}
		convey.So(findSecret(host.output.String(), testKeys), convey.ShouldBeEmpty)
		delete(n.hosts, "edge-0")
		n.checkSecrets(t)
	})
}
