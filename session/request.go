package session

import (
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/jacinthtiller/jacinthtiller"
)

// request collects the guest's messages up to one Query, Sync or Flush.
type request struct {
	// frames are the messages for the target.
	frames    []byte
	sizeBytes int
	// framesInUse is true when a channel failed, which may still read frames.
	framesInUse bool
	// parses are the Parse messages in frames, in order.
	parses []parseMessage
	// referenced are statements of earlier requests that frames refer to.
	referenced []*statement
	// nameChanges maps the guest's names that this request prepared; a closed name maps to nil.
	nameChanges map[string]*statement
	// unnamed is the unnamed statement that the target's connection has at the end of frames.
	unnamed          *statement
	messages         []extendedMessage
	closesStatements bool
	// executes is true when there are messages other than Parse, Describe of a statement, and Close.
	executes bool
	// endsInFlush is true for a request that ended in Flush: the guest gets no ReadyForQuery.
	endsInFlush bool

	// firstUnit is the number of the first unit made of the request.
	firstUnit uint64

	access jacinthtiller.Access
	// repeatable is true when the request may run twice on the primary; see classification.repeatable.
	repeatable      bool
	begins, commits bool
	// beginOnly is true for a single BEGIN, which changes nothing when it runs twice.
	beginOnly                 bool
	readClass, idempotencyKey string
	digest                    xxhash.Digest
}

// extendedMessage is one message of the extended protocol, kept for requests that the session answers.
type extendedMessage struct {
	kind byte
	// statement is nil for a message about a portal.
	statement *statement
	portal    string
	// ofPortal is true for Describe of a portal.
	ofPortal bool
}

func newRequest() *request {
	q := &request{frames: getBuffer(), access: jacinthtiller.AccessRead, repeatable: true}
	q.digest.Reset()
	return q
}

// release returns the request's buffer to the pool.
func (q *request) release() {
	if !q.framesInUse {
		putBuffer(q.frames)
	}
	q.frames = nil
}

// addSQL adds the effects of an SQL text that the request prepares or runs.
func (q *request) addSQL(c *classification, runs bool) {
	if c.access == jacinthtiller.AccessWrite {
		q.access = jacinthtiller.AccessWrite
	}
	if !runs {
		return
	}
	q.repeatable = q.repeatable && c.repeatable
	q.beginOnly = c.verb == verbBegin && c.statements == 1 && !q.executes
	q.begins = q.begins || c.begins
	q.commits = q.commits || c.commits
	if c.readClass != "" {
		q.readClass = c.readClass
	}
	if c.idempotencyKey != "" {
		q.idempotencyKey = c.idempotencyKey
	}
}

// hash adds a statement to the fingerprint. Surrounding space does not count: a comment with the
// idempotency key leaves it, and a resend may give the key in another way.
func (q *request) hash(c *classification, types []uint32, parameters []byte) {
	hashString(&q.digest, strings.TrimSpace(c.sql))
	hashTypes(&q.digest, types)
	q.hashBytes(parameters)
}

func (q *request) hashBytes(b []byte) { _, _ = q.digest.Write(b) }

// newQueryRequest makes a request of a Query message.
func newQueryRequest(c *classification) *request {
	q := newRequest()
	q.addSQL(c, true)
	q.hash(c, nil, nil)
	q.frames = encode(q.frames, &pgproto3.Query{String: c.sql})
	return q
}

// appendSync ends the frames of the extended protocol.
func (q *request) appendSync() { q.frames = appendFrame(q.frames, 'S') }

// preparedStatements lists the statements of earlier requests for Unit.Prepares.
func (q *request) preparedStatements() []jacinthtiller.Statement {
	if len(q.referenced) == 0 {
		return nil
	}
	out := make([]jacinthtiller.Statement, len(q.referenced))
	for i, st := range q.referenced {
		out[i] = st.unitStatement()
	}
	return out
}

// encode appends a message. The messages that the session makes itself are always small enough to encode.
func encode(out []byte, m pgproto3.Message) []byte {
	type encoder interface {
		Encode(dst []byte) ([]byte, error)
	}
	next, err := m.(encoder).Encode(out)
	if err != nil {
		return out
	}
	return next
}
