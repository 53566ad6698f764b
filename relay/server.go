package relay

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/jacinthtiller/jacinthtiller"
	"github.com/jacinthtiller/jacinthtiller/duty"
	"github.com/jacinthtiller/jacinthtiller/event"
	"github.com/jacinthtiller/jacinthtiller/pool"
	"github.com/jacinthtiller/jacinthtiller/wire"
)

const (
	// drainPollInterval is the time between checks whether a drain is over.
	drainPollInterval = 20 * time.Millisecond
	// helloTimeout bounds the wait for the hello of a connection.
	helloTimeout = 5 * time.Second
	// replyTimeout bounds the write of a reply.
	replyTimeout = 5 * time.Second
	// refusalTimeout bounds the write of a refusal to a connection that is about to be closed.
	refusalTimeout = 10 * time.Millisecond
	// idleTransactionTimeout is how long a transaction may be idle before it is rolled back, in case the other host failed
	// without closing the connection. Hosts roll back their guests' transactions earlier.
	idleTransactionTimeout = 15 * time.Second
)

// reasonStopping is what other hosts are told whose connections or jobs are refused because of a stop.
const reasonStopping = "the host is stopping"

// refusal is the reply to a job that is not run because of a stop.
var refusal = jobReply{Outcome: outcomeUnreachable, Text: reasonStopping}

// Server runs jobs of other hosts on this host's direct connections to targets.
type Server struct {
	pool     *pool.Pool
	rollback string
	events   *event.Log
	// source answers freshness queries; nil when the host does not serve them.
	source jacinthtiller.FreshnessSource
	// limits answers token requests; nil when the host does not serve them.
	limits jacinthtiller.LimitSource
	group  duty.Group

	mu sync.Mutex // guards the fields below
	// conns holds the open connections from other hosts.
	conns map[net.Conn]struct{}
	// resting holds those of them that are for jobs and have neither a job nor an open transaction.
	resting map[net.Conn]struct{}
	closed  bool
	// stopTimes is zero until the host stops.
	stopTimes StopTimes
	// draining is true once no job begins any more, and working counts the connections with a job or an open transaction.
	draining bool
	working  int
}

// Option configures a Server.
type Option func(*Server)

// WithFreshness sets the source of answers to freshness queries.
func WithFreshness(f jacinthtiller.FreshnessSource) Option { return func(s *Server) { s.source = f } }

// NewServer returns a server that uses the pool. Rollback is the text of the request that rolls a transaction back.
func NewServer(p *pool.Pool, rollback string, events *event.Log, opts ...Option) *Server {
	s := &Server{pool: p, rollback: rollback, events: events, conns: map[net.Conn]struct{}{}, resting: map[net.Conn]struct{}{}}
	for _, o := range opts {
		o(s)
	}
	return s
}

// Serve accepts connections until the listener closes.
func (s *Server) Serve(l net.Listener) {
	wire.AcceptAll(l, s.events, func(c net.Conn) {
		if !s.addConn(c) {
			_ = c.Close()
			return
		}
		if !s.group.Go(func() {
			defer s.removeConn(c)
			duty.Run(s.events, "relay the work of another host", nil, func() { s.serve(c) })
		}) {
			s.removeConn(c)
		}
	})
}

func (s *Server) addConn(c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.conns[c] = struct{}{}
	return true
}

func (s *Server) removeConn(c net.Conn) {
	_ = c.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	delete(s.resting, c)
}

// StopTimes holds the times of a planned stop.
type StopTimes struct {
	// Refuse is from when on jobs that might not end before End, and those that begin transactions, are refused as not run.
	Refuse time.Time
	// End is when connections with jobs are cut off.
	End time.Time
}

// BeginStop sets the times of the stop. Other jobs go on until Drain.
func (s *Server) BeginStop(t StopTimes) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopTimes = t
}

// stopRefuses reports whether a job may not begin because of a stop. The caller holds s.mu.
func (s *Server) stopRefuses(j jacinthtiller.Job) bool {
	if t := s.stopTimes; !t.Refuse.IsZero() && !time.Now().Before(t.Refuse) && (j.BeginsTransaction || j.Deadline.After(t.End)) {
		return true
	}
	return s.draining
}

