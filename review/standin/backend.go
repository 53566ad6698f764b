package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	heartbeatInterval = 1200 * time.Millisecond
	promoteDelay      = 300 * time.Millisecond
	// applyLag is how much later than it receives a commit a replica applies it.
	applyLag = 60 * time.Millisecond
	// farDelay is the way between two regions of the site.
	farDelay = 12 * time.Millisecond
	// workTime is how long a statement takes.
	workTime = 5 * time.Millisecond
	// reportItem is the item whose read is answered with reportRows rows of rowBytes.
	reportItem = "report"
	rowBytes   = 1000
)

// commit is one entry of a log.
type commit struct {
	term       int
	data       string
	receivedAt time.Time
}

// service simulates the backends of one service and the platform's endpoint for promote orders.
type service struct {
	w        *world
	name     string
	platform net.Listener
	ctx      context.Context
	cancel   context.CancelFunc

	mu sync.Mutex // guards the fields below and those of the backends
	// changed is signalled when a log grows or a backend changes.
	changed      *sync.Cond
	syncReplicas int
	// reportRows is the number of rows of a report.
	reportRows  int
	backends    []*backend
	completions int
	// acked holds the data of the commits that were acknowledged to a client.
	acked []string
	// lost holds findings: acknowledged commits that a promoted backend lacks.
	lost []string
}

// backend simulates one database.
type backend struct {
	s        *service
	id       string
	address  string
	zone     string
	listener net.Listener
	conns    map[net.Conn]bool
	running  bool
	born     int64
	sequence int
	primary  bool
	term     int
	draining bool
	// deaf is true while the backend receives nothing from the primary.
	deaf bool
	// far is true for a backend that receives each commit farDelay later; what is on its way when the primary crashes is lost.
	far  bool
	log  []commit
	beat chan struct{}
}

func newService(w *world, name string, syncReplicas int) *service {
	s := &service{w: w, name: name, syncReplicas: syncReplicas}
	s.changed = sync.NewCond(&s.mu)
	s.ctx, s.cancel = context.WithCancel(context.Background())
	for i := range 3 {
		b := &backend{
			s: s, id: fmt.Sprintf("i-%d", i), address: freeAddress(), zone: fmt.Sprintf("zone-%d", i), conns: map[net.Conn]bool{},
			primary: i == 0, term: 1, beat: make(chan struct{}, 1),
		}
		s.backends = append(s.backends, b)
		b.start()
		background.Go(b.sendHeartbeats)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	s.platform = l
	background.Go(func() { _ = http.Serve(l, http.HandlerFunc(s.promote)) })
	return s
}

func (s *service) find(id string) *backend {
	for _, b := range s.backends {
		if b.id == id {
			return b
		}
	}
	return nil
}

// start begins to listen. The backend keeps its log.
func (b *backend) start() {
	l, err := net.Listen("tcp", b.address)
	must(err)
	b.s.mu.Lock()
	b.listener, b.running, b.born, b.sequence = l, true, time.Now().UnixMilli(), 0
	b.s.mu.Unlock()
	background.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			b.s.mu.Lock()
			b.conns[c] = true
			b.s.mu.Unlock()
			background.Go(func() { b.serve(c) })
		}
	})
}

// stop ends the backend's process; its log stays.
func (b *backend) stop() {
	b.s.mu.Lock()
	defer b.s.mu.Unlock()
	b.running = false
	_ = b.listener.Close()
	for c := range b.conns {
		_ = c.Close()
	}
	clear(b.conns)
	b.s.changed.Broadcast()
}

// setDeaf stops the backend from receiving, or lets it receive again.
func (b *backend) setDeaf(deaf bool) {
	b.s.mu.Lock()
	defer b.s.mu.Unlock()
	b.deaf = deaf
	b.s.replicate()
}

// current returns the running primary of the highest term. s.mu is held.
func (s *service) current() *backend {
	var out *backend
	for _, b := range s.backends {
		if b.primary && b.running && (out == nil || b.term > out.term) {
			out = b
		}
	}
	return out
}

// replicate sends the log of the primary to the replicas that receive. s.mu is held.
func (s *service) replicate() {
	p := s.current()
	if p == nil {
		return
	}
	for _, b := range s.backends {
		if b == p || !b.running || b.deaf || b.primary {
			continue
		}
		if !b.far {
			b.receive(p, len(p.log))
			continue
		}
		sent := len(p.log)
		time.AfterFunc(farDelay, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			if p.running && p.primary && b.running && !b.deaf && !b.primary {
				b.receive(p, sent)
				s.changed.Broadcast()
			}
		})
	}
	s.changed.Broadcast()
}

