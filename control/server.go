package control

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/jacinthtiller/jacinthtiller"
	"github.com/jacinthtiller/jacinthtiller/duty"
	"github.com/jacinthtiller/jacinthtiller/event"
	"github.com/jacinthtiller/jacinthtiller/quorum"
	"github.com/jacinthtiller/jacinthtiller/wire"
)

const (
	// tickEvery is how often the leader looks for leases that have ended.
	tickEvery = 20 * time.Millisecond
	// proposeTimeout bounds a decision's way into the log.
	proposeTimeout = 2 * time.Second
	// confirmTimeout bounds a round that confirms the leadership.
	confirmTimeout = time.Second
	// fenceCalls bounds the fencing calls that run at a time; the loss of a domain opens about 155 promotions.
	fenceCalls = 256
	// closeTimeout bounds the hand-over of the leadership at a stop.
	closeTimeout = 2 * time.Second
)

// node is what the server needs of a quorum.Node.
type node interface {
	Propose(ctx context.Context, command []byte) (result []byte, index uint64, err error)
	ConfirmLeader(ctx context.Context) error
	Leadership() (leader string, term uint64, isLeader bool)
	Changed() <-chan struct{}
	Status() quorum.Status
	AddMember(ctx context.Context, name string) error
	PromoteMember(ctx context.Context, name string) error
	LeaderSince() (time.Time, bool)
	ConfirmedAt() time.Time
	RemoveMember(ctx context.Context, name string) error
	TransferLeadership(ctx context.Context) error
	Receive(m quorum.Message)
	Close() error
}

// Config holds the settings of a control process.
type Config struct {
	// Name is this process's name among Members.
	Name string
	// Dir is the data folder.
	Dir string
	// Members maps the names of all control processes, this one included, to the URLs of their services.
	Members map[string]string
	// Bootstrap allows an empty folder to take part in founding a new group.
	Bootstrap bool
	// Peers finds the entry hosts that fence targets.
	Peers jacinthtiller.Peers
	// Events may be nil.
	Events *event.Log
	// Operators is nil when everybody may change things.
	Operators *Operators
	// Client carries the calls between control processes; nil means wire.NewHTTPClient.
	Client *http.Client
	// Found is true when processes that are not among Members may join the group, and when it replaces voters that
	// are gone. Names are then addresses of the form ip:port, and a process's URL is its name with a scheme.
	Found bool
	// Voters is how many voters the group keeps when Found is set; 0 means 3.
	Voters int
	// Holder names this process to the platform; empty means Name.
	Holder string
	// Domain and Region are where the process is; clients prefer one that is near.
	Domain, Region string
	// Inspector and Promoter are needed for direct groups.
	Inspector jacinthtiller.Inspector
	Promoter  jacinthtiller.Promoter
}

// Server is one control process.
type Server struct {
	name      string
	urls      map[string]string
	events    *event.Log
	operators *Operators
	peers     jacinthtiller.Peers
	machine   *machine
	node      node
	rounds    *rounds
	metrics   metrics
	// found is true when the group changes its members on its own.
	found bool
	// keepingMembers is true while a change of the members is under way.
	keepingMembers atomic.Bool
	voters         int
	holder         string
	domain, region string
	forwarder      *forwarder
	inspector      jacinthtiller.Inspector
	promoter       jacinthtiller.Promoter
	direct         *direct
	client         *http.Client

	// began is when the server was made.
	began time.Time
	// ctx ends when the server closes.
	ctx    context.Context
	cancel context.CancelFunc
	wg     *conc.WaitGroup

	mu sync.Mutex // guards the fields below
	// leader is nil unless this process leads and has applied all entries of former leaders.
	leader *leader
	// leaderChanged is closed and replaced when leader is set.
	leaderChanged chan struct{}
	// seeds are processes that the settings name and that may know the group.
	seeds []string
}

// metrics are the measures of a control process.
type metrics struct {
	renewals  metric.Int64Counter
	watchers  metric.Int64UpDownCounter
	deltas    metric.Int64Counter
	decisions metric.Int64Counter
	// reports counts what targets say of themselves, by outcome.
	reports metric.Int64Counter
}

// The outcomes of a target's report.
var (
	// reportNews is recorded, reportRepeated holds nothing that is not recorded, and reportElsewhere is sent on to the leader.
	reportNews      = metric.WithAttributes(attribute.String("outcome", "news"))
	reportRepeated  = metric.WithAttributes(attribute.String("outcome", "repeated"))
	reportElsewhere = metric.WithAttributes(attribute.String("outcome", "elsewhere"))
)

