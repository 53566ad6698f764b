package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	serviceName = "huvo11a"
	// receiveDelay is how long a commit is on its way to a replica, and applyDelay how much later the replica applies it.
	receiveDelay = 10 * time.Millisecond
	applyDelay   = 60 * time.Millisecond
	// promoteDelay is the time from an order to its effect, and demoteDelay how much later a former primary that runs notices.
	promoteDelay = 300 * time.Millisecond
	demoteDelay  = time.Second
	// syncTimeout bounds how long a commit waits for a replica.
	syncTimeout = 5 * time.Second
	// drainBound is drain_ms of the small deployments.
	drainBound = 7 * time.Second
)

// entry is one commit in a log. Its number is its place in the log.
type entry struct {
	id, item, data string
	term           int
	// at is when the server received it.
	at time.Time
}

// service is the group of database servers behind the routes.
type service struct {
	w            *world
	syncReplicas int

	mu      sync.Mutex // guards the fields below and those of the servers
	servers map[string]*server
	// acknowledged holds the ids of the writes that clients know to be committed.
	acknowledged map[string]bool
	// lost lists the acknowledged writes that a server lacked when it was promoted.
	lost []string
	// late lists the acknowledged writes that were committed at a server after a promotion of another one took effect.
	late []string
	// committedLate holds the ids of the writes that were committed so, with the server.
	committedLate map[string]string
	signatures    int
	// cutNext is true if the next server that is added is cut off from control from its start on.
	cutNext bool
}

// server is one database server.
type server struct {
	s                 *service
	id, zone, address string

	listener net.Listener
	conns    map[net.Conn]bool
	running  bool
	draining bool
	primary  bool
	// deaf is true while the server receives nothing from the primary, and busy while all its slots are taken.
	deaf, busy bool
	// cut is true while the server is cut off from control.
	cut bool
	// replacedAt is when another server began to lead a later term; zero for one that has not been replaced.
	replacedAt time.Time
	term       int
	log        []entry
	born       int64
	sequence   int
	// aheadMilliseconds is how far the time of day of the server's machine is ahead of the true one.
	aheadMilliseconds int64
	// drainedAt is when its report that it is draining was acknowledged; zero before. lateArrivals counts the requests of clients that
	// arrived more than drainBound after that.
	drainedAt    time.Time
	lateArrivals int
	// beatNow is signalled when a change has to be reported.
	beatNow chan struct{}
}

func newService(w *world, syncReplicas int) *service {
	s := &service{w: w, syncReplicas: syncReplicas, servers: map[string]*server{}, acknowledged: map[string]bool{}, committedLate: map[string]string{}}
	w.service = s
	w.group.Go(s.replicate)
	return s
}

// add starts a server with a log. The primary of the first term is the one without a log that is added first.
func (s *service) add(id, zone, address string, primary bool, log []entry) *server {
	return s.addWith(id, zone, address, primary, log, 0)
}

// addWith is like add, for a machine whose time of day is ahead.
func (s *service) addWith(id, zone, address string, primary bool, log []entry, ahead time.Duration) *server {
	v := &server{
		s: s, id: id, zone: zone, address: address, conns: map[net.Conn]bool{}, primary: primary, term: 1, log: log, beatNow: make(chan struct{}, 1), aheadMilliseconds: ahead.Milliseconds(),
	}
	s.mu.Lock()
	if p := s.leading(); p != nil && !primary {
		v.term = p.term
	}
	s.servers[id], v.cut = v, s.cutNext
	s.mu.Unlock()
	v.start()
	s.w.group.Go(v.beat)
	return v
}

func (v *server) start() {
	l, err := net.Listen("tcp", v.address)
	if err != nil {
		panic(fmt.Sprintf("server %s: %v", v.id, err))
	}
	v.s.mu.Lock()
	v.listener, v.running, v.draining, v.born, v.sequence = l, true, false, time.Now().UnixMilli()+v.aheadMilliseconds, 0
	v.s.mu.Unlock()
	v.s.w.group.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			v.s.mu.Lock()
			v.conns[c] = true
			v.s.mu.Unlock()
			v.s.w.group.Go(func() { v.serve(c) })
		}
	})
	v.s.w.note("server %s: starts at %s, born %d", v.id, v.address, v.born)
}

// stop ends the server's process; its log stays. It sends nothing.
func (v *server) stop() {
	v.s.mu.Lock()
	defer v.s.mu.Unlock()
	if !v.running {
		return
	}
	v.running = false
	_ = v.listener.Close()
	for c := range v.conns {
		_ = c.Close()
	}
	clear(v.conns)
}

