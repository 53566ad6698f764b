package session

import (
	"bytes"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"encoding/pem"
	"fmt"
	"maps"
	"math/big"
	"net"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/jacinthtiller/jacinthtiller"
	"github.com/jacinthtiller/jacinthtiller/document"
	"github.com/jacinthtiller/jacinthtiller/replica"
)

// fakeCluster stands for everything behind the sessions: a database "db" whose value is the index of
// its newest write, with the primary "p" and the replicas "r1" and "r2".
type fakeCluster struct {
	mu           sync.Mutex
	view         jacinthtiller.View
	changed      chan struct{}
	positions    map[string]uint64
	marks        map[string]jacinthtiller.Position
	markQueries  int
	team         document.Team
	roles        map[string]document.Role
	openChannels map[*fakeChannel]bool
	canceled     int
	units        []jacinthtiller.Unit
	// intercept may answer a unit instead of the fake; ok is false when it does not.
	intercept func(c *fakeChannel, u jacinthtiller.Unit, sink jacinthtiller.Sink) (r jacinthtiller.Result, err error, ok bool)
	// slow is a text: units whose frames contain it run until their context ends.
	slow     string
	failures []string
	// lateRuns counts the runs of the channel with late frames that have not ended.
	lateRuns sync.WaitGroup
}

const password = "a password"

var verifier = sync.OnceValue(func() string {
	v, err := document.NewVerifier(password)
	if err != nil {
		panic(err)
	}
	return v
})

func newFakeCluster() *fakeCluster {
	fc := &fakeCluster{
		changed: make(chan struct{}), positions: map[string]uint64{}, openChannels: map[*fakeChannel]bool{},
		marks: map[string]jacinthtiller.Position{}, roles: map[string]document.Role{},
		team: document.Team{Name: "team", Databases: []string{"db", "other"}, QueueDeadlineMicroseconds: 5e6},
	}
	targets := map[string]jacinthtiller.Target{}
	for _, n := range []string{"p", "r1", "r2"} {
		targets[n] = jacinthtiller.Target{Name: n, Database: "db", Owner: "h" + n, Epoch: 1, State: jacinthtiller.StateServing}
	}
	fc.view = jacinthtiller.View{
		Index: 1,
		Hosts: map[string]jacinthtiller.Host{
			"hp": {Name: "hp", Domain: "a"}, "hr1": {Name: "hr1", Domain: "b"}, "hr2": {Name: "hr2", Domain: "c"},
		},
		Databases: map[string]jacinthtiller.Database{
			"db":    {Name: "db", Term: 1, Primary: "p", GroupSize: 3, Targets: targets},
			"alien": {Name: "alien"},
		},
	}
	fc.addRole("writer", document.AccessReadWrite)
	fc.addRole("reader", document.AccessReadOnly)
	return fc
}

func (fc *fakeCluster) addRole(name string, a document.Access) {
	fc.roles[name] = document.Role{Name: name, Verifier: verifier(), Access: a, Databases: []string{"db"}}
}

func (fc *fakeCluster) View() jacinthtiller.View {
	fc.mu.Lock()
	defer fc.mu.Unlock()
	return fc.view
}

func (fc *fakeCluster) Changed() <-chan struct{} {
	fc.mu.Lock()
	defer fc.mu.Unlock()
	return fc.changed
}

// setDatabase changes the database in the view.
func (fc *fakeCluster) setDatabase(change func(jacinthtiller.Database) jacinthtiller.Database) {
	fc.mu.Lock()
	defer fc.mu.Unlock()
	fc.view.Databases = maps.Clone(fc.view.Databases)
	fc.view.Databases["db"] = change(fc.view.Databases["db"])
	fc.view.Index++
	close(fc.changed)
	fc.changed = make(chan struct{})
}

func (fc *fakeCluster) Role(name string) (document.Role, document.Team, bool) {
	fc.mu.Lock()
	defer fc.mu.Unlock()
	r, ok := fc.roles[name]
	return r, fc.team, ok
}