func newMetrics() (metrics, error) {
	m := otel.Meter("jacinthtiller/control")
	var out metrics
	var errs [5]error
	out.renewals, errs[0] = m.Int64Counter("control-renewals", metric.WithDescription("Renewals answered with a lease."))
	out.watchers, errs[1] = m.Int64UpDownCounter("control-watchers", metric.WithDescription("Watches that are open."))
	out.deltas, errs[2] = m.Int64Counter("control-deltas", metric.WithDescription("Views and deltas sent to watchers."))
	out.decisions, errs[3] = m.Int64Counter("control-decisions", metric.WithDescription("Commands proposed by the leader's own decisions."))
	out.reports, errs[4] = m.Int64Counter("control-reports", metric.WithDescription("Reports of targets by outcome."))
	if err := errors.Join(errs[:]...); err != nil {
		return metrics{}, fmt.Errorf("create metrics: %w", err)
	}
	return out, nil
}

// Open starts a control process. Its Handler must be served at its URL in Members.
func Open(c Config) (*Server, error) {
	if _, ok := c.Members[c.Name]; !ok && !c.Found {
		return nil, fmt.Errorf("name %q is not among the members", c.Name)
	}
	s, err := newServer(c)
	if err != nil {
		return nil, err
	}
	log := quorum.Config{
		Name: c.Name, Dir: c.Dir, Members: slices.Sorted(maps.Keys(c.Members)), Bootstrap: c.Bootstrap,
		Machine: s.machine, Transport: newTransport(s.ctx, s.wg, c.Name, c.Members, c.Found, s.client, c.Events), Events: c.Events,
	}
	n, err := newReopener(s.ctx, func() (stoppable, error) {
		n, err := quorum.Open(log)
		if err != nil {
			return nil, err
		}
		return n, nil
	}, s.machine.reset, c.Events)
	if err != nil {
		s.cancel()
		s.wg.Wait()
		return nil, fmt.Errorf("open log: %w", err)
	}
	s.start(n)
	return s, nil
}

