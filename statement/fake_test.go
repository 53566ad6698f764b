package statement

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/jacinthtiller/jacinthtiller"
	"github.com/jacinthtiller/jacinthtiller/clock"
	"github.com/jacinthtiller/jacinthtiller/pool"
)

// group stands for the targets of one direct group. Each runs orders by the script and notes them with its name.
type group struct {
	mu sync.Mutex // guards the fields below
	// script answers an order at a target; nil answers success at position 1/10.
	script func(target string, o jacinthtiller.Order) (jacinthtiller.Reply, error)
	down   map[string]bool
	// ran holds "target: text" for each order, with the position that it asked for.
	ran []string
}

func (g *group) Dial(_ context.Context, t jacinthtiller.Target) (jacinthtiller.TargetConn, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.down[t.Name] {
		return nil, syscall.ECONNREFUSED
	}
	return &targetConn{g: g, target: t.Name, state: jacinthtiller.StateIdle}, nil
}

func (g *group) set(change func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	change()
}

// log returns what ran since the last call.
func (g *group) log() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := g.ran
	g.ran = nil
	return out
}

type targetConn struct {
	g       *group
	target  string
	state   byte
	pending []jacinthtiller.Order
}

func (c *targetConn) Send(_ time.Time, orders ...jacinthtiller.Order) error {
	c.g.mu.Lock()
	defer c.g.mu.Unlock()
	for _, o := range orders {
		line := c.target + ": " + o.Text
		if !o.After.IsZero() {
			line += " after " + o.After.String()
		}
		c.g.ran = append(c.g.ran, line)
	}
	c.pending = append(c.pending, orders...)
	return nil
}

// Receive answers as the script says. Its replies carry the state that the connection is in.
func (c *targetConn) Receive(time.Time) (jacinthtiller.Reply, error) {
	o := c.pending[0]
	c.pending = c.pending[1:]
	c.g.mu.Lock()
	script := c.g.script
	c.g.mu.Unlock()
	r := jacinthtiller.Reply{Body: []byte("ok"), Position: jacinthtiller.Position{Term: 1, Index: 10}}
	if script != nil {
		var err error
		if r, err = script(c.target, o); err != nil {
			return r, err
		}
		if r.Body == nil {
			r.Body = []byte("ok")
		}
	}
	switch {
	case r.Fail != "" && c.state != jacinthtiller.StateIdle:
		c.state = jacinthtiller.StateFailed
	case r.Fail == "" && strings.HasPrefix(o.Text, "BEGIN"):
		c.state = jacinthtiller.StateTransaction
	case r.Fail == "" && (o.Text == "COMMIT" || o.Text == "ROLLBACK"):
		c.state = jacinthtiller.StateIdle
	}
	r.State = c.state
	return r, nil
}

func (c *targetConn) Stale() bool  { return false }
func (c *targetConn) Close() error { return nil }

type dialect struct{}

func (dialect) Begin(readOnly bool) string {
	if readOnly {
		return "BEGIN READ"
	}
	return "BEGIN"
}
func (dialect) Rollback() string                 { return "ROLLBACK" }
func (dialect) Status() string                   { return "STATUS" }
func (dialect) Reset() string                    { return "RESET" }
func (dialect) Set(name, value string) string    { return "SET " + name + " " + value }
func (dialect) Execute(name, rest string) string { return "EXECUTE " + name + " " + rest }
func (dialect) Prepare(name string, a jacinthtiller.Access, shape string) string {
	return fmt.Sprintf("PREPARE %s %s %s", name, a, shape)
}

// guest is the guest's side of one session: requests go in, answers come out as "code state".
type guest struct {
	route    string
	requests chan jacinthtiller.GuestRequest
	answers  chan string
	wake     chan struct{}
	once     sync.Once
}

func (g *guest) Greeting() (string, string, error) { return g.route, "guest", nil }
func (g *guest) Welcome() error                    { return g.say("welcome", 'I') }
func (g *guest) Wake() {
	select {
	case g.wake <- struct{}{}:
	default:
	}
}

func (g *guest) Next(deadline time.Time) (jacinthtiller.GuestRequest, error) {
	var rest <-chan time.Time
	if !deadline.IsZero() {
		t := time.NewTimer(time.Until(deadline))
		defer t.Stop()
		rest = t.C
	}
	select {
	case r, ok := <-g.requests:
		if !ok {
			return r, io.EOF
		}
		return r, nil
	case <-g.wake:
		return jacinthtiller.GuestRequest{}, jacinthtiller.ErrWoken
	case <-rest:
		return jacinthtiller.GuestRequest{}, jacinthtiller.ErrWoken
	}
}

func (g *guest) say(what string, state byte) error {
	g.answers <- fmt.Sprintf("%s %c", what, state)
	return nil
}

func (g *guest) Done(state byte) error { return g.say("done", state) }
func (g *guest) Pass(r jacinthtiller.Reply, state byte) error {
	if r.Fail != "" {
		return g.say("passed "+string(r.Fail), state)
	}
	return g.say("passed", state)
}

