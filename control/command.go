package control

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"github.com/jacinthtiller/jacinthtiller"
)

// Command is one entry of the replicated log. Exactly one of the fields is set;
// a Batch holds commands that are applied in order under one index.
type Command struct {
	Batch           []Command               `cbor:"batch,omitempty"`
	Barrier         *barrierCommand         `cbor:"barrier,omitempty"`
	Register        *registerCommand        `cbor:"register,omitempty"`
	EndLease        *endLeaseCommand        `cbor:"gone,omitempty"`
	Forget          *forgetCommand          `cbor:"forget,omitempty"`
	Observe         *observeCommand         `cbor:"observe,omitempty"`
	Assign          *assignCommand          `cbor:"assign,omitempty"`
	Unassign        *unassignCommand        `cbor:"unassign,omitempty"`
	Lost            *lostCommand            `cbor:"lost,omitempty"`
	Leave           *leaveCommand           `cbor:"leave,omitempty"`
	Remove          *removeCommand          `cbor:"remove,omitempty"`
	Bootstrap       *bootstrapCommand       `cbor:"bootstrap,omitempty"`
	Open            *openCommand            `cbor:"open,omitempty"`
	Commit          *commitCommand          `cbor:"commit,omitempty"`
	Move            *moveCommand            `cbor:"move,omitempty"`
	Section         *sectionCommand         `cbor:"section,omitempty"`
	Edition         *editionCommand         `cbor:"edition,omitempty"`
	Enlist          *enlistCommand          `cbor:"enlist,omitempty"`
	Delist          *delistCommand          `cbor:"delist,omitempty"`
	SuspendPrimary  *suspendPrimaryCommand  `cbor:"suspend-primary,omitempty"`
	ChooseCandidate *chooseCandidateCommand `cbor:"choose-candidate,omitempty"`
	RecordPrimary   *recordPrimaryCommand   `cbor:"record-primary,omitempty"`
	RenewProof      *renewProofCommand      `cbor:"renew-proof,omitempty"`
	// NoteUnrecordedHolder is ignored by control processes of earlier versions.
	NoteUnrecordedHolder *noteUnrecordedHolderCommand `cbor:"note-unrecorded-holder,omitempty"`
}

// barrierCommand changes nothing. It is decoded because leaders of earlier versions wrote it at the beginning of their
// terms.
type barrierCommand struct {
	Leader string `cbor:"leader"`
}

type registerCommand struct {
	Host jacinthtiller.Host `cbor:"host"`
}

// endLeaseCommand ends a host's registration, because its lease has ended or the host has released it.
type endLeaseCommand struct {
	Host        string `cbor:"host"`
	Incarnation string `cbor:"incarnation"`
	// Released is true when the host gave up its targets.
	Released bool `cbor:"released,omitempty"`
}

type forgetCommand struct {
	Host string `cbor:"host"`
}

type observeCommand struct {
	Host             string                     `cbor:"host"`
	Announcement     jacinthtiller.Announcement `cbor:"announcement"`
	OwnerUnreachable bool                       `cbor:"owner-unreachable,omitempty"`
}

// assignCommand makes a host the owner of a target.
type assignCommand struct {
	Database string `cbor:"database"`
	Target   string `cbor:"target"`
	// Epoch is the epoch that the assignment replaces.
	Epoch uint64 `cbor:"epoch"`
	Host  string `cbor:"host"`
	// InForce is the index that the former owner of a handover has in force; 0 outside a handover.
	InForce uint64 `cbor:"in-force,omitempty"`
}

// unassignCommand takes a target from an owner that is alive, as the first half of a handover.
type unassignCommand struct {
	Database string `cbor:"database"`
	Target   string `cbor:"target"`
	Epoch    uint64 `cbor:"epoch"`
}

type lostCommand struct {
	Host     string `cbor:"host"`
	Database string `cbor:"database"`
	Target   string `cbor:"target"`
	Epoch    uint64 `cbor:"epoch"`
}

// leaveCommand marks a target as leaving, whatever state it announces.
type leaveCommand struct {
	Database string `cbor:"database"`
	Target   string `cbor:"target"`
}

// removeCommand removes a target from its group, after a check has shown that the rest of the group holds all commits
// that a majority has stored.
type removeCommand struct {
	Database string `cbor:"database"`
	Target   string `cbor:"target"`
	// Term is the term in which the check was made.
	Term uint64 `cbor:"term"`
}

// bootstrapCommand records the announced primary of a new database.
type bootstrapCommand struct {
	Database string `cbor:"database"`
	Target   string `cbor:"target"`
	Term     uint64 `cbor:"term"`
}

// openCommand begins Term without a primary. Its preconditions are checked when it is applied, because the former owner
// may have registered again since the decision.
type openCommand struct {
	Database string `cbor:"database"`
	// From is the preceding term.
	From uint64 `cbor:"from"`
	Term uint64 `cbor:"term"`
}

type commitCommand struct {
	Database string `cbor:"database"`
	Term     uint64 `cbor:"term"`
	Target   string `cbor:"target"`
}

// moveCommand starts a planned change of primary, or cancels it when Target is empty.
type moveCommand struct {
	Database string `cbor:"database"`
	Term     uint64 `cbor:"term"`
	Target   string `cbor:"target"`
}

type sectionCommand struct {
	Team     string `cbor:"team"`
	Text     string `cbor:"text"`
	Author   string `cbor:"author"`
	Request  string `cbor:"request"`
	Replaces uint64 `cbor:"replaces"`
	// Roles are the role names in Text. They are parsed before the command is proposed, so that its result does not
	// depend on the version of the parser.
	Roles []string `cbor:"roles,omitempty"`
}

