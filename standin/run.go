package standin

import (
	"context"
	"database/sql"
	"errors"
	"fmt"
	"math"
	"strings"
	"time"
)

// result holds the rows and the command tag of a statement.
type result struct {
	columns []column
	// pendingRows are the rows not sent yet.
	pendingRows [][]any
	tag         string
}

// transaction is a client's transaction. Each read before the first write sees the data committed by then, so that the
// first write cannot fail because other transactions have committed since.
type transaction struct {
	explicit bool
	readOnly bool
	// snapshot is true at the levels repeatable read and serializable, which use one SQLite transaction from the first
	// read on.
	snapshot bool
	failed   bool
	// db and conn are nil until the first statement on data; conn belongs to db.
	db   *sql.DB
	conn *sql.Conn
	// sqliteOpen is true while a SQLite transaction is open.
	sqliteOpen bool
	// holdsWriteLock is true while the transaction holds the target's write lock.
	holdsWriteLock bool
	// writes are the statements for the log.
	writes []Statement
}

func (s *session) runStatement(st *parsedStatement, boundValues []any) (*result, error) {
	s.target.waitWhileFrozen()
	if s.tx != nil && s.tx.failed && !endsTransaction(st) {
		return nil, errTransactionFailed
	}
	if _, data := dataVerbs[st.verb]; !data {
		return s.runSessionStatement(st)
	}
	if s.tx == nil {
		s.tx = &transaction{readOnly: s.settings["default_transaction_read_only"] == "on"}
	}
	ctx, done := s.cancelableContext()
	defer done()
	name, arguments := st.functionCall()
	if builtinFunctionPattern.MatchString(name) && name != "pg_sleep" {
		return s.callFunction(name, arguments, boundValues)
	}
	release, err := s.target.acquireSlot(ctx)
	if err != nil {
		return nil, err
	}
	defer release()
	if name == "pg_sleep" {
		return s.pgSleep(ctx, arguments, boundValues)
	}
	return s.runOnStore(ctx, st, boundValues)
}

// cancelableContext returns a context that a CancelRequest cancels, and the function that releases it.
func (s *session) cancelableContext() (context.Context, func()) {
	ctx, cancel := context.WithCancel(s.target.ctx)
	s.mu.Lock()
	s.cancelRunning = cancel
	s.mu.Unlock()
	return ctx, func() {
		s.mu.Lock()
		s.cancelRunning = nil
		s.mu.Unlock()
		cancel()
	}
}

var errCanceled = pgErrorf("57014", "canceling statement due to user request")

// acquireSlot waits for a slot and for the service time, and returns the function that releases the slot.
func (t *Target) acquireSlot(ctx context.Context) (func(), error) {
	n := t.inFlight.Add(1)
	for m := t.maxInFlight.Load(); n > m && !t.maxInFlight.CompareAndSwap(m, n); m = t.maxInFlight.Load() {
	}
	if n > int64(t.cfg.Slots) {
		t.queuedStatements.Add(1)
	}
	select {
	case t.slots <- struct{}{}:
	case <-ctx.Done():
		t.inFlight.Add(-1)
		return nil, errCanceled
	}
	release := func() {
		<-t.slots
		t.inFlight.Add(-1)
	}
	sleep(ctx, time.Duration(t.serviceMicroseconds.Load())*time.Microsecond)
	if ctx.Err() != nil {
		release()
		return nil, errCanceled
	}
	return release, nil
}

// connectTransaction returns the transaction with a connection to the store. It creates what is missing.
func (s *session) connectTransaction() (*transaction, error) {
	if s.tx == nil {
		s.tx = &transaction{}
	}
	x := s.tx
	if x.conn != nil {
		return x, nil
	}
	s.target.mu.Lock()
	x.db = s.target.db
	s.target.mu.Unlock()
	c, err := x.db.Conn(s.target.ctx)
	if err != nil {
		return nil, fmt.Errorf("connect to store: %w", err)
	}
	x.conn = c
	return x, nil
}

// runOnStore runs a statement on the store.
func (s *session) runOnStore(ctx context.Context, st *parsedStatement, boundValues []any) (*result, error) {
	if err := s.target.checkReadable(); err != nil {
		return nil, err
	}
	x, err := s.connectTransaction()
	if err != nil {
		return nil, err
	}
	if st.isWrite {
		err = s.beginWrite(ctx, x)
	} else if x.snapshot && !x.sqliteOpen {
		err = x.beginSQLite(ctx, "BEGIN")
	}
	if err != nil {
		return nil, err
	}
	if st.verb == "LOCK" {
		return &result{tag: st.commandTag(0)}, nil
	}
	if st.usesCurrentTime {
		boundValues = append(append([]any(nil), boundValues...), formatTimestamp(time.Now()))
	}
	r, err := x.runSQL(ctx, st, boundValues)
	if err != nil {
		return nil, err
	}
	if st.isWrite && st.verb != "SELECT" {
		x.writes = append(x.writes, Statement{SQL: st.sql, Args: boundValues})
	}
	return r, nil
}