// receive adds the first entries of the primary's log that the backend lacks, and rolls back those that the primary lacks.
func (b *backend) receive(p *backend, entries int) {
	b.term = p.term
	n := 0
	for n < len(b.log) && n < len(p.log) && b.log[n].data == p.log[n].data {
		n++
	}
	b.log = b.log[:n]
	for n < entries {
		c := p.log[n]
		c.receivedAt = time.Now()
		b.log = append(b.log, c)
		n++
	}
}

// commit adds a commit at the primary and waits until enough replicas have received it. It reports false when the backend
// stops before. s.mu is held.
func (b *backend) commit(data string) bool {
	b.log = append(b.log, commit{term: b.term, data: data, receivedAt: time.Now()})
	index := len(b.log)
	b.s.replicate()
	for {
		n := 0
		for _, r := range b.s.backends {
			if r != b && r.running && len(r.log) >= index && r.log[index-1].data == data {
				n++
			}
		}
		if !b.running {
			return false
		}
		if n >= b.s.syncReplicas {
			return true
		}
		b.s.changed.Wait()
	}
}

func (b *backend) position() string { return fmt.Sprintf("%d.%d", b.term, len(b.log)) }

// applied returns how many entries of the log a read sees. s.mu is held.
func (b *backend) applied() int {
	n := len(b.log)
	for !b.primary && n > 0 && time.Since(b.log[n-1].receivedAt) < applyLag {
		n--
	}
	return n
}

func (s *service) promote(w http.ResponseWriter, r *http.Request) {
	var order struct{ Service, ID string }
	if json.NewDecoder(r.Body).Decode(&order) != nil || r.URL.Path != "/promote" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.find(order.ID)
	s.w.record("platform: promote order for %s of %s, holder %s, token %s", order.ID, order.Service,
		r.Header.Get("Jacinthtiller-Lease-Holder"), r.Header.Get("Jacinthtiller-Fencing-Token"))
	if order.Service != s.name || b == nil || !b.running {
		w.WriteHeader(http.StatusConflict)
		return
	}
	time.AfterFunc(promoteDelay, func() { s.lead(b) })
}

// lead makes a backend the primary of the next term, with what it has received and nothing more.
func (s *service) lead(b *backend) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if b.primary || !b.running {
		return
	}
	term := 0
	for _, x := range s.backends {
		term = max(term, x.term)
	}
	old := s.current()
	has := map[string]bool{}
	for _, c := range b.log {
		has[c.data] = true
	}
	var lost []string
	for _, data := range s.acked {
		if !has[data] {
			lost = append(lost, data)
		}
	}
	b.primary, b.term, b.deaf = true, term+1, false
	s.w.record("platform: %s leads term %d with %d commits; %d commits were acknowledged to clients before, it lacks %d of them %v",
		b.id, b.term, len(b.log), len(s.acked), len(lost), lost)
	s.lost = append(s.lost, lost...)
	if old != nil {
		old.primary = false
	}
	s.replicate()
}

// beatNow sends a heartbeat at once.
func (b *backend) beatNow() {
	select {
	case b.beat <- struct{}{}:
	default:
	}
}

func (b *backend) heartbeat() []byte {
	b.sequence++
	role, state := "replica", "ready"
	if b.primary {
		role = "primary"
	}
	if b.draining {
		state = "draining"
	}
	body, err := json.Marshal(map[string]any{
		"service": b.s.name, "address": b.address, "zone": b.zone, "version": "v1", "slots": 5, "state": state, "cold_remaining_ms": 0,
		"db_role": role, "sequence": b.sequence, "born": b.born,
	})
	must(err)
	return body
}

