package control

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/jacinthtiller/jacinthtiller"
)

const (
	// scanInterval is the longest time between scans of all databases when no change is known.
	scanInterval = time.Second
	// fenceTimeout bounds one fencing call; a call between regions takes about 25 ms.
	fenceTimeout = 250 * time.Millisecond
	// fenceRetryDelay is the delay before a failed fencing call is repeated.
	fenceRetryDelay = 50 * time.Millisecond
	// preferredTargetWait is how long a promotion with a majority waits for the target that a planned move prefers.
	preferredTargetWait = 300 * time.Millisecond
	// moveTimeout bounds a planned move, after which the owner admits work again.
	moveTimeout = 10 * time.Second
	// bootstrapWait is how long the leader waits for the announcement of a primary once a majority of a new group has
	// announced itself without one.
	bootstrapWait = 2 * time.Second
	// rebalanceDelay is how long a host must hold its lease before it takes targets from others.
	rebalanceDelay = 2 * Lease
	// removalCheckTimeout bounds a removal check, and removalCheckInterval is the time between two checks of a database.
	removalCheckTimeout  = 2 * time.Second
	removalCheckInterval = 5 * time.Second
	// hostRetention is how long a host whose lease has ended and that owns nothing stays in the view.
	hostRetention = time.Hour
)

// leader makes the decisions of one term of leadership. It does no I/O and reads no clock: its decisions depend only on
// the sequence of states, events and times passed to it.
type leader struct {
	leases map[string]*lease
	// promotions holds the open promotions by database.
	promotions map[string]*promotion
	// moveDeadlines holds when a planned move is cancelled, by database.
	moveDeadlines map[string]time.Time
	// bootstrapDeadlines holds when a new group without an announced primary gets one by promotion.
	bootstrapDeadlines map[string]time.Time
	// nextRemovalChecks holds when a database may be checked again for a target to remove.
	nextRemovalChecks map[string]time.Time
	// forgetTimes holds when a host whose lease has ended is forgotten.
	forgetTimes map[string]time.Time
	// settled is the index of a view such that no host holds or can get a lease under an earlier one; it never decreases. It
	// was computed at settledAt.
	settled   uint64
	settledAt time.Time
	// hostLossUntil is until when commits that were acknowledged to a lost host may be unknown to all others.
	hostLossUntil time.Time
	// scanned is the state at the last scan.
	scanned *state
	// needsScan requests a scan although the state is the same.
	needsScan bool
	// nextScan is when the databases are scanned even without a change.
	nextScan time.Time
}

// promotion is the volatile state of one open promotion.
type promotion struct {
	term uint64
	// preferUntil is how long a majority waits for the preferred target.
	preferUntil time.Time
	// answers holds the positions of the targets that are fenced at term.
	answers map[string]jacinthtiller.Position
	// nextCall is when a target may be called again; zero for a target that was never called.
	nextCall map[string]time.Time
}

// fenceCall is a call that fences a target through its owner.
type fenceCall struct {
	database, target, url string
	term                  uint64
	// deadline bounds the call.
	deadline time.Time
}

// fenceResult is the result of a fenceCall.
type fenceResult struct {
	fenceCall
	position jacinthtiller.Position
	err      error
}

// removalCheck checks whether a majority of the group without target holds all commits of the term that a
// majority of the group has stored.
type removalCheck struct {
	database, target string
	term             uint64
	// primary is the URL of the primary's owner.
	primary string
	// others maps the remaining replicas to the URLs of their owners.
	others map[string]string
	// quorum is a majority of the group without target, including the primary.
	quorum   int
	deadline time.Time
}

// decision is the result of one step: commands for the log, and calls to make.
type decision struct {
	commands      []Command
	fences        []fenceCall
	removalChecks []removalCheck
}

func newLeader() *leader {
	return &leader{
		leases: map[string]*lease{}, promotions: map[string]*promotion{}, moveDeadlines: map[string]time.Time{},
		bootstrapDeadlines: map[string]time.Time{}, nextRemovalChecks: map[string]time.Time{}, forgetTimes: map[string]time.Time{},
	}
}

// recordFence records the result of a fencing call.
func (l *leader) recordFence(r fenceResult, now time.Time) {
	p := l.promotions[r.database]
	if p == nil || p.term != r.term {
		return
	}
	l.needsScan = true
	if r.err != nil {
		p.nextCall[r.target] = now.Add(fenceRetryDelay)
		return
	}
	p.answers[r.target] = r.position
}

