package control

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"syscall"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/jacinthtiller/jacinthtiller"
	"github.com/jacinthtiller/jacinthtiller/event"
	"github.com/jacinthtiller/jacinthtiller/quorum"
)

const (
	// inspectTimeout bounds one inspection of a target; regions are 25 ms apart and a full target answers late.
	inspectTimeout = 400 * time.Millisecond
	// suspectInspectTimeout bounds an inspection of a primary that hosts cannot reach.
	suspectInspectTimeout = 250 * time.Millisecond
	// suspectInspectPause is the pause between two inspections of a suspected primary.
	suspectInspectPause = 80 * time.Millisecond
	// inspectRate is how many inspections the leader begins per second. The loss of one failure domain of the expected
	// size takes the primaries of 155 databases; all their targets, three of each, are inspected within one second.
	inspectRate = 500
	// inspectBurst is how many inspections may begin at once, so that a change of 33 primaries is not delayed.
	inspectBurst = 100
)

// directState is the leader's volatile state of direct groups.
type directState struct {
	mu sync.Mutex // guards the fields below
	// evidence holds the evidence about each database's primary.
	evidence map[string]*evidence
	// inspecting holds the databases whose primary is being inspected, and failingOver those for which a primary is
	// being sought.
	inspecting, failingOver map[string]bool
	// preparing holds the databases whose leaving primary waits for a successor.
	preparing map[string]bool
	// renewingProof holds the databases whose replicas are being inspected to renew the proof of their commits.
	renewingProof map[string]bool
	// checkingReplicas holds the databases whose replicas are being checked, replicaCheckTimes when the next check is due, and
	// refusals how many consecutive checks have found that no process listens at a replica's address.
	checkingReplicas  map[string]bool
	replicaCheckTimes map[string]time.Time
	refusals          map[targetIncarnation]int
	// leadsSince is when this process began to make decisions as the leader.
	leadsSince time.Time
	// orders holds what is known about this leader's last orders to promote, by database.
	orders map[string]pendingOrder
	// waits holds the searches for a primary that wait, by database.
	waits map[string]promotionWait
	// incarnations and newestSequences hold the newest report of each target's incarnation.
	incarnations    map[string]targetIncarnation
	newestSequences map[string]uint64
	// challenges holds the reports that contradict what is recorded, by target.
	challenges map[string]challenge
	// acknowledged holds what hosts know of acknowledged commits, by database.
	acknowledged map[string]jacinthtiller.AcknowledgedCommits
	// checkingHolders holds the databases whose replicas are being asked whether they hold acknowledged commits, holderCheckTimes
	// when that is due again, and checkedCommits up to which commit it was done.
	checkingHolders  map[string]bool
	holderCheckTimes map[string]time.Time
	checkedCommits   map[string]jacinthtiller.Position
	// causes holds why the primary of a database was taken out of service.
	causes map[string]cause
	// leaveDeadlines holds until when a leaving target may get work, on the clock of package clock. Only targets whose reports this leader has received have
	// one; the time of the others is taken as over, because another process may have acknowledged their reports long ago.
	leaveDeadlines map[targetIncarnation]time.Time
	// kept holds the leaving primary of a database that was last reported as kept.
	kept map[string]targetIncarnation
	// overloads holds the databases that hosts report as overloaded, relieving those whose targets are being inspected for
	// that, and relievedAt when the primary of a database was last changed for it.
	overloads  map[string]*overload
	relieving  map[string]bool
	relievedAt map[string]time.Time
	// suspendedAt is when this leader took a primary out of service, and changeMilliseconds how long the latest change of
	// primary took.
	suspendedAt        map[string]time.Time
	changeMilliseconds int64
}

func newDirectState() *directState {
	return &directState{
		evidence: map[string]*evidence{}, inspecting: map[string]bool{}, failingOver: map[string]bool{}, preparing: map[string]bool{},
		checkingReplicas: map[string]bool{}, replicaCheckTimes: map[string]time.Time{}, refusals: map[targetIncarnation]int{},
		acknowledged: map[string]jacinthtiller.AcknowledgedCommits{}, checkingHolders: map[string]bool{},
		holderCheckTimes: map[string]time.Time{}, checkedCommits: map[string]jacinthtiller.Position{},
		renewingProof: map[string]bool{}, orders: map[string]pendingOrder{}, waits: map[string]promotionWait{},
		incarnations: map[string]targetIncarnation{}, newestSequences: map[string]uint64{}, challenges: map[string]challenge{}, causes: map[string]cause{},
		overloads: map[string]*overload{}, relieving: map[string]bool{}, relievedAt: map[string]time.Time{},
		leaveDeadlines: map[targetIncarnation]time.Time{}, kept: map[string]targetIncarnation{},
		suspendedAt: map[string]time.Time{}, changeMilliseconds: assumedChangeMilliseconds,
	}
}

