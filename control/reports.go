package control

import (
	"context"

	"github.com/jacinthtiller/jacinthtiller"
)

// Report takes what a target of a direct group says of itself. When it returns nil, what is new in it is durable.
func (s *Server) Report(ctx context.Context, r jacinthtiller.TargetReport) error {
	if err := r.Validate(); err != nil {
		return &jacinthtiller.InvalidError{Err: err}
	}
	if err := s.mustLead(); err != nil {
		return err
	}
	if s.direct.overtaken(r) || !s.machine.state().isNews(r) {
		return nil
	}
	if _, err := s.propose(ctx, Command{Enlist: &enlistCommand{Report: r}}); err != nil {
		return s.leadingError(err)
	}
	return nil
}

// Withdraw takes the present incarnation of a target out of its direct group.
func (s *Server) Withdraw(ctx context.Context, target string) error {
	if err := s.mustLead(); err != nil {
		return err
	}
	for _, d := range s.machine.state().View.Databases {
		t, ok := d.Targets[target]
		if !d.Direct || !ok {
			continue
		}
		c := delistCommand{Target: target, BornMilliseconds: t.BornMilliseconds}
		if _, err := s.propose(ctx, Command{Delist: &c}); err != nil {
			return s.leadingError(err)
		}
	}
	return nil
}
