package account

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/jacinthtiller/jacinthtiller"
)

// safeguards tells which safeguards a simulation leaves out.
type safeguards struct {
	noLease, fullStart, longLife, notSettled bool
}

const (
	simLease       = 1500 * time.Millisecond
	simLeaseMargin = simLease / 50
	simRenewal     = 400 * time.Millisecond
	simTick        = 50 * time.Millisecond
	simDeadline    = 400 * time.Millisecond
	simAccount     = "a"
)

// simStart is the time at which all simulations begin.
var simStart = time.Unix(1000, 0)

// simulation runs hosts, control and the network between them in virtual time.
type simulation struct {
	rand   *rand.Rand
	off    safeguards
	queue  eventQueue
	clock  time.Time
	serial int

	accounts map[string]jacinthtiller.Account
	hosts    []*simHost
	control  simControl
	// network holds what happens to messages between hosts.
	network simNetwork
	// uses holds the times at which operations of the account simAccount used tokens, in order.
	uses []time.Time
	// operations, refused and requests count operations, those that were refused, and requests for tokens between hosts.
	operations, refused, requests int
	// served counts the requests that each host answered.
	served map[string]int
}

// simNetwork describes the messages between hosts.
type simNetwork struct {
	// lost, late and twice are the parts of the messages with these fates.
	lost, late, twice float64
}

// simEvent is one event. It is deferred while its host is frozen, and dropped if the host was restarted since.
type simEvent struct {
	at          time.Time
	serial      int
	host        *simHost
	incarnation int
	run         func()
}

type eventQueue []simEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].serial < q[j].serial
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// simControl is the model of the control group. Its settled index is that of package control.
type simControl struct {
	views  []jacinthtiller.View
	leases map[string]*simLeaseRecord
}

type simLeaseRecord struct {
	registered, inForce uint64
	deadline            time.Time
}

func (c *simControl) view() jacinthtiller.View { return c.views[len(c.views)-1] }

// simHost is a simulated host.
type simHost struct {
	sim         *simulation
	name        string
	region      int
	incarnation int
	// rate and offset make up the host's clock.
	rate, offset float64
	running      bool
	// frozenUntil, controlCutUntil, hostsCutUntil and slowViewsUntil are the ends of the host's faults.
	frozenUntil, controlCutUntil, hostsCutUntil, slowViewsUntil time.Time
	// side is the side of a partition on which the host is.
	side int

	view    jacinthtiller.View
	admin   *administrator
	holders map[string]*holder
	waiting map[*waiter]func()
	order   []*waiter
	// demand holds the operations a second that arrive for each account.
	demand map[string]float64
}

func newSimulation(seed uint64, off safeguards, limit jacinthtiller.RateLimit) *simulation {
	s := &simulation{
		rand: rand.New(rand.NewPCG(seed, 7)), off: off, clock: simStart, served: map[string]int{},
		accounts: map[string]jacinthtiller.Account{simAccount: {Name: simAccount, Limit: &limit}},
		control:  simControl{leases: map[string]*simLeaseRecord{}},
	}
	s.control.views = []jacinthtiller.View{{Index: 1, Hosts: map[string]jacinthtiller.Host{}, Edition: s.edition()}}
	return s
}

func (s *simulation) edition() *jacinthtiller.Edition {
	return &jacinthtiller.Edition{Accounts: s.accounts}
}

func (s *simulation) spread(d time.Duration) time.Duration {
	return time.Duration(s.rand.Int64N(int64(max(d, 1))))
}

// after schedules an event; host is nil for events of control and of the schedule.
func (s *simulation) after(d time.Duration, host *simHost, run func()) {
	s.serial++
	e := simEvent{at: s.clock.Add(d), serial: s.serial, host: host, run: run}
	if host != nil {
		e.incarnation = host.incarnation
	}
	heap.Push(&s.queue, e)
}

// run runs the events of a period.
func (s *simulation) run(length time.Duration) {
	end := s.clock.Add(length)
	for len(s.queue) > 0 && !s.queue[0].at.After(end) {
		e := heap.Pop(&s.queue).(simEvent)
		s.clock = e.at
		if x := e.host; x != nil {
			if e.incarnation != x.incarnation || !x.running {
				continue
			}
			if s.clock.Before(x.frozenUntil) {
				e.at = x.frozenUntil
				heap.Push(&s.queue, e)
				continue
			}
		}
		e.run()
	}
	s.clock = end
}