// drain reports that the server leaves, returns once this is acknowledged, and returns when.
func (v *server) drain() time.Time {
	v.s.mu.Lock()
	v.draining = true
	v.s.mu.Unlock()
	for !v.report() {
		if !v.s.w.sleep(50 * time.Millisecond) {
			break
		}
	}
	v.s.mu.Lock()
	v.drainedAt = time.Now()
	v.s.mu.Unlock()
	v.s.w.note("server %s: its report that it is draining is acknowledged", v.id)
	return time.Now()
}

// leave removes the server from the system's list and ends it.
func (v *server) leave() {
	for _, a := range v.s.w.seeds {
		if status := v.s.w.call(http.MethodDelete, a, "/jacinthtiller/instances/"+v.id, nil); status == http.StatusOK {
			v.s.w.note("server %s: DELETE is acknowledged, and it exits", v.id)
			break
		}
	}
	v.stop()
	v.s.mu.Lock()
	defer v.s.mu.Unlock()
	delete(v.s.servers, v.id)
}

func (s *service) close() {
	s.mu.Lock()
	var all []*server
	for _, v := range s.servers {
		all = append(all, v)
	}
	s.mu.Unlock()
	for _, v := range all {
		v.stop()
	}
}

// leading returns the primary of the highest term. s.mu is held.
func (s *service) leading() *server {
	var out *server
	for _, v := range s.servers {
		if v.primary && (out == nil || v.term > out.term) {
			out = v
		}
	}
	return out
}

// replicate passes the primary's log to the replicas that receive it.
func (s *service) replicate() {
	for s.w.sleep(receiveDelay) {
		s.mu.Lock()
		p := s.leading()
		for _, v := range s.servers {
			if p == nil || v == p || v.primary || !p.running || !v.running || v.deaf {
				continue
			}
			same := 0
			for same < len(v.log) && same < len(p.log) && v.log[same].id == p.log[same].id {
				same++
			}
			v.log, v.term = v.log[:same:same], p.term
			for _, e := range p.log[same:] {
				e.at = time.Now()
				v.log = append(v.log, e)
			}
		}
		s.mu.Unlock()
	}
}

// hasReplica reports whether enough replicas have received the commit with the number. s.mu is held.
func (s *service) hasReplica(p *server, id string, number int) bool {
	n := 0
	for _, v := range s.servers {
		if v != p && v.running && len(v.log) >= number && v.log[number-1].id == id {
			n++
		}
	}
	return n >= s.syncReplicas
}

// commit appends writes to the log and waits for the replicas that the service asks for. It reports false if the server
// has ended meanwhile.
func (v *server) commit(writes []entry) bool {
	v.s.mu.Lock()
	for _, e := range writes {
		e.term, e.at = v.term, time.Now()
		v.log = append(v.log, e)
		if !v.replacedAt.IsZero() {
			v.s.committedLate[e.id] = v.id
		}
	}
	number, id := len(v.log), writes[len(writes)-1].id
	v.s.mu.Unlock()
	for end := time.Now().Add(syncTimeout); time.Now().Before(end); {
		v.s.mu.Lock()
		running, enough := v.running, v.s.hasReplica(v, id, number)
		v.s.mu.Unlock()
		if !running {
			return false
		}
		if enough {
			return true
		}
		if !v.s.w.sleep(2 * time.Millisecond) {
			return false
		}
	}
	return false
}

// noteAcknowledged notes that a client knows a write to be committed.
func (s *service) noteAcknowledged(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.acknowledged[id] = true
	if at, ok := s.committedLate[id]; ok {
		s.late = append(s.late, id+" at "+at)
	}
}

// promote handles an order of the system, and returns the status of the answer.
func (s *service) promote(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.servers[id]
	if v == nil || !v.running {
		return http.StatusConflict
	}
	if v != s.leading() {
		s.w.group.Go(func() {
			if s.w.sleep(promoteDelay) {
				s.lead(v)
			}
		})
	}
	return http.StatusOK
}

