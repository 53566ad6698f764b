package standin

import (
	"context"
	"database/sql"
	"fmt"
	"net"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/jacinthtiller/jacinthtiller"
	"github.com/jacinthtiller/jacinthtiller/event"
	_ "modernc.org/sqlite" // registers the SQLite driver of the stores
)

// Statement is one write with its bound values.
type Statement struct {
	SQL  string `cbor:"sql"`
	Args []any  `cbor:"args,omitempty"`
}

// Entry is one committed write transaction.
type Entry struct {
	Term  uint64 `cbor:"term"`
	Index uint64 `cbor:"index"`
	// Microseconds is the Unix time of the commit on the primary's clock.
	Microseconds int64 `cbor:"microseconds"`
	// Statements is empty for the entry that a promotion appends.
	Statements []Statement `cbor:"statements,omitempty"`
}

// Position returns the entry's position in the log.
func (e Entry) Position() jacinthtiller.Position {
	return jacinthtiller.Position{Term: e.Term, Index: e.Index}
}

// lastPosition returns the position of the newest entry. t.mu is held.
func (t *Target) lastPosition() jacinthtiller.Position {
	if len(t.log) == 0 {
		return jacinthtiller.Position{}
	}
	return t.log[len(t.log)-1].Position()
}

// notifyChange wakes the goroutines that wait for a change of the log, the role or a term. t.mu is held.
func (t *Target) notifyChange() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// columnTypes returns the types of all columns by table and column.
func (t *Target) columnTypes() map[string]map[string]uint32 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.schema != nil {
		return t.schema
	}
	rows, err := t.db.QueryContext(t.ctx,
		"SELECT lower(m.name), lower(i.name), i.type FROM sqlite_master m, pragma_table_info(m.name) i WHERE m.type = 'table'")
	if err != nil {
		return nil // the types stay unknown, which clients can handle
	}
	defer func() { _ = rows.Close() }()
	out := map[string]map[string]uint32{}
	for rows.Next() {
		var table, column, declared string
		if rows.Scan(&table, &column, &declared) != nil {
			return nil
		}
		if out[table] == nil {
			out[table] = map[string]uint32{}
		}
		out[table][column] = oidForTypeName(declared)
	}
	if rows.Err() == nil {
		t.schema = out
	}
	return out
}

// invalidateSchemaOnDDL clears the schema cache when one of the statements may change the schema. t.mu is held.
func (t *Target) invalidateSchemaOnDDL(st []Statement) {
	for i := range st {
		for _, verb := range []string{"CREATE", "DROP", "ALTER"} {
			if len(st[i].SQL) > len(verb) && strings.EqualFold(st[i].SQL[:len(verb)], verb) {
				t.schema = nil
			}
		}
	}
}

// appendEntry appends an entry of the target's own term. t.mu is held.
func (t *Target) appendEntry(st []Statement) {
	t.invalidateSchemaOnDDL(st)
	t.log = append(t.log, Entry{
		Term: t.term, Index: uint64(len(t.log)) + 1, Microseconds: time.Now().UnixMicro(), Statements: st,
	})
	t.notifyChange()
}

// becomePrimary makes the target the primary of the term. t.mu is held.
func (t *Target) becomePrimary(term uint64) {
	t.role, t.term, t.fencedTerm, t.logUnverified = jacinthtiller.RolePrimary, term, max(t.fencedTerm, term), false
	t.setPrimary("")
	t.appendEntry(nil)
}

// setPrimary changes the address to pull from; an empty address ends replication. t.mu is held.
func (t *Target) setPrimary(address string) {
	t.primaryAddr = address
	t.pullGeneration++
	if t.cancelPull != nil {
		t.cancelPull()
		t.cancelPull = nil
	}
	t.notifyChange()
}

// checkWritable returns an error when the target refuses writes. t.mu is held.
func (t *Target) checkWritable() error {
	switch {
	case t.stopped:
		return pgErrorf("57P01", "terminating connection due to administrator command")
	case t.role != jacinthtiller.RolePrimary:
		return pgErrorf("25006", "cannot write: target %s is a replica", t.cfg.Name)
	case t.term < t.fencedTerm:
		return pgErrorf("25006", "cannot write: target %s leads term %d and is fenced at %d", t.cfg.Name, t.term, t.fencedTerm)
	}
	return nil
}

// checkReadable returns an error when the target refuses reads.
func (t *Target) checkReadable() error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.logUnverified {
		return pgErrorf("57P03", "target %s compares its log with the new primary's", t.cfg.Name)
	}
	return nil
}

