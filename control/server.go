package control

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
	"golang.org/x/time/rate"

	"github.com/jacinthtiller/jacinthtiller"
	"github.com/jacinthtiller/jacinthtiller/duty"
	"github.com/jacinthtiller/jacinthtiller/event"
	"github.com/jacinthtiller/jacinthtiller/quorum"
	"github.com/jacinthtiller/jacinthtiller/wire"
)

const (
	// leaseCheckInterval is how often the leader looks for leases that have ended.
	leaseCheckInterval = 20 * time.Millisecond
	// proposeTimeout bounds the commit of a command.
	proposeTimeout = 2 * time.Second
	// confirmTimeout bounds a round that confirms the leadership.
	confirmTimeout = time.Second
	// maxFenceCalls bounds the concurrent fencing calls; the loss of a failure domain opens about 155 promotions.
	maxFenceCalls = 256
	// refusalLogRate is how many refused reports are logged per second.
	refusalLogRate = 5
	// handoverTimeout bounds the transfer of the leadership at a stop.
	handoverTimeout = 2 * time.Second
)

// node is the part of quorum.Node that the server uses.
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
	// Peers returns clients of the entry hosts, which fence targets.
	Peers jacinthtiller.Peers
	// Events may be nil.
	Events *event.Log
	// Operators is nil when everybody may make changes.
	Operators *Operators
	// Client carries the calls between control processes; nil means wire.NewHTTPClient.
	Client *http.Client
	// ManagesMembers is true when processes that are not among Members may join the group, and when the group replaces
	// silent voters. Names are then addresses of the form ip:port, and a process's URL is its name with a scheme.
	ManagesMembers bool
	// Voters is how many voters the group maintains when ManagesMembers is set; 0 means 3.
	Voters int
	// LeaseHolder identifies this process to the platform; empty means Name.
	LeaseHolder string
	// Domain and Region are the location of the process; clients prefer a near one.
	Domain, Region string
	// LeaveMilliseconds is how long after its report a leaving target of a direct group may get work; 0 means
	// DefaultLeaveMilliseconds.
	LeaveMilliseconds int
	// Inspector and Promoter are required for direct groups.
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
	confirmer *confirmer
	metrics   metrics
	// managesMembers is true when the group changes its members by itself.
	managesMembers bool
	// changingMembers is true while a change of the members is in progress.
	changingMembers atomic.Bool
	voters          int
	// leaveMilliseconds is Config.LeaveMilliseconds.
	leaveMilliseconds int
	leaseHolder       string
	domain, region    string
	forwarder         *forwarder
	recorder          *recorder
	// inspectLimiter limits the rate at which the leader inspects targets.
	inspectLimiter *rate.Limiter
	// proofLimiter limits how many of these inspections renew the proofs of groups with synchronous replicas.
	proofLimiter *rate.Limiter
	// replicaCheckLimiter limits how many of them find out whether replicas run.
	replicaCheckLimiter *rate.Limiter
	// holderCheckLimiter limits how many of them find out whether replicas hold the commits that are acknowledged.
	holderCheckLimiter *rate.Limiter
	// refusalLimiter limits the log lines of refused reports.
	refusalLimiter *rate.Limiter
	inspector      jacinthtiller.Inspector
	promoter       jacinthtiller.Promoter
	direct         *directState
	// endMetrics ends the metrics of direct.
	endMetrics func()
	client     *http.Client

	startedAt time.Time
	// ctx ends when the server closes.
	ctx    context.Context
	cancel context.CancelFunc
	wg     *conc.WaitGroup

	mu sync.Mutex // guards the fields below
	// leader is nil unless this process leads and has applied all entries of former leaders.
	leader *leader
	// leaderChanged is closed and replaced when leader is set.
	leaderChanged chan struct{}
	// seeds are the processes from the settings that may know the group.
	seeds []string
}

