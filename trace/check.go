package trace

import (
	"fmt"
	"time"

	"github.com/jacinthtiller/jacinthtiller"
	"github.com/jacinthtiller/jacinthtiller/event"
)

// Rule names a guarantee that a trace is judged by.
type Rule string

// The rules.
const (
	// RuleOnePrimary: one target is primary in a term.
	RuleOnePrimary Rule = "one-primary-per-term"
	// RuleReplaced: nothing is acknowledged in a term after a primary of a later term has begun to serve.
	RuleReplaced Rule = "no-acknowledgement-by-a-replaced-primary"
	// RuleReadYourWrites: a read shows all writes acknowledged to the guest's role before the read was sent.
	RuleReadYourWrites Rule = "read-your-writes"
	// RuleMonotonic: the positions that a session has seen do not go back.
	RuleMonotonic Rule = "reads-do-not-go-back"
	// RuleNotRun: a request that was answered "not run" was not acknowledged by an owner.
	RuleNotRun Rule = "not-run-did-not-run"
	// RuleConfiguration: a host's view and its document do not go back, and a section's revision is accepted once.
	RuleConfiguration Rule = "configuration-does-not-revert"
	// RuleRevision: the log accepts each revision of a section once.
	RuleRevision Rule = "one-edit-per-revision"
)

// Violation is the event that breaks a rule.
type Violation struct {
	Rule   Rule
	Record Record
	Detail string
}

// String names the rule, the place and what is wrong.
func (v *Violation) String() string {
	return fmt.Sprintf("%s: %s: event %d %s on %s: %s", v.Rule, v.Record.Place(), v.Record.Number, v.Record.Name, v.Record.Host, v.Detail)
}

// term identifies a term of a database.
type term struct {
	database string
	number   uint64
}

// unit identifies a request of a session.
type unit struct {
	session string
	number  uint64
}

// guest identifies a role in a database.
type guest struct {
	database, role string
}

// acknowledgement is a write that a guest's role was told of.
type acknowledgement struct {
	at       time.Time
	position jacinthtiller.Position
}

// view is what a host has in force.
type view struct {
	index, document uint64
}

// Checker judges records one after another, in merged order. The zero value is not usable; see NewChecker.
type Checker struct {
	// primaries holds the target that leads each term.
	primaries map[term]string
	// serving holds the greatest term that has begun to serve, per database.
	serving map[string]uint64
	// acknowledged holds the units that an owner acknowledged, refused those answered "not run".
	acknowledged, refused map[unit]bool
	// writes holds the acknowledged writes of each role in the order of their answers; positions grow.
	writes map[guest][]acknowledgement
	// seen and since are a session's newest position and the time of its last answer.
	seen  map[string]jacinthtiller.Position
	since map[string]time.Time
	// views holds what each host has in force since its last start.
	views map[string]view
	// sections holds the log index at which each revision of a section was accepted.
	sections map[string]uint64
}

// NewChecker returns a Checker that has seen nothing.
func NewChecker() *Checker {
	return &Checker{
		primaries: map[term]string{}, serving: map[string]uint64{},
		acknowledged: map[unit]bool{}, refused: map[unit]bool{},
		writes: map[guest][]acknowledgement{}, seen: map[string]jacinthtiller.Position{}, since: map[string]time.Time{},
		views: map[string]view{}, sections: map[string]uint64{},
	}
}

// Check judges merged records and returns the first violation, nil when there is none.
func Check(records []Record) *Violation {
	c := NewChecker()
	for _, r := range records {
		if v := c.Step(r); v != nil {
			return v
		}
	}
	return nil
}

// Step judges one record.
func (c *Checker) Step(r Record) *Violation {
	switch r.Number {
	case event.ProcessStarted.Number:
		delete(c.views, r.Host)
	case event.ViewApplied.Number:
		return c.viewApplied(r)
	case event.ControlPromotionCommitted.Number:
		return c.primary(r, r.text("primary"))
	case event.LeadBegun.Number:
		return c.leadBegun(r)
	case event.UnitAcknowledged.Number:
		return c.unitAcknowledged(r)
	case event.GuestOpened.Number:
		c.since[r.text("session")] = r.Time
	case event.UnitAnswered.Number:
		return c.unitAnswered(r)
	case event.ControlSectionApplied.Number:
		return c.sectionApplied(r)
	}
	return nil
}