// reset discards the state of an earlier term of leadership.
func (x *directState) reset() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.leadsSince = time.Now()
	clear(x.evidence)
	clear(x.incarnations)
	clear(x.newestSequences)
	clear(x.challenges)
	clear(x.acknowledged)
	clear(x.holderCheckTimes)
	clear(x.checkedCommits)
	clear(x.causes)
	clear(x.leaveDeadlines)
	clear(x.kept)
	clear(x.overloads)
	clear(x.suspendedAt)
	clear(x.waits)
	clear(x.orders)
	clear(x.replicaCheckTimes)
	clear(x.refusals)
}

// isOutOfOrder reports whether a later report of the incarnation has arrived already.
func (x *directState) isOutOfOrder(r jacinthtiller.TargetReport) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.incarnations[r.Target] == incarnationOf(targetFromReport(r)) && r.Sequence < x.newestSequences[r.Target]
}

// setNewest makes a report the newest one of its target.
func (x *directState) setNewest(r jacinthtiller.TargetReport) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.incarnations[r.Target], x.newestSequences[r.Target] = incarnationOf(targetFromReport(r)), r.Sequence
}

// asNotLeadingError converts the log's NotLeaderError to the error for callers in this program.
func (s *Server) asNotLeadingError(err error) error {
	var n *quorum.NotLeaderError
	if errors.As(err, &n) {
		return &jacinthtiller.NotLeadingError{URL: s.url(n.Leader)}
	}
	return err
}

// requireLeader returns an error unless this process leads.
func (s *Server) requireLeader() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leader != nil {
		return nil
	}
	leader, _, _ := s.node.Leadership()
	if leader == s.name {
		leader = "" // elected, but not ready yet
	}
	return &jacinthtiller.NotLeadingError{URL: s.url(leader)}
}

// confirmLeadership returns nil once a quorum has confirmed that this process leads, in a round that began after the
// call.
func (s *Server) confirmLeadership(ctx context.Context) error {
	if err := s.requireLeader(); err != nil {
		return err
	}
	if err := s.confirmer.wait(ctx); err != nil {
		return s.asNotLeadingError(err)
	}
	return s.requireLeader()
}

// recordSuspicion records a host's report that it cannot reach the primary of a direct group.
func (s *Server) recordSuspicion(database, target, host string, now time.Time) {
	x := s.direct
	x.mu.Lock()
	defer x.mu.Unlock()
	e := x.evidence[database]
	if e == nil || e.target != target {
		e = &evidence{target: target, suspicions: map[string]time.Time{}}
		x.evidence[database] = e
	}
	e.suspicions[host] = now
}

// manageDirectGroups makes the decisions about direct groups and starts the tasks that they need. It is called by the
// leader's loop.
func (s *Server) manageDirectGroups(ctx context.Context, wg *conc.WaitGroup, term uint64, st *state) {
	now := time.Now()
	for _, d := range st.View.Databases {
		if !d.Direct {
			continue
		}
		if d.Primary == "" {
			if s.startTask(s.direct.failingOver, d.Name) {
				s.runAsync(wg, "find a primary", func() { s.failOver(ctx, wg, term, d.Name) })
			}
			continue
		}
		s.checkPrimary(ctx, wg, d, now)
		s.checkProof(ctx, wg, st, d)
		s.checkReplicas(ctx, wg, st, d, now)
		s.checkHolders(ctx, wg, st, d, now)
	}
}

// startTask marks a database's task as running and reports whether it was not running.
func (s *Server) startTask(running map[string]bool, database string) bool {
	s.direct.mu.Lock()
	defer s.direct.mu.Unlock()
	if running[database] {
		return false
	}
	running[database] = true
	return true
}

func (s *Server) finishTask(running map[string]bool, database string) {
	s.direct.mu.Lock()
	defer s.direct.mu.Unlock()
	delete(running, database)
}

// checkPrimary suspends a primary that has to be replaced, and inspects a suspected one.
func (s *Server) checkPrimary(ctx context.Context, wg *conc.WaitGroup, d jacinthtiller.Database, now time.Time) {
	hosts := s.gatewaysWithLease(d, now)
	x := s.direct
	x.mu.Lock()
	e, leaveEnded := x.evidence[d.Name], x.leaveEnded(d.Targets[d.Primary])
	replaceCause := replacementCause(d, e, hosts, leaveEnded, now)
	suspected := e != nil && e.target == d.Primary && e.suspectingHosts(now) > 0
	x.mu.Unlock()
	if replaceCause == causeLeaving && !leaveEnded {
		if s.startTask(x.preparing, d.Name) {
			s.runAsync(wg, "look for the successor of a leaving primary", func() { s.prepareChange(ctx, d) })
		}
		return
	}
	if replaceCause != causeNone {
		s.replacePrimary(ctx, d, replaceCause, hosts, now)
		return
	}
	s.reportKept(d)
	s.checkOverload(ctx, wg, d, now)
	reportsReplica := d.Targets[d.Primary].Role == jacinthtiller.RoleReplica
	if (suspected || reportsReplica) && s.startTask(x.inspecting, d.Name) {
		s.runAsync(wg, "inspect a suspected primary", func() { s.inspectPrimary(ctx, d) })
	}
}

