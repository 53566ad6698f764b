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

// world is a fake of everything behind the sessions: a database "db" whose value is the
// index of its newest write, with the primary "p" and the replicas "r1" and "r2".
type world struct {
	mu        sync.Mutex
	view      jacinthtiller.View
	changed   chan struct{}
	positions map[string]uint64
	marks     map[string]jacinthtiller.Position
	asked     int
	team      document.Team
	roles     map[string]document.Role
	open      map[*channel]bool
	canceled  int
	units     []jacinthtiller.Unit
	// intercept may answer a unit instead of the fake; ok is false when it does not.
	intercept func(c *channel, u jacinthtiller.Unit, sink jacinthtiller.Sink) (r jacinthtiller.Result, err error, ok bool)
	faults    []string
}

const password = "a password"

var verifier = sync.OnceValue(func() string {
	v, err := document.NewVerifier(password)
	if err != nil {
		panic(err)
	}
	return v
})

func newWorld() *world {
	w := &world{
		changed: make(chan struct{}), positions: map[string]uint64{}, open: map[*channel]bool{},
		marks: map[string]jacinthtiller.Position{}, roles: map[string]document.Role{},
		team: document.Team{Name: "team", Databases: []string{"db", "other"}, QueueDeadlineMicroseconds: 5e6},
	}
	targets := map[string]jacinthtiller.Target{}
	for _, n := range []string{"p", "r1", "r2"} {
		targets[n] = jacinthtiller.Target{Name: n, Database: "db", Owner: "h" + n, Epoch: 1, State: jacinthtiller.StateServing}
	}
	w.view = jacinthtiller.View{
		Hosts: map[string]jacinthtiller.Host{
			"hp": {Name: "hp", Domain: "a"}, "hr1": {Name: "hr1", Domain: "b"}, "hr2": {Name: "hr2", Domain: "c"},
		},
		Databases: map[string]jacinthtiller.Database{
			"db":    {Name: "db", Term: 1, Primary: "p", GroupSize: 3, Targets: targets},
			"alien": {Name: "alien"},
		},
	}
	w.addRole("writer", document.AccessReadWrite)
	w.addRole("reader", document.AccessReadOnly)
	return w
}

func (w *world) addRole(name string, a document.Access) {
	w.roles[name] = document.Role{Name: name, Verifier: verifier(), Access: a, Databases: []string{"db"}}
}

func (w *world) View() jacinthtiller.View {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.view
}

func (w *world) Changed() <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.changed
}

// setDatabase changes the view.
func (w *world) setDatabase(change func(jacinthtiller.Database) jacinthtiller.Database) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.view.Databases = maps.Clone(w.view.Databases)
	w.view.Databases["db"] = change(w.view.Databases["db"])
	w.view.Index++
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *world) Role(name string) (document.Role, document.Team, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	r, ok := w.roles[name]
	return r, w.team, ok
}

func (w *world) Class(_, name string) (document.ReadClass, bool) {
	if name == "newest" {
		return document.ReadClass{Name: name, MaxAgeMicroseconds: 1}, true
	}
	return document.ReadClass{Name: name}, name == "" || name == "fresh"
}

// worldPeer answers questions for marks.
type worldPeer struct {
	jacinthtiller.Peer
	w *world
}

func (w *world) AskMarks(ctx context.Context, _ string, r jacinthtiller.MarkRequest) (jacinthtiller.MarkResponse, error) {
	return worldPeer{w: w}.Mark(ctx, r)
}

func (p worldPeer) Mark(_ context.Context, r jacinthtiller.MarkRequest) (jacinthtiller.MarkResponse, error) {
	p.w.mu.Lock()
	defer p.w.mu.Unlock()
	p.w.asked++
	out := jacinthtiller.MarkResponse{Term: p.w.view.Databases["db"].Term, Marks: map[string]jacinthtiller.Position{}}
	out.Position = jacinthtiller.Position{Term: 1, Index: p.w.positions["p"]}
	for _, g := range r.Guests {
		out.Marks[g] = p.w.marks[g]
	}
	return out, nil
}

