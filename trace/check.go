package trace

import (
	"fmt"
	"time"

	"github.com/jacinthtiller/jacinthtiller"
	"github.com/jacinthtiller/jacinthtiller/event"
)

// Rule names a guarantee that the checker verifies.
type Rule string

// The rules.
const (
	// RuleOnePrimary: at most one target is primary in a term.
	RuleOnePrimary Rule = "one-primary-per-term"
	// RuleReplacedPrimary: nothing is acknowledged in a term after a primary of a later term has begun to serve.
	RuleReplacedPrimary Rule = "no-acknowledgement-by-a-replaced-primary"
	// RuleReadYourWrites: a read reflects all writes acknowledged to the guest's role before the read was sent.
	RuleReadYourWrites Rule = "read-your-writes"
	// RuleMonotonicReads: the positions that a session observes never decrease.
	RuleMonotonicReads Rule = "reads-do-not-go-back"
	// RuleNotRun: a request that was answered "not run" was not acknowledged by an owner.
	RuleNotRun Rule = "not-run-did-not-run"
	// RuleNoConfigurationRollback: the indexes of a host's view and document never decrease.
	RuleNoConfigurationRollback Rule = "configuration-does-not-revert"
	// RuleOneEditPerRevision: the log accepts each revision of a section once.
	RuleOneEditPerRevision Rule = "one-edit-per-revision"
)

// Violation describes a record that breaks a rule.
type Violation struct {
	Rule   Rule
	Record Record
	Detail string
}

// String returns the rule, the location, the event and the detail.
func (v *Violation) String() string {
	return fmt.Sprintf("%s: %s: event %d %s on %s: %s", v.Rule, v.Record.Location(), v.Record.Number, v.Record.Name, v.Record.Host, v.Detail)
}

// termKey identifies a term of a database.
type termKey struct {
	database string
	number   uint64
}

// unitKey identifies a request of a session.
type unitKey struct {
	session string
	number  uint64
}

// roleKey identifies a role in a database.
type roleKey struct {
	database, role string
}

// acknowledgedWrite is a write that was acknowledged to a guest's role.
type acknowledgedWrite struct {
	answeredAt time.Time
	position   jacinthtiller.Position
}

// viewVersion identifies the view and the document that a host has in force.
type viewVersion struct {
	index, documentIndex uint64
}

// Checker checks records one at a time, in merged order. The zero value is not usable; see NewChecker.
type Checker struct {
	// primaries holds the primary of each term.
	primaries map[termKey]string
	// servingTerms holds, per database, the highest term whose primary has begun to serve.
	servingTerms map[string]uint64
	// acknowledged holds the units that an owner acknowledged, notRun those answered "not run".
	acknowledged, notRun map[unitKey]bool
	// writes holds the acknowledged writes of each role in the order of their answers; positions increase.
	writes map[roleKey][]acknowledgedWrite
	// lastPositions and lastAnswers hold each session's newest position, and the time of its last answer or login.
	lastPositions map[string]jacinthtiller.Position
	lastAnswers   map[string]time.Time
	// views holds the version that each host has in force since its last start.
	views map[string]viewVersion
	// revisionIndexes holds the log index at which each revision of a section was accepted.
	revisionIndexes map[string]uint64
}

// NewChecker returns a Checker without any records.
func NewChecker() *Checker {
	return &Checker{
		primaries: map[termKey]string{}, servingTerms: map[string]uint64{},
		acknowledged: map[unitKey]bool{}, notRun: map[unitKey]bool{},
		writes: map[roleKey][]acknowledgedWrite{}, lastPositions: map[string]jacinthtiller.Position{}, lastAnswers: map[string]time.Time{},
		views: map[string]viewVersion{}, revisionIndexes: map[string]uint64{},
	}
}

// Check checks merged records and returns the first violation, or nil when there is none.
func Check(records []Record) *Violation {
	c := NewChecker()
	for _, r := range records {
		if v := c.CheckRecord(r); v != nil {
			return v
		}
	}
	return nil
}

// CheckRecord checks one record and returns its violation, or nil when there is none.
func (c *Checker) CheckRecord(r Record) *Violation {
	switch r.Number {
	case event.ProcessStarted.Number:
		delete(c.views, r.Host)
	case event.ViewApplied.Number:
		return c.checkViewApplied(r)
	case event.ControlPromotionCommitted.Number:
		return c.checkPrimary(r, r.stringField("primary"))
	case event.LeadBegun.Number:
		return c.checkLeadBegun(r)
	case event.UnitAcknowledged.Number:
		return c.checkUnitAcknowledged(r)
	case event.GuestOpened.Number:
		c.lastAnswers[r.stringField("session")] = r.Time
	case event.UnitAnswered.Number:
		return c.checkUnitAnswered(r)
	case event.ControlSectionApplied.Number:
		return c.checkSectionApplied(r)
	}
	return nil
}

