package operator

import (
	"errors"

	"connectrpc.com/connect"
)

// refused gives an error of control its exit code.
func refused(err error) error {
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
