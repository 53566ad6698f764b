package session

import (
	"github.com/jackc/pgx/v5/pgproto3"
)

// textType is the object identifier of PostgreSQL's type text.
const textType = 25

// answersLocally reports whether the session itself answers a statement in its present state.
func (s *session) answersLocally(c *classification) bool {
	switch {
	case c.verb == verbLocal, c.verb == verbEmpty, s.txn.aborted():
		return true
	case c.verb == verbCommit, c.verb == verbRollback:
		return s.txn == nil && c.statements == 1
	}
	return false
}

// allLocal reports whether the session answers all statements of a request, and whether it answers any.
func (s *session) allLocal(q *request) (all, some bool) {
	all = true
	for _, m := range q.messages {
		switch {
		case m.statement == nil && m.kind == 'D': // a portal of an earlier request
			all = all && q.bindsPortal(m.portal)
		case m.statement == nil && m.kind == 'E':
			all = all && q.bindsPortal(m.portal)
		case m.statement == nil:
		case !s.answersLocally(&m.statement.class):
			all = false
		case m.statement.class.verb == verbLocal:
			some = true
		}
	}
	return all, some
}

// bindsPortal reports whether this request binds the portal.
func (q *request) bindsPortal(portal string) bool {
	for _, m := range q.messages {
		if m.kind == 'B' && m.portal == portal {
			return true
		}
	}
	return false
}

// answerLocal runs a statement that the session answers and appends its result.
func (s *session) answerLocal(c *classification, describe bool) *pgError {
	switch {
	case s.txn.aborted() && (c.verb == verbCommit || c.verb == verbRollback):
		s.txn = nil
		s.send(&pgproto3.CommandComplete{CommandTag: []byte("ROLLBACK")})
		return nil
	case s.inFailedTransaction(c):
		return failedTransactionError()
	case c.verb == verbEmpty:
		s.send(&pgproto3.EmptyQueryResponse{})
		return nil
	case c.verb == verbCommit, c.verb == verbRollback:
		s.answerNoTransaction(c.verb)
		return nil
	}
	value, pgErr := s.executeCommand(c.command)
	if pgErr != nil {
		return pgErr
	}
	if c.command.kind == commandShow {
		if describe {
			s.send(showDescription(c.command))
		}
		s.send(&pgproto3.DataRow{Values: [][]byte{[]byte(value)}})
	}
	s.send(&pgproto3.CommandComplete{CommandTag: []byte(c.command.tag)})
	return nil
}

// inFailedTransaction reports whether the statement is refused until the failed transaction is ended.
func (s *session) inFailedTransaction(c *classification) bool {
	return s.status() == 'E' && c.verb != verbEmpty && c.verb != verbCommit && c.verb != verbRollback
}

func failedTransactionError() *pgError {
	return newPgError(codeFailedTransaction, "current transaction is aborted, commands ignored until end of transaction block")
}

// answerNoTransaction answers COMMIT or ROLLBACK outside a transaction as PostgreSQL does.
func (s *session) answerNoTransaction(v verb) {
	tag := "ROLLBACK"
	if v == verbCommit {
		tag = "COMMIT"
	}
	s.send(&pgproto3.NoticeResponse{
		Severity: "WARNING", SeverityUnlocalized: "WARNING", Code: "25P01", Message: "there is no transaction in progress",
	})
	s.send(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
}

func showDescription(c *command) *pgproto3.RowDescription {
	return &pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{
		Name: []byte(settingPrefix + c.name), DataTypeOID: textType, DataTypeSize: -1, TypeModifier: -1,
	}}}
}

// answerLocalMessages answers a request of the extended protocol whose statements the session answers itself.
func (s *session) answerLocalMessages(q *request) *pgError {
	portals := map[string]*statement{}
	for _, m := range q.messages {
		if m.statement == nil && m.kind != 'C' {
			m.statement = portals[m.portal]
		}
		if m.statement != nil && s.inFailedTransaction(&m.statement.class) {
			return failedTransactionError()
		}
		switch m.kind {
		case 'P':
			s.send(&pgproto3.ParseComplete{})
		case 'B':
			portals[m.portal] = m.statement
			s.send(&pgproto3.BindComplete{})
		case 'C':
			s.send(&pgproto3.CloseComplete{})
		case 'D':
			s.describeLocal(&m)
		case 'E':
			if pgErr := s.answerLocal(&m.statement.class, false); pgErr != nil {
				return pgErr
			}
		}
	}
	s.updateStatements(q, len(q.parses))
	return nil
}

// describeLocal answers Describe; a statement is described with its parameters, a portal without.
func (s *session) describeLocal(m *extendedMessage) {
	c := &m.statement.class
	if !m.ofPortal {
		s.send(&pgproto3.ParameterDescription{})
	}
	if c.command != nil && c.command.kind == commandShow {
		s.send(showDescription(c.command))
		return
	}
	s.send(&pgproto3.NoData{})
}
