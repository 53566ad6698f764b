package session

import (
	"crypto/tls"
	"time"

	"github.com/jacinthtiller/jacinthtiller"
	"github.com/jacinthtiller/jacinthtiller/document"
	"github.com/jacinthtiller/jacinthtiller/event"
	"github.com/jacinthtiller/jacinthtiller/replica"
)

// Directory looks up the roles, teams and read classes of the operators' document.
type Directory interface {
	Role(name string) (document.Role, document.Team, bool)
	ReadClass(team, name string) (document.ReadClass, bool)
}

// Views provides the newest view.
type Views interface {
	View() jacinthtiller.View
	// Changed returns a channel that is closed when the view has changed after the call.
	Changed() <-chan struct{}
}

const (
	// messageTimeout is how long a message may take from its first byte to its last.
	messageTimeout = time.Minute
	// writeTimeout is how long a guest may take to read a part of an answer; its target's slot is held meanwhile.
	writeTimeout = time.Minute
	// defaultReplicaWait is how long a read may wait for a replica to reach its mark; it covers
	// the round trip between regions and the usual lag.
	defaultReplicaWait            = 50 * time.Millisecond
	defaultIdleTransactionTimeout = time.Minute
	defaultLoginTimeout           = 10 * time.Second
)

// limits bounds the resources and the time that guests may use.
type limits struct {
	messageBytes    int
	statements      int
	unauthenticated int

	loginMicroseconds, idleTransactionMicroseconds, replicaWaitMicroseconds int64
}

func (l *limits) replicaWaitDeadline(now, deadline time.Time) time.Time {
	until := now.Add(time.Duration(l.replicaWaitMicroseconds) * time.Microsecond)
	if until.After(deadline) {
		return deadline
	}
	return until
}

func (l *limits) idleTransactionDeadline(now time.Time) time.Time {
	return now.Add(time.Duration(l.idleTransactionMicroseconds) * time.Microsecond)
}

func (l *limits) loginDeadline(now time.Time) time.Time {
	return now.Add(time.Duration(l.loginMicroseconds) * time.Microsecond)
}

// Option changes a Server that is being made.
type Option func(*Server)

// WithHost sets the host on which the server runs; routing uses it for the distance to targets.
func WithHost(h jacinthtiller.Host) Option { return func(s *Server) { s.host = h } }

// WithViews sets the source of the newest view.
func WithViews(v Views) Option { return func(s *Server) { s.views = v } }

// WithDirectory sets the source of the document's newest directory.
func WithDirectory(f func() Directory) Option { return func(s *Server) { s.directory = f } }

// WithOpener sets how channels to owner hosts are opened.
func WithOpener(o jacinthtiller.Opener) Option { return func(s *Server) { s.opener = o } }

// WithMarks sets the source of guests' marks. Without it, reads of guests who may write go to the
// primary, unless the guest supplies a mark.
func WithMarks(m *replica.MarkBatcher) Option { return func(s *Server) { s.marks = m } }

// WithPositions sets the table of targets' positions, which other parts of the host may share.
func WithPositions(p *replica.Positions) Option { return func(s *Server) { s.positions = p } }

// WithEvents sets the log.
func WithEvents(l *event.Log) Option { return func(s *Server) { s.events = l } }

// WithTLS sets the configuration for guests that ask for TLS. It is called per
// connection, so that certificates can be renewed; nil refuses TLS.
func WithTLS(f func() *tls.Config) Option { return func(s *Server) { s.tls = f } }

// WithServerVersion sets the PostgreSQL version that is reported to guests.
func WithServerVersion(v string) Option { return func(s *Server) { s.version = v } }

// WithMessageLimit bounds a message, and the messages up to one Sync, in bytes. The default is 64 MB.
func WithMessageLimit(n int) Option { return func(s *Server) { s.limits.messageBytes = n } }

// WithStatementLimit bounds a guest's prepared statements. The default is 1,000.
func WithStatementLimit(n int) Option { return func(s *Server) { s.limits.statements = n } }

// WithUnauthenticatedLimit bounds the connections that have not logged in; more
// wait in the listener's queue. The default is 256.
func WithUnauthenticatedLimit(n int) Option { return func(s *Server) { s.limits.unauthenticated = n } }

// WithLoginTimeout bounds the time from accepting a connection to the end of its login. The default is 10 s.
func WithLoginTimeout(d time.Duration) Option {
	return func(s *Server) { s.limits.loginMicroseconds = d.Microseconds() }
}

// WithIdleTransactionTimeout bounds how long a guest may leave a transaction idle. The default is one minute.
func WithIdleTransactionTimeout(d time.Duration) Option {
	return func(s *Server) { s.limits.idleTransactionMicroseconds = d.Microseconds() }
}

// WithReplicaWait bounds how long a read may wait for a replica to reach its mark. The default is 50 ms.
func WithReplicaWait(d time.Duration) Option {
	return func(s *Server) { s.limits.replicaWaitMicroseconds = d.Microseconds() }
}