func newViolation(rule Rule, r Record, format string, args ...any) *Violation {
	return &Violation{Rule: rule, Record: r, Detail: fmt.Sprintf(format, args...)}
}

func (c *Checker) checkViewApplied(r Record) *Violation {
	current := viewVersion{index: r.numberField("index"), documentIndex: r.numberField("document")}
	previous := c.views[r.Host]
	c.views[r.Host] = current
	if current.index < previous.index || current.documentIndex < previous.documentIndex {
		return newViolation(RuleNoConfigurationRollback, r, "index %d with document %d after index %d with document %d",
			current.index, current.documentIndex, previous.index, previous.documentIndex)
	}
	return nil
}

// checkPrimary checks that a term has at most one primary; control processes and the owner report it independently.
func (c *Checker) checkPrimary(r Record, target string) *Violation {
	key := termKey{database: r.stringField("database"), number: r.numberField("term")}
	if previous, ok := c.primaries[key]; ok && previous != target {
		return newViolation(RuleOnePrimary, r, "%s leads term %d of %s, which %s leads", target, key.number, key.database, previous)
	}
	c.primaries[key] = target
	return nil
}

func (c *Checker) checkLeadBegun(r Record) *Violation {
	database := r.stringField("database")
	c.servingTerms[database] = max(c.servingTerms[database], r.numberField("term"))
	return c.checkPrimary(r, r.stringField("target"))
}

func (c *Checker) checkUnitAcknowledged(r Record) *Violation {
	database, term := r.stringField("database"), r.numberField("term")
	if term < c.servingTerms[database] {
		return newViolation(RuleReplacedPrimary, r, "acknowledged in term %d of %s; term %d has begun", term, database, c.servingTerms[database])
	}
	u := unitKey{session: r.stringField("session"), number: r.numberField("number")}
	c.acknowledged[u] = true
	if c.notRun[u] {
		return newViolation(RuleNotRun, r, "request %d of session %s was answered as not run", u.number, u.session)
	}
	return nil
}

func (c *Checker) checkUnitAnswered(r Record) *Violation {
	session := r.stringField("session")
	defer func() { c.lastAnswers[session] = r.Time }()
	u := unitKey{session: session, number: r.numberField("number")}
	if r.stringField("outcome") == string(jacinthtiller.OutcomeNotRun) && u.number > 0 {
		c.notRun[u] = true
		if c.acknowledged[u] {
			return newViolation(RuleNotRun, r, "request %d of session %s was acknowledged by its owner", u.number, session)
		}
	}
	// No rule constrains positions inside a transaction or after an error of the target.
	if r.stringField("outcome") != string(jacinthtiller.OutcomeDone) || r.stringField("status") != "I" || r.stringField("failed") != "" {
		return nil
	}
	p, err := jacinthtiller.ParsePosition(r.stringField("position"))
	if err != nil || p.IsZero() {
		return nil
	}
	if previous := c.lastPositions[session]; !p.Covers(previous) {
		return newViolation(RuleMonotonicReads, r, "session %s is at %s after %s", session, p, previous)
	}
	c.lastPositions[session] = p
	return c.checkReadYourWrites(r, session, p)
}

// checkReadYourWrites compares a read with the writes acknowledged to its role before the session got its last answer;
// the read was sent after that answer. Writes are recorded for later reads.
func (c *Checker) checkReadYourWrites(r Record, session string, p jacinthtiller.Position) *Violation {
	key := roleKey{database: r.stringField("database"), role: r.stringField("role")}
	if r.stringField("access") == string(jacinthtiller.AccessWrite) {
		c.writes[key] = append(c.writes[key], acknowledgedWrite{answeredAt: r.Time, position: p})
		return nil
	}
	lastAnswer, ok := c.lastAnswers[session]
	if !ok {
		return nil
	}
	for i := len(c.writes[key]) - 1; i >= 0; i-- {
		w := c.writes[key][i]
		if !w.answeredAt.Before(lastAnswer) {
			continue
		}
		if !p.Covers(w.position) {
			return newViolation(RuleReadYourWrites, r, "role %s read %s at %s; its write at %s was answered before", key.role, key.database, p, w.position)
		}
		return nil
	}
	return nil
}

func (c *Checker) checkSectionApplied(r Record) *Violation {
	key := fmt.Sprintf("%s/%d", r.stringField("team"), r.numberField("revision"))
	if previous, ok := c.revisionIndexes[key]; ok && previous != r.numberField("index") {
		return newViolation(RuleOneEditPerRevision, r, "revision %s was accepted at index %d and at index %d", key, previous, r.numberField("index"))
	}
	c.revisionIndexes[key] = r.numberField("index")
	return nil
}
