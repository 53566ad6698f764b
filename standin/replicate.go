package standin

import (
	"context"
	"encoding/binary"
	"fmt"
	"net"
	"time"

	"github.com/jacinthtiller/jacinthtiller"
	"github.com/jacinthtiller/jacinthtiller/event"
)

// replicationCode is the code in the first message of a replication connection, in the place where PostgreSQL
// clients send the protocol version.
const replicationCode = 0x4a540001

// maxBatchEntries bounds the number of entries in one response.
const maxBatchEntries = 512

// longPollTimeout is how long a primary waits for an entry before it sends a response without one.
const longPollTimeout = 200 * time.Millisecond

// pullRequest requests the entries after a position.
type pullRequest struct {
	Name  string                 `cbor:"name"`
	After jacinthtiller.Position `cbor:"after"`
}

// pullResponse is the response to a pullRequest.
type pullResponse struct {
	// Term is the term of the responding primary; 0 when the target is a replica.
	Term uint64 `cbor:"term"`
	// Diverged is true when the log has no entry at the requested position.
	Diverged bool    `cbor:"diverged,omitempty"`
	Entries  []Entry `cbor:"entries,omitempty"`
}

// pull is the replication from one primary. ctx ends when the target gets another primary.
type pull struct {
	generation uint64
	address    string
	ctx        context.Context
}

// replicateLoop pulls entries whenever the target follows a primary.
func (t *Target) replicateLoop() {
	for t.ctx.Err() == nil {
		p, ok := t.nextPull()
		if !ok {
			return
		}
		if err := t.pullFrom(p); err != nil {
			sleep(p.ctx, 50*time.Millisecond)
		}
	}
}

// sleep waits for d or the end of ctx.
func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	tm := time.NewTimer(d)
	defer tm.Stop()
	select {
	case <-tm.C:
	case <-ctx.Done():
	}
}

// nextPull waits until there is a primary to follow. It returns false when the target stops.
func (t *Target) nextPull() (pull, bool) {
	for {
		t.mu.Lock()
		changed := t.changed
		if t.primaryAddr != "" && !t.stopped {
			p := pull{generation: t.pullGeneration, address: t.primaryAddr}
			if t.cancelPull != nil {
				t.cancelPull()
			}
			p.ctx, t.cancelPull = context.WithCancel(t.ctx)
			t.mu.Unlock()
			return p, true
		}
		t.mu.Unlock()
		select {
		case <-changed:
		case <-t.ctx.Done():
			return pull{}, false
		}
	}
}

// pullFrom pulls entries until the connection fails or the primary changes.
func (t *Target) pullFrom(p pull) error {
	t.waitWhileFrozen()
	d := net.Dialer{Timeout: time.Second}
	n, err := d.DialContext(p.ctx, "tcp", p.address)
	if err != nil {
		return fmt.Errorf("connect to primary: %w", err)
	}
	c, err := t.registerConn(n, p.address)
	if err != nil {
		return fmt.Errorf("connect to primary: %w", err)
	}
	defer c.unregister()
	stop := context.AfterFunc(p.ctx, func() { _ = c.Close() })
	defer stop()
	startup := binary.BigEndian.AppendUint32(binary.BigEndian.AppendUint32(nil, 8), replicationCode)
	if _, err := c.Write(startup); err != nil {
		return fmt.Errorf("send startup message to primary: %w", err)
	}
	for {
		r, err := t.requestEntries(c, t.Position())
		if err != nil {
			return err
		}
		if r.Diverged {
			err = t.rebuild(p, c)
		} else {
			err = t.applyAfterLag(p, r)
		}
		if err != nil {
			return err
		}
	}
}

func (t *Target) requestEntries(c *conn, after jacinthtiller.Position) (pullResponse, error) {
	var r pullResponse
	if err := c.sendFrame(pullRequest{Name: t.cfg.Name, After: after}); err != nil {
		return r, fmt.Errorf("request entries: %w", err)
	}
	if err := c.receiveFrame(&r); err != nil {
		return r, fmt.Errorf("receive entries: %w", err)
	}
	if r.Term == 0 {
		return r, fmt.Errorf("the followed target is not a primary")
	}
	return r, nil
}

// applyAfterLag applies entries when the lag has passed since their commit on the primary.
func (t *Target) applyAfterLag(p pull, r pullResponse) error {
	if len(r.Entries) == 0 {
		return t.applyResponse(p, r)
	}
	remaining := r.Entries
	for len(remaining) > 0 {
		n := 0
		latestCommit := time.Now().UnixMicro() - t.lagMicroseconds.Load()
		for n < len(remaining) && remaining[n].Microseconds <= latestCommit {
			n++
		}
		if n == 0 {
			wait := time.Duration(remaining[0].Microseconds-latestCommit) * time.Microsecond
			sleep(p.ctx, min(wait, 20*time.Millisecond)) // short, because SetLag may change the lag meanwhile
			t.waitWhileFrozen()
			if p.ctx.Err() != nil {
				return fmt.Errorf("wait for the replication lag: %w", p.ctx.Err())
			}
			continue
		}
		r.Entries, remaining = remaining[:n], remaining[n:]
		if err := t.applyResponse(p, r); err != nil {
			return err
		}
	}
	return nil
}