// beginWrite checks that the target accepts writes, and acquires the write lock for the transaction's first write.
func (s *session) beginWrite(ctx context.Context, x *transaction) error {
	if x.readOnly {
		return pgErrorf("25006", "cannot write in a read-only transaction")
	}
	s.target.mu.Lock()
	err := s.target.checkWritable()
	s.target.mu.Unlock()
	if err != nil || x.holdsWriteLock {
		return err
	}
	if err := s.target.acquireWriteLock(ctx); err != nil {
		return err
	}
	x.holdsWriteLock = true
	s.holdsWriteLock.Store(true)
	if x.sqliteOpen {
		return nil // SQLite refuses the write itself when the snapshot is no longer the newest
	}
	return x.beginSQLite(ctx, "BEGIN IMMEDIATE")
}

// lastSlotLockTimeout bounds the wait for the write lock of a statement that occupies the last slot while it waits. The
// transaction that holds the lock then cannot get a slot for its next statement, unless it is just committing.
const lastSlotLockTimeout = 100 * time.Millisecond

// acquireWriteLock waits for the write lock up to the lock timeout.
func (t *Target) acquireWriteLock(ctx context.Context) error {
	select {
	case t.writeLock <- struct{}{}:
		return nil
	default:
	}
	wait := time.Duration(t.cfg.LockTimeoutMicroseconds) * time.Microsecond
	if t.lockWaiters.Add(1) >= int64(t.cfg.Slots) {
		wait = min(wait, lastSlotLockTimeout)
	}
	defer t.lockWaiters.Add(-1)
	tm := time.NewTimer(wait)
	defer tm.Stop()
	select {
	case t.writeLock <- struct{}{}:
		return nil
	case <-ctx.Done():
		return errCanceled
	case <-tm.C:
		return pgErrorf("40001", "could not get the write lock within %s", wait)
	}
}

// beginSQLite runs a statement that begins a SQLite transaction.
func (x *transaction) beginSQLite(ctx context.Context, begin string) error {
	if _, err := x.conn.ExecContext(ctx, begin); err != nil {
		return fmt.Errorf("begin: %w", err)
	}
	x.sqliteOpen = true
	return nil
}

// runSQL runs the statement in SQLite.
func (x *transaction) runSQL(ctx context.Context, st *parsedStatement, boundValues []any) (*result, error) {
	if !st.returnsRows {
		res, err := x.conn.ExecContext(ctx, st.sql, boundValues...)
		if err != nil {
			return nil, fmt.Errorf("run: %w", joinCanceled(ctx, err))
		}
		n, err := res.RowsAffected()
		if err != nil {
			return nil, fmt.Errorf("count rows: %w", err)
		}
		return &result{tag: st.commandTag(n)}, nil
	}
	rows, err := x.conn.QueryContext(ctx, st.sql, boundValues...)
	if err != nil {
		return nil, fmt.Errorf("run: %w", joinCanceled(ctx, err))
	}
	defer func() { _ = rows.Close() }()
	r, err := readRows(rows, math.MaxInt)
	if err != nil {
		return nil, joinCanceled(ctx, err)
	}
	r.tag = st.commandTag(int64(len(r.pendingRows)))
	return r, nil
}

func joinCanceled(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return errors.Join(errCanceled, err)
	}
	return err
}

// readRows reads up to limit rows.
func readRows(rows *sql.Rows, limit int) (*result, error) {
	cs, err := declaredColumns(rows)
	if err != nil {
		return nil, err
	}
	r := &result{columns: cs}
	for len(r.pendingRows) < limit && rows.Next() {
		row, destinations := make([]any, len(cs)), make([]any, len(cs))
		for i := range row {
			destinations[i] = &row[i]
		}
		if err := rows.Scan(destinations...); err != nil {
			return nil, fmt.Errorf("read row: %w", err)
		}
		r.pendingRows = append(r.pendingRows, row)
	}
	if err := rows.Err(); err != nil {
		return nil, fmt.Errorf("read rows: %w", err)
	}
	inferColumnTypes(r.columns, r.pendingRows)
	return r, nil
}

