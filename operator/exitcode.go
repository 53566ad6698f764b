package operator

import (
	"errors"

	"connectrpc.com/connect"
)

// withExitCode wraps the error of a call to control with its exit code. Errors that already have one and plain failures
// are returned unchanged.
func withExitCode(err error) error {
	var e *exitError
	if errors.As(err, &e) {
		return err
	}
	switch connect.CodeOf(err) {
	case connect.CodeInvalidArgument, connect.CodePermissionDenied, connect.CodeFailedPrecondition, connect.CodeNotFound,
		connect.CodeAlreadyExists, connect.CodeAborted:
		return &exitError{code: ExitRefused, err: err}
	case connect.CodeDeadlineExceeded:
		return &exitError{code: ExitUnknown, err: err}
	}
	return err
}