// addHost adds a host, which is started by start.
func (s *simulation) addHost(region int) *simHost {
	x := &simHost{
		sim: s, name: fmt.Sprint("h", len(s.hosts)), region: region,
		rate: 0.99 + 0.02*s.rand.Float64(), offset: 1000 * s.rand.Float64(), demand: map[string]float64{},
	}
	s.hosts = append(s.hosts, x)
	return x
}

// now returns the time on the host's clock.
func (x *simHost) now() time.Time { return x.at(x.sim.clock) }

func (x *simHost) at(t time.Time) time.Time {
	return simStart.Add(time.Duration((x.offset + t.Sub(simStart).Seconds()*x.rate) * float64(time.Second)))
}

// until returns the time on the simulation's clock until a time on the host's.
func (x *simHost) until(t time.Time) time.Duration {
	return max(0, time.Duration(float64(t.Sub(x.now()))/x.rate)) + time.Microsecond // rounded up, so that the time has come
}

func (x *simHost) allowance() Allowance {
	a := DefaultAllowance()
	return a
}

func (x *simHost) lifetime() time.Duration {
	if x.sim.off.longLife {
		return time.Minute
	}
	return x.allowance().lifetime()
}

// start starts a new process of the host.
func (x *simHost) start() {
	x.incarnation++
	x.running = true
	x.view = jacinthtiller.View{}
	x.admin = newAdministrator(x.name, x.allowance(), x.sim.spread)
	x.holders, x.waiting, x.order = map[string]*holder{}, map[*waiter]func(){}, nil
	x.sim.after(0, x, x.renew)
	x.sim.after(0, x, x.watch)
	for _, name := range slices.Sorted(maps.Keys(x.sim.accounts)) {
		x.arrive(name)
	}
}

// stop ends the host's process; a planned stop releases the lease.
func (x *simHost) stop(planned bool) {
	x.running = false
	x.incarnation++
	if planned && !x.sim.clock.Before(x.controlCutUntil) {
		x.sim.control.end(x.name)
	}
}

// controlDelay is the delay of a message between the host and control; false if it is lost.
func (x *simHost) controlDelay() (time.Duration, bool) {
	d := time.Duration(1+x.sim.rand.IntN(24)) * time.Millisecond
	return d, !x.sim.clock.Before(x.controlCutUntil) && x.sim.rand.Float64() >= x.sim.network.lost
}

// renew asks for the lease and does so again after the interval.
func (x *simHost) renew() {
	x.sim.after(simRenewal-time.Duration(x.sim.rand.IntN(40))*time.Millisecond, x, x.renew)
	there, ok := x.controlDelay()
	if !ok {
		return
	}
	began, index, incarnation := x.now(), x.view.Index, fmt.Sprint(x.incarnation)
	x.sim.after(there, nil, func() {
		granted, settled := x.sim.control.renew(x.sim, x, incarnation, index)
		back, ok := x.controlDelay()
		if !ok || !granted {
			return
		}
		x.sim.after(back, x, func() {
			l := jacinthtiller.Lease{Host: x.name, Deadline: began.Add(simLease), SettledIndex: max(settled, x.admin.lease.SettledIndex)}
			if x.sim.off.noLease {
				l.Deadline = began.Add(time.Hour)
			}
			if x.sim.off.notSettled {
				l.SettledIndex = 1 << 40
			}
			now := x.now()
			if x.sim.off.fullStart && !x.admin.lease.Valid(now) {
				now = now.Add(-time.Hour)
			}
			if l.Deadline.After(x.admin.lease.Deadline) {
				x.admin.setLease(l, now)
			}
			if x.sim.off.fullStart {
				for i := range x.admin.settlements {
					x.admin.settlements[i].at = x.now().Add(-time.Hour)
				}
			}
		})
	})
}