// step returns the decisions that are due at now.
func (l *leader) step(s *state, now time.Time) decision {
	var out decision
	l.syncLeases(s, now)
	out.commands = l.expireLeases(now)
	if s == l.scanned && !l.needsScan && now.Before(l.nextScan) && len(l.promotions) == 0 {
		return out
	}
	l.scanned, l.needsScan, l.nextScan = s, false, now.Add(scanInterval)
	load := l.ownerLoad(s, now)
	for _, n := range slices.Sorted(maps.Keys(s.View.Databases)) {
		d := s.View.Databases[n]
		if d.Direct {
			continue
		}
		l.decidePrimary(s, d, now, &out)
		l.assignOwners(s, d, load, &out)
		l.checkRemoval(s, d, now, &out)
	}
	l.rebalance(s, load, now, &out)
	l.forgetHosts(s, now, &out)
	l.pruneEnded(s)
	return out
}

// decidePrimary makes the decisions about a database's primary.
func (l *leader) decidePrimary(s *state, d jacinthtiller.Database, now time.Time, out *decision) {
	switch {
	case d.Term == 0:
		l.bootstrap(s, d, now, out)
	case d.Primary == "":
		l.continuePromotion(s, d, now, out)
	case s.canReplacePrimary(d):
		out.commands = append(out.commands, Command{Open: &openCommand{Database: d.Name, From: d.Term, Term: d.Term + 1}})
	case d.Successor != "":
		l.checkMove(d, now, out)
	case d.Targets[d.Primary].State == jacinthtiller.StateLeaving:
		if next := l.successor(d, now); next != "" {
			out.commands = append(out.commands, Command{Move: &moveCommand{Database: d.Name, Term: d.Term, Target: next}})
		}
	}
}

// canReplacePrimary reports whether the primary's owner can no longer acknowledge and no host of the target's domain is
// left to own the target in the same term.
func (s *state) canReplacePrimary(d jacinthtiller.Database) bool {
	primary := d.Targets[d.Primary]
	if !s.hasNoActiveOwner(primary) {
		return false
	}
	for _, h := range s.View.Hosts {
		if !h.LeaseEnded && h.Domain == primary.Domain {
			return false
		}
	}
	return true
}

// bootstrap records the first primary of a new database. The announced primary counts only if no announced target has a
// greater term, and only once a majority has announced itself, because every commit that a majority has stored
// is on at least one of that majority.
func (l *leader) bootstrap(s *state, d jacinthtiller.Database, now time.Time, out *decision) {
	group := s.Announced[d.Name]
	if len(group) < d.Quorum() {
		delete(l.bootstrapDeadlines, d.Name)
		return
	}
	var term uint64
	for _, a := range group {
		term = max(term, a.Term)
	}
	for _, n := range slices.Sorted(maps.Keys(group)) {
		a := group[n]
		if a.Role == jacinthtiller.RolePrimary && a.Term == term && !d.Targets[n].Lost {
			out.commands = append(out.commands, Command{Bootstrap: &bootstrapCommand{
				Database: d.Name, Target: n, Term: max(term, 1),
			}})
			return
		}
	}
	if _, ok := l.bootstrapDeadlines[d.Name]; !ok {
		l.bootstrapDeadlines[d.Name] = now.Add(bootstrapWait)
	}
	if now.Before(l.bootstrapDeadlines[d.Name]) {
		return
	}
	delete(l.bootstrapDeadlines, d.Name)
	out.commands = append(out.commands, Command{Open: &openCommand{Database: d.Name, Term: term + 1}})
}

// continuePromotion fences all targets through their owners and, when a majority has answered, commits the target with
// the greatest position. A lost target does not count, since it could not be promoted.
func (l *leader) continuePromotion(s *state, d jacinthtiller.Database, now time.Time, out *decision) {
	p := l.promotions[d.Name]
	if p == nil || p.term != d.Term {
		p = &promotion{
			term: d.Term, preferUntil: now.Add(preferredTargetWait),
			answers: map[string]jacinthtiller.Position{}, nextCall: map[string]time.Time{},
		}
		l.promotions[d.Name] = p
	}
	if best := p.bestTarget(d, now); best != "" {
		out.commands = append(out.commands, Command{Commit: &commitCommand{Database: d.Name, Term: d.Term, Target: best}})
		return
	}
	for _, n := range d.TargetNames() {
		if d.Targets[n].Lost {
			delete(p.answers, n) // the target is fenced again once it is back
		}
		owner, ok := s.View.Hosts[d.Targets[n].Owner]
		if _, answered := p.answers[n]; answered || !ok || owner.LeaseEnded || now.Before(p.nextCall[n]) {
			continue
		}
		// No other call is made before the deadline unless this one is answered.
		deadline := now.Add(fenceTimeout)
		p.nextCall[n] = deadline.Add(fenceRetryDelay)
		out.fences = append(out.fences, fenceCall{
			database: d.Name, target: n, url: owner.RPC, term: d.Term, deadline: deadline,
		})
	}
}