// Drain refuses new jobs as not run, and returns when no job runs and no transaction is open, or when ctx ends.
func (s *Server) Drain(ctx context.Context) error {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	ticks := time.NewTicker(drainPollInterval)
	defer ticks.Stop()
	for {
		s.mu.Lock()
		working := s.working
		s.mu.Unlock()
		if working == 0 {
			return nil
		}
		select {
		case <-ticks.C:
		case <-ctx.Done():
			return fmt.Errorf("drain %d connections of other hosts: %w", working, ctx.Err())
		}
	}
}

func (s *Server) isDraining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining
}

// beginWork reports whether a job may begin on a resting connection; if so, endWork must follow.
func (s *Server) beginWork(c net.Conn, j jacinthtiller.Job) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopRefuses(j) {
		return false
	}
	delete(s.resting, c)
	s.working++
	return true
}

func (s *Server) endWork(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.resting[c] = struct{}{}
	s.working--
}

// abandonWork ends the work on a connection whose job may have run without a reply, so that no refusal may follow.
func (s *Server) abandonWork() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.working--
}

func (s *Server) addResting(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.resting[c] = struct{}{}
}

// Close closes all connections, which rolls back their open transactions. After a drain, a resting connection first carries
// a refusal, which the other host takes as the reply to a job that is on its way.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	if s.draining {
		for c := range s.resting {
			_ = newFramer(c).write(time.Now().Add(refusalTimeout), refusal)
		}
	}
	for c := range s.conns {
		_ = c.Close()
	}
	s.mu.Unlock()
	s.group.Close()
}

// serve handles the jobs, freshness queries or token requests of one connection.
func (s *Server) serve(nc net.Conn) {
	wire.SetDeadPeerTimeouts(nc, tcpUserTimeout)
	f := newFramer(nc)
	_ = nc.SetReadDeadline(time.Now().Add(helloTimeout))
	var h hello
	if err := f.read(&h); err != nil {
		return
	}
	switch {
	case h.Target != "":
	case h.Database == tokenConnections:
		s.serveTokens(nc, f)
		return
	default:
		s.serveFreshness(nc, f)
		return
	}
	var reply helloReply
	switch t := s.pool.FindNamed(h.Database, h.Target); {
	case s.isDraining():
		reply.Error = reasonStopping
	case t == nil:
		reply.Error = "the host does not know the target " + h.Target
	case !t.CanRelay(time.Now()):
		reply.Error = "the host cannot reach the target " + h.Target
	}
	if err := f.write(time.Now().Add(replyTimeout), reply); err != nil || reply.Error != "" {
		return
	}
	s.addResting(nc)
	var conn *pool.Conn
	working := false
	defer func() {
		if conn != nil {
			conn.RollBack(s.rollback)
		}
		if working {
			s.abandonWork()
		}
	}()
	for {
		var idleDeadline time.Time
		if conn != nil {
			idleDeadline = time.Now().Add(idleTransactionTimeout)
		}
		_ = nc.SetReadDeadline(idleDeadline)
		var in receivedJob
		if err := f.read(&in); err != nil {
			return
		}
		if !working {
			if working = s.beginWork(nc, in.decode(time.Now())); !working {
				if err := f.write(time.Now().Add(replyTimeout), refusal); err != nil {
					return
				}
				continue // the other host may use the connection again, and would be in doubt if it were closed
			}
		}
		var reply jobReply
		if in.Job.Flags&flagPositionQuery != 0 {
			reply = s.queryPosition(h, in)
		} else if conn, reply = s.connFor(h, conn, in); conn != nil {
			var open bool
			if reply, open = s.run(conn, in.decode(time.Now())); !open {
				conn = nil
			}
		}
		if err := f.write(time.Now().Add(replyTimeout), reply); err != nil {
			return
		}
		if conn == nil {
			s.endWork(nc)
			working = false
		}
	}
}