func broken(rule Rule, r Record, format string, args ...any) *Violation {
	return &Violation{Rule: rule, Record: r, Detail: fmt.Sprintf(format, args...)}
}

func (c *Checker) viewApplied(r Record) *Violation {
	now := view{index: r.number("index"), document: r.number("document")}
	was := c.views[r.Host]
	c.views[r.Host] = now
	if now.index < was.index || now.document < was.document {
		return broken(RuleConfiguration, r, "index %d with document %d after index %d with document %d",
			now.index, now.document, was.index, was.document)
	}
	return nil
}

// primary judges who leads a term; control processes and the owner say it independently.
func (c *Checker) primary(r Record, target string) *Violation {
	key := term{database: r.text("database"), number: r.number("term")}
	if was, ok := c.primaries[key]; ok && was != target {
		return broken(RuleOnePrimary, r, "%s leads term %d of %s, which %s leads", target, key.number, key.database, was)
	}
	c.primaries[key] = target
	return nil
}

func (c *Checker) leadBegun(r Record) *Violation {
	database := r.text("database")
	c.serving[database] = max(c.serving[database], r.number("term"))
	return c.primary(r, r.text("target"))
}

func (c *Checker) unitAcknowledged(r Record) *Violation {
	database, n := r.text("database"), r.number("term")
	if n < c.serving[database] {
		return broken(RuleReplaced, r, "acknowledged in term %d of %s; term %d has begun", n, database, c.serving[database])
	}
	u := unit{session: r.text("session"), number: r.number("number")}
	c.acknowledged[u] = true
	if c.refused[u] {
		return broken(RuleNotRun, r, "request %d of session %s was answered as not run", u.number, u.session)
	}
	return nil
}

func (c *Checker) unitAnswered(r Record) *Violation {
	session := r.text("session")
	defer func() { c.since[session] = r.Time }()
	u := unit{session: session, number: r.number("number")}
	if r.text("outcome") == string(jacinthtiller.OutcomeNotRun) && u.number > 0 {
		c.refused[u] = true
		if c.acknowledged[u] {
			return broken(RuleNotRun, r, "request %d of session %s was acknowledged by its owner", u.number, session)
		}
	}
	// Inside a transaction and after an error of the target, nothing is said of positions.
	if r.text("outcome") != string(jacinthtiller.OutcomeDone) || r.text("status") != "I" || r.text("failed") != "" {
		return nil
	}
	p, err := jacinthtiller.ParsePosition(r.text("position"))
	if err != nil || p.IsZero() {
		return nil
	}
	if was := c.seen[session]; !p.Covers(was) {
		return broken(RuleMonotonic, r, "session %s is at %s after %s", session, p, was)
	}
	c.seen[session] = p
	return c.positionAnswered(r, session, p)
}

// positionAnswered compares a read with the writes that its role had been told of when the
// session got its last answer; the read was sent after that.
func (c *Checker) positionAnswered(r Record, session string, p jacinthtiller.Position) *Violation {
	key := guest{database: r.text("database"), role: r.text("role")}
	if r.text("access") == string(jacinthtiller.AccessWrite) {
		c.writes[key] = append(c.writes[key], acknowledgement{at: r.Time, position: p})
		return nil
	}
	since, ok := c.since[session]
	if !ok {
		return nil
	}
	for i := len(c.writes[key]) - 1; i >= 0; i-- {
		w := c.writes[key][i]
		if !w.at.Before(since) {
			continue
		}
		if !p.Covers(w.position) {
			return broken(RuleReadYourWrites, r, "role %s read %s at %s; its write at %s was answered before", key.role, key.database, p, w.position)
		}
		return nil
	}
	return nil
}

func (c *Checker) sectionApplied(r Record) *Violation {
	key := fmt.Sprintf("%s/%d", r.text("team"), r.number("revision"))
	if was, ok := c.sections[key]; ok && was != r.number("index") {
		return broken(RuleRevision, r, "revision %s was accepted at index %d and at index %d", key, was, r.number("index"))
	}
	c.sections[key] = r.number("index")
	return nil
}