// replacePrimary takes a primary out of service for the cause, so that another target is sought.
func (s *Server) replacePrimary(ctx context.Context, d jacinthtiller.Database, c cause, hosts int, now time.Time) {
	x := s.direct
	x.mu.Lock()
	f := event.Fields{"database": d.Name, "target": d.Primary, "term": d.Term, "cause": string(c), "hosts": hosts}
	if e := x.evidence[d.Name]; e != nil {
		f["suspecting"], f["refusals"], f["silences"] = e.suspectingHosts(now), e.refusals, e.timeouts
	}
	x.causes[d.Name] = c
	delete(x.evidence, d.Name)
	x.mu.Unlock()
	s.events.Emit(event.ControlPrimaryAssessed, f)
	s.suspendPrimary(ctx, d)
}

// suspendPrimary takes a primary out of service.
func (s *Server) suspendPrimary(ctx context.Context, d jacinthtiller.Database) {
	s.direct.mu.Lock()
	s.direct.suspendedAt[d.Name] = time.Now()
	s.direct.mu.Unlock()
	c := suspendPrimaryCommand{Database: d.Name, Primary: d.Primary, Term: d.Term}
	if !s.proposeBatch(ctx, []Command{{SuspendPrimary: &c}}) {
		s.direct.mu.Lock()
		defer s.direct.mu.Unlock()
		delete(s.direct.causes, d.Name)
	}
}

// gatewaysWithLease counts the hosts that hold a lease and connect to the primary directly; only these can notice that
// the primary is unreachable.
func (s *Server) gatewaysWithLease(d jacinthtiller.Database, now time.Time) int {
	s.direct.mu.Lock()
	hasEvidence := s.direct.evidence[d.Name] != nil
	s.direct.mu.Unlock()
	if !hasEvidence {
		return 0 // without evidence the number is not used
	}
	v := s.machine.state().View
	gateways := v.Placement().Gateways(d.Targets[d.Primary], v.Connections(d.Name))
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, h := range gateways {
		if s.leader != nil && s.leader.holdsLease(h.Name, now) {
			n++
		}
	}
	return n
}

// inspectPrimary inspects a suspected primary once and records the answer as evidence.
func (s *Server) inspectPrimary(ctx context.Context, d jacinthtiller.Database) {
	defer s.finishTask(s.direct.inspecting, d.Name)
	t := d.Targets[d.Primary]
	status, err := s.inspect(ctx, t, suspectInspectTimeout)
	s.recordInspection(d, status, err)
	s.sleep(suspectInspectPause)
}

// recordInspection adds the result of an inspection to the evidence about a primary.
func (s *Server) recordInspection(d jacinthtiller.Database, status jacinthtiller.TargetStatus, err error) {
	x := s.direct
	x.mu.Lock()
	defer x.mu.Unlock()
	e := x.evidence[d.Name]
	if e == nil || e.target != d.Primary {
		e = &evidence{target: d.Primary, suspicions: map[string]time.Time{}}
		x.evidence[d.Name] = e
	}
	var refused *jacinthtiller.TargetError
	switch {
	case err == nil:
		e.answered, e.role, e.refusals, e.timeouts = true, status.Role, 0, 0
	case errors.As(err, &refused) && refused.Code != jacinthtiller.ErrorCodeWrongTarget:
		e.answered, e.role, e.refusals, e.timeouts = true, jacinthtiller.RolePrimary, 0, 0 // too busy to return its state
	case errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET) || refused != nil:
		e.answered = false
		e.refusals++
	default:
		e.answered = false
		e.timeouts++
	}
}

// inspect asks a target for its state. The timeout does not include the wait for the rate limit, which is long when
// hundreds of databases look for a primary at the same time.
func (s *Server) inspect(ctx context.Context, t jacinthtiller.Target, timeout time.Duration) (jacinthtiller.TargetStatus, error) {
	if err := s.inspectLimiter.Wait(ctx); err != nil {
		return jacinthtiller.TargetStatus{}, fmt.Errorf("wait to inspect target %s: %w", t.Name, err)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	status, err := s.inspector.Inspect(ctx, t)
	if err != nil {
		return status, fmt.Errorf("inspect target %s: %w", t.Name, err)
	}
	return status, nil
}

// inspectTargets inspects targets of a direct group concurrently.
func (s *Server) inspectTargets(ctx context.Context, d jacinthtiller.Database, targets []jacinthtiller.Target) targetStatuses {
	out := targetStatuses{}
	var mu sync.Mutex
	var group conc.WaitGroup
	for _, t := range targets {
		s.runAsync(&group, "inspect a target", func() {
			status, err := s.inspect(ctx, t, inspectTimeout)
			if err != nil {
				s.events.Emit(event.ControlInspectFailed, event.Fields{"database": d.Name, "target": t.Name, "error": err.Error()})
				return
			}
			mu.Lock()
			defer mu.Unlock()
			out[t.Name] = status
		})
	}
	group.Wait()
	return out
}