// Open starts a control process. Its Handler must be served at its URL in Members.
func Open(c Config) (*Server, error) {
	if _, ok := c.Members[c.Name]; !ok && !c.ManagesMembers {
		return nil, fmt.Errorf("name %q is not among the members", c.Name)
	}
	s, err := newServer(c)
	if err != nil {
		return nil, err
	}
	log := quorum.Config{
		Name: c.Name, Dir: c.Dir, Members: slices.Sorted(maps.Keys(c.Members)), Bootstrap: c.Bootstrap,
		Machine: s.machine, Transport: newTransport(s.ctx, s.wg, c.Name, c.Members, c.ManagesMembers, s.client, c.Events), Events: c.Events,
	}
	n, err := newReopeningNode(s.ctx, func() (stoppableNode, error) {
		n, err := quorum.Open(log)
		if err != nil {
			return nil, err
		}
		return n, nil
	}, s.machine.reset, c.Events)
	if err != nil {
		s.cancel()
		s.wg.Wait()
		s.endMetrics()
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
		managesMembers: c.ManagesMembers, voters: c.Voters, leaveMilliseconds: c.LeaveMilliseconds, leaseHolder: c.LeaseHolder, domain: c.Domain, region: c.Region, inspector: c.Inspector, promoter: c.Promoter,
		direct: newDirectState(), inspectLimiter: rate.NewLimiter(inspectRate, inspectBurst),
		proofLimiter:        rate.NewLimiter(proofInspectRate, proofInspectBurst),
		replicaCheckLimiter: rate.NewLimiter(replicaCheckRate, replicaCheckRate),
		holderCheckLimiter:  rate.NewLimiter(holderCheckRate, holderCheckRate),
		refusalLimiter:      rate.NewLimiter(refusalLogRate, refusalLogRate), client: c.Client, startedAt: time.Now(), leaderChanged: make(chan struct{}),
	}
	if s.voters == 0 {
		s.voters = defaultVoters
	}
	if s.leaseHolder == "" {
		s.leaseHolder = s.name
	}
	if s.leaveMilliseconds == 0 {
		s.leaveMilliseconds = DefaultLeaveMilliseconds
	}
	if s.client == nil {
		s.client = wire.NewHTTPClient()
	}
	s.endMetrics = s.direct.observeWaits()
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.forwarder = newForwarder(s.ctx, s.wg, httpForwardCall(s.client), s.events)
	s.recorder = newRecorder(s.ctx, s.events, s.propose)
	return s, nil
}

func (s *Server) start(n node) {
	s.node = n
	s.confirmer = &confirmer{confirm: n.ConfirmLeader, ctx: s.ctx, wg: s.wg, events: s.events}
	s.wg.Go(func() { duty.RunWithRestart(s.ctx, s.events, "lead control", s.runLeadership) })
	s.wg.Go(s.recorder.run)
	if s.managesMembers {
		s.wg.Go(func() { duty.RunWithRestart(s.ctx, s.events, "join the group", s.join) })
	}
}

// url returns the URL of a control process; empty for no name.
func (s *Server) url(name string) string {
	if u, ok := s.urls[name]; ok || name == "" || !s.managesMembers {
		return u
	}
	return "http://" + name
}

// memberURLs returns the URLs of the members of the group.
func (s *Server) memberURLs() []string {
	if !s.managesMembers {
		return nil
	}
	var out []string
	for _, m := range s.node.Status().Members {
		out = append(out, s.url(m.Name))
	}
	return out
}

// Close transfers the leadership, ends the watches and stops the process.
func (s *Server) Close() error {
	if _, _, leads := s.node.Leadership(); leads && len(s.urls) > 1 {
		ctx, cancel := context.WithTimeout(s.ctx, handoverTimeout)
		// If the transfer fails, the others elect a leader after the election timeout.
		_ = s.node.TransferLeadership(ctx)
		cancel()
	}
	return s.Abort()
}

// Abort stops the process without a transfer of the leadership, as a crash would.
func (s *Server) Abort() error {
	s.cancel()
	s.wg.Wait()
	s.endMetrics()
	if err := s.node.Close(); err != nil {
		return fmt.Errorf("close log: %w", err)
	}
	return nil
}

// View returns the current view of this process.
func (s *Server) View() jacinthtiller.View { return s.machine.state().View }

// Dump returns the process's state for operators.
func (s *Server) Dump() any {
	st := s.machine.state()
	out := map[string]any{
		"name": s.name, "log": s.node.Status(), "view": st.View.WithoutTexts(), "handovers": len(st.Handovers),
		"commit-proofs": st.CommitProofs,
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	out["leading"] = s.leader != nil
	if s.leader != nil {
		out["hosts"] = s.leader.hosts(st, time.Now())
	}
	return out
}

// propose writes a command to the log and returns its result.
func (s *Server) propose(ctx context.Context, c Command) (commandResult, error) {
	b, err := encode(c)
	if err != nil {
		return commandResult{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	out, _, err := s.node.Propose(ctx, b)
	if err != nil {
		return commandResult{}, fmt.Errorf("propose: %w", err)
	}
	var a commandResult
	if err := decode(out, &a); err != nil {
		return commandResult{}, fmt.Errorf("answer of the log: %w", err)
	}
	if a.Code == codeFailed {
		return commandResult{}, errCommandFailed
	}
	return a, nil
}
