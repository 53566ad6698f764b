// Package standin implements a stand-in target for tests and the quick start: a PostgreSQL protocol server on SQLite
// that keeps the target contract of the design page.
//
// Transactions read committed data, and the writes of one target are serialized. Savepoints, COPY, LISTEN and cursors
// are not supported.
package standin

import (
	"context"
	"database/sql"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jacinthtiller/jacinthtiller"
	"github.com/jacinthtiller/jacinthtiller/event"
	"github.com/sourcegraph/conc"
)

// Config configures a target. A zero value selects the default of its field.
type Config struct {
	Name     string
	Database string
	Domain   string
	// Listen is the address to listen on; 127.0.0.1:0 by default.
	Listen string
	// GroupSize is announced; 1 by default.
	GroupSize int
	// Role is primary by default, or replica when Follow is set. A primary starts in term 1 with an entry of its own; a
	// replica without a primary waits for group_promote or group_follow.
	Role jacinthtiller.Role
	// Follow is the address of the primary.
	Follow string
	// Password is requested in clear text; empty means trust.
	Password string
	// Announce lists URLs of entry hosts; empty disables announcements.
	Announce []string
	// InitialEntries is the log at the start, for a target that restarts with its data.
	InitialEntries []Entry
	// MaxConnections is the limit of client connections; 30 by default.
	MaxConnections int
	// Slots is the number of statements that run concurrently; 5 by default.
	Slots int
	// LagMicroseconds is the replication lag, counted from the commit on the primary.
	LagMicroseconds int64
	// ServiceTimeMicroseconds is added to the run time of each statement.
	ServiceTimeMicroseconds int64
	// ConnectDelayMicroseconds delays the answer to a new client connection.
	ConnectDelayMicroseconds int64
	// LockTimeoutMicroseconds bounds the wait for the write lock; 500 ms by default.
	LockTimeoutMicroseconds int64
	// AnnounceIntervalMicroseconds is the interval between announcements; 500 ms by default.
	AnnounceIntervalMicroseconds int64
	// Log receives the target's events; nil discards them.
	Log *event.Log
}

// Target is a running stand-in target.
type Target struct {
	cfg                 Config
	listener            net.Listener
	dir                 string
	ctx                 context.Context
	cancel              context.CancelFunc
	wg                  conc.WaitGroup
	slots               chan struct{} // holds one value per running statement
	writeLock           chan struct{} // holds a value while a transaction writes
	announceRequest     chan struct{} // requests an immediate announcement; dropped when one is already pending
	serviceMicroseconds atomic.Int64  // added to the run time of each statement
	lagMicroseconds     atomic.Int64  // the replication lag
	inFlight            atomic.Int64  // statements running or waiting for a slot
	maxInFlight         atomic.Int64  // the greatest value of inFlight
	queuedStatements    atomic.Int64  // statements that arrived while no slot was free
	// lockWaiters counts the statements that wait for writeLock.
	lockWaiters atomic.Int64
	lastPID     atomic.Uint32 // the process ID of the newest session

	// frozen is not nil while the target is frozen; Resume closes the channel. It is not guarded by mu, because
	// connections wait for it while a commit holds mu.
	frozen atomic.Pointer[chan struct{}]

	mu sync.Mutex // guards the fields below; held during each commit, so that data and position change together
	db *sql.DB
	// storeCount counts the databases created; it numbers their files.
	storeCount int
	role       jacinthtiller.Role
	state      jacinthtiller.TargetState
	// announcedState is the state in the last announcement that a host accepted.
	announcedState jacinthtiller.TargetState
	// term is the term that the target follows or leads.
	term uint64
	// fencedTerm is the lowest term whose entries and writes are accepted; it never decreases.
	fencedTerm uint64
	// logUnverified is true from the demotion of a primary until its log is known to be a prefix of the new primary's.
	logUnverified bool
	// log holds the entry of index i at log[i-1].
	log []Entry
	// schema caches the column types by table and column; nil when unknown. The maps are not modified once built.
	schema map[string]map[string]uint32
	// changed is closed and replaced whenever log, role or terms change.
	changed chan struct{}
	// primaryAddr is the address of the primary; empty for none.
	primaryAddr string
	// pullGeneration counts the changes of primaryAddr; responses to a pull of an older generation are dropped.
	pullGeneration uint64
	// cancelPull cancels the running pull.
	cancelPull context.CancelFunc
	sessions   map[uint32]*session
	// conns holds all open connections: those of clients, and those of replication in both directions.
	conns map[*conn]bool
	// partitionAll partitions the target from all peers, partitionedPeers from the named ones.
	partitionAll     bool
	partitionedPeers map[string]bool
	stopped          bool
}