func (w *world) Open(_ context.Context, host string) (jacinthtiller.Channel, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	c := &channel{w: w, host: host, prepared: map[string]string{}}
	w.open[c] = true
	return c, nil
}

// set runs f under the lock.
func (w *world) set(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f()
}

func (w *world) fault(format string, args ...any) {
	w.faults = append(w.faults, fmt.Sprintf(format, args...))
}

// ran returns the units that the fake ran whose frames contain the text.
func (w *world) ran(text string) []jacinthtiller.Unit {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []jacinthtiller.Unit
	for _, u := range w.units {
		if bytes.Contains(u.Frames, []byte(text)) {
			out = append(out, u)
		}
	}
	return out
}

// channel is a fake path to one owner with one connection to its target.
type channel struct {
	w        *world
	host     string
	session  string
	status   byte
	writes   uint64
	prepared map[string]string
	bound    string
}

func (c *channel) Cancel(context.Context) error {
	c.w.set(func() { c.w.canceled++ })
	return nil
}

func (c *channel) Close() error {
	c.w.mu.Lock()
	defer c.w.mu.Unlock()
	if !c.w.open[c] {
		c.w.fault("channel closed twice")
	}
	delete(c.w.open, c)
	return nil
}

func (c *channel) Run(_ context.Context, u jacinthtiller.Unit, sink jacinthtiller.Sink) (jacinthtiller.Result, error) {
	c.w.mu.Lock()
	intercept := c.w.intercept
	c.w.mu.Unlock()
	if intercept != nil {
		if r, err, ok := intercept(c, u, sink); ok {
			return r, err
		}
	}
	return c.run(u, sink)
}

func (c *channel) run(u jacinthtiller.Unit, sink jacinthtiller.Sink) (jacinthtiller.Result, error) {
	c.w.mu.Lock()
	defer c.w.mu.Unlock()
	at := jacinthtiller.Position{Term: u.Term, Index: c.w.positions[u.Target]}
	switch {
	case "h"+u.Target != c.host, u.Term != c.w.view.Databases["db"].Term:
		return refused(u, jacinthtiller.ReasonNotOwner), nil
	case !at.Covers(u.Mark) && u.Target != "p":
		return refused(u, jacinthtiller.ReasonBehind), nil
	case c.session != "" && c.session != u.Session:
		c.w.fault("sessions %s and %s on one channel", c.session, u.Session)
	}
	c.session = u.Session
	if c.status == 0 {
		c.status = 'I'
	}
	u.Frames = bytes.Clone(u.Frames)
	c.w.units = append(c.w.units, u)
	out, failed := c.answer(u)
	if err := sink(out); err != nil {
		return jacinthtiller.Result{}, err
	}
	at.Index = c.w.positions[u.Target]
	if u.Target == "p" && u.Access == jacinthtiller.AccessWrite && failed == "" && c.status == 'I' {
		c.w.marks[u.Guest] = at
	}
	return jacinthtiller.Result{
		Number: u.Number, Outcome: jacinthtiller.OutcomeDone, Position: at, Status: c.status, Failed: failed,
	}, nil
}

func refused(u jacinthtiller.Unit, why jacinthtiller.Reason) jacinthtiller.Result {
	return jacinthtiller.Result{
		Number: u.Number, Outcome: jacinthtiller.OutcomeNotRun,
		Err: jacinthtiller.NotRun(jacinthtiller.CodeNotRunNoTarget, why, "refused: %s", why),
	}
}

