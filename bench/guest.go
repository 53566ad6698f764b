package bench

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"

	"github.com/jacinthtiller/jacinthtiller"
)

const (
	// operationTimeout bounds one operation, including the resends of a keyed write.
	operationTimeout = 20 * time.Second
	// resendDelay is the delay before a keyed write of unknown outcome is sent again or a failed verification is repeated.
	resendDelay = 20 * time.Millisecond
)

// The statements of the load. The ledger has no unique key, so that a write that ran twice shows as two rows.
const (
	createLedger = "CREATE TABLE IF NOT EXISTS ledger (guest TEXT, entry BIGINT)"
	createIndex  = "CREATE INDEX IF NOT EXISTS ledger_guest ON ledger (guest, entry)"
	insertEntry  = "INSERT INTO ledger VALUES ($1, $2)"
	newestEntry  = "SELECT COALESCE(MAX(entry), 0) FROM ledger WHERE guest = $1"
	countEntries = "SELECT entry, COUNT(*) FROM ledger WHERE guest = $1 GROUP BY entry"
)

// codeAdminShutdown (admin_shutdown) is the SQLSTATE with which a stopping host ends an idle connection.
const codeAdminShutdown = "57P01"

// writeState is what a guest knows about the outcome of a write.
type writeState int

const (
	writeUnknown writeState = iota
	writeAcknowledged
	writeNotRun
)

// guest is a simulated client with one connection for each entry host that it uses.
type guest struct {
	name     string
	login    Login
	database string
	plan     *Plan
	rng      *rand.Rand
	recorder *recorder

	// host is the index of the entry host in use.
	host  int
	conns map[int]*pgx.Conn
	// entries holds the state of entry i at index i-1.
	entries []writeState
	// lastAcknowledged is the highest acknowledged entry.
	lastAcknowledged int64
}

func newGuest(name, database string, l Login, p *Plan, r *recorder, seed uint64) *guest {
	rng := rand.New(rand.NewPCG(p.Seed, seed))
	return &guest{
		name: name, login: l, database: database, plan: p, rng: rng, recorder: r,
		host: rng.IntN(len(l.URLs[database])), conns: map[int]*pgx.Conn{},
	}
}

// runOperation runs one operation; due is when it should have started.
func (g *guest) runOperation(ctx context.Context, due time.Time) {
	ctx, cancel := context.WithTimeout(ctx, operationTimeout)
	defer cancel()
	if g.rng.Float64() < g.plan.HostChangeShare {
		g.changeHost()
	}
	if g.login.ReadOnly || g.rng.Float64() < g.plan.ReadShare {
		g.read(ctx, due)
		return
	}
	g.write(ctx, due, g.rng.Float64() < g.plan.KeyedShare)
}

// changeHost changes to another entry host.
func (g *guest) changeHost() {
	if n := len(g.login.URLs[g.database]); n > 1 {
		g.host = (g.host + 1 + g.rng.IntN(n-1)) % n
	}
}

// conn returns the connection to the current entry host. Like the platform's load balancer, it skips hosts that accept
// no connections.
func (g *guest) conn(ctx context.Context) (*pgx.Conn, error) {
	var err error
	for range g.login.URLs[g.database] {
		if c, ok := g.conns[g.host]; ok && !c.IsClosed() {
			return c, nil
		}
		var c *pgx.Conn
		if c, err = pgx.Connect(ctx, g.login.URLs[g.database][g.host]); err == nil {
			g.conns[g.host] = c
			return c, nil
		}
		g.host = (g.host + 1) % len(g.login.URLs[g.database])
	}
	return nil, fmt.Errorf("connect: %w", err)
}

// dropConn closes the connection to the current entry host and changes to another host.
func (g *guest) dropConn() {
	if c, ok := g.conns[g.host]; ok {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		_ = c.Close(ctx)
		cancel()
		delete(g.conns, g.host)
	}
	g.changeHost()
}

// read checks that the guest sees its newest acknowledged write.
func (g *guest) read(ctx context.Context, due time.Time) {
	want := g.lastAcknowledged
	var newest int64
	err := g.withReconnect(ctx, func(c *pgx.Conn) error {
		return c.QueryRow(ctx, newestEntry, g.name).Scan(&newest)
	})
	if err != nil {
		g.recorder.recordFailure(g.login.Team, classify(err), err)
		g.dropIfBroken(err)
		return
	}
	if newest < want {
		g.recorder.recordViolation("%s read entry %d on host %d after entry %d was acknowledged", g.name, newest, g.host, want)
	}
	g.recorder.recordSuccess(g.login.Team, kindRead, due)
}