func (c Config) withDefaults() Config {
	defaultInt64 := func(v *int64, d int64) {
		if *v == 0 {
			*v = d
		}
	}
	defaultInt := func(v *int, d int) {
		if *v == 0 {
			*v = d
		}
	}
	defaultInt64(&c.LockTimeoutMicroseconds, 500_000)
	defaultInt64(&c.AnnounceIntervalMicroseconds, 500_000)
	defaultInt(&c.MaxConnections, 30)
	defaultInt(&c.Slots, 5)
	defaultInt(&c.GroupSize, 1)
	if c.Listen == "" {
		c.Listen = "127.0.0.1:0"
	}
	if c.Role == "" {
		c.Role = jacinthtiller.RolePrimary
		if c.Follow != "" {
			c.Role = jacinthtiller.RoleReplica
		}
	}
	return c
}

// Start starts a target. Close, Kill or Shutdown stops it.
func Start(cfg Config) (*Target, error) {
	cfg = cfg.withDefaults()
	dir, err := os.MkdirTemp("", "jacinth-standin-")
	if err != nil {
		return nil, fmt.Errorf("create data directory: %w", err)
	}
	t := &Target{
		cfg: cfg, dir: dir,
		slots: make(chan struct{}, cfg.Slots), writeLock: make(chan struct{}, 1), announceRequest: make(chan struct{}, 1),
		role: jacinthtiller.RoleReplica, state: jacinthtiller.StateServing, changed: make(chan struct{}),
		sessions: map[uint32]*session{}, conns: map[*conn]bool{}, partitionedPeers: map[string]bool{},
	}
	t.serviceMicroseconds.Store(cfg.ServiceTimeMicroseconds)
	t.lagMicroseconds.Store(cfg.LagMicroseconds)
	t.ctx, t.cancel = context.WithCancel(context.Background())
	if err := t.openStoreAndListen(); err != nil {
		t.cancel()
		return nil, errors.Join(err, os.RemoveAll(dir))
	}
	t.wg.Go(t.acceptLoop)
	t.wg.Go(t.replicateLoop)
	if len(cfg.Announce) > 0 {
		t.wg.Go(t.announceLoop)
	}
	cfg.Log.Emit(event.StandinStarted, event.Fields{"target": cfg.Name, "address": t.Addr(), "role": string(t.Role())})
	return t, nil
}

// openStoreAndListen creates the store from the configured entries and opens the listener.
func (t *Target) openStoreAndListen() error {
	db, err := t.newStore(t.cfg.InitialEntries)
	if err != nil {
		return err
	}
	t.db, t.log = db, append(t.log, t.cfg.InitialEntries...)
	t.term = t.lastPosition().Term
	t.fencedTerm, t.primaryAddr = t.term, t.cfg.Follow
	if t.cfg.Role == jacinthtiller.RolePrimary {
		t.becomePrimary(max(1, t.term))
	}
	if t.listener, err = net.Listen("tcp", t.cfg.Listen); err != nil {
		return errors.Join(fmt.Errorf("listen on %s: %w", t.cfg.Listen, err), db.Close())
	}
	return nil
}

// Addr returns the address that the target listens on.
func (t *Target) Addr() string { return t.listener.Addr().String() }

// Name returns the configured name.
func (t *Target) Name() string { return t.cfg.Name }

// Position returns the position of the last applied entry.
func (t *Target) Position() jacinthtiller.Position {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lastPosition()
}

// Role returns the target's role in its group.
func (t *Target) Role() jacinthtiller.Role {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.role
}

// Term returns the term that the target follows or leads.
func (t *Target) Term() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.term
}

// Log returns the applied entries.
func (t *Target) Log() []Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]Entry(nil), t.log...)
}

// MaxInFlight returns the greatest number of statements that were running or waiting for a slot at once.
func (t *Target) MaxInFlight() int { return int(t.maxInFlight.Load()) }

// QueuedStatements returns the number of statements that arrived while no slot was free.
func (t *Target) QueuedStatements() int { return int(t.queuedStatements.Load()) }

// SessionCount returns the number of client connections.
func (t *Target) SessionCount() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.sessions)
}

// SetLag changes the replication lag.
func (t *Target) SetLag(d time.Duration) { t.lagMicroseconds.Store(d.Microseconds()) }

