// Package session serves guests over the PostgreSQL protocol on an entry host:
// it authenticates them, splits their input into units, routes each unit to the
// owner of a target and returns the complete answer or the proved outcome.
//
// A CancelRequest works only on the entry host that holds the guest's connection.
package session

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jacinthtiller/jacinthtiller"
	"github.com/jacinthtiller/jacinthtiller/duty"
	"github.com/jacinthtiller/jacinthtiller/event"
	"github.com/jacinthtiller/jacinthtiller/replica"
)

// Server serves guests.
type Server struct {
	host      jacinthtiller.Host
	views     Views
	directory func() Directory
	opener    jacinthtiller.Opener
	marks     *replica.MarkBatcher
	positions *replica.Positions
	events    *event.Log
	tls       func() *tls.Config
	version   string
	limits    limits

	ctx  context.Context
	stop context.CancelFunc
	// decoySeed makes the verifiers of unknown roles; it is random.
	decoySeed [32]byte
	group     duty.Group
	// loginSlots bounds the connections that have not logged in; when it is full, no connection is accepted.
	loginSlots chan struct{}
	// drained is closed when no session is left during a drain.
	drained chan struct{}
	// stopTimes is nil before a drain.
	stopTimes atomic.Pointer[StopTimes]

	mu sync.Mutex // guards the fields below
	// sessions maps the process identifiers of sessions, for CancelRequest.
	sessions map[uint32]*session
	// guests counts the sessions of each team.
	guests    map[string]int
	listeners map[net.Listener]struct{}
	// loginConns are the connections that have not logged in.
	loginConns map[net.Conn]struct{}
	draining   bool
}

// Stats is a snapshot of a server.
type Stats struct {
	// Guests is the number of sessions, Teams the same by team.
	Guests int            `json:"guests"`
	Teams  map[string]int `json:"teams"`
	// Unauthenticated is the number of connections that have not logged in.
	Unauthenticated int `json:"starting"`
}

// NewServer returns a server that is not listening yet. Views, a directory and an opener are required.
func NewServer(opts ...Option) *Server {
	ctx, stop := context.WithCancel(context.Background())
	s := &Server{
		ctx: ctx, stop: stop, version: "16.0",
		limits: limits{
			messageBytes: 64 << 20, statements: 1000, unauthenticated: 256,
			loginMicroseconds: defaultLoginTimeout.Microseconds(), idleTransactionMicroseconds: defaultIdleTransactionTimeout.Microseconds(),
			replicaWaitMicroseconds: defaultReplicaWait.Microseconds(),
		},
		sessions: map[uint32]*session{}, guests: map[string]int{},
		listeners: map[net.Listener]struct{}{}, loginConns: map[net.Conn]struct{}{},
		drained: make(chan struct{}),
	}
	_, _ = rand.Read(s.decoySeed[:]) // never fails, see crypto/rand
	for _, o := range opts {
		o(s)
	}
	if s.positions == nil {
		s.positions = replica.NewPositions()
	}
	s.loginSlots = make(chan struct{}, s.limits.unauthenticated)
	return s
}

// acceptRetryDelay is the wait after a failed accept, which is mostly due to a lack of file descriptors.
const acceptRetryDelay = 20 * time.Millisecond

// Serve accepts guests until the server drains or closes; then it returns nil. A listener that is
// closed otherwise is an error.
func (s *Server) Serve(l net.Listener) error {
	if !s.addListener(l) {
		return nil
	}
	defer s.removeListener(l)
	for {
		select {
		case s.loginSlots <- struct{}{}:
		case <-s.ctx.Done():
			return nil
		}
		conn, err := l.Accept()
		switch {
		case err == nil:
			if !s.group.Go(func() { s.serveConn(conn) }) {
				_ = conn.Close()
				<-s.loginSlots
				return nil
			}
			continue
		case s.isDraining() || s.ctx.Err() != nil:
			<-s.loginSlots
			return nil
		}
		<-s.loginSlots
		if errors.Is(err, net.ErrClosed) {
			return fmt.Errorf("accept guests on %s: %w", l.Addr(), err)
		}
		s.events.Emit(event.AcceptFailed, event.Fields{"address": l.Addr().String(), "error": err.Error()})
		time.Sleep(acceptRetryDelay)
	}
}

