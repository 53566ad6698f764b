package capacity_test

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"time"

	"github.com/jacinthtiller/jacinthtiller/capacity"
)

// server is a simulated target. Statements beyond its slots wait in order of arrival.
type server struct {
	slots int
	// speed is the speed at a time in seconds; 1 for the others' reference.
	speed func(at float64) float64
	// drag is by how much each running statement above half of the slots slows a statement down that begins.
	drag func(at float64) float64

	running int
	queue   []*statement
}

// bestRate returns the greatest work in seconds that the server does in a second with the best number in flight.
func (s *server) bestRate(at float64) float64 {
	best := 0.0
	for n := 1; n <= s.slots; n++ {
		best = max(best, float64(n)/s.stretch(n, at))
	}
	return best
}

// stretch returns the time that work takes with n statements running, relative to the reference.
func (s *server) stretch(n int, at float64) float64 {
	return (1 + s.drag(at)*max(0, float64(n)-float64(s.slots)/2)) / s.speed(at)
}

// statement is one simulated statement. Times are in seconds.
type statement struct {
	class           string
	work            float64
	urgent          bool
	arrived, sentAt float64
	host            *host
	via             *gateway
	began           time.Time
}

// gateway keeps the queue of one host for one target.
type gateway struct {
	target  int
	queues  [2][]*statement // urgent ones first
	running int
	places  int
	// limit is nil with today's rule.
	limit  *capacity.Limit
	change capacity.Change
}

// host chooses the target of its guests' statements as package pool does.
type host struct {
	name    int
	latency []float64
	updated []float64
	load    []int
	// gateways holds those that the host uses, one for each target, and own whether it is that gateway itself.
	gateways []*gateway
	own      []bool
}

// load is one simulated load.
type load struct {
	servers         []*server
	hosts, gateways int
	// learning is the number of hosts that learn, the first ones; the others use today's rule.
	learning int
	// percent is the demand relative to what the servers can do at best at the time zero, and mix the shares of the classes.
	percent float64
	rate    func(at float64) float64 // overrides percent when not nil, in statements a second
	mix     func(at float64) [3]float64
	seconds float64
	seed    uint64
}

// result is what a load measured. done is the work done in each tenth of a second, and limits the sum of the limits of each
// target at its end.
type result struct {
	done []float64
	// offered is the work of the statements that arrived in each tenth of a second.
	offered []float64
	limits  [][]float64
	urgent  []float64 // response times of urgent statements
	refused int
	changes []capacity.Change
}

var (
	classNames = [3]string{"short", "medium", "long"}
	classWork  = [3]float64{0.006, 0.018, 0.030}
	start      = time.Unix(1_000_000, 0)
)

const (
	admissionSeconds = 0.45
	linkSeconds      = 0.0005
	bucketSeconds    = 0.1
	unknownLatency   = 0.020
)

type occurrence struct {
	at       float64
	sequence int
	do       func()
}

type agenda []occurrence

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].sequence < a[j].sequence
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)   { *a = append(*a, x.(occurrence)) }
func (a *agenda) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// model plays a load.
type model struct {
	load
	agenda   agenda
	sequence int
	now      float64
	random   *rand.Rand
	all      [][]*gateway // by target
	out      result
}

func (m *model) after(seconds float64, do func()) {
	m.sequence++
	heap.Push(&m.agenda, occurrence{m.now + seconds, m.sequence, do})
}

func (m *model) time() time.Time { return start.Add(time.Duration(m.now * float64(time.Second))) }

func (l load) run() result {
	m := &model{load: l, random: rand.New(rand.NewPCG(l.seed, 1))}
	n := len(l.servers)
	hosts := make([]*host, l.hosts)
	for i := range hosts {
		hosts[i] = &host{name: i, latency: make([]float64, n), updated: make([]float64, n), load: make([]int, n)}
	}
	for t, s := range l.servers {
		var list []*gateway
		reported := l.reported(t)
		for i := range l.gateways {
			g := &gateway{target: t, places: reported}
			// The learning hosts are spread over the gateways of all targets.
			if i*l.hosts/l.gateways < l.learning {
				g.limit = capacity.New(capacity.Share{
					Reported: float64(reported), Slots: float64(s.slots) / float64(l.gateways), Salt: uint64(t)*1237 + l.seed*250, // each seed has another phase of trials to a change

				}, m.time())
			}
			list = append(list, g)
		}
		m.all = append(m.all, list)
		for i, h := range hosts {
			h.gateways = append(h.gateways, list[(i+t)%l.gateways])
			h.own = append(h.own, i < l.gateways)
		}
	}
	var arrive func()
	arrive = func() {
		m.submit(hosts[m.random.IntN(len(hosts))])
		m.after(m.random.ExpFloat64()/m.demand(), arrive)
	}
	var tick func()
	tick = func() {
		var sums []float64
		for t := range m.all {
			sum := 0.0
			for _, g := range m.all[t] {
				if g.limit != nil {
					sum += g.limit.Value()
				}
			}
			sums = append(sums, sum)
		}
		m.out.limits = append(m.out.limits, sums)
		m.out.done = append(m.out.done, 0)
		m.out.offered = append(m.out.offered, 0)
		m.after(bucketSeconds, tick)
	}
	m.after(0, tick)
	m.after(0, arrive)
	for m.now < l.seconds {
		next := heap.Pop(&m.agenda).(occurrence)
		m.now = next.at
		next.do()
	}
	return m.out
}