// watch applies control's newest view, some time later.
func (x *simHost) watch() {
	x.sim.after(simTick, x, x.watch)
	d, ok := x.controlDelay()
	v := x.sim.control.view()
	if !ok || v.Index == x.view.Index {
		return
	}
	if x.sim.clock.Before(x.slowViewsUntil) {
		d += time.Duration(500+x.sim.rand.IntN(2500)) * time.Millisecond
	}
	x.sim.after(d, x, func() {
		if v.Index <= x.view.Index {
			return
		}
		x.view = v
		p := v.LimitPlacement()
		x.admin.apply(v, p, x.now())
		for name, h := range x.holders {
			h.apply(*v.Edition.Accounts[name].Limit, p.LimitAdministrators(name), fmt.Sprint(x.region))
		}
		x.wake()
	})
}

// renew answers a renewal and registers the host if it is not registered.
func (c *simControl) renew(s *simulation, x *simHost, incarnation string, index uint64) (bool, uint64) {
	h, ok := c.view().Hosts[x.name]
	if !ok || h.LeaseEnded || h.Incarnation != incarnation {
		if incarnation != fmt.Sprint(x.incarnation) {
			return false, 0 // a late message of a process that has ended
		}
		c.change(jacinthtiller.Host{Name: x.name, Link: x.name, Region: fmt.Sprint(x.region), Incarnation: incarnation, ServesAccounts: true})
		c.leases[x.name] = &simLeaseRecord{registered: c.view().Index, deadline: s.clock.Add(simLease + simLeaseMargin)}
		return false, 0
	}
	l := c.leases[x.name]
	l.inForce = max(l.inForce, index)
	if index < l.registered {
		return false, 0
	}
	l.deadline = s.clock.Add(simLease + simLeaseMargin)
	return true, c.settled()
}

// settled returns the settled index, as leader.settledIndex in package control.
func (c *simControl) settled() uint64 {
	index := c.view().Index
	for name, h := range c.view().Hosts {
		if !h.LeaseEnded {
			index = min(index, max(c.leases[name].registered, c.leases[name].inForce))
		}
	}
	return index
}

// change appends a view with the record of the host.
func (c *simControl) change(h jacinthtiller.Host) {
	v := c.view()
	v.Index++
	h.ChangedIndex = v.Index
	v.Hosts = maps.Clone(v.Hosts)
	v.Hosts[h.Name] = h
	c.views = append(c.views, v)
}

func (c *simControl) end(name string) {
	if h, ok := c.view().Hosts[name]; ok && !h.LeaseEnded {
		h.LeaseEnded = true
		c.change(h)
	}
}

// expire ends the leases that have not been renewed.
func (c *simControl) expire(s *simulation) {
	s.after(simTick, nil, func() { c.expire(s) })
	for _, name := range slices.Sorted(maps.Keys(c.leases)) {
		if !s.clock.Before(c.leases[name].deadline) {
			c.end(name)
		}
	}
}

// arrive schedules the operations of an account.
func (x *simHost) arrive(account string) {
	rate := x.demand[account]
	if rate == 0 {
		x.sim.after(100*time.Millisecond, x, func() { x.arrive(account) })
		return
	}
	pause := time.Duration(x.sim.rand.ExpFloat64() / rate * float64(time.Second))
	if pause > 200*time.Millisecond { // the demand may change; arrivals have no memory
		x.sim.after(200*time.Millisecond, x, func() { x.arrive(account) })
		return
	}
	x.sim.after(pause, x, func() {
		x.operate(account)
		x.arrive(account)
	})
}

// operate runs one operation, as Limiter.Admit does.
func (x *simHost) operate(account string) {
	if x.view.Edition == nil {
		return
	}
	s := x.sim
	s.operations++
	h := x.holders[account]
	if h == nil {
		h = newHolder(*x.view.Edition.Accounts[account].Limit, x.view.LimitPlacement().LimitAdministrators(account), fmt.Sprint(x.region))
		x.holders[account] = h
	}
	now := x.now()
	if h.admit(now) {
		x.use(account)
		x.sendDue(account, h)
		return
	}
	w := newWaiter(now.Add(simDeadline), now)
	h.add(w)
	x.order = append(x.order, w)
	x.waiting[w] = func() { x.step(account, h, w) }
	x.step(account, h, w)
}

