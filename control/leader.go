package control

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/jacinthtiller/jacinthtiller"
)

const (
	// scanEvery bounds the time between looks at all databases when nothing seems to have changed.
	scanEvery = time.Second
	// fenceTimeout bounds one fencing call; a call between regions takes about 25 ms.
	fenceTimeout = 250 * time.Millisecond
	// fenceRetry is the pause before a failed fencing call is repeated.
	fenceRetry = 50 * time.Millisecond
	// preferWait is how long a majority waits for the target that a planned move prefers.
	preferWait = 300 * time.Millisecond
	// moveTimeout bounds a planned move, after which the owner admits work again.
	moveTimeout = 10 * time.Second
	// bootstrapWait is how long the leader waits for a primary's announcement once
	// a majority of a new group has announced itself without one.
	bootstrapWait = 2 * time.Second
	// rebalanceAfter is how long a host must hold its lease before it takes targets from others.
	rebalanceAfter = 2 * Lease
	// surveyTimeout bounds a survey, and surveyEvery is the time between two of a database.
	surveyTimeout = 2 * time.Second
	surveyEvery   = 5 * time.Second
	// forgetAfter is how long a host that is gone and owns nothing stays in the view.
	forgetAfter = time.Hour
)

// leader makes the decisions of one term of leadership. It does no I/O and reads
// no clock: what it decides depends only on the states, events and times passed
// to it, in their order.
type leader struct {
	leases map[string]*lease
	// fences holds the open promotions by database.
	fences map[string]*fencing
	// moves holds when a planned move is cancelled, by database.
	moves map[string]time.Time
	// bootstraps holds when a new group without a primary gets one by promotion.
	bootstraps map[string]time.Time
	// surveys holds when a database may be surveyed again.
	surveys map[string]time.Time
	// forgets holds when a host that is gone is forgotten.
	forgets map[string]time.Time
	// seen is the state that the last scan looked at.
	seen *state
	// rescan asks for a scan although the state is the same.
	rescan bool
	// nextScan is when the databases are looked at whatever happened.
	nextScan time.Time
}

// fencing is the volatile part of one open promotion.
type fencing struct {
	term uint64
	// until is how long a majority waits for the preferred target.
	until time.Time
	// answers holds the positions of the targets fenced at term.
	answers map[string]jacinthtiller.Position
	// next is when a target may be asked again; zero time for one that was never asked.
	next map[string]time.Time
}

// fenceCall is an order to fence a target through its owner.
type fenceCall struct {
	database, target, url string
	term                  uint64
	// deadline bounds the call.
	deadline time.Time
}

// fenceResult is the answer to a fenceCall.
type fenceResult struct {
	fenceCall
	position jacinthtiller.Position
	err      error
}

// surveyCall asks whether a majority of the group without target holds all settled commits of the term.
type surveyCall struct {
	database, target string
	term             uint64
	// primary is the URL of the primary's owner.
	primary string
	// others maps the remaining replicas to the URLs of their owners.
	others map[string]string
	// quorum is a majority of the group without target, the primary counted.
	quorum   int
	deadline time.Time
}

// decision is what the leader wants done: commands for the log and fencing calls.
type decision struct {
	commands []Command
	fences   []fenceCall
	surveys  []surveyCall
}

func newLeader() *leader {
	return &leader{
		leases: map[string]*lease{}, fences: map[string]*fencing{}, moves: map[string]time.Time{},
		bootstraps: map[string]time.Time{}, surveys: map[string]time.Time{}, forgets: map[string]time.Time{},
	}
}

// fenced records the answer of a fencing call.
func (l *leader) fenced(r fenceResult, now time.Time) {
	f := l.fences[r.database]
	if f == nil || f.term != r.term {
		return
	}
	l.rescan = true
	if r.err != nil {
		f.next[r.target] = now.Add(fenceRetry)
		return
	}
	f.answers[r.target] = r.position
}