func (fc *fakeCluster) ReadClass(_, name string) (document.ReadClass, bool) {
	if name == "newest" {
		return document.ReadClass{Name: name, MaxAgeMicroseconds: 1}, true
	}
	return document.ReadClass{Name: name}, name == "" || name == "fresh"
}

// fakePeer answers requests for marks.
type fakePeer struct {
	jacinthtiller.Peer
	cluster *fakeCluster
}

func (fc *fakeCluster) RequestMarks(ctx context.Context, _ string, r jacinthtiller.MarkRequest) (jacinthtiller.MarkResponse, error) {
	return fakePeer{cluster: fc}.Mark(ctx, r)
}

func (p fakePeer) Mark(_ context.Context, r jacinthtiller.MarkRequest) (jacinthtiller.MarkResponse, error) {
	p.cluster.mu.Lock()
	defer p.cluster.mu.Unlock()
	p.cluster.markQueries++
	out := jacinthtiller.MarkResponse{Term: p.cluster.view.Databases["db"].Term, Marks: map[string]jacinthtiller.Position{}}
	out.Position = jacinthtiller.Position{Term: 1, Index: p.cluster.positions["p"]}
	for _, g := range r.Guests {
		out.Marks[g] = p.cluster.marks[g]
	}
	return out, nil
}

func (fc *fakeCluster) Open(_ context.Context, host string) (jacinthtiller.Channel, error) {
	fc.mu.Lock()
	defer fc.mu.Unlock()
	c := &fakeChannel{cluster: fc, host: host, prepared: map[string]string{}}
	fc.openChannels[c] = true
	return c, nil
}

// locked runs f under the lock.
func (fc *fakeCluster) locked(f func()) {
	fc.mu.Lock()
	defer fc.mu.Unlock()
	f()
}

func (fc *fakeCluster) addFailure(format string, args ...any) {
	fc.failures = append(fc.failures, fmt.Sprintf(format, args...))
}

// unitsWith returns the units that the fake ran whose frames contain the text.
func (fc *fakeCluster) unitsWith(text string) []jacinthtiller.Unit {
	fc.mu.Lock()
	defer fc.mu.Unlock()
	var out []jacinthtiller.Unit
	for _, u := range fc.units {
		if bytes.Contains(u.Frames, []byte(text)) {
			out = append(out, u)
		}
	}
	return out
}

// fakeChannel is a channel to one owner with one connection to its target.
type fakeChannel struct {
	cluster  *fakeCluster
	host     string
	session  string
	status   byte
	writes   uint64
	prepared map[string]string
	boundSQL string
}

func (c *fakeChannel) Cancel(context.Context) error {
	c.cluster.locked(func() { c.cluster.canceled++ })
	return nil
}

func (c *fakeChannel) Close() error {
	c.cluster.mu.Lock()
	defer c.cluster.mu.Unlock()
	if !c.cluster.openChannels[c] {
		c.cluster.addFailure("channel closed twice")
	}
	delete(c.cluster.openChannels, c)
	return nil
}

func (c *fakeChannel) Run(ctx context.Context, u jacinthtiller.Unit, sink jacinthtiller.Sink) (jacinthtiller.Result, error) {
	c.cluster.mu.Lock()
	intercept, slow := c.cluster.intercept, c.cluster.slow
	c.cluster.mu.Unlock()
	if slow != "" && bytes.Contains(u.Frames, []byte(slow)) {
		<-ctx.Done()
		return jacinthtiller.Result{}, jacinthtiller.UnknownOutcome("the connection broke")
	}
	if intercept != nil {
		if r, err, ok := intercept(c, u, sink); ok {
			return r, err
		}
	}
	return c.run(u, sink)
}