// editionCommand puts an edition in force unless the edition in force has the same number or a higher one.
type editionCommand struct {
	Edition jacinthtiller.Edition `cbor:"edition"`
	// Text is the edition as its author sent it, compressed.
	Text []byte `cbor:"text"`
}

// enlistCommand records the report of a target of a direct group.
type enlistCommand struct {
	Report jacinthtiller.TargetReport `cbor:"report"`
	// Confirmation is set when the sender was found to run although the report is older than what is recorded.
	Confirmation *confirmation `cbor:"confirmation,omitempty"`
}

// delistCommand removes a target of a direct group.
type delistCommand struct {
	Target string `cbor:"target"`
	// StartedMilliseconds identifies the incarnation that leaves.
	StartedMilliseconds int64 `cbor:"born-milliseconds"`
}

// suspendPrimaryCommand takes the primary of a direct group out of service, so that another target can be promoted.
type suspendPrimaryCommand struct {
	Database string `cbor:"database"`
	// Primary and Term are the state that the decision was based on.
	Primary string `cbor:"primary"`
	Term    uint64 `cbor:"term"`
}

// chooseCandidateCommand records the target of a direct group that is to become the primary, before the order to promote
// it is sent.
type chooseCandidateCommand struct {
	Database string `cbor:"database"`
	Term     uint64 `cbor:"term"`
	Target   string `cbor:"target"`
	// MayBeLeaving is true when the target was chosen although it is leaving, because no other one holds all acknowledged
	// commits. Otherwise a target that has begun to leave is refused.
	MayBeLeaving bool `cbor:"may-be-leaving,omitempty"`
}

// recordPrimaryCommand records the primary of a direct group.
type recordPrimaryCommand struct {
	Database string `cbor:"database"`
	// From is the term recorded before, and Term the one that the primary leads.
	From   uint64 `cbor:"from"`
	Term   uint64 `cbor:"term"`
	Target string `cbor:"target"`
	// Copies is how many other targets held all acknowledged commits when the primary was promoted; 0 when not known.
	Copies int `cbor:"copies,omitempty"`
	// OrderPending is true while another order for the target may take effect.
	OrderPending bool `cbor:"order-pending,omitempty"`
	// MarkFloor is a position that the primary has reached.
	MarkFloor jacinthtiller.Position `cbor:"floor"`
}

// renewProofCommand renews the proof of a direct group with synchronous replicas, see commitProof.
type renewProofCommand struct {
	Database string `cbor:"database"`
	// Primary, Term, Edition and ChangedIndex are the state before the leader asked the first target; with any other, the
	// command changes nothing. Edition is the number of the edition, and ChangedIndex that of the proof.
	Primary      targetIncarnation `cbor:"primary"`
	Term         uint64            `cbor:"term"`
	Edition      uint64            `cbor:"edition"`
	ChangedIndex uint64            `cbor:"changed"`
	// Absent holds the replicas that do not run.
	Absent []targetIncarnation `cbor:"absent,omitempty"`
}

// noteUnrecordedHolderCommand records that no recorded replica of a direct group holds a position that was acknowledged, see
// commitProof.Unrecorded.
type noteUnrecordedHolderCommand struct {
	Database string `cbor:"database"`
	// Term and ChangedIndex are the term and the proof before the replicas were asked; with any other, the command changes nothing.
	Term         uint64                 `cbor:"term"`
	ChangedIndex uint64                 `cbor:"changed"`
	Position     jacinthtiller.Position `cbor:"position"`
}

// resultCode classifies the result of a command.
type resultCode string

const (
	codeDone      resultCode = ""
	codeStale     resultCode = "stale"      // the preconditions no longer hold; nothing was changed
	codeBusy      resultCode = "busy"       // another incarnation of the host may still hold a lease
	codeConflict  resultCode = "conflict"   // the section has another revision
	codeReused    resultCode = "reused"     // the request id was used with other content
	codeRoleTaken resultCode = "role-taken" // another team has the role
	codeUnknown   resultCode = "unknown"    // the database or target does not exist
	codeOlder     resultCode = "older"      // the edition in force has the same number or a higher one
	codeFailed    resultCode = "unreadable" // the command could not be decoded or applied; nothing was changed
)

// commandResult is the result of applying a command, the same on every control process.
type commandResult struct {
	Code resultCode `cbor:"code,omitempty"`
	// Index is the log index of the change; for a resend, that of the first time.
	Index uint64 `cbor:"index"`
	// Revision is the section's revision after the command, or the number of the edition.
	Revision uint64 `cbor:"revision,omitempty"`
	// Names are the roles that belong to another team.
	Names []string `cbor:"names,omitempty"`
}

// encoding is canonical, so that equal states have equal bytes.
var encoding = mustEncoding()

func mustEncoding() cbor.EncMode {
	m, err := cbor.CanonicalEncOptions().EncMode()
	if err != nil {
		panic(fmt.Sprintf("cbor options: %v", err))
	}
	return m
}

func encode(v any) ([]byte, error) {
	b, err := encoding.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("encode %T: %w", v, err)
	}
	return b, nil
}

func decode(b []byte, v any) error {
	if err := cbor.Unmarshal(b, v); err != nil {
		return fmt.Errorf("decode %T: %w", v, err)
	}
	return nil
}