func newServer(c Config) (*Server, error) {
	m, err := newMetrics()
	if err != nil {
		return nil, err
	}
	if c.Operators == nil {
		c.Events.Emit(event.ControlWithoutOperators, nil)
	}
	s := &Server{
		name: c.Name, urls: maps.Clone(c.Members), events: c.Events, operators: c.Operators, peers: c.Peers,
		machine: newMachine(c.Events), metrics: m, wg: conc.NewWaitGroup(),
		found: c.Found, voters: c.Voters, holder: c.Holder, domain: c.Domain, region: c.Region, inspector: c.Inspector, promoter: c.Promoter,
		direct: newDirect(), client: c.Client, began: time.Now(), leaderChanged: make(chan struct{}),
	}
	if s.voters == 0 {
		s.voters = defaultVoters
	}
	if s.holder == "" {
		s.holder = s.name
	}
	if s.client == nil {
		s.client = wire.NewHTTPClient()
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.forwarder = newForwarder(s.ctx, s.wg, forwardOver(s.client), s.events)
	return s, nil
}

func (s *Server) start(n node) {
	s.node = n
	s.rounds = &rounds{confirm: n.ConfirmLeader, ctx: s.ctx, wg: s.wg, events: s.events}
	s.wg.Go(func() { duty.Keep(s.ctx, s.events, "lead control", s.lead) })
	if s.found {
		s.wg.Go(func() { duty.Keep(s.ctx, s.events, "join the group", s.join) })
	}
}

// url returns the URL of a control process; empty for no name.
func (s *Server) url(name string) string {
	if u, ok := s.urls[name]; ok || name == "" || !s.found {
		return u
	}
	return "http://" + name
}

// memberURLs returns the URLs of the members of the group.
func (s *Server) memberURLs() []string {
	if !s.found {
		return nil
	}
	var out []string
	for _, m := range s.node.Status().Members {
		out = append(out, s.url(m.Name))
	}
	return out
}

// Close hands the leadership over, ends the watches and stops the process.
func (s *Server) Close() error {
	if _, _, leads := s.node.Leadership(); leads && len(s.urls) > 1 {
		ctx, cancel := context.WithTimeout(s.ctx, closeTimeout)
		// Without a successor the others elect one after the election timeout.
		_ = s.node.TransferLeadership(ctx)
		cancel()
	}
	return s.Abort()
}

// Abort ends the process without handing leadership on, as a crash would.
func (s *Server) Abort() error {
	s.cancel()
	s.wg.Wait()
	if err := s.node.Close(); err != nil {
		return fmt.Errorf("close log: %w", err)
	}
	return nil
}

// View returns the view at this process.
func (s *Server) View() jacinthtiller.View { return s.machine.state().View }

// Dump returns the process's state for operators.
func (s *Server) Dump() any {
	st := s.machine.state()
	out := map[string]any{
		"name": s.name, "log": s.node.Status(), "view": st.View.WithoutTexts(), "handovers": len(st.Handovers),
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	out["leading"] = s.leader != nil
	if s.leader != nil {
		out["hosts"] = s.leader.hosts(st, time.Now())
	}
	return out
}

// lead runs the leader's decisions whenever this process leads the group.
func (s *Server) lead() {
	for s.ctx.Err() == nil {
		changed := s.node.Changed()
		if _, term, leads := s.node.Leadership(); leads {
			s.reign(term)
			s.pause(tickEvery)
			continue
		}
		select {
		case <-changed:
		case <-s.ctx.Done():
		}
	}
}

func (s *Server) pause(d time.Duration) {
	select {
	case <-time.After(d):
	case <-s.ctx.Done():
	}
}

// reign makes decisions until the process no longer leads the term.
func (s *Server) reign(term uint64) {
	if err := s.confirmTerm(); err != nil {
		s.events.Emit(event.ControlProposalFailed, event.Fields{"error": err.Error()})
		return
	}
	s.direct.reset()
	s.setLeader(newLeader())
	s.events.Emit(event.ControlLeading, event.Fields{"term": term})
	ctx, cancel := context.WithCancel(s.ctx)
	wg := conc.NewWaitGroup()
	defer func() {
		s.setLeader(nil)
		cancel()
		wg.Wait()
		s.events.Emit(event.ControlFollowing, event.Fields{"term": term})
	}()
	// results takes the answers of fencing calls; a call waits when it is full.
	results := make(chan fenceResult, fenceCalls)
	slots := make(chan struct{}, fenceCalls)
	ticks := time.NewTicker(tickEvery)
	defer ticks.Stop()
	for s.leads(term) {
		st, changed := s.machine.watch()
		d := s.decide(st)
		s.tend(ctx, wg, term, st)
		if s.found && s.keepingMembers.CompareAndSwap(false, true) {
			s.run(wg, "keep members", func() { s.keepMembers(ctx) })
		}
		for _, c := range d.fences {
			s.callFence(ctx, wg, c, slots, results)
		}
		for _, c := range d.surveys {
			s.run(wg, "survey a group", func() { s.survey(ctx, c) })
		}
		if len(d.commands) > 0 && s.record(ctx, d.commands) && s.machine.state().View.Index > st.View.Index {
			continue
		}
		select {
		case <-ticks.C:
		case <-changed:
		case <-ctx.Done():
		case r := <-results:
			s.takeResults(r, results)
		}
	}
}

// confirmTerm returns nil once a quorum has confirmed that this process leads and all entries of earlier terms are applied.
func (s *Server) confirmTerm() error {
	ctx, cancel := context.WithTimeout(s.ctx, proposeTimeout)
	defer cancel()
	if err := s.node.ConfirmLeader(ctx); err != nil {
		return fmt.Errorf("begin the term: %w", err)
	}
	return nil
}

func (s *Server) leads(term uint64) bool {
	_, now, leads := s.node.Leadership()
	return leads && now == term && s.ctx.Err() == nil
}

func (s *Server) setLeader(l *leader) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leader = l
	close(s.leaderChanged)
	s.leaderChanged = make(chan struct{})
}

func (s *Server) decide(st *state) decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leader.step(st, time.Now())
}

// record writes decisions to the log as one entry.
func (s *Server) record(ctx context.Context, commands []Command) bool {
	s.metrics.decisions.Add(ctx, int64(len(commands)))
	if _, err := s.propose(ctx, Command{Batch: commands}); err != nil {
		s.events.Emit(event.ControlProposalFailed, event.Fields{"error": err.Error(), "commands": len(commands)})
		return false
	}
	return true
}

// takeResults records r and whatever else has arrived.
func (s *Server) takeResults(r fenceResult, results <-chan fenceResult) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for {
		s.leader.fenced(r, time.Now())
		select {
		case r = <-results:
		default:
			return
		}
	}
}