// queryPosition asks the target for its log position, bypassing the queue.
func (s *Server) queryPosition(h hello, in receivedJob) jobReply {
	t := s.pool.FindNamed(h.Database, h.Target)
	if t == nil {
		return jobReply{Outcome: outcomeUnreachable, Text: "the host does not know the target any more"}
	}
	p, err := t.QueryPositionDirect(in.decode(time.Now()).Deadline)
	if err != nil {
		return jobReply{Outcome: outcomeNotSent, Text: err.Error()}
	}
	return jobReply{Outcome: outcomeReply, State: jacinthtiller.StateIdle, Term: p.Term, Idx: p.Index}
}

// serveFreshness answers freshness queries until the other host closes the connection.
func (s *Server) serveFreshness(nc net.Conn, f *framer) {
	for s.source != nil {
		_ = nc.SetReadDeadline(time.Time{})
		var q freshnessQuery
		if err := f.read(&q); err != nil {
			return
		}
		a := s.source.Freshness(
			jacinthtiller.FreshnessQuery{Database: q.Database, Term: q.Term, AgeMicroseconds: q.AgeMicros},
			timeAfterMillis(max(1, q.RemainingMillis), time.Now()),
		)
		out := freshnessReply{Leased: a.Leased}
		for _, p := range a.Positions {
			out.Positions = append(out.Positions, agedPosition{Term: p.Position.Term, Idx: p.Position.Index, AgeMicros: p.AgeMicroseconds})
		}
		if err := f.write(time.Now().Add(replyTimeout), out); err != nil {
			return
		}
	}
}

// connFor returns the connection of the open transaction, or opens one for the job, or returns nil and the reply.
func (s *Server) connFor(h hello, conn *pool.Conn, in receivedJob) (*pool.Conn, jobReply) {
	if conn != nil {
		return conn, jobReply{}
	}
	t := s.pool.FindNamed(h.Database, h.Target)
	if t == nil {
		return nil, jobReply{Outcome: outcomeUnreachable, Text: "the host does not know the target any more"}
	}
	conn, err := t.OpenDirect(in.decode(time.Now()))
	if err != nil {
		return nil, jobReply{Outcome: openFailureOutcome(err), Text: err.Error()}
	}
	return conn, jobReply{}
}

// run runs one job on the connection and reports whether a transaction is open afterwards. If not, the connection has been
// returned to the pool or dropped.
func (s *Server) run(conn *pool.Conn, j jacinthtiller.Job) (reply jobReply, open bool) {
	answer, err := conn.Run(j)
	var notSent *jacinthtiller.NotSentError
	switch {
	case errors.As(err, &notSent):
		conn.Drop("not sent")
		return jobReply{Outcome: outcomeNotSent, Text: err.Error()}, false
	case err != nil:
		conn.Drop("no answer")
		return jobReply{Outcome: outcomeNoAnswer, Text: err.Error()}, false
	}
	reply = jobReply{
		Outcome: outcomeReply, State: answer.State, Term: answer.Position.Term, Idx: answer.Position.Index,
		ErrorCode: string(answer.ErrorCode), Text: answer.ErrorText, Body: answer.Body,
	}
	switch {
	case answer.State != jacinthtiller.StateIdle:
		return reply, true
	case answer.ErrorCode == jacinthtiller.ErrorCodeNoStatement || answer.ErrorCode == jacinthtiller.ErrorCodeOther:
		conn.Drop("unexpected state")
	default:
		conn.Put()
	}
	return reply, false
}

// openFailureOutcome returns the outcome for an error of OpenDirect: queue full, refused or unreachable.
func openFailureOutcome(err error) uint8 {
	var f *jacinthtiller.TargetError
	var e *jacinthtiller.Error
	if errors.As(err, &e) && e.Reason == jacinthtiller.ReasonQueue {
		return outcomeQueueFull
	}
	if errors.As(err, &f) && f.Code != jacinthtiller.ErrorCodeWrongTarget || errors.As(err, &e) {
		return outcomeNotSent
	}
	return outcomeUnreachable
}