// answer runs the frames as a target would.
func (c *channel) answer(u jacinthtiller.Unit) (out []byte, failed string) {
	for _, p := range u.Prepares {
		c.prepared[p.Name] = p.SQL
	}
	b := pgproto3.NewBackend(bytes.NewReader(u.Frames), nil)
	for {
		m, err := b.Receive()
		if err != nil {
			return out, failed
		}
		if _, sync := m.(*pgproto3.Sync); failed != "" && !sync {
			continue
		}
		switch m := m.(type) {
		case *pgproto3.Query:
			out, failed = c.execute(out, u, m.String, true)
			out = encode(out, &pgproto3.ReadyForQuery{TxStatus: c.status})
		case *pgproto3.Parse:
			if strings.HasPrefix(m.Query, "broken") {
				failed = "42601"
				out = encode(out, &pgproto3.ErrorResponse{Severity: "ERROR", Code: failed, Message: "syntax error"})
				continue
			}
			c.prepared[m.Name] = m.Query
			out = encode(out, &pgproto3.ParseComplete{})
		case *pgproto3.Bind:
			sql, ok := c.prepared[m.PreparedStatement]
			if !ok {
				failed = "26000"
				out = encode(out, &pgproto3.ErrorResponse{Severity: "ERROR", Code: failed, Message: "no statement " + m.PreparedStatement})
				continue
			}
			c.bound = sql
			for i, p := range m.Parameters {
				c.bound = strings.ReplaceAll(c.bound, "$"+strconv.Itoa(i+1), string(p))
			}
			out = encode(out, &pgproto3.BindComplete{})
		case *pgproto3.Describe:
			sql := c.bound
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
			out, failed = c.execute(out, u, c.bound, false)
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

// execute knows "select value", "select <text>", "select write()", "insert", "begin", "commit", "rollback" and "fail".
func (c *channel) execute(out []byte, u jacinthtiller.Unit, sql string, describeRows bool) ([]byte, string) {
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
		c.w.positions["p"] += c.writes
		c.status, c.writes = 'I', 0
	case verb == "rollback":
		c.status, c.writes = 'I', 0
	case verb == "insert" || strings.Contains(sql, "write()"):
		if c.status == 'I' {
			c.w.positions["p"]++
		} else {
			c.writes++
		}
	}
	if verb == "select" {
		if describeRows {
			out = describe(out, sql)
		}
		if rest == "value" {
			rest = strconv.FormatUint(c.w.positions[u.Target], 10)
		}
		out = encode(out, &pgproto3.DataRow{Values: [][]byte{[]byte(rest)}})
	}
	return encode(out, &pgproto3.CommandComplete{CommandTag: []byte(strings.ToUpper(verb))}), ""
}

// host is an entry host for tests.
type host struct {
	*Server
	address string
	marks   *replica.Marks
	served  chan error
}

// enter starts an entry host in front of the world.
func (w *world) enter(t testing.TB, opts ...Option) *host {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := replica.NewPositions()
	m := replica.NewMarks(w, w.View, p, nil)
	opts = append([]Option{
		WithHost(jacinthtiller.Host{Name: "h", Domain: "b"}), WithViews(w), WithOpener(w), WithMarks(m), WithPositions(p),
		WithDirectory(func() Directory { return w }),
	}, opts...)
	h := &host{Server: NewServer(opts...), address: l.Addr().String(), marks: m, served: make(chan error, 1)}
	var wg sync.WaitGroup
	wg.Go(func() { h.served <- h.Serve(l) })
	t.Cleanup(func() {
		h.Close()
		m.Close()
		wg.Wait()
		w.mu.Lock()
		defer w.mu.Unlock()
		if len(w.open) > 0 || len(w.faults) > 0 {
			t.Errorf("%d channels are open, faults %q", len(w.open), w.faults)
		}
	})
	return h
}

func (h *host) url(role string) string {
	return fmt.Sprintf("postgres://%s:a%%20password@%s/db?sslmode=disable", role, h.address)
}

// connect logs a guest in.
func (h *host) connect(t testing.TB, role string) *pgx.Conn {
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
	complete = &pgproto3.CommandComplete{CommandTag: []byte("INSERT 0 1")}
	ready    = &pgproto3.ReadyForQuery{TxStatus: 'I'}
)

func pos(index uint64) jacinthtiller.Position { return jacinthtiller.Position{Term: 1, Index: index} }

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
