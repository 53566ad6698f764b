package owner

import (
	"context"
	"fmt"
	"time"

	"github.com/jacinthtiller/jacinthtiller"
	"github.com/jacinthtiller/jacinthtiller/event"
)

func (o *Owner) findOwned(database, name string) (*target, error) {
	if t := o.find(database, name); t != nil {
		return t, nil
	}
	return nil, noTargetError(jacinthtiller.ReasonNotOwner, "host %s does not own target %s of %s", o.host, name, database)
}

// Fence makes a target of this host refuse entries and writes of terms below the
// request's. Work of lower terms is no longer acknowledged from then on.
func (o *Owner) Fence(ctx context.Context, r jacinthtiller.FenceRequest) (jacinthtiller.FenceResponse, error) {
	t, err := o.findOwned(r.Database, r.Target)
	if err != nil {
		return jacinthtiller.FenceResponse{}, fmt.Errorf("fence: %w", err)
	}
	t.mu.Lock()
	t.fenced = max(t.fenced, r.Term)
	if t.leadership != nil && t.leadership.term < r.Term {
		t.endLeadership()
	}
	t.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	s, err := t.orders.query(ctx, fmt.Sprintf("SELECT group_fence(%d)", r.Term))
	if err != nil {
		return jacinthtiller.FenceResponse{}, fmt.Errorf("fence: %w", err)
	}
	p, err := jacinthtiller.ParsePosition(s)
	if err != nil {
		return jacinthtiller.FenceResponse{}, fmt.Errorf("fence: %w", err)
	}
	t.emit(event.TargetFenced, event.Fields{"term": r.Term, "position": s})
	return jacinthtiller.FenceResponse{Position: p}, nil
}

// WaitPosition answers when a target of this host has reached the position, or
// after the time given, with the position known then.
func (o *Owner) WaitPosition(ctx context.Context, r jacinthtiller.WaitPositionRequest) (jacinthtiller.WaitPositionResponse, error) {
	t, err := o.findOwned(r.Database, r.Target)
	if err != nil {
		return jacinthtiller.WaitPositionResponse{}, fmt.Errorf("wait for position: %w", err)
	}
	until := time.Now().Add(time.Duration(r.WaitMicroseconds) * time.Microsecond)
	return jacinthtiller.WaitPositionResponse{Position: t.waitPosition(ctx, r.Position, until)}, nil
}

// Mark returns the marks of guests for a database whose primary this host owns. The lease is
// checked after the table was read, so that a host that was suspended never answers from an old table.
func (o *Owner) Mark(_ context.Context, r jacinthtiller.MarkRequest) (jacinthtiller.MarkResponse, error) {
	l := o.activeLeadership(r.Database)
	if l == nil {
		return jacinthtiller.MarkResponse{}, fmt.Errorf("mark: %w",
			noTargetError(jacinthtiller.ReasonNotOwner, "host %s serves no primary of %s", o.host, r.Database))
	}
	out := jacinthtiller.MarkResponse{Term: l.term, Marks: l.marks.lookup(r.Guests), Position: l.replication.MajorityPosition()}
	if !l.mayAcknowledge() {
		return jacinthtiller.MarkResponse{}, fmt.Errorf("mark: %w",
			noTargetError(jacinthtiller.ReasonNoLease, "the lease of host %s has ended", o.host))
	}
	if o.events.Tracing() {
		l.target.emit(event.MarkAnswered, event.Fields{"term": l.term, "guests": len(r.Guests), "position": out.Position.String()})
	}
	return out, nil
}

// activeLeadership returns the leadership of the database's primary, or nil if this host does not serve it yet.
func (o *Owner) activeLeadership(database string) *leadership {
	o.mu.Lock()
	t := o.targets[targetKey{database, o.view.Databases[database].Primary}]
	o.mu.Unlock()
	if t == nil {
		return nil
	}
	t.mu.Lock()
	l := t.leadership
	t.mu.Unlock()
	if l == nil || l.readySince().IsZero() {
		return nil
	}
	return l
}

// waitReplicaPosition waits until the replica covers p and returns its position.
func (o *Owner) waitReplicaPosition(ctx context.Context, database, name string, p jacinthtiller.Position) (jacinthtiller.Position, error) {
	r := jacinthtiller.WaitPositionRequest{
		Database: database, Target: name, Position: p, WaitMicroseconds: positionCallTimeout.Microseconds(),
	}
	ctx, cancel := context.WithTimeout(ctx, positionCallTimeout+probeTimeout)
	defer cancel()
	o.mu.Lock()
	h, ok := o.view.Owner(database, name)
	o.mu.Unlock()
	var answer jacinthtiller.WaitPositionResponse
	var err error
	switch {
	case !ok:
		err = noTargetError(jacinthtiller.ReasonNotOwner, "target %s has no owner", name)
	case h.Name == o.host:
		answer, err = o.WaitPosition(ctx, r)
	case o.peers == nil:
		err = noTargetError(jacinthtiller.ReasonNotOwner, "host %s cannot be reached", h.Name)
	default:
		answer, err = o.peers.Peer(h.RPC).WaitPosition(ctx, r)
	}
	if err != nil {
		return jacinthtiller.Position{}, fmt.Errorf("position of %s: %w", name, err)
	}
	return answer.Position, nil
}

// targetDump is the state of a target in the diagnostic output for operators.
type targetDump struct {
	Database         string                 `json:"database"`
	Target           string                 `json:"target"`
	Epoch            uint64                 `json:"epoch"`
	Address          string                 `json:"address"`
	Term             uint64                 `json:"term"`
	Leads            bool                   `json:"leads"`
	Ready            bool                   `json:"ready"`
	Lost             bool                   `json:"lost"`
	Leaving          bool                   `json:"leaving"`
	Position         jacinthtiller.Position `json:"position"`
	MajorityPosition jacinthtiller.Position `json:"settled"`
	Marks            int                    `json:"marks"`
	Connections      int                    `json:"connections"`
	Idle             int                    `json:"idle"`
	Admission        any                    `json:"admission"`
}

// Dump returns the state of all targets in a form that marshals to JSON.
func (o *Owner) Dump() any {
	o.mu.Lock()
	targets := make([]*target, 0, len(o.targets))
	for _, t := range o.targets {
		targets = append(targets, t)
	}
	lease := o.currentLease()
	out := struct {
		Host     string       `json:"host"`
		View     uint64       `json:"view"`
		Lease    time.Time    `json:"lease"`
		Leased   bool         `json:"leased"`
		Draining bool         `json:"draining"`
		Units    int          `json:"units"`
		Channels int          `json:"channels"`
		Targets  []targetDump `json:"targets"`
	}{
		Host: o.host, View: o.view.Index, Lease: lease.Deadline, Leased: o.leased(),
		Draining: o.draining.Load(), Units: o.units, Channels: len(o.channels),
	}
	o.mu.Unlock()
	for _, t := range targets {
		out.Targets = append(out.Targets, t.dump())
	}
	return out
}

func (t *target) dump() targetDump {
	open, idle := t.pool.size()
	t.mu.Lock()
	l := t.leadership
	d := targetDump{
		Database: t.database, Target: t.name, Epoch: t.epoch, Address: t.spec.Address, Term: t.db.Term,
		Leads: l != nil, Lost: t.lost, Leaving: t.leaving, Position: t.lastPosition,
		Connections: open, Idle: idle, Admission: t.gate.Stats(),
	}
	t.mu.Unlock()
	if l != nil {
		d.Ready, d.MajorityPosition, d.Marks = !l.readySince().IsZero(), l.replication.MajorityPosition(), l.marks.size()
	}
	return d
}