// bestTarget returns the target to promote; empty while the answers do not suffice.
func (p *promotion) bestTarget(d jacinthtiller.Database, now time.Time) string {
	var names []string
	for n := range p.answers {
		if t, ok := d.Targets[n]; ok && !t.Lost {
			names = append(names, n)
		}
	}
	if len(names) < d.Quorum() {
		return ""
	}
	if _, asked := p.nextCall[d.Successor]; asked && !slices.Contains(names, d.Successor) && now.Before(p.preferUntil) {
		return ""
	}
	return slices.MinFunc(names, func(a, b string) int {
		return cmp.Or(
			p.answers[b].Compare(p.answers[a]),
			promotionRank(d, a)-promotionRank(d, b),
			cmp.Compare(a, b),
		)
	})
}

// promotionRank orders targets of equal position: first the target that a move prefers, then targets that stay.
func promotionRank(d jacinthtiller.Database, target string) int {
	switch {
	case d.Successor == target:
		return 0
	case d.Targets[target].State == jacinthtiller.StateLeaving:
		return 2
	}
	return 1
}

// checkMove cancels a planned move that takes too long or whose successor can no longer lead.
func (l *leader) checkMove(d jacinthtiller.Database, now time.Time, out *decision) {
	if _, ok := l.moveDeadlines[d.Name]; !ok {
		l.moveDeadlines[d.Name] = now.Add(moveTimeout)
	}
	if l.canLead(d.Targets[d.Successor], now) && now.Before(l.moveDeadlines[d.Name]) {
		return
	}
	delete(l.moveDeadlines, d.Name)
	out.commands = append(out.commands, Command{Move: &moveCommand{Database: d.Name, Term: d.Term}})
}

// canLead reports whether a target can become primary now.
func (l *leader) canLead(t jacinthtiller.Target, now time.Time) bool {
	return t.Name != "" && !t.Lost && t.State != jacinthtiller.StateLeaving && l.holdsLease(t.Owner, now)
}

// successor chooses the target that replaces a leaving primary.
func (l *leader) successor(d jacinthtiller.Database, now time.Time) string {
	for _, n := range d.TargetNames() {
		if n != d.Primary && l.canLead(d.Targets[n], now) {
			return n
		}
	}
	return ""
}

// hostLoad counts the targets that the live hosts own.
type hostLoad struct {
	// counts maps each live host to the number of its targets, including the decisions of this step.
	counts map[string]int
	// domains maps each failure domain to its live hosts, sorted by name.
	domains map[string][]string
	// busy holds the domains with a handover in progress.
	busy map[string]bool
}

func (l *leader) ownerLoad(s *state, now time.Time) *hostLoad {
	load := &hostLoad{counts: map[string]int{}, domains: map[string][]string{}, busy: map[string]bool{}}
	for _, n := range slices.Sorted(maps.Keys(s.View.Hosts)) {
		h := s.View.Hosts[n]
		if !h.LeaseEnded && l.holdsLease(n, now) {
			load.counts[n] = 0
			load.domains[h.Domain] = append(load.domains[h.Domain], n)
		}
	}
	for _, d := range s.View.Databases {
		for _, t := range d.Targets {
			if _, ok := load.counts[t.Owner]; ok {
				load.counts[t.Owner]++
			}
		}
	}
	return load
}

// leastLoaded returns the live host of the domain that owns the fewest targets; empty without one.
func (p *hostLoad) leastLoaded(domain string) string {
	hosts := p.domains[domain]
	if len(hosts) == 0 {
		return ""
	}
	return slices.MinFunc(hosts, func(a, b string) int {
		return cmp.Or(cmp.Compare(p.counts[a], p.counts[b]), cmp.Compare(a, b))
	})
}

// mostLoaded returns the live host of the domain that owns the most targets.
func (p *hostLoad) mostLoaded(domain string) string {
	return slices.MinFunc(p.domains[domain], func(a, b string) int {
		return cmp.Or(cmp.Compare(p.counts[b], p.counts[a]), cmp.Compare(a, b))
	})
}

// assignOwners assigns the targets of a database that have no owner to live hosts of their domain.
func (l *leader) assignOwners(s *state, d jacinthtiller.Database, load *hostLoad, out *decision) {
	for _, n := range d.TargetNames() {
		t := d.Targets[n]
		h, pending := s.Handovers[targetKey(d.Name, n)]
		if pending {
			load.busy[t.Domain] = true
		}
		var inForce uint64
		if e := l.leases[h.Host]; pending && e != nil {
			inForce = e.inForce
		}
		ready := s.hasNoActiveOwner(t) || pending && inForce >= h.Index
		// A lost target without an owner waits until it announces itself.
		if !ready || t.Lost && t.Owner == "" {
			continue
		}
		host := load.leastLoaded(t.Domain)
		if host == "" {
			continue
		}
		load.counts[host]++
		out.commands = append(out.commands, Command{Assign: &assignCommand{
			Database: d.Name, Target: n, Epoch: t.Epoch, Host: host, InForce: inForce,
		}})
	}
}