func (c *fakeChannel) run(u jacinthtiller.Unit, sink jacinthtiller.Sink) (jacinthtiller.Result, error) {
	c.cluster.mu.Lock()
	defer c.cluster.mu.Unlock()
	applied := jacinthtiller.Position{Term: u.Term, Index: c.cluster.positions[u.Target]}
	switch {
	case "h"+u.Target != c.host, u.Term != c.cluster.view.Databases["db"].Term:
		return refused(u, jacinthtiller.ReasonNotOwner), nil
	case !applied.Covers(u.Mark) && u.Target != "p":
		return refused(u, jacinthtiller.ReasonBehind), nil
	case c.session != "" && c.session != u.Session:
		c.cluster.addFailure("sessions %s and %s on one channel", c.session, u.Session)
	}
	c.session = u.Session
	if c.status == 0 {
		c.status = 'I'
	}
	u.Frames = bytes.Clone(u.Frames)
	c.cluster.units = append(c.cluster.units, u)
	out, sqlstate := c.answer(u)
	if err := sink(out); err != nil {
		return jacinthtiller.Result{}, err
	}
	applied.Index = c.cluster.positions[u.Target]
	if u.Target == "p" && u.Access == jacinthtiller.AccessWrite && sqlstate == "" && c.status == 'I' {
		c.cluster.marks[u.Guest] = applied
	}
	return jacinthtiller.Result{
		Number: u.Number, Outcome: jacinthtiller.OutcomeDone, Position: applied, Status: c.status, SQLSTATE: sqlstate,
	}, nil
}

func refused(u jacinthtiller.Unit, why jacinthtiller.Reason) jacinthtiller.Result {
	return jacinthtiller.Result{
		Number: u.Number, Outcome: jacinthtiller.OutcomeNotRun,
		Err: jacinthtiller.NotRun(jacinthtiller.CodeNotRunNoTarget, why, "refused: %s", why),
	}
}

// answer runs the frames as a target would.
func (c *fakeChannel) answer(u jacinthtiller.Unit) (out []byte, sqlstate string) {
	for _, p := range u.Prepares {
		c.prepared[p.Name] = p.SQL
	}
	b := pgproto3.NewBackend(bytes.NewReader(u.Frames), nil)
	for {
		m, err := b.Receive()
		if err != nil {
			return out, sqlstate
		}
		if _, sync := m.(*pgproto3.Sync); sqlstate != "" && !sync {
			continue
		}
		switch m := m.(type) {
		case *pgproto3.Query:
			out, sqlstate = c.execute(out, u, m.String, true)
			out = encode(out, &pgproto3.ReadyForQuery{TxStatus: c.status})
		case *pgproto3.Parse:
			if strings.HasPrefix(m.Query, "broken") {
				sqlstate = "42601"
				out = encode(out, &pgproto3.ErrorResponse{Severity: "ERROR", Code: sqlstate, Message: "syntax error"})
				continue
			}
			c.prepared[m.Name] = m.Query
			out = encode(out, &pgproto3.ParseComplete{})
		case *pgproto3.Bind:
			sql, ok := c.prepared[m.PreparedStatement]
			if !ok {
				sqlstate = "26000"
				out = encode(out, &pgproto3.ErrorResponse{Severity: "ERROR", Code: sqlstate, Message: "no statement " + m.PreparedStatement})
				continue
			}
			c.boundSQL = sql
			for i, p := range m.Parameters {
				c.boundSQL = strings.ReplaceAll(c.boundSQL, "$"+strconv.Itoa(i+1), string(p))
			}
			out = encode(out, &pgproto3.BindComplete{})
		case *pgproto3.Describe:
			sql := c.boundSQL
			if m.ObjectType == 'S' {
				sql = c.prepared[m.Name]
				d := &pgproto3.ParameterDescription{}
				for range strings.Count(sql, "$") {
					d.ParameterOIDs = append(d.ParameterOIDs, textType)
				}
				out = encode(out, d)
			}
			out = describe(out, sql)
		case *pgproto3.Close:
			out = encode(out, &pgproto3.CloseComplete{})
		case *pgproto3.Execute:
			out, sqlstate = c.execute(out, u, c.boundSQL, false)
		case *pgproto3.Sync:
			out = encode(out, &pgproto3.ReadyForQuery{TxStatus: c.status})
		}
	}
}

func describe(out []byte, sql string) []byte {
	if !strings.HasPrefix(strings.TrimSpace(sql), "select") {
		return encode(out, &pgproto3.NoData{})
	}
	return encode(out, &pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{Name: []byte("v"), DataTypeOID: textType, DataTypeSize: -1}}})
}