// callFence runs one fencing call. When all slots are taken the call is left out
// and the leader asks again later.
func (s *Server) callFence(ctx context.Context, wg *conc.WaitGroup, c fenceCall, slots chan struct{}, results chan<- fenceResult) {
	select {
	case slots <- struct{}{}:
	default:
		return
	}
	s.run(wg, "fence a target", func() {
		defer func() { <-slots }()
		call, cancel := context.WithDeadline(ctx, c.deadline)
		defer cancel()
		r := fenceResult{fenceCall: c}
		out, err := s.peers.Peer(c.url).Fence(call, jacinthtiller.FenceRequest{
			Database: c.database, Target: c.target, Term: c.term,
		})
		r.position, r.err = out.Position, err
		s.reportFence(r)
		select {
		case results <- r:
		case <-ctx.Done():
		}
	})
}

// run runs work of the leader in the background.
func (s *Server) run(wg *conc.WaitGroup, name string, work func()) {
	wg.Go(func() { duty.Run(s.events, name, nil, work) })
}

// survey removes a target when a majority of the rest of its group has reached
// the newest settled position. Commits that are settled later count without the
// target already, because it is lost.
func (s *Server) survey(ctx context.Context, c surveyCall) {
	call, cancel := context.WithDeadline(ctx, c.deadline)
	defer cancel()
	m, err := s.peers.Peer(c.primary).Mark(call, jacinthtiller.MarkRequest{Database: c.database})
	// Before the first settled commit of the term the position says nothing about earlier ones.
	if err != nil || m.Term != c.term || m.Position.Term != c.term {
		return
	}
	var reached atomic.Int64
	reached.Add(1) // the primary
	wg := conc.NewWaitGroup()
	for name, url := range c.others {
		wg.Go(func() {
			out, err := s.peers.Peer(url).WaitPosition(call, jacinthtiller.WaitPositionRequest{
				Database: c.database, Target: name, Position: m.Position, WaitMicroseconds: surveyTimeout.Microseconds() / 2,
			})
			if err == nil && out.Position.Covers(m.Position) {
				reached.Add(1)
			}
		})
	}
	wg.Wait()
	if int(reached.Load()) >= c.quorum {
		s.record(ctx, []Command{{Remove: &removeCommand{Database: c.database, Target: c.target, Term: c.term}}})
	}
}

func (s *Server) reportFence(r fenceResult) {
	f := event.Fields{"database": r.database, "target": r.target, "term": r.term}
	if r.err != nil {
		f["error"] = r.err.Error()
		s.events.Emit(event.ControlFenceFailed, f)
		return
	}
	f["position"] = r.position.String()
	s.events.Emit(event.ControlTargetFenced, f)
}

// propose writes a command to the log and returns its answer.
func (s *Server) propose(ctx context.Context, c Command) (answer, error) {
	b, err := encode(c)
	if err != nil {
		return answer{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	out, _, err := s.node.Propose(ctx, b)
	if err != nil {
		return answer{}, fmt.Errorf("propose: %w", err)
	}
	var a answer
	if err := decode(out, &a); err != nil {
		return answer{}, fmt.Errorf("answer of the log: %w", err)
	}
	return a, nil
}

// rounds lets requests that wait at the same time share one confirmation of the leadership.
type rounds struct {
	confirm func(context.Context) error
	ctx     context.Context
	wg      *conc.WaitGroup
	events  *event.Log

	mu sync.Mutex // guards the fields below
	// next is the round that has not begun; requests that arrive join it.
	next    *round
	running bool
}

// round is one confirmation.
type round struct {
	done chan struct{}
	// err is set before done is closed.
	err error
}

// errRoundFailed means that a fault of the program ended a round.
var errRoundFailed = errors.New("the confirmation of the leadership failed")

// wait returns after a round that began after the call.
func (r *rounds) wait(ctx context.Context) error {
	r.mu.Lock()
	if r.next == nil {
		r.next = &round{done: make(chan struct{})}
	}
	mine := r.next
	if !r.running {
		r.running = true
		r.wg.Go(r.run)
	}
	r.mu.Unlock()
	select {
	case <-mine.done:
		return mine.err
	case <-ctx.Done():
		return fmt.Errorf("wait for a confirmation round: %w", ctx.Err())
	}
}

// run runs rounds until nobody waits.
func (r *rounds) run() {
	for {
		r.mu.Lock()
		now := r.next
		r.next = nil
		r.running = now != nil
		r.mu.Unlock()
		if now == nil {
			return
		}
		now.err = errRoundFailed
		duty.Run(r.events, "confirm the leadership", nil, func() {
			ctx, cancel := context.WithTimeout(r.ctx, confirmTimeout)
			defer cancel()
			now.err = r.confirm(ctx)
		})
		close(now.done)
	}
}
