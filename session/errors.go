package session

import (
	"errors"
	"fmt"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/jacinthtiller/jacinthtiller"
)

// SQLSTATE codes that the session uses besides those of the root package.
const (
	codeProtocol           = "08P01" // protocol_violation
	codeTooManyConnections = "53300" // too_many_connections
	codeTooLarge           = "54000" // program_limit_exceeded
	codeAdminShutdown      = "57P01" // admin_shutdown
	codeCannotConnect      = "57P03" // cannot_connect_now
	codeCanceled           = "57014" // query_canceled
	codePassword           = "28P01" // invalid_password
	codeAuthorization      = "28000" // invalid_authorization_specification
	codeNoDatabase         = "3D000" // invalid_catalog_name
	codePrivilege          = "42501" // insufficient_privilege
	codeFailedTransaction  = "25P02" // in_failed_sql_transaction
	codeIdleTransaction    = "25P03" // idle_in_transaction_session_timeout
	codeNoStatement        = "26000" // invalid_sql_statement_name
	codeDuplicateStatement = "42P05" // duplicate_prepared_statement
	codeInvalidValue       = "22023" // invalid_parameter_value
	codeUnknownParameter   = "42704" // undefined_object
	codeEncoding           = "22021" // character_not_in_repertoire
)

// pgError is an error that is reported to the guest.
type pgError struct {
	code    string
	message string
	hint    string
	// fatal is true when the error ends the connection.
	fatal bool
}

// Error returns the message with its SQLSTATE.
func (e *pgError) Error() string { return fmt.Sprintf("%s (%s)", e.message, e.code) }

func (e *pgError) response() *pgproto3.ErrorResponse {
	severity := "ERROR"
	if e.fatal {
		severity = "FATAL"
	}
	return &pgproto3.ErrorResponse{
		Severity: severity, SeverityUnlocalized: severity,
		Code: e.code, Message: e.message, Hint: e.hint,
	}
}

func newPgError(code, format string, args ...any) *pgError {
	return &pgError{code: code, message: fmt.Sprintf(format, args...)}
}

func newFatalError(code, format string, args ...any) *pgError {
	return &pgError{code: code, message: fmt.Sprintf(format, args...), fatal: true}
}

func newUnsupportedError(message, hint string) *pgError {
	return &pgError{code: jacinthtiller.CodeNotSupported, message: message, hint: hint}
}

// pgErrorFrom returns the error that reports an outcome to the guest.
func pgErrorFrom(e *jacinthtiller.Error) *pgError { return &pgError{code: e.Code, message: e.Message} }

// asPgError finds a pgError in the chain of err.
func asPgError(err error) (*pgError, bool) {
	var pgErr *pgError
	ok := errors.As(err, &pgErr)
	return pgErr, ok
}