// execute supports "select value", "select <text>", "select write()", "insert", "begin", "commit",
// "rollback" and "fail".
func (c *fakeChannel) execute(out []byte, u jacinthtiller.Unit, sql string, describeRows bool) ([]byte, string) {
	sql = strings.TrimSpace(sql)
	verb, rest, _ := strings.Cut(sql, " ")
	switch {
	case (verb == "insert" || strings.Contains(sql, "write()")) && u.Target != "p":
		return encode(out, &pgproto3.ErrorResponse{Severity: "ERROR", Code: "25006", Message: "read-only"}), "25006"
	case verb == "fail":
		if c.status == 'T' {
			c.status = 'E'
		}
		return encode(out, &pgproto3.ErrorResponse{Severity: "ERROR", Code: "22012", Message: "failed"}), "22012"
	case verb == "begin":
		c.status, c.writes = 'T', 0
	case verb == "commit":
		c.cluster.positions["p"] += c.writes
		c.status, c.writes = 'I', 0
	case verb == "rollback":
		c.status, c.writes = 'I', 0
	case verb == "insert" || strings.Contains(sql, "write()"):
		if c.status == 'I' {
			c.cluster.positions["p"]++
		} else {
			c.writes++
		}
	}
	if verb == "select" {
		if describeRows {
			out = describe(out, sql)
		}
		if rest == "value" {
			rest = strconv.FormatUint(c.cluster.positions[u.Target], 10)
		}
		out = encode(out, &pgproto3.DataRow{Values: [][]byte{[]byte(rest)}})
	}
	return encode(out, &pgproto3.CommandComplete{CommandTag: []byte(strings.ToUpper(verb))}), ""
}

// testHost is an entry host for tests.
type testHost struct {
	*Server
	address string
	marks   *replica.MarkBatcher
	served  chan error
}

// startHost starts an entry host in front of the cluster.
func (fc *fakeCluster) startHost(t testing.TB, opts ...Option) *testHost {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := replica.NewPositions()
	m := replica.NewMarkBatcher(fc, fc.View, p, nil)
	opts = append([]Option{
		WithHost(jacinthtiller.Host{Name: "h", Domain: "b"}), WithViews(fc), WithOpener(fc), WithMarks(m), WithPositions(p),
		WithDirectory(func() Directory { return fc }),
	}, opts...)
	h := &testHost{Server: NewServer(opts...), address: l.Addr().String(), marks: m, served: make(chan error, 1)}
	var wg sync.WaitGroup
	wg.Go(func() { h.served <- h.Serve(l) })
	t.Cleanup(func() {
		h.Close()
		m.Close()
		wg.Wait()
		fc.mu.Lock()
		defer fc.mu.Unlock()
		if len(fc.openChannels) > 0 || len(fc.failures) > 0 {
			t.Errorf("%d channels are open, failures %q", len(fc.openChannels), fc.failures)
		}
	})
	return h
}

func (h *testHost) url(role string) string {
	return fmt.Sprintf("postgres://%s:a%%20password@%s/db?sslmode=disable", role, h.address)
}

// connect logs a guest in.
func (h *testHost) connect(t testing.TB, role string) *pgx.Conn {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	c, err := pgx.Connect(ctx, h.url(role))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close(context.Background()) })
	return c
}

var (
	commandComplete = &pgproto3.CommandComplete{CommandTag: []byte("INSERT 0 1")}
	readyForQuery   = &pgproto3.ReadyForQuery{TxStatus: 'I'}
)

func position(index uint64) jacinthtiller.Position {
	return jacinthtiller.Position{Term: 1, Index: index}
}

// testCertificate returns a certificate and its key in PEM.
func testCertificate() (cert, key []byte) {
	k, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		panic(err)
	}
	x := &x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour)}
	c, err := x509.CreateCertificate(rand.Reader, x, x, k.Public(), k)
	if err != nil {
		panic(err)
	}
	b, err := x509.MarshalPKCS8PrivateKey(k)
	if err != nil {
		panic(err)
	}
	return pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: c}), pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: b})
}