func (x *simHost) use(account string) {
	if account == simAccount {
		x.sim.uses = append(x.sim.uses, x.sim.clock)
	}
}

func (x *simHost) sendDue(account string, h *holder) {
	if r, due := h.nextRequest(x.lifetime(), x.now()); due {
		x.send(account, h, r)
	}
}

// step is one pass through the loop of Limiter.await.
func (x *simHost) step(account string, h *holder, w *waiter) {
	if x.waiting[w] == nil {
		return
	}
	r, due := h.nextRequest(x.lifetime(), x.now())
	outcome, again := h.poll(w, x.now())
	if outcome != pollWait {
		delete(x.waiting, w)
	}
	if due {
		x.send(account, h, r)
	}
	switch outcome {
	case pollAdmitted:
		x.use(account)
	case pollRefused:
		x.sim.refused++
	default:
		x.sim.after(x.until(again), x, func() { x.step(account, h, w) })
	}
}

// wake steps the operations whose waiters were woken, in order of their arrival.
func (x *simHost) wake() {
	kept := x.order[:0]
	var woken []*waiter
	for _, w := range x.order {
		if x.waiting[w] == nil {
			continue
		}
		kept = append(kept, w)
		select {
		case <-w.ready:
			woken = append(woken, w)
		default:
		}
	}
	x.order = kept
	for _, w := range woken {
		if f := x.waiting[w]; f != nil {
			x.sim.after(0, x, f)
		}
	}
}

// send sends a request for tokens.
func (x *simHost) send(account string, h *holder, r request) {
	s := x.sim
	ask := jacinthtiller.TokenRequest{Account: account, Share: r.share, Tokens: r.tokens}
	receive := func(reply jacinthtiller.TokenReply, answered bool) {
		h.receive(r, reply, answered, x.lifetime(), s.spread, x.now())
		x.sendDue(account, h)
		x.wake()
	}
	if r.admin.Host == x.name {
		s.after(0, x, func() { receive(x.grant(ask), true) })
		return
	}
	s.requests++
	s.after(replyTimeout, x, func() { receive(jacinthtiller.TokenReply{}, false) })
	i := slices.IndexFunc(s.hosts, func(y *simHost) bool { return y.name == r.admin.Host })
	y := s.hosts[i]
	s.deliver(x, y, func() {
		s.served[y.name]++
		reply := y.grant(ask)
		s.deliver(y, x, func() { receive(reply, true) })
	})
}

func (x *simHost) grant(ask jacinthtiller.TokenRequest) jacinthtiller.TokenReply {
	reply := x.admin.grant(ask, x.now())
	if x.sim.off.longLife {
		reply.LifetimeMicroseconds = time.Hour.Microseconds()
	}
	return reply
}

// deliver passes a message from x to y, unless it is lost.
func (s *simulation) deliver(x, y *simHost, run func()) {
	n := s.network
	cut := s.clock.Before(x.hostsCutUntil) || s.clock.Before(y.hostsCutUntil) || x.side != y.side
	if cut || s.rand.Float64() < n.lost || !y.running {
		return
	}
	delay := 500 * time.Microsecond
	if x.region != y.region {
		delay = 12 * time.Millisecond
	}
	delay += time.Duration(s.rand.IntN(2000)) * time.Microsecond
	if s.rand.Float64() < n.late {
		delay += time.Duration(s.rand.IntN(800)) * time.Millisecond
	}
	s.after(delay, y, run)
	if s.rand.Float64() < n.twice {
		s.after(delay+time.Duration(s.rand.IntN(1000))*time.Millisecond, y, run)
	}
}

// exceeded returns the greatest number of uses in a window, and whether it is more than the limit allows.
func (s *simulation) exceeded() (greatest int, allowed float64) {
	l, a := *s.accounts[simAccount].Limit, DefaultAllowance()
	window := time.Duration(a.WindowSeconds * float64(time.Second))
	first := 0
	for i, t := range s.uses {
		for s.uses[first].Before(t.Add(-window)) {
			first++
		}
		greatest = max(greatest, i-first+1)
	}
	return greatest, (l.PerSecond*a.WindowSeconds+l.Burst)*(1+a.Overage) + a.Slack
}