// fence makes the target refuse entries and writes of lower terms from now on.
func (t *Target) fence(term uint64) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if term > t.fencedTerm {
		t.fencedTerm = term
		t.emitRoleEvent("fence", term)
	}
	return t.lastPosition().String()
}

// promote makes the target the primary of the term. Repeating the order has no effect.
func (t *Target) promote(term uint64) (string, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case t.fencedTerm > term:
		return "", pgErrorf("55000", "cannot promote to term %d: fenced at term %d", term, t.fencedTerm)
	case t.role == jacinthtiller.RolePrimary && t.term == term:
		return t.lastPosition().String(), nil
	case t.term >= term:
		return "", pgErrorf("55000", "cannot promote to term %d: target %s follows or leads term %d", term, t.cfg.Name, t.term)
	}
	t.becomePrimary(term)
	t.emitRoleEvent("promote", term)
	t.requestAnnouncement()
	return t.lastPosition().String(), nil
}

// followTerm makes the target a replica of the primary of the term. Repeating the order has no effect.
func (t *Target) followTerm(term uint64, address string) (string, error) {
	if _, _, err := net.SplitHostPort(address); err != nil || address == t.Addr() {
		return "", pgErrorf("22023", "%q is not the address host:port of another target", address)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	primary := t.role == jacinthtiller.RolePrimary
	switch {
	case t.fencedTerm > term || t.term > term || primary && t.term == term:
		return "", pgErrorf("55000", "cannot follow term %d: target %s is at term %d and fenced at term %d",
			term, t.cfg.Name, t.term, t.fencedTerm)
	case t.term == term && t.primaryAddr == address:
		return t.lastPosition().String(), nil
	}
	t.role, t.term, t.fencedTerm = jacinthtiller.RoleReplica, term, term
	if primary {
		t.demote()
	}
	t.setPrimary(address)
	t.emitRoleEvent("follow", term)
	t.requestAnnouncement()
	return t.lastPosition().String(), nil
}

// demote resets the connections of the sessions that hold the write lock, because applying the entries of the new
// primary needs it. t.mu is held.
func (t *Target) demote() {
	t.logUnverified = true
	for _, s := range t.sessions {
		if s.holdsWriteLock.Load() {
			s.conn.reset()
		}
	}
}

// emitRoleEvent emits the event for a fence, promote or follow order. t.mu is held.
func (t *Target) emitRoleEvent(order string, term uint64) {
	t.cfg.Log.Emit(event.StandinRole, event.Fields{
		"target": t.cfg.Name, "order": order, "term": term, "position": t.lastPosition().String(),
	})
}

// newStore creates a database and applies the entries to it. t.mu is held, or the target is not shared yet.
func (t *Target) newStore(es []Entry) (*sql.DB, error) {
	t.storeCount++
	file := filepath.Join(t.dir, strconv.Itoa(t.storeCount)+".db")
	db, err := sql.Open("sqlite", "file:"+file+
		"?_pragma=journal_mode(WAL)&_pragma=synchronous(OFF)&_pragma=busy_timeout(2000)&_pragma=foreign_keys(1)")
	if err != nil {
		return nil, fmt.Errorf("open store: %w", err)
	}
	db.SetMaxIdleConns(t.cfg.MaxConnections + 2)
	if err := applyEntries(t.ctx, db, es); err != nil {
		_ = db.Close()
		return nil, fmt.Errorf("fill store: %w", err)
	}
	return db, nil
}

// applyEntries runs the entries in one SQLite transaction.
func applyEntries(ctx context.Context, db *sql.DB, es []Entry) error {
	c, err := db.Conn(ctx)
	if err != nil {
		return fmt.Errorf("connect to store: %w", err)
	}
	defer func() { _ = c.Close() }()
	if _, err := c.ExecContext(ctx, "BEGIN IMMEDIATE"); err != nil {
		return fmt.Errorf("begin: %w", err)
	}
	for _, e := range es {
		for _, st := range e.Statements {
			if _, err := c.ExecContext(ctx, st.SQL, signedIntegers(st.Args)...); err != nil {
				_, _ = c.ExecContext(context.Background(), "ROLLBACK")
				return fmt.Errorf("apply entry %s: %w", e.Position(), err)
			}
		}
	}
	if _, err := c.ExecContext(ctx, "COMMIT"); err != nil {
		_, _ = c.ExecContext(context.Background(), "ROLLBACK")
		return fmt.Errorf("commit: %w", err)
	}
	return nil
}

// signedIntegers converts uint64 values to int64, because CBOR decodes positive integers as unsigned.
func signedIntegers(args []any) []any {
	out := make([]any, len(args))
	for i, a := range args {
		if n, ok := a.(uint64); ok {
			a = int64(n)
		}
		out[i] = a
	}
	return out
}