func (g *guest) Fail(code jacinthtiller.FailCode, _ string, _ int64, state byte) error {
	return g.say(string(code), state)
}

func (g *guest) Refuse(code jacinthtiller.FailCode, _ string) error {
	return g.say("refused "+string(code), '-')
}

func (g *guest) Close() error {
	g.once.Do(func() { close(g.answers) })
	return nil
}

// ask sends a request, given as its text, and returns the answer.
func (g *guest) ask(text string) string {
	word, rest, _ := strings.Cut(text, " ")
	r := jacinthtiller.GuestRequest{ID: "x", Text: text}
	switch word {
	case "BEGIN":
		r.Verb = jacinthtiller.VerbBegin
		if rest == "READ" {
			r.Verb = jacinthtiller.VerbBeginRead
		}
	case "COMMIT":
		r.Verb = jacinthtiller.VerbCommit
	case "ROLLBACK":
		r.Verb = jacinthtiller.VerbRollback
	case "READ":
		r.Verb = jacinthtiller.VerbRead
	case "WRITE":
		r.Verb = jacinthtiller.VerbWrite
	case "SET":
		r.Verb = jacinthtiller.VerbSet
		r.Name, r.Rest, _ = strings.Cut(rest, " ")
	case "EXECUTE":
		r.Verb = jacinthtiller.VerbExecute
		r.Name, r.Rest, _ = strings.Cut(rest, " ")
	case "PREPARE":
		r.Verb, r.Access = jacinthtiller.VerbPrepare, jacinthtiller.AccessWrite
		r.Name, r.Rest, _ = strings.Cut(rest, " ")
	}
	g.requests <- r
	return <-g.answers
}

// bench is a server with one direct group of targets a (primary), b and c.
type bench struct {
	t      testing.TB
	group  *group
	server *Server
	pool   *pool.Pool
	view   jacinthtiller.View
}

func newBench(t testing.TB) *bench {
	b := &bench{t: t, group: &group{down: map[string]bool{}}}
	b.pool = pool.New(b.group, dialect{}, pool.WithHost("h0"))
	b.server = New(b.pool, dialect{}, nil)
	d := jacinthtiller.Database{Name: "db", Direct: true, Term: 1, Primary: "a"}
	for _, n := range []string{"a", "b", "c"} {
		d = d.WithTarget(jacinthtiller.Target{Name: n, Database: "db", Address: "10.0.0.1:" + n, Slots: 4, State: jacinthtiller.StateServing})
	}
	routes := map[string]jacinthtiller.Route{}
	for _, c := range []jacinthtiller.ReadClass{jacinthtiller.ClassPrimary, jacinthtiller.ClassBounded, jacinthtiller.ClassSession} {
		routes[string(c)] = jacinthtiller.Route{
			Name: string(c), Database: "db", Class: c, MaxAgeMilliseconds: 1500, StatementMilliseconds: 400, ObjectiveMilliseconds: 200,
		}
	}
	b.view = jacinthtiller.View{
		Index: 1, Hosts: map[string]jacinthtiller.Host{"h0": {Name: "h0"}}, Databases: map[string]jacinthtiller.Database{"db": d},
		Edition: &jacinthtiller.Edition{Number: 1, Routes: routes, Groups: map[string]jacinthtiller.Group{"db": {Connections: 30}}},
	}
	b.lease(time.Minute) // before the view, so that nothing is asked of the targets yet
	b.server.Apply(b.view)
	return b
}

func (b *bench) close() {
	b.server.Close()
	b.pool.Close()
}

func (b *bench) lease(d time.Duration) {
	b.server.SetLease(jacinthtiller.Lease{Host: "h0", Deadline: clock.Now().Add(d)})
}

// change puts a view in force in which the group is changed.
func (b *bench) change(f func(d jacinthtiller.Database) jacinthtiller.Database) {
	b.view.Index++
	b.view.Databases = map[string]jacinthtiller.Database{"db": f(b.view.Databases["db"])}
	b.server.Apply(b.view)
}

// guest opens a session on the route.
func (b *bench) guest(route jacinthtiller.ReadClass) *guest {
	g := &guest{
		route: string(route), requests: make(chan jacinthtiller.GuestRequest), answers: make(chan string, 4), wake: make(chan struct{}, 1),
	}
	n := &session{s: b.server, conn: g, state: jacinthtiller.StateIdle}
	if !b.server.addSession(n) {
		b.t.Fatal("the server is closed")
	}
	b.server.group.Go(func() {
		defer b.server.removeSession(n)
		n.serve()
	})
	if a := <-g.answers; a != "welcome I" {
		b.t.Fatalf("greeting was answered with %q", a)
	}
	return g
}

func (g *guest) leave() { close(g.requests) }

var errLost = errors.New("the connection was reset")

func fail(c jacinthtiller.FailCode) (jacinthtiller.Reply, error) {
	return jacinthtiller.Reply{Body: []byte("no"), Fail: c, FailText: "t"}, nil
}

func success(index uint64) (jacinthtiller.Reply, error) {
	return jacinthtiller.Reply{Position: jacinthtiller.Position{Term: 1, Index: index}}, nil
}