// lead makes the server the primary of the next term.
func (s *service) lead(v *server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	former := s.leading()
	if !v.running || v == former {
		return
	}
	held := map[string]bool{}
	for _, e := range v.log {
		held[e.id] = true
	}
	lacks := 0
	for w := range s.acknowledged {
		if !held[w] {
			lacks++
			s.lost = append(s.lost, w)
		}
	}
	v.primary, v.term, v.replacedAt, former.replacedAt = true, former.term+1, time.Time{}, time.Now()
	s.w.note("server %s: leads term %d with %d commits; %d of %d acknowledged writes are not in its log", v.id, v.term, len(v.log), lacks, len(s.acknowledged))
	s.w.group.Go(func() {
		if s.w.sleep(demoteDelay) {
			s.mu.Lock()
			defer s.mu.Unlock()
			former.primary = former == s.leading()
		}
	})
	signal(v.beatNow)
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// beat sends heartbeats until the world ends.
func (v *server) beat() {
	for {
		v.s.mu.Lock()
		running := v.running
		v.s.mu.Unlock()
		if running {
			v.report()
		}
		select {
		case <-time.After(heartbeatInterval):
		case <-v.beatNow:
		case <-v.s.w.stopped:
			return
		}
	}
}

// heartbeat returns what the server says of itself, under the name of a service.
func (v *server) heartbeat(service string) []byte {
	v.s.mu.Lock()
	defer v.s.mu.Unlock()
	v.sequence++
	state, role := "ready", "replica"
	if v.draining {
		state = "draining"
	}
	if v.primary {
		role = "primary"
	}
	body, _ := json.Marshal(map[string]any{ // a map of numbers and strings can be encoded
		"service": service, "address": v.address, "zone": v.zone, "version": "v1", "slots": 5, "state": state, "cold_remaining_ms": 0,
		"db_role": role, "sequence": v.sequence, "born": v.born,
	})
	return body
}

// report sends one heartbeat and reports whether it was acknowledged.
func (v *server) report() bool {
	v.s.mu.Lock()
	cut := v.cut
	v.s.mu.Unlock()
	if cut {
		return false
	}
	return v.s.w.beatOnce(v.id, v.heartbeat(serviceName)) == http.StatusOK
}

// beatOnce sends a heartbeat to the control processes in turn until one answers, and returns the last status.
func (w *world) beatOnce(id string, body []byte) int {
	status := 0
	for _, a := range w.seeds {
		if status = w.call(http.MethodPut, a, "/jacinthtiller/instances/"+id, body); status != 0 && status < http.StatusInternalServerError {
			break
		}
	}
	return status
}

// serve serves one connection.
func (v *server) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	first, err := readLine(r)
	f := strings.Fields(first)
	if err != nil || len(f) < 3 || f[0] != "STARTUP" || f[1] != serviceName || len(f) > 3 && f[3] != v.id {
		_, _ = fmt.Fprintf(c, "ERROR WRONGNODE %s\r\n", v.id)
		return
	}
	if _, err := fmt.Fprintf(c, "READY I -\r\n"); err != nil {
		return
	}
	n := &serverSession{v: v, state: 'I', prepared: map[string]string{}}
	for {
		line, err := readLine(r)
		if err != nil {
			return
		}
		word, rest, _ := strings.Cut(line, " ")
		if word != "QUERY" {
			return
		}
		id, text, _ := strings.Cut(rest, " ")
		v.noteArrival(id)
		answer, ok := n.answer(id, text)
		if !ok {
			return
		}
		v.s.mu.Lock()
		position := v.position()
		v.s.mu.Unlock()
		if _, err := fmt.Fprintf(c, "%s\r\nREADY %c %s\r\n", answer, n.state, position); err != nil {
			return
		}
	}
}

// noteArrival counts a request of a client that arrives too late after the server has reported that it leaves.
func (v *server) noteArrival(id string) {
	v.s.mu.Lock()
	defer v.s.mu.Unlock()
	if id != "-" && !v.drainedAt.IsZero() && time.Since(v.drainedAt) > drainBound {
		v.lateArrivals++
	}
}

// applied returns how much of the log the server has applied. s.mu is held.
func (v *server) applied() int {
	if v.primary {
		return len(v.log)
	}
	n := len(v.log)
	for n > 0 && time.Since(v.log[n-1].at) < applyDelay {
		n--
	}
	return n
}

func positionOf(log []entry) string {
	if len(log) == 0 {
		return "1.0"
	}
	return fmt.Sprintf("%d.%d", log[len(log)-1].term, len(log))
}

func (v *server) position() string { return positionOf(v.log[:v.applied()]) }

// readLine reads a line without its end.
func readLine(r *bufio.Reader) (string, error) {
	var line []byte
	for !bytes.HasSuffix(line, []byte("\r\n")) {
		part, err := r.ReadBytes('\n')
		line = append(line, part...)
		if err != nil {
			return "", fmt.Errorf("read a line: %w", err)
		}
	}
	return string(line[:len(line)-2]), nil
}