// checkPrimary returns an error when the target refuses entries of the term from the primary of p. t.mu is held.
func (t *Target) checkPrimary(p pull, term uint64) error {
	switch {
	case t.stopped:
		return fmt.Errorf("target is stopped")
	case t.role != jacinthtiller.RoleReplica || t.pullGeneration != p.generation:
		return fmt.Errorf("target no longer follows %s", p.address)
	case term < t.fencedTerm:
		return fmt.Errorf("entries of a primary of term %d refused: fenced at term %d", term, t.fencedTerm)
	}
	return nil
}

// applyResponse applies the entries of a response to the store and appends them to the log.
func (t *Target) applyResponse(p pull, r pullResponse) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if err := t.checkPrimary(p, r.Term); err != nil {
		return err
	}
	if len(r.Entries) > 0 {
		if r.Entries[0].Index != uint64(len(t.log))+1 {
			return fmt.Errorf("entry %s does not follow %s", r.Entries[0].Position(), t.lastPosition())
		}
		if err := applyEntries(t.ctx, t.db, r.Entries); err != nil {
			t.cfg.Log.Emit(event.StandinApplyFailed, event.Fields{"target": t.cfg.Name, "error": err.Error()})
			return fmt.Errorf("apply entries: %w", err)
		}
		t.log = append(t.log, r.Entries...)
		for _, e := range r.Entries {
			t.invalidateSchemaOnDDL(e.Statements)
		}
	}
	t.adoptTerm(r.Term)
	return nil
}

// adoptTerm records the term of the primary, of whose log the target's own is a prefix. t.mu is held.
func (t *Target) adoptTerm(term uint64) {
	t.term, t.fencedTerm, t.logUnverified = max(t.term, term), max(t.fencedTerm, term), false
	t.notifyChange()
}

// rebuild replaces the store by one built from the primary's log. Reads are refused meanwhile, because the store holds
// entries that the primary does not have.
func (t *Target) rebuild(p pull, c *conn) error {
	t.mu.Lock()
	if err := t.checkPrimary(p, t.fencedTerm); err != nil {
		t.mu.Unlock()
		return err
	}
	t.logUnverified = true
	t.mu.Unlock()
	var log []Entry
	var after jacinthtiller.Position
	for {
		r, err := t.requestEntries(c, after)
		if err != nil {
			return err
		}
		log = append(log, r.Entries...)
		if len(r.Entries) < maxBatchEntries {
			return t.replaceStore(p, r.Term, log)
		}
		after = log[len(log)-1].Position()
	}
}

// replaceStore replaces the log, and the store by a new one with the entries of the log.
func (t *Target) replaceStore(p pull, term uint64, log []Entry) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if err := t.checkPrimary(p, term); err != nil {
		return err
	}
	db, err := t.newStore(log)
	if err != nil {
		return err
	}
	old, before := t.db, t.lastPosition()
	t.db, t.log, t.schema = db, log, nil
	t.adoptTerm(term)
	t.cfg.Log.Emit(event.StandinRebuilt, event.Fields{
		"target": t.cfg.Name, "before": before.String(), "position": t.lastPosition().String(),
	})
	if err := old.Close(); err != nil {
		return fmt.Errorf("close the old store: %w", err)
	}
	return nil
}

// servePulls answers the pull requests of a replica on a connection that the replica opened.
func (t *Target) servePulls(c *conn) {
	var nameAdded bool
	for {
		var q pullRequest
		if c.receiveFrame(&q) != nil {
			return
		}
		if !nameAdded {
			if c.addPeerNames(q.Name) != nil {
				return
			}
			nameAdded = true
		}
		if c.sendFrame(t.entriesAfter(q.After)) != nil {
			return
		}
	}
}

// entriesAfter returns the entries after the position. It waits up to longPollTimeout for the first one.
func (t *Target) entriesAfter(after jacinthtiller.Position) pullResponse {
	deadline := time.Now().Add(longPollTimeout)
	for {
		t.mu.Lock()
		r, changed := t.batchAfter(after), t.changed
		t.mu.Unlock()
		remaining := time.Until(deadline)
		if r.Term == 0 || r.Diverged || len(r.Entries) > 0 || remaining <= 0 {
			return r
		}
		tm := time.NewTimer(remaining)
		select {
		case <-changed:
		case <-tm.C:
		case <-t.ctx.Done():
			return pullResponse{}
		}
		tm.Stop()
	}
}

// batchAfter returns up to maxBatchEntries entries after the position. t.mu is held.
func (t *Target) batchAfter(after jacinthtiller.Position) pullResponse {
	if t.role != jacinthtiller.RolePrimary {
		return pullResponse{}
	}
	r := pullResponse{Term: t.term}
	switch i := after.Index; {
	case i > uint64(len(t.log)) || i > 0 && t.log[i-1].Term != after.Term:
		r.Diverged = true
	default:
		r.Entries = append(r.Entries, t.log[i:min(uint64(len(t.log)), i+maxBatchEntries)]...)
	}
	return r
}
