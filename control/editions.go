package control

import (
	"context"
	"errors"
	"fmt"

	"github.com/jacinthtiller/jacinthtiller"
	"github.com/jacinthtiller/jacinthtiller/event"
)

// ApplyEdition puts an edition in force, or accepts it without effect when its number is not higher than that of the
// one in force. When ApplyEdition returns nil the outcome is durable.
func (s *Server) ApplyEdition(ctx context.Context, e jacinthtiller.Edition, text []byte) error {
	if err := e.Validate(); err != nil {
		s.events.Emit(event.ControlEditionRefused, event.Fields{"number": e.Number, "fault": err.Error()})
		return &jacinthtiller.InvalidError{Err: err}
	}
	if err := s.requireLeader(); err != nil {
		return err
	}
	compressed, err := compress(text)
	if err != nil {
		return err
	}
	if _, err := s.propose(ctx, Command{Edition: &editionCommand{Edition: e, Text: compressed}}); err != nil {
		return s.asNotLeadingError(fmt.Errorf("put edition %d in force: %w", e.Number, err))
	}
	return nil
}

// EditionText returns the newest edition as its author sent it; nil when there is none.
func (s *Server) EditionText(ctx context.Context) ([]byte, error) {
	if err := s.confirmLeadership(ctx); err != nil {
		return nil, err
	}
	text := s.machine.state().EditionText
	if text == nil {
		return nil, nil
	}
	return decompress(text)
}

// errCommandFailed reports that the replicated state machine failed to apply a command.
var errCommandFailed = errors.New("the command has a fault")