// step returns what to do at now.
func (l *leader) step(s *state, now time.Time) decision {
	var out decision
	l.syncLeases(s, now)
	out.commands = l.expireLeases(now)
	if s == l.seen && !l.rescan && now.Before(l.nextScan) && len(l.fences) == 0 {
		return out
	}
	l.seen, l.rescan, l.nextScan = s, false, now.Add(scanEvery)
	p := l.plan(s, now)
	for _, n := range slices.Sorted(maps.Keys(s.View.Databases)) {
		d := s.View.Databases[n]
		if d.Direct {
			continue
		}
		l.lead(s, d, now, &out)
		l.place(s, d, p, &out)
		l.survey(s, d, now, &out)
	}
	l.balance(s, p, now, &out)
	l.tidy(s, now, &out)
	l.dropStale(s)
	return out
}

// lead decides about a database's primary.
func (l *leader) lead(s *state, d jacinthtiller.Database, now time.Time, out *decision) {
	switch {
	case d.Term == 0:
		l.bootstrap(s, d, now, out)
	case d.Primary == "":
		l.fence(s, d, now, out)
	case s.replaceable(d):
		out.commands = append(out.commands, Command{Open: &openCommand{Database: d.Name, From: d.Term, Term: d.Term + 1}})
	case d.Moving != "":
		l.watchMove(d, now, out)
	case d.Targets[d.Primary].State == jacinthtiller.StateLeaving:
		if next := l.successor(d, now); next != "" {
			out.commands = append(out.commands, Command{Move: &moveCommand{Database: d.Name, Term: d.Term, Target: next}})
		}
	}
}

// replaceable reports whether the primary's owner can no longer acknowledge and
// no host of the target's domain is left to take the target over in the same term.
func (s *state) replaceable(d jacinthtiller.Database) bool {
	t := d.Targets[d.Primary]
	if !s.free(t) {
		return false
	}
	for _, h := range s.View.Hosts {
		if !h.Gone && h.Domain == t.Domain {
			return false
		}
	}
	return true
}

