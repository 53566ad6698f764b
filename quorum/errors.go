package quorum

import "fmt"

// NotLeaderError reports that the request was not appended because this member does
// not lead, or that the entry was replaced and will never be applied.
type NotLeaderError struct {
	// Leader is the current leader; empty if it is not known.
	Leader string
}

// Error names the known leader.
func (e *NotLeaderError) Error() string {
	if e.Leader == "" {
		return "this member is not the leader and knows none"
	}
	return fmt.Sprintf("this member is not the leader; the leader is %q", e.Leader)
}

// UnknownOutcomeError reports that an entry may have been appended but that it is not
// known whether it is committed.
type UnknownOutcomeError struct {
	Index uint64
	Err   error
}

// Error names the index of the entry.
func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("outcome of the entry at index %d is unknown: %v", e.Index, e.Err)
}

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Err }

// ChangeError reports why a membership change was refused.
type ChangeError struct {
	Kind ChangeKind
	Name string
	// Retry is true if the same change may succeed later.
	Retry  bool
	Reason string
}

// Error names the change and the reason.
func (e *ChangeError) Error() string {
	return fmt.Sprintf("membership change %s %q refused: %s", e.Kind, e.Name, e.Reason)
}

// FolderError reports that a data folder cannot be used.
type FolderError struct {
	// File is the path of the file or folder that cannot be used.
	File string
	// Advice tells the operator what to do.
	Advice string
	Err    error
}

// Error names the file, the cause and the advice.
func (e *FolderError) Error() string { return fmt.Sprintf("%s: %v; %s", e.File, e.Err, e.Advice) }

// Unwrap returns the cause.
func (e *FolderError) Unwrap() error { return e.Err }

// ClosedError reports that the node was closed, or stopped because of Err, before
// the request was appended.
type ClosedError struct {
	// Err is nil after Close.
	Err error
}

// Error names the cause.
func (e *ClosedError) Error() string {
	if e.Err == nil {
		return "node is closed"
	}
	return fmt.Sprintf("node has stopped: %v", e.Err)
}

// Unwrap returns the cause.
func (e *ClosedError) Unwrap() error { return e.Err }