// write inserts the next entry. A keyed write of unknown outcome is sent again with its key, on another host, until
// its outcome is known; a write without a key is sent once.
func (g *guest) write(ctx context.Context, due time.Time, keyed bool) {
	g.entries = append(g.entries, writeUnknown)
	entry := int64(len(g.entries))
	for {
		err := g.insert(ctx, entry, keyed)
		if err == nil {
			g.entries[entry-1], g.lastAcknowledged = writeAcknowledged, entry
			g.recorder.recordSuccess(g.login.Team, kindWrite, due)
			return
		}
		outcome := classify(err)
		g.dropIfBroken(err)
		if outcome == jacinthtiller.OutcomeUnknown && keyed && ctx.Err() == nil {
			g.recorder.countResend()
			sleep(ctx, resendDelay)
			continue
		}
		// If a resend was not run, the first attempt may still have run, so the entry of a keyed write stays unknown.
		if outcome == jacinthtiller.OutcomeNotRun && !keyed {
			g.entries[entry-1] = writeNotRun
		}
		g.recorder.recordFailure(g.login.Team, outcome, err)
		return
	}
}

func (g *guest) insert(ctx context.Context, entry int64, keyed bool) error {
	return g.withReconnect(ctx, func(c *pgx.Conn) error {
		if !keyed {
			_, err := c.Exec(ctx, insertEntry, g.name, entry)
			return err
		}
		key := fmt.Sprintf("/* idempotency-key: %s-%d */ ", g.name, entry)
		_, err := c.Exec(ctx, key+insertEntry, pgx.QueryExecModeExec, g.name, entry)
		return err
	})
}

// withReconnect runs f, and runs it again on another host if the connection was closed while idle. A stopping host
// guarantees that a request in flight when it ends an idle connection does not run; verifyEntries finds violations.
func (g *guest) withReconnect(ctx context.Context, f func(*pgx.Conn) error) error {
	for {
		c, err := g.conn(ctx)
		if err != nil {
			return err
		}
		if err = f(c); !isAdminShutdown(err) || ctx.Err() != nil {
			return err
		}
		g.recorder.countReconnect()
		g.dropConn()
	}
}

// isAdminShutdown reports whether err says that a stopping host has ended an idle connection.
func isAdminShutdown(err error) bool {
	var p *pgconn.PgError
	return errors.As(err, &p) && p.Code == codeAdminShutdown
}

// dropIfBroken drops the connection unless err is a PostgreSQL error, that is, an answer from the host.
func (g *guest) dropIfBroken(err error) {
	var p *pgconn.PgError
	if !errors.As(err, &p) {
		g.dropConn()
	}
}

// closeConns closes the guest's connections.
func (g *guest) closeConns() {
	for h := range g.conns {
		g.host = h
		g.dropConn()
	}
}

// verifyEntries reads all of the guest's entries back and compares them with the outcomes that the guest was told.
func (g *guest) verifyEntries(ctx context.Context) error {
	c, err := g.conn(ctx)
	if err != nil {
		return err
	}
	rows, err := c.Query(ctx, countEntries, g.name)
	if err != nil {
		return fmt.Errorf("read entries of %s: %w", g.name, err)
	}
	defer rows.Close()
	found := map[int64]int64{}
	for rows.Next() {
		var entry, count int64
		if err := rows.Scan(&entry, &count); err != nil {
			return fmt.Errorf("read entries of %s: %w", g.name, err)
		}
		found[entry] = count
	}
	if err := rows.Err(); err != nil {
		return fmt.Errorf("read entries of %s: %w", g.name, err)
	}
	g.checkEntries(found)
	return nil
}

func (g *guest) checkEntries(found map[int64]int64) {
	for i, s := range g.entries {
		entry := int64(i + 1)
		switch n := found[entry]; {
		case n > 1:
			g.recorder.recordViolation("entry %d of %s was recorded %d times", entry, g.name, n)
		case s == writeAcknowledged && n == 0:
			g.recorder.recordViolation("entry %d of %s was acknowledged and is lost", entry, g.name)
		case s == writeNotRun && n > 0:
			g.recorder.recordViolation("entry %d of %s ran although the guest was told that it did not", entry, g.name)
		}
	}
}

// classify returns the outcome that an error proves.
func classify(err error) jacinthtiller.Outcome {
	var p *pgconn.PgError
	switch {
	case errors.As(err, &p) && p.Code == jacinthtiller.CodeOutcomeUnknown:
		return jacinthtiller.OutcomeUnknown
	case errors.As(err, &p), pgconn.SafeToRetry(err), strings.HasPrefix(err.Error(), "connect: "):
		return jacinthtiller.OutcomeNotRun
	}
	return jacinthtiller.OutcomeUnknown
}

// sleep waits for d or the end of ctx.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