// SetServiceTime changes the time that is added to the run time of each statement.
func (t *Target) SetServiceTime(d time.Duration) { t.serviceMicroseconds.Store(d.Microseconds()) }

// SetState sets the state and requests an immediate announcement.
func (t *Target) SetState(s jacinthtiller.TargetState) {
	t.mu.Lock()
	t.state = s
	t.mu.Unlock()
	t.requestAnnouncement()
}

// Freeze simulates a suspended process: the target accepts connections but neither runs nor answers anything until
// Resume.
func (t *Target) Freeze() {
	c := make(chan struct{})
	t.frozen.CompareAndSwap(nil, &c)
}

// Resume ends Freeze.
func (t *Target) Resume() {
	if c := t.frozen.Swap(nil); c != nil {
		close(*c)
	}
}

// waitWhileFrozen blocks while the target is frozen.
func (t *Target) waitWhileFrozen() {
	c := t.frozen.Load()
	if c == nil {
		return
	}
	select {
	case <-*c:
	case <-t.ctx.Done():
	}
}

// Partition resets the connections with the peers and refuses new ones until Heal; without arguments it does so for all
// peers. A peer is an IP address, host:port, the name of a replica, or a client's user or application name.
func (t *Target) Partition(peers ...string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.partitionAll = t.partitionAll || len(peers) == 0
	for _, p := range peers {
		t.partitionedPeers[p] = true
	}
	for c := range t.conns {
		if t.isPartitioned(c.peerNames) {
			c.reset()
		}
	}
}

// Heal ends Partition.
func (t *Target) Heal() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.partitionAll, t.partitionedPeers = false, map[string]bool{}
}

// isPartitioned reports whether one of a connection's peer names is partitioned. t.mu is held.
func (t *Target) isPartitioned(peers []string) bool {
	if t.partitionAll {
		return true
	}
	for _, p := range peers {
		if t.partitionedPeers[p] {
			return true
		}
	}
	return false
}

// Kill stops the target at once, as a crash does. Log still returns its entries afterwards.
func (t *Target) Kill() { _ = t.stop() }

// Close stops the target and removes its data.
func (t *Target) Close() error { return t.stop() }

// drainTimeout is how long a leaving target serves clients after a host accepted the announcement, unless they
// disconnect sooner. Hosts stop sending work within this time (R7).
const drainTimeout = 2 * time.Second

// Shutdown announces that the target is leaving, drains its clients and stops it. A primary with announcements first
// waits until another target is the primary. It stops the target at the latest when ctx ends.
func (t *Target) Shutdown(ctx context.Context) error {
	t.SetState(jacinthtiller.StateLeaving)
	var drainDeadline time.Time // set once handoverDone
	tick := time.NewTicker(10 * time.Millisecond)
	defer tick.Stop()
	for ctx.Err() == nil {
		if drainDeadline.IsZero() && t.handoverDone() {
			drainDeadline = time.Now().Add(drainTimeout)
		}
		if !drainDeadline.IsZero() && !t.hasOpenWork() && (t.SessionCount() == 0 || time.Now().After(drainDeadline) || len(t.cfg.Announce) == 0) {
			break
		}
		select {
		case <-ctx.Done():
		case <-tick.C:
		}
	}
	return t.stop()
}

// handoverDone reports whether a host accepted the announcement that the target is leaving, and the target is a replica
// or alone in its group. Without announcements there is nothing to wait for.
func (t *Target) handoverDone() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.cfg.Announce) == 0 || t.announcedState == jacinthtiller.StateLeaving &&
		(t.role == jacinthtiller.RoleReplica || t.cfg.GroupSize == 1)
}

// hasOpenWork reports whether a client has a transaction open or a statement running.
func (t *Target) hasOpenWork() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.sessions {
		if s.active.Load() {
			return true
		}
	}
	return t.inFlight.Load() > 0
}

func (t *Target) stop() error {
	t.mu.Lock()
	if t.stopped {
		t.mu.Unlock()
		return nil
	}
	t.stopped = true
	for c := range t.conns {
		c.reset()
	}
	t.mu.Unlock()
	t.cancel()
	err := t.listener.Close()
	t.wg.Wait()
	err = errors.Join(err, t.db.Close(), os.RemoveAll(t.dir))
	t.cfg.Log.Emit(event.StandinStopped, event.Fields{"target": t.cfg.Name})
	if err != nil {
		return fmt.Errorf("stop target %s: %w", t.cfg.Name, err)
	}
	return nil
}