func (m *model) meanWork() float64 {
	mean := 0.0
	for i, p := range m.mix(m.now) {
		mean += p * classWork[i]
	}
	return mean
}

// reported returns a gateway's limit by today's rule.
func (l load) reported(target int) int {
	return max(2, (2*l.servers[target].slots+l.gateways-1)/l.gateways)
}

// demand returns the statements a second.
func (m *model) demand() float64 {
	if m.rate != nil {
		return m.rate(m.now)
	}
	return m.best(0) * m.percent / 100 / m.meanWork()
}

// best returns the work that an oracle gets out of the servers.
func (l load) best(at float64) float64 {
	sum := 0.0
	for _, s := range l.servers {
		sum += s.bestRate(at)
	}
	return sum
}

func (m *model) submit(h *host) {
	s := &statement{arrived: m.now, host: h, urgent: m.random.IntN(10) == 0}
	mix, p, i := m.mix(m.now), m.random.Float64(), 0
	for i < 2 && p >= mix[i] {
		p -= mix[i]
		i++
	}
	s.class, s.work = classNames[i], classWork[i]*(0.5+m.random.Float64())
	m.out.offered[len(m.out.offered)-1] += s.work
	t := m.choose(h)
	h.load[t]++
	s.via = h.gateways[t]
	delay := 0.0
	if !h.own[t] {
		delay = 2 * linkSeconds
	}
	m.after(delay, func() {
		q := 1
		if s.urgent {
			q = 0
		}
		s.via.queues[q] = append(s.via.queues[q], s)
		m.dispatch(s.via)
	})
}

// choose returns the target with the least cost, as Pool.Choose does for targets of one failure domain.
func (m *model) choose(h *host) int {
	best, least := 0, math.Inf(1)
	for t := range m.servers {
		latency := unknownLatency
		if l := h.latency[t]; l > 0 {
			excess := max(0, l-unknownLatency)
			latency = l - excess + excess*math.Exp(-(m.now-h.updated[t])/2)
		}
		limit := float64(m.reported(t))
		if g := h.gateways[t]; h.own[t] && g.limit != nil {
			limit = g.limit.Value()
		}
		if cost := latency + latency*float64(h.load[t])/limit; cost < least {
			best, least = t, cost
		}
	}
	return best
}

// dispatch sends statements to the target while there are places.
func (m *model) dispatch(g *gateway) {
	m.updatePlaces(g)
	for g.running < g.places {
		s := g.next()
		if s == nil {
			return
		}
		if m.now-s.arrived > admissionSeconds {
			m.out.refused++
			s.host.load[g.target]--
			continue
		}
		g.running++
		s.sentAt, s.began = m.now, m.time()
		if g.limit != nil {
			g.limit.Begin(s.began)
			m.updatePlaces(g)
		}
		m.after(linkSeconds, func() {
			server := m.servers[g.target]
			server.queue = append(server.queue, s)
			m.serve(server)
		})
	}
}

func (g *gateway) next() *statement {
	for i := range g.queues {
		if len(g.queues[i]) > 0 {
			s := g.queues[i][0]
			g.queues[i] = g.queues[i][1:]
			return s
		}
	}
	return nil
}

func (m *model) updatePlaces(g *gateway) {
	if g.limit == nil {
		return
	}
	places, growsAt := g.limit.Places(m.time())
	g.places = places
	if c := g.limit.Change(); c != g.change {
		g.change = c
		m.out.changes = append(m.out.changes, c)
	}
	if !growsAt.IsZero() {
		m.after(growsAt.Sub(m.time()).Seconds(), func() { m.dispatch(g) })
	}
}

// serve begins statements in the free slots of the server.
func (m *model) serve(s *server) {
	for s.running < s.slots && len(s.queue) > 0 {
		x := s.queue[0]
		s.queue = s.queue[1:]
		s.running++
		m.after(x.work*s.stretch(s.running, m.now), func() {
			s.running--
			m.serve(s)
			m.after(linkSeconds, func() { m.end(x) })
		})
	}
}

func (m *model) end(s *statement) {
	g := s.via
	g.running--
	if g.limit != nil {
		g.limit.End(capacity.Sample{Class: s.class, BeganAt: s.began}, m.time())
	}
	m.out.done[len(m.out.done)-1] += s.work
	h, t, took := s.host, g.target, m.now-s.arrived
	if s.urgent {
		m.out.urgent = append(m.out.urgent, took)
	}
	h.load[t]--
	if h.latency[t] == 0 {
		h.latency[t] = took
	} else {
		h.latency[t] += (took - h.latency[t]) * max(0.2, 1-math.Exp(-(m.now-h.updated[t])))
	}
	h.updated[t] = m.now
	m.dispatch(g)
}

// rate returns the mean of a series a second between two times.
func rate(series []float64, from, to float64) float64 {
	sum := 0.0
	for i := int(from / bucketSeconds); i < int(to/bucketSeconds); i++ {
		sum += series[i]
	}
	return sum / (to - from)
}
