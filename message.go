package jacinthtiller

// RegisterResponse answers the registration of a host.
type RegisterResponse struct {
	// Index is the log index at which the host was recorded.
	Index uint64 `cbor:"index"`
}

// RenewRequest asks for a lease of the host or its renewal.
type RenewRequest struct {
	Host        string `cbor:"host"`
	Incarnation string `cbor:"incarnation"`
	// Index is the index of the view that the host has in force.
	Index uint64 `cbor:"index"`
	// Members identifies the host's list of control processes; the response contains the list if control has another one.
	Members uint64 `cbor:"members,omitempty"`
	// Acknowledged is what the host knows of acknowledged commits. It includes all those under views before Index of databases
	// that have no primary at Index.
	Acknowledged []AcknowledgedCommits `cbor:"acknowledged,omitempty"`
}

// AcknowledgedCommits bounds the newest commit that the primary of a direct group with synchronous replicas has acknowledged to a
// host in one term.
type AcknowledgedCommits struct {
	Database string `cbor:"database" json:"database"`
	// Term is the recorded term of the primary.
	Term uint64 `cbor:"term" json:"term"`
	// Certain is at or before an acknowledged commit. A target that lacks it lacks acknowledged commits.
	Certain Position `cbor:"certain" json:"certain"`
	// Possible is at or after each acknowledged commit. It may include commits that were not acknowledged.
	Possible Position `cbor:"possible" json:"possible"`
}

// RenewResponse grants the host's lease.
type RenewResponse struct {
	// LeaseMicroseconds is the duration of the lease, which the host counts from before it sent the request.
	LeaseMicroseconds int64 `cbor:"lease-microseconds"`
	// Index is the index of the leader's view; a host whose view stays behind it watches another process.
	Index uint64 `cbor:"index,omitempty"`
	// Members holds the URLs of the control processes, so that hosts whose own list is outdated find them; empty when the
	// host has this list.
	Members []string `cbor:"members,omitempty"`
	// SettledIndex is the index of a view such that no host holds a lease under an earlier view, now or later; 0 when unknown.
	SettledIndex uint64 `cbor:"settled,omitempty"`
	// Unregistered is true when the incarnation is not the registered one: the host has no lease and must register.
	Unregistered bool `cbor:"unregistered,omitempty"`
}

// ReleaseRequest ends a host's lease and its ownership of targets, at a graceful stop.
type ReleaseRequest struct {
	Host        string `cbor:"host"`
	Incarnation string `cbor:"incarnation"`
	// Acknowledged is what the host knows of acknowledged commits when it has stopped serving.
	Acknowledged []AcknowledgedCommits `cbor:"acknowledged,omitempty"`
}

// ObserveRequest reports a target whose announcement reached a host that is not its owner,
// or differs from the view.
type ObserveRequest struct {
	Host         string       `cbor:"host"`
	Announcement Announcement `cbor:"announcement"`
	// OwnerUnreachable is true when the owner in the view did not accept the announcement.
	OwnerUnreachable bool `cbor:"owner-unreachable,omitempty"`
}

// LostRequest reports that the owner cannot reach its target, and ends the ownership
// at that epoch.
type LostRequest struct {
	Host        string `cbor:"host"`
	Incarnation string `cbor:"incarnation"`
	Database    string `cbor:"database"`
	Target      string `cbor:"target"`
	Epoch       uint64 `cbor:"epoch"`
}

// OverloadReport reports that a host refuses requests for a direct group because its primary has no capacity left and its
// replicas are too far behind to take reads.
type OverloadReport struct {
	Host     string `cbor:"host"`
	Database string `cbor:"database"`
	// Primary is the primary that had no capacity.
	Primary string `cbor:"primary"`
	// Served and Refused count the requests for the database that the host has answered and refused in the last half
	// second. A guest that retries is counted again.
	Served  int `cbor:"served"`
	Refused int `cbor:"refused"`
}

// FenceRequest asks the owner of a target to fence it.
type FenceRequest struct {
	Database string `cbor:"database"`
	Target   string `cbor:"target"`
	Term     uint64 `cbor:"term"`
}

// FenceResponse gives the target's position after it was fenced.
type FenceResponse struct {
	Position Position `cbor:"position"`
}

// WaitPositionRequest asks the owner of a replica to answer when the replica
// reaches the position in the same term, or after WaitMicroseconds.
type WaitPositionRequest struct {
	Database string   `cbor:"database"`
	Target   string   `cbor:"target"`
	Position Position `cbor:"position"`
	// WaitMicroseconds bounds the wait.
	WaitMicroseconds int64 `cbor:"wait-microseconds"`
}

// WaitPositionResponse gives the replica's position when the wait ended.
type WaitPositionResponse struct {
	Position Position `cbor:"position"`
}

// MarkRequest asks the owner of a primary for the marks of guests.
type MarkRequest struct {
	Database string `cbor:"database"`
	// Guests holds the names of the guests.
	Guests []string `cbor:"guests"`
}

// MarkResponse gives, for each guest, a mark that includes all writes acknowledged to it.
type MarkResponse struct {
	// Term is the term in which the answer is valid.
	Term uint64 `cbor:"term"`
	// Marks maps each requested guest to its mark.
	Marks map[string]Position `cbor:"marks"`
	// Position is the newest position of the primary that a majority has; the age of replicas is derived from it.
	Position Position `cbor:"position"`
}

// AnnounceResponse answers an announcement.
type AnnounceResponse struct {
	// Owner is the URL of the owner host's service, which should get the next announcements; empty when unknown.
	Owner string `cbor:"owner" json:"owner"`
	// NextMilliseconds is when the next announcement is due if nothing changes; 0 means the target's own interval.
	NextMilliseconds int64 `cbor:"next-milliseconds,omitempty" json:"next-milliseconds,omitempty"`
}