// commit commits the transaction. The SQLite commit of a write transaction and the append to the log happen while
// t.mu is held, so that no client reads the new data with an older position.
func (s *session) commit() error {
	x := s.tx
	if x == nil {
		return nil
	}
	defer s.rollback()
	if !x.sqliteOpen {
		return nil
	}
	s.target.waitWhileFrozen()
	s.target.mu.Lock()
	defer s.target.mu.Unlock()
	if len(x.writes) > 0 {
		if err := s.target.checkWritable(); err != nil {
			return err
		}
		if x.db != s.target.db {
			return pgErrorf("40001", "the data was rebuilt during the transaction")
		}
	}
	if _, err := x.conn.ExecContext(context.Background(), "COMMIT"); err != nil {
		return fmt.Errorf("commit: %w", err)
	}
	x.sqliteOpen = false
	if len(x.writes) > 0 {
		s.target.appendEntry(x.writes)
	}
	return nil
}

// rollback ends the transaction without its writes and releases its resources.
func (s *session) rollback() {
	if s.tx != nil {
		s.releaseStore()
		s.tx = nil
	}
}

// releaseStore rolls back in SQLite and releases the connection and the write lock.
func (s *session) releaseStore() {
	x := s.tx
	if x.sqliteOpen {
		_, _ = x.conn.ExecContext(context.Background(), "ROLLBACK") // SQLite may have rolled back by itself
		x.sqliteOpen = false
	}
	if x.conn != nil {
		_ = x.conn.Close()
		x.conn = nil
	}
	if x.holdsWriteLock {
		x.holdsWriteLock = false
		s.holdsWriteLock.Store(false)
		<-s.target.writeLock
	}
	x.writes = nil
}

// abort rolls back the transaction. An explicit one stays open as failed.
func (s *session) abort() {
	switch {
	case s.tx == nil:
	case s.tx.explicit:
		s.releaseStore()
		s.tx.failed = true
	default:
		s.rollback()
	}
}

// runSessionStatement runs the statements that the session handles itself.
func (s *session) runSessionStatement(st *parsedStatement) (*result, error) {
	switch st.verb {
	case "BEGIN", "START":
		return s.beginExplicit(st)
	case "COMMIT", "END":
		if s.tx != nil && s.tx.failed {
			s.rollback()
			return &result{tag: "ROLLBACK"}, nil
		}
		return &result{tag: "COMMIT"}, s.commit()
	case "ROLLBACK", "ABORT":
		if st.keywordIndex("TO") >= 0 {
			return nil, pgErrorf("0A000", "savepoints are not supported")
		}
		s.rollback()
		return &result{tag: "ROLLBACK"}, nil
	case "SHOW":
		v, err := s.show(st.shownSetting())
		return &result{
			columns: []column{{name: strings.ToLower(st.shownSetting()), oid: oidText}}, pendingRows: [][]any{{v}}, tag: "SHOW",
		}, err
	case "SET":
		return &result{tag: "SET"}, s.set(st)
	case "RESET":
		if st.hasPrefix("RESET", "ALL") {
			clear(s.settings)
		} else {
			delete(s.settings, st.settingName(1))
		}
	case "DISCARD":
		if s.tx != nil && s.tx.explicit {
			return nil, pgErrorf("25001", "DISCARD ALL cannot run inside a transaction block")
		}
		s.discardAll()
		return &result{tag: "DISCARD " + st.keyword(1)}, nil
	case "DEALLOCATE":
		return s.deallocate(st)
	}
	return &result{tag: st.verb}, nil
}

func (s *session) deallocate(st *parsedStatement) (*result, error) {
	if st.hasPrefix("DEALLOCATE", "ALL") {
		clear(s.preparedStatements)
		return &result{tag: "DEALLOCATE ALL"}, nil
	}
	name := st.tokens[len(st.tokens)-1].unquote()
	if _, ok := s.preparedStatements[name]; !ok {
		return nil, pgErrorf("26000", "prepared statement %q does not exist", name)
	}
	delete(s.preparedStatements, name)
	return &result{tag: "DEALLOCATE"}, nil
}

// beginExplicit opens an explicit transaction or makes the implicit one explicit.
func (s *session) beginExplicit(st *parsedStatement) (*result, error) {
	tag := "BEGIN"
	if st.verb == "START" {
		tag = "START TRANSACTION"
	}
	if s.tx == nil {
		s.tx = &transaction{readOnly: s.settings["default_transaction_read_only"] == "on"}
	}
	s.tx.explicit = true
	s.tx.applyModes(st)
	return &result{tag: tag}, nil
}