// serveConn authenticates a connection and serves it in a new goroutine, whose stack the login has not grown.
func (s *Server) serveConn(conn net.Conn) {
	g := s.openSession(conn)
	if g == nil {
		return
	}
	if !s.group.Go(func() {
		defer s.closeSession(g)
		g.serve()
	}) {
		s.closeSession(g)
	}
}

// openSession returns the session of a connection, nil when the login failed.
func (s *Server) openSession(conn net.Conn) *session {
	defer func() {
		s.reportPanic(recover())
		<-s.loginSlots
		s.removeConn(conn)
	}()
	if !s.addConn(conn) {
		_ = conn.Close()
		return nil
	}
	return s.login(conn)
}

// closeSession frees the resources of an ended session. It recovers itself instead of through package
// duty, because the stacks of idle guests keep to 4 KB only with few frames.
func (s *Server) closeSession(g *session) {
	s.reportPanic(recover())
	g.abortTransaction()
	_ = g.conn.Close() // everything was flushed
	s.removeSession(g)
}

// reportPanic reports a recovered panic, which ends the session of one guest only.
func (s *Server) reportPanic(p any) {
	if p != nil {
		s.events.Emit(event.GuestPanicked, event.Fields{"panic": fmt.Sprint(p), "stack": string(debug.Stack())})
	}
}

// Close ends all sessions at once and waits for their goroutines.
func (s *Server) Close() {
	s.stop()
	s.mu.Lock()
	s.draining = true
	for l := range s.listeners {
		_ = l.Close()
	}
	for c := range s.loginConns {
		_ = c.Close()
	}
	for _, g := range s.sessions {
		_ = g.conn.Close()
	}
	s.mu.Unlock()
	s.group.Close()
}

// Stats returns the number of guests.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := Stats{Guests: len(s.sessions), Teams: map[string]int{}, Unauthenticated: len(s.loginConns)}
	for t, n := range s.guests {
		out.Teams[t] = n
	}
	return out
}

func (s *Server) isDraining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining
}

func (s *Server) addListener(l net.Listener) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		_ = l.Close()
		return false
	}
	s.listeners[l] = struct{}{}
	return true
}

func (s *Server) removeListener(l net.Listener) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.listeners, l)
	_ = l.Close() // it may be closed already
}

func (s *Server) addConn(c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining || c.SetDeadline(s.limits.loginDeadline(time.Now())) != nil {
		return false
	}
	s.loginConns[c] = struct{}{}
	return true
}

func (s *Server) removeConn(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.loginConns, c)
}

// addSession registers a session under new random keys. It fails when the team has too many guests.
func (s *Server) addSession(g *session, limit int) *pgError {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		return newFatalError(codeCannotConnect, "the host is shutting down")
	}
	if limit > 0 && s.guests[g.team] >= limit {
		return newFatalError(codeTooManyConnections, "team %q has %d guests on this host, which is its limit", g.team, limit)
	}
	_, _ = rand.Read(g.secret[:])
	for g.pid == 0 || s.sessions[g.pid] != nil {
		var b [4]byte
		_, _ = rand.Read(b[:])
		g.pid = binary.BigEndian.Uint32(b[:]) >> 1 // clients keep it as a signed number
	}
	s.sessions[g.pid] = g
	s.guests[g.team]++
	countGuest(g.team, 1)
	return nil
}

func (s *Server) removeSession(g *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sessions, g.pid)
	if s.guests[g.team]--; s.guests[g.team] == 0 {
		delete(s.guests, g.team)
	}
	countGuest(g.team, -1)
	s.checkDrained()
}