// bootstrap records the first primary of a new database. The announced primary
// counts only if no announced target knows a greater term, and only once a
// majority has announced itself, because any settled commit is on one of those.
func (l *leader) bootstrap(s *state, d jacinthtiller.Database, now time.Time, out *decision) {
	group := s.Announced[d.Name]
	if len(group) < d.Quorum() {
		delete(l.bootstraps, d.Name)
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
	if _, ok := l.bootstraps[d.Name]; !ok {
		l.bootstraps[d.Name] = now.Add(bootstrapWait)
	}
	if now.Before(l.bootstraps[d.Name]) {
		return
	}
	delete(l.bootstraps, d.Name)
	out.commands = append(out.commands, Command{Open: &openCommand{Database: d.Name, Term: term + 1}})
}

// fence asks the owners of all targets to fence them and, when a majority has
// answered, chooses the greatest position. A lost target does not count, since it
// could not be promoted.
func (l *leader) fence(s *state, d jacinthtiller.Database, now time.Time, out *decision) {
	f := l.fences[d.Name]
	if f == nil || f.term != d.Term {
		f = &fencing{
			term: d.Term, until: now.Add(preferWait),
			answers: map[string]jacinthtiller.Position{}, next: map[string]time.Time{},
		}
		l.fences[d.Name] = f
	}
	if best := f.best(d, now); best != "" {
		out.commands = append(out.commands, Command{Commit: &commitCommand{Database: d.Name, Term: d.Term, Target: best}})
		return
	}
	for _, n := range d.TargetNames() {
		if d.Targets[n].Lost {
			delete(f.answers, n) // it is fenced again once it is back
		}
		owner, ok := s.View.Hosts[d.Targets[n].Owner]
		if _, answered := f.answers[n]; answered || !ok || owner.Gone || now.Before(f.next[n]) {
			continue
		}
		// Until the call's own deadline only its answer allows another call.
		deadline := now.Add(fenceTimeout)
		f.next[n] = deadline.Add(fenceRetry)
		out.fences = append(out.fences, fenceCall{
			database: d.Name, target: n, url: owner.RPC, term: d.Term, deadline: deadline,
		})
	}
}

// best returns the target to promote, or nothing while the answers do not suffice.
func (f *fencing) best(d jacinthtiller.Database, now time.Time) string {
	var names []string
	for n := range f.answers {
		if t, ok := d.Targets[n]; ok && !t.Lost {
			names = append(names, n)
		}
	}
	if len(names) < d.Quorum() {
		return ""
	}
	if _, asked := f.next[d.Moving]; asked && !slices.Contains(names, d.Moving) && now.Before(f.until) {
		return ""
	}
	return slices.MinFunc(names, func(a, b string) int {
		return cmp.Or(
			f.answers[b].Compare(f.answers[a]),
			rank(d, a)-rank(d, b),
			cmp.Compare(a, b),
		)
	})
}

// rank orders targets of equal position: the one that a move prefers, then those that stay.
func rank(d jacinthtiller.Database, target string) int {
	switch {
	case d.Moving == target:
		return 0
	case d.Targets[target].State == jacinthtiller.StateLeaving:
		return 2
	}
	return 1
}

// watchMove cancels a planned move that takes too long or whose successor is no longer able to lead.
func (l *leader) watchMove(d jacinthtiller.Database, now time.Time, out *decision) {
	if _, ok := l.moves[d.Name]; !ok {
		l.moves[d.Name] = now.Add(moveTimeout)
	}
	if l.able(d.Targets[d.Moving], now) && now.Before(l.moves[d.Name]) {
		return
	}
	delete(l.moves, d.Name)
	out.commands = append(out.commands, Command{Move: &moveCommand{Database: d.Name, Term: d.Term}})
}

// able reports whether a target can become primary now.
func (l *leader) able(t jacinthtiller.Target, now time.Time) bool {
	return t.Name != "" && !t.Lost && t.State != jacinthtiller.StateLeaving && l.holdsLease(t.Owner, now)
}

// successor chooses the target that replaces a leaving primary.
func (l *leader) successor(d jacinthtiller.Database, now time.Time) string {
	for _, n := range d.TargetNames() {
		if n != d.Primary && l.able(d.Targets[n], now) {
			return n
		}
	}
	return ""
}

// plan counts what the live hosts own.
type plan struct {
	// counts maps each live host to the number of its targets, decisions of this step included.
	counts map[string]int
	// domains maps each domain to its live hosts, in order of names.
	domains map[string][]string
	// busy holds the domains in which a handover runs.
	busy map[string]bool
}

func (l *leader) plan(s *state, now time.Time) *plan {
	p := &plan{counts: map[string]int{}, domains: map[string][]string{}, busy: map[string]bool{}}
	for _, n := range slices.Sorted(maps.Keys(s.View.Hosts)) {
		h := s.View.Hosts[n]
		if !h.Gone && l.holdsLease(n, now) {
			p.counts[n] = 0
			p.domains[h.Domain] = append(p.domains[h.Domain], n)
		}
	}
	for _, d := range s.View.Databases {
		for _, t := range d.Targets {
			if _, ok := p.counts[t.Owner]; ok {
				p.counts[t.Owner]++
			}
		}
	}
	return p
}

// least returns the live host of the domain that owns the fewest targets.
func (p *plan) least(domain string) string {
	hosts := p.domains[domain]
	if len(hosts) == 0 {
		return ""
	}
	return slices.MinFunc(hosts, func(a, b string) int {
		return cmp.Or(cmp.Compare(p.counts[a], p.counts[b]), cmp.Compare(a, b))
	})
}

// most returns the live host of the domain that owns the most targets.
func (p *plan) most(domain string) string {
	return slices.MinFunc(p.domains[domain], func(a, b string) int {
		return cmp.Or(cmp.Compare(p.counts[b], p.counts[a]), cmp.Compare(a, b))
	})
}

// place gives the targets of a database that have no owner to live hosts of their domain.
func (l *leader) place(s *state, d jacinthtiller.Database, p *plan, out *decision) {
	for _, n := range d.TargetNames() {
		t := d.Targets[n]
		h, pending := s.Handovers[targetKey(d.Name, n)]
		if pending {
			p.busy[t.Domain] = true
		}
		var inForce uint64
		if e := l.leases[h.Host]; pending && e != nil {
			inForce = e.inForce
		}
		ready := s.free(t) || pending && inForce >= h.Index
		// A lost target without an owner waits until it announces itself.
		if !ready || t.Lost && t.Owner == "" {
			continue
		}
		host := p.least(t.Domain)
		if host == "" {
			continue
		}
		p.counts[host]++
		out.commands = append(out.commands, Command{Assign: &assignCommand{
			Database: d.Name, Target: n, Epoch: t.Epoch, Host: host, InForce: inForce,
		}})
	}
}

// balance starts at most one handover in each domain, from the host with the most
// targets to the one with the fewest, when they differ by at least two. A replica
// is preferred, because taking a primary from its owner holds writes up.
func (l *leader) balance(s *state, p *plan, now time.Time, out *decision) {
	for _, domain := range slices.Sorted(maps.Keys(p.domains)) {
		most, least := p.most(domain), p.least(domain)
		if p.busy[domain] || p.counts[most] < p.counts[least]+2 || now.Before(l.leases[least].grantedAt.Add(rebalanceAfter)) {
			continue
		}
		if t, ok := s.movable(most); ok {
			out.commands = append(out.commands, Command{Unassign: &unassignCommand{
				Database: t.Database, Target: t.Name, Epoch: t.Epoch,
			}})
		}
	}
}

// movable chooses the target that a host gives up to another.
func (s *state) movable(host string) (jacinthtiller.Target, bool) {
	var primary jacinthtiller.Target
	for _, n := range slices.Sorted(maps.Keys(s.View.Databases)) {
		d := s.View.Databases[n]
		if d.Primary == "" || d.Moving != "" {
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

// survey asks for the survey that allows a target that has left to be removed.
func (l *leader) survey(s *state, d jacinthtiller.Database, now time.Time, out *decision) {
	if now.Before(l.surveys[d.Name]) {
		return
	}
	for _, n := range d.TargetNames() {
		if !removable(d, d.Targets[n]) {
			continue
		}
		c := surveyCall{
			database: d.Name, target: n, term: d.Term, others: map[string]string{},
			quorum: max(d.GroupSize, len(d.Targets)-1)/2 + 1, deadline: now.Add(surveyTimeout),
		}
		for name, t := range d.Targets {
			switch owner := s.View.Hosts[t.Owner]; {
			case name == n || owner.RPC == "" || owner.Gone:
			case name == d.Primary:
				c.primary = owner.RPC
			default:
				c.others[name] = owner.RPC
			}
		}
		l.surveys[d.Name] = now.Add(surveyEvery)
		if c.primary != "" {
			out.surveys = append(out.surveys, c)
		}
		return
	}
}

// tidy forgets hosts that have been gone for long.
func (l *leader) tidy(s *state, now time.Time, out *decision) {
	for _, n := range slices.Sorted(maps.Keys(s.View.Hosts)) {
		at, ok := l.forgets[n]
		switch {
		case !s.View.Hosts[n].Gone:
			delete(l.forgets, n)
		case !ok:
			l.forgets[n] = now.Add(forgetAfter)
		case !now.Before(at):
			l.forgets[n] = now.Add(forgetAfter)
			out.commands = append(out.commands, Command{Forget: &forgetCommand{Host: n}})
		}
	}
}

// dropStale forgets the volatile parts of promotions, moves and bootstraps that have ended.
func (l *leader) dropStale(s *state) {
	maps.DeleteFunc(l.fences, func(n string, f *fencing) bool {
		d, ok := s.View.Databases[n]
		return !ok || d.Primary != "" || d.Term != f.term
	})
	maps.DeleteFunc(l.moves, func(n string, _ time.Time) bool { return s.View.Databases[n].Moving == "" })
	maps.DeleteFunc(l.bootstraps, func(n string, _ time.Time) bool { return s.View.Databases[n].Term != 0 })
	maps.DeleteFunc(l.surveys, func(n string, _ time.Time) bool { _, ok := s.View.Databases[n]; return !ok })
	maps.DeleteFunc(l.forgets, func(n string, _ time.Time) bool { return !s.View.Hosts[n].Gone })
}