// rebalance starts at most one handover in each domain, from the host with the most targets to the one with the fewest,
// when they differ by at least two. Replicas are preferred, because taking a primary from its owner stalls writes.
func (l *leader) rebalance(s *state, load *hostLoad, now time.Time, out *decision) {
	for _, domain := range slices.Sorted(maps.Keys(load.domains)) {
		most, least := load.mostLoaded(domain), load.leastLoaded(domain)
		if load.busy[domain] || load.counts[most] < load.counts[least]+2 || now.Before(l.leases[least].grantedAt.Add(rebalanceDelay)) {
			continue
		}
		if t, ok := s.targetToHandOver(most); ok {
			out.commands = append(out.commands, Command{Unassign: &unassignCommand{
				Database: t.Database, Target: t.Name, Epoch: t.Epoch,
			}})
		}
	}
}

// targetToHandOver chooses the target that a host hands over to another.
func (s *state) targetToHandOver(host string) (jacinthtiller.Target, bool) {
	var primary jacinthtiller.Target
	for _, n := range slices.Sorted(maps.Keys(s.View.Databases)) {
		d := s.View.Databases[n]
		if d.Primary == "" || d.Successor != "" {
			continue
		}
		for _, name := range d.TargetNames() {
			t := d.Targets[name]
			switch {
			case t.Owner != host || t.Lost:
			case name != d.Primary:
				return t, true
			case primary.Name == "":
				primary = t
			}
		}
	}
	return primary, primary.Name != ""
}

// checkRemoval requests the check that allows a target that has left to be removed.
func (l *leader) checkRemoval(s *state, d jacinthtiller.Database, now time.Time, out *decision) {
	if now.Before(l.nextRemovalChecks[d.Name]) {
		return
	}
	for _, n := range d.TargetNames() {
		if !removable(d, d.Targets[n]) {
			continue
		}
		c := removalCheck{
			database: d.Name, target: n, term: d.Term, others: map[string]string{},
			quorum: max(d.GroupSize, len(d.Targets)-1)/2 + 1, deadline: now.Add(removalCheckTimeout),
		}
		for name, t := range d.Targets {
			switch owner := s.View.Hosts[t.Owner]; {
			case name == n || owner.RPC == "" || owner.LeaseEnded:
			case name == d.Primary:
				c.primary = owner.RPC
			default:
				c.others[name] = owner.RPC
			}
		}
		l.nextRemovalChecks[d.Name] = now.Add(removalCheckInterval)
		if c.primary != "" {
			out.removalChecks = append(out.removalChecks, c)
		}
		return
	}
}

// forgetHosts removes hosts whose leases ended hostRetention ago.
func (l *leader) forgetHosts(s *state, now time.Time, out *decision) {
	for _, n := range slices.Sorted(maps.Keys(s.View.Hosts)) {
		at, ok := l.forgetTimes[n]
		switch {
		case !s.View.Hosts[n].LeaseEnded:
			delete(l.forgetTimes, n)
		case !ok:
			l.forgetTimes[n] = now.Add(hostRetention)
		case !now.Before(at):
			l.forgetTimes[n] = now.Add(hostRetention)
			out.commands = append(out.commands, Command{Forget: &forgetCommand{Host: n}})
		}
	}
}

// pruneEnded deletes the volatile state of promotions, moves and bootstraps that have ended, and of databases and hosts
// that no longer need it.
func (l *leader) pruneEnded(s *state) {
	maps.DeleteFunc(l.promotions, func(n string, p *promotion) bool {
		d, ok := s.View.Databases[n]
		return !ok || d.Primary != "" || d.Term != p.term
	})
	maps.DeleteFunc(l.moveDeadlines, func(n string, _ time.Time) bool { return s.View.Databases[n].Successor == "" })
	maps.DeleteFunc(l.bootstrapDeadlines, func(n string, _ time.Time) bool { return s.View.Databases[n].Term != 0 })
	maps.DeleteFunc(l.nextRemovalChecks, func(n string, _ time.Time) bool { _, ok := s.View.Databases[n]; return !ok })
	maps.DeleteFunc(l.forgetTimes, func(n string, _ time.Time) bool { return !s.View.Hosts[n].LeaseEnded })
}