// sendHeartbeats reports the backend to the nodes that serve control_plane, to the next one after a failure.
func (b *backend) sendHeartbeats() {
	next, lastRole, lastDraining, ackedDraining := 0, false, false, false
	for b.s.ctx.Err() == nil {
		b.s.mu.Lock()
		running, body := b.running, b.heartbeat()
		lastRole, lastDraining = b.primary, b.draining
		b.s.mu.Unlock()
		if running {
			for range len(b.s.w.seeds) {
				if err := call(http.MethodPut, b.s.w.seeds[next%len(b.s.w.seeds)], "/jacinthtiller/instances/"+b.id, body); err == nil {
					if lastDraining && !ackedDraining {
						ackedDraining = true
						b.s.w.record("%s: its report that it is draining is acknowledged", b.id)
					}
					break
				}
				next++
			}
		}
		end := time.Now().Add(heartbeatInterval)
		for time.Now().Before(end) && b.s.ctx.Err() == nil {
			b.s.mu.Lock()
			changed := b.primary != lastRole || b.draining != lastDraining
			b.s.mu.Unlock()
			if changed {
				break
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
}

// call sends a request to a node that serves control_plane. Redirects are followed.
func call(method, address, path string, body []byte) error {
	r, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(body))
	must(err)
	r.Header.Set("Content-Type", "application/json")
	response, err := (&http.Client{Timeout: time.Second}).Do(r)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	if response.StatusCode/100 != 2 {
		return fmt.Errorf("%s: %s", response.Status, text)
	}
	return nil
}

// serve serves one connection.
func (b *backend) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReaderSize(c, 64<<10)
	line, err := r.ReadString('\n')
	f := strings.Fields(line)
	if err != nil || len(f) < 3 || f[0] != "STARTUP" || f[1] != b.s.name || len(f) > 3 && f[3] != b.id {
		fmt.Fprintf(c, "ERROR WRONGNODE %s\r\n", b.id)
		return
	}
	fmt.Fprintf(c, "READY I -\r\n")
	x := &backendSession{b: b, state: 'I'}
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return
		}
		f := strings.SplitN(strings.TrimRight(line, "\r\n"), " ", 3)
		if len(f) < 3 || f[0] != "QUERY" {
			return
		}
		time.Sleep(workTime)
		b.s.mu.Lock()
		answer, ok := x.run(f[1], f[2])
		position, running := b.position(), b.running
		b.s.mu.Unlock()
		if !ok || !running {
			return
		}
		fmt.Fprintf(c, "%sREADY %c %s\r\n", answer, x.state, position)
	}
}

// backendSession is the state of one connection. Its methods are called with the service's mu held.
type backendSession struct {
	b      *backend
	state  byte
	read   bool
	writes []string
}

func (x *backendSession) run(id, text string) (string, bool) {
	b := x.b
	if rest, ok := strings.CutPrefix(text, "AFTER "); ok {
		position, query, _ := strings.Cut(rest, " ")
		var term, index int
		if n, _ := fmt.Sscanf(position, "%d.%d", &term, &index); n != 2 || b.applied() < index {
			return x.fail("LAGGING"), true
		}
		text = query
	}
	word, rest, _ := strings.Cut(text, " ")
	switch word {
	case "STATUS", "STEPDOWN":
		role := "replica"
		if b.primary {
			role = "primary"
		}
		return fmt.Sprintf("ROW %s %d %s 0 0 0 %d\r\nCOMPLETE -\r\n", role, b.term, b.position(), len(b.conns)), true
	case "BEGIN":
		if rest != "READ" && !b.primary {
			return x.fail("READONLY"), true
		}
		x.state, x.read, x.writes = 'T', rest == "READ", nil
		return x.complete(""), true
	case "ROLLBACK":
		x.state, x.writes = 'I', nil
		return x.complete(""), true
	case "COMMIT":
		writes := x.writes
		x.state, x.writes = 'I', nil
		if len(writes) > 0 && !b.primary {
			return "ERROR READONLY " + b.id + "\r\n", true
		}
		for _, data := range writes {
			if !b.commit(data) {
				return "", false
			}
		}
		return x.complete(""), true
	case "READ":
		if rest == reportItem {
			return x.complete(strings.Repeat("ROW "+strings.Repeat("x", rowBytes)+"\r\n", b.s.reportRows)), true
		}
		return x.complete("ROW " + fmt.Sprint(b.applied()) + "\r\n"), true
	case "WRITE":
		if !b.primary || x.read && x.state == 'T' {
			return x.fail("READONLY"), true
		}
		_, data, _ := strings.Cut(rest, " ")
		if x.state == 'T' {
			x.writes = append(x.writes, data)
			return x.complete(""), true
		}
		b.s.w.record("%s runs %s %s", b.id, id, data)
		if !b.commit(data) {
			return "", false
		}
		return x.complete(""), true
	}
	return "COMPLETE -\r\n", true
}

func (x *backendSession) fail(code string) string {
	if x.state == 'T' {
		x.state = 'E'
	}
	return "ERROR " + code + " " + x.b.id + "\r\n"
}

func (x *backendSession) complete(rows string) string {
	x.b.s.completions++
	return fmt.Sprintf("%sCOMPLETE %d.%s\r\n", rows, x.b.s.completions, x.b.id)
}
