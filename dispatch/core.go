// Package dispatch decides when tasks run and on which servers. A Core holds the state of one dispatcher. Its inputs are events (new jobs, reports of
// backend servers, answers to orders) together with the current time; its outputs are orders to send and records to store. It has no clock and does
// no I/O.
//
// Times are durations on a clock that also counts while the machine is suspended.
package dispatch

import (
	"time"

	"example.org/comfreyrouter/interference"
	"example.org/comfreyrouter/jobs"
	"example.org/comfreyrouter/ledger"
)

// Params holds the limits that the fleet's operators and the platform set.
type Params struct {
	Epoch int64         // first epoch of this dispatcher. Attempts are numbered by it, and fencing tokens begin with it
	Lease time.Duration // duration of a run's lease, which each report renews
	// MaxLease is the longest lease that servers grant.
	MaxLease time.Duration
	// PredecessorsUntil is the latest time at which predecessors may still have granted leases, provided that their orders arrive.
	PredecessorsUntil time.Duration
	// EarlyStart is how long before its scheduled time an occurrence may start.
	EarlyStart time.Duration
	// Interference says what is done about tasks that slow each other down.
	Interference InterferenceMode
	// ServerSeenAt is when the present record of each server was read from the ledger, after it had been stored. Those that are missing count as read now.
	ServerSeenAt map[string]time.Duration
}

const (
	// minClockRate is the rate of the slowest clock that a server may have: 2% slow.
	minClockRate = 0.98
	// leaseMargin covers rounding to whole milliseconds and late timers.
	leaseMargin = 200 * time.Millisecond
	// attemptsPerEpoch separates the attempt numbers of different dispatchers, so that starts don't need to be stored.
	attemptsPerEpoch = 1 << 12
	// startAnswerTimeout is how long a start may stay unanswered before its server gets no new work. Servers answer within about 10 ms.
	startAnswerTimeout = 200 * time.Millisecond
	// maxReportAge is the greatest age of a server's last report at which it gets new work: two renewals of a second each and some delay.
	maxReportAge = 2600 * time.Millisecond
)

// Order is a command to a backend server. Exactly one of the pointers is set.
type Order struct {
	Server jobs.Server
	Start  *jobs.Order
	Stop   *StopOrder
	Pace   *PaceOrder
}

// StopOrder stops a run.
type StopOrder struct {
	Task    string
	Attempt int64
	Fence   int64
}

// PaceOrder sets the percentage of its full speed at which a run works.
type PaceOrder struct {
	Task    string
	Attempt int64
	Fence   int64
	Percent int
}

// runState is the state of a run.
type runState int

const (
	runStarting runState = iota // sent, not answered yet
	runUnknown                  // not answered in time: it may be running, or may start later
	runActive
	runStopping
)

// run is an attempt to execute a task on a server.
type run struct {
	task            *task
	server          *server
	attempt         int64
	state           runState
	sentAt          time.Duration // when the start was sent, or the run was adopted
	activeAt        time.Duration // when the run was first known to be active; 0 if it isn't known yet
	confirmedAt     time.Duration // when the start or the stop was confirmed; 0 if neither was
	answered        bool          // the start has an answer or has timed out, or was a predecessor's
	begun           bool          // the server has confirmed the start or reported the run
	former          bool          // the start was sent to a former incarnation of the server
	stopRetryAt     time.Duration // when a stop may be sent again
	stopSent        bool
	stopConfirmed   bool // the server has confirmed the stop
	uncertain       bool // it is stopped because nothing is known of its start
	relocating      bool // it is stopped so that its task starts on another server
	percent         int
	progressAt      time.Duration // when percent last rose
	progressClockMS int64         // server clock at progressAt; 0 if no report has set it
	survived        bool          // it was reported long enough after its start, so it didn't crash the server by starting
	pace            int           // ordered percentage of its full speed; -1 if the order has to be sent again
	service         string        // of its server when the run was added
	late            bool          // its job was late when it started; false if the run was adopted
	latencyMS       float64       // tail latency in the last report, for a task that serves requests
	sampledAt       time.Duration // when its latency was last sampled
	beside          *besideRun    // nil until a report has listed it, and for a long-running task
}

// task is one task of an occurrence.
type task struct {
	id             jobs.TaskID
	step           *step
	run            *run // nil while the task waits
	done           bool
	failedAttempts []int64       // numbers of the attempts that failed
	checkpoint     checkpoint    // unused for a member of a gang
	notBefore      time.Duration // earliest next start after a failure
	avoidServer    string        // server of the last failure
	startCount     int64         // number of starts by this dispatcher
	crashes        []ledger.Crash
	crashUnstored  bool               // the last crash isn't stored yet
	crashDelay     time.Duration      // the last delay before a start because servers had crashed; only of a long-running task
	silentRuns     []ledger.SilentRun // on servers that have fallen silent
}

// step is one step of an occurrence.
type step struct {
	occurrence *occurrence
	spec       *jobs.Step
	index      int
	tasks      []*task
	doneCount  int
	waiting    int // number of tasks that aren't done and have no run
	tickets    stepTickets
	// gangCheckpoint is the newest checkpoint of the gang, if the step is one.
	gangCheckpoint checkpoint
}

// occurrence is one execution of a job's steps.
type occurrence struct {
	job       *job
	number    int
	steps     []*step
	remaining int // number of tasks that are not done
}

// job is a job that has not ended.
type job struct {
	sub             *jobs.Submission
	offset          int64 // of the submission's record
	submittedAt     time.Duration
	started         bool          // a task of it has run
	firstStart      time.Duration // when a start was first decided; 0 if a predecessor did
	lateAtStart     bool          // it could no longer be on time when its first task started
	slackAtStart    time.Duration // its slack when its first task started
	failedRuns      int
	crashes         int // number of its runs that may have crashed their server
	cancelled       bool
	failed          bool
	occurrences     map[int]*occurrence
	doneOccurrences map[int]bool // numbers of the occurrences that are done
	nextOccurrence  int
	startMark       markState
	inherited       bool    // a predecessor may have started tasks of it
	runCount        int     // number of current runs
	overShare       bool    // its workspace had used up its share when the job arrived
	meanTaskMS      float64 // mean run time of its completed tasks
	doneTasks       int     // number of tasks in meanTaskMS
}

// server is a backend server.
type server struct {
	info                jobs.Server
	draining            bool          // its entry said so
	listed              bool          // it is in the platform's server list
	inherited           bool          // a predecessor may have given it work
	inLedger            bool          // the ledger has a record under its id, or is about to have one
	recorded            bool          // the ledger has a record of this incarnation, which may thus have work
	recording           bool          // that record has been taken to be stored
	restarts            int           // number of restarts under its id that this dispatcher has seen
	reconciled          bool          // its runs are known: it has reported to this dispatcher, or its runs were dropped
	unresponsive        bool          // the last renewal got no answer
	replaced            bool          // another server has answered at its address, and it hasn't reported since
	terminated          bool          // its incarnation has ended
	bornMS              int64         // start of its incarnation, Unix time; 0 if it isn't known
	knownAt             time.Duration // when this dispatcher learned of its incarnation
	former              []int64       // starts of its former incarnations, by the end; the last maxFormer that this dispatcher has seen
	clockMS             int64         // server clock at recvAt
	sentAt              time.Duration // when the renewal was sent that the last report answers
	recvAt              time.Duration // when the last report was received; 0 if there is none
	leasesExpireAt      time.Duration // by then all leases on it have expired, if no further lease is granted and no call for a former incarnation arrives
	token               int64         // fencing token of the calls to its present incarnation
	minToken            int64         // lowest token by which that incarnation refuses the calls for former ones
	fenced              bool          // that incarnation has seen such a token
	openGrants          int           // number of calls that grant a lease to that incarnation and have no answer
	formerLeasesStored  bool          // its record says that calls for former incarnations may have extended leases, or is about to
	formerLeasesEndAt   time.Duration // by then all leases have expired that calls for former incarnations may have extended
	runs                map[string]*run
	used                jobs.Resources // reserved by its runs
	usedLateCPU         int64          // part of used.CPU that is reserved by runs whose jobs were late when they started
	lastEnd             int64          // number of the newest end that has been processed
	storedEnd           int64          // number of the newest end whose effects are stored
	consecutiveFailures int            // consecutive failed runs, over different tasks
	backoffUntil        time.Duration  // it gets no new work before, because runs or starts failed
	backoff             time.Duration  // duration of the last backoff after consecutive failures
	released            bool           // it gets no new work, because another pool takes over its machine once it is empty
	cordoned            bool           // it gets no new work, because its machine is about to have its upkeep or to move
	terminating         bool           // its upkeep or move is being ordered
	heardAt             time.Duration  // the last sign of life: a report, or the answer to an order
	trial               *run           // the last run that was started apart from others
	reservedFor         *task          // a task that has to start there apart from others
	reservedUntil       time.Duration
	idleSince           time.Duration  // when a run on it last ended, or when it became known
	fillerPace          int            // percentage of their full speed at which filler tasks run
	paceChangedAt       time.Duration  // when fillerPace last changed
	warmAt              time.Duration  // from then on its tasks are sampled for interference
	images              map[string]int // number of its runs by image, if interference is estimated
}

// Core is the state of a dispatcher. It isn't safe for concurrent use.
type Core struct {
	params              Params
	config              *jobs.Configuration
	servers             map[string]*server
	byMachine           map[string][]*server
	jobs                map[string]*job
	routes              map[string]*jobs.Route    // by name
	policies            bool                      // at least one queue has a policy
	usage               map[string]jobs.Resources // needs of all current runs, by workspace
	awaited             map[string]awaitedServers // by service, as of the last pass
	unreportedUsage     map[string]jobs.Resources // needs of tasks that may run on awaited servers, by workspace with a limit, as of the last pass
	limits              map[string]jobs.Resources // by workspace
	arrivals            map[string]*arrivals      // by service
	poolUsage           map[workspacePool]int64   // processors that runs of tasks that end by themselves use, in thousandths
	beyondShare         map[workspacePool]bool    // those that use more than their share, as of the last pass
	weights             map[string]float64        // share of each workspace, in jobs per second
	shares              map[string]*shareBucket
	serverListComplete  bool            // the platform's server list has been read completely
	upkeepDue           map[string]bool // servers whose machines are due for upkeep
	unstoredJobs        map[string]*job // jobs whose progress has to be stored
	unstoredCrashes     []*task
	evacuation          evacuations
	silent              map[string]silentServer // by server
	removedServers      map[string]removedServer
	token               int64 // the newest epoch that this dispatcher has claimed
	orders              []Order
	records             []ledger.Record
	endedJobs           map[string]bool         // jobs whose final state has been queued for storing
	runtimes            map[string]*runtimeMean // by queue
	admission           admission
	markedWaiting       map[string]int // number of waiting jobs that are marked or being marked, by service, after the last pass
	typicalCapacity     jobs.Resources // capacity of a schedulable server at the last measurement
	now                 time.Duration
	wallMS              int64
	soleDispatcher      bool
	soleUntil           time.Duration  // this dispatcher was the only one until then
	eventCounts         map[string]int // number of events since the last TakeEventCounts, by name
	problems            []ServerProblem
	estimator           *interference.Estimator // nil if interference is ignored
	interferenceChanged bool                    // since the last TakeInterferenceChange
	avoidInterference   bool
	summaries           []JobSummary
}

// ServerProblem describes a problem of a server that operators find in the log: its runs were abandoned, or it gets no work for a while.
type ServerProblem struct {
	Server string
	Reason string
	Runs   int
	Age    time.Duration // time since the server's last report
}

// JobSummary describes a job that has ended, for the log.
type JobSummary struct {
	Job, Queue, Workspace string
	Phase                 jobs.Phase
	WaitedMS, TookMS      int64 // from the submission to the first start, and to the end
	FailedRuns            int
	Crashes               int   // number of its runs that were lost when their server crashed, and may have caused it
	LateAtStart           bool  // it could no longer be on time when its first task started
	SlackAtStartMS        int64 // time that it had left beyond its expected run time when its first task started
}

// TakeJobSummaries returns the summaries of the jobs that have ended since the last call.
func (c *Core) TakeJobSummaries() []JobSummary {
	summaries := c.summaries
	c.summaries = nil
	return summaries
}

// TakeServerProblems returns the problems that were reported since the last call.
func (c *Core) TakeServerProblems() []ServerProblem {
	problems := c.problems
	c.problems = nil
	return problems
}

func (c *Core) reportProblem(s *server, reason string) {
	c.count(reason)
	c.problems = append(c.problems, ServerProblem{s.info.ID, reason, len(s.runs), c.now - s.recvAt})
}

// New returns a core with the state that the ledger holds.
func New(p Params, l *ledger.Ledger, config *jobs.Configuration, now time.Duration, wallMS int64) *Core {
	c := &Core{
		params: p, servers: map[string]*server{}, byMachine: map[string][]*server{}, jobs: map[string]*job{}, usage: map[string]jobs.Resources{},
		awaited: map[string]awaitedServers{}, unreportedUsage: map[string]jobs.Resources{}, token: p.Epoch,
		unstoredJobs: map[string]*job{}, silent: map[string]silentServer{}, removedServers: map[string]removedServer{}, endedJobs: map[string]bool{},
		runtimes: map[string]*runtimeMean{}, eventCounts: map[string]int{},
		arrivals: map[string]*arrivals{}, poolUsage: map[workspacePool]int64{}, beyondShare: map[workspacePool]bool{}, shares: map[string]*shareBucket{}, markedWaiting: map[string]int{},
		admission: admission{admitted: map[string]admittedJob{}, rejections: map[string]rejection{}, acceptedAt: map[string]time.Duration{}, startedAt: now},
		now:       now, wallMS: wallMS,
	}
	if p.Interference != InterferenceIgnored {
		c.estimator = interference.New()
	}
	c.avoidInterference = p.Interference == InterferenceAvoided
	c.SetConfiguration(config)
	for id, s := range l.Servers {
		if s.Removed {
			c.restoreRemoved(id, s)
			continue
		}
		srv := c.newServer(jobs.Server{ID: id, Service: s.Service, Address: s.Address, BornMS: s.BornMS, Machine: s.Machine})
		srv.inherited, srv.inLedger, srv.recorded = true, true, true
		srv.leasesExpireAt = c.leaseExpiry(p.PredecessorsUntil)
		c.restoreFormerLeases(srv, s)
	}
	c.updateAwaited()
	for id, e := range l.Jobs {
		if e.Submission != nil && e.Final == nil {
			c.addJob(e, e.Progress.MayHaveStarted)
			j := c.jobs[id]
			if j == nil {
				continue // it had failed and has no runs, so it ended at once
			}
			for _, o := range j.occurrences {
				for _, s := range o.steps {
					for _, t := range s.tasks {
						c.restoreSilence(t, l.Servers)
					}
				}
			}
			if e.Cancelled {
				c.cancel(j)
			}
		}
	}
	return c
}

// leaseExpiry returns when a lease that was granted no later than the given time has certainly expired.
func (c *Core) leaseExpiry(grantedAt time.Duration) time.Duration {
	return grantedAt + maxElapsed(c.params.Lease) + leaseMargin
}

// PredecessorsStoppedBy records that predecessors sent no orders after the given time. It bounds the leases of servers that haven't answered this
// dispatcher, because these were granted by predecessors only.
func (c *Core) PredecessorsStoppedBy(at time.Duration) {
	for _, s := range c.servers {
		if s.awaited() && s.recvAt == 0 {
			s.leasesExpireAt = min(s.leasesExpireAt, c.leaseExpiry(at))
		}
	}
	c.params.PredecessorsUntil = min(c.params.PredecessorsUntil, at)
}

// maxElapsed returns the longest time that a span measured on a server's clock may take.
func maxElapsed(d time.Duration) time.Duration { return time.Duration(float64(d) / minClockRate) }

// SetConfiguration replaces the configuration.
func (c *Core) SetConfiguration(config *jobs.Configuration) {
	c.config = config
	c.limits, c.weights = map[string]jobs.Resources{}, map[string]float64{}
	for _, w := range config.Workspaces {
		c.limits[w.Name], c.weights[w.Name] = w.Limit, w.Weight
	}
	c.routes, c.policies = map[string]*jobs.Route{}, false
	for i := range config.Routes {
		r := &config.Routes[i]
		c.routes[r.Name] = r
		c.policies = c.policies || r.Policy != nil
	}
}

// serviceOf returns the service on whose servers a job runs: that of its queue, or the last known one if the queue has been removed.
func (c *Core) serviceOf(j *job) string {
	if r := c.routes[j.sub.Route]; r != nil {
		return r.Service
	}
	return j.sub.Service
}

// Advance sets the time and whether this dispatcher is known to be the only one. If it isn't, another dispatcher may have extended leases.
func (c *Core) Advance(now time.Duration, wallMS int64, sole bool) {
	c.now, c.wallMS, c.soleDispatcher = now, wallMS, sole
	if sole {
		c.WasSole(now)
	}
}

// WasSole records that this dispatcher is known to have been the only one until a time, which may be in the past: no other one has extended leases that had
// expired by then.
func (c *Core) WasSole(until time.Duration) { c.soleUntil = max(c.soleUntil, until) }

// TakeOrders returns the orders decided since the last call.
func (c *Core) TakeOrders() []Order {
	orders := c.orders
	c.orders = nil
	return orders
}

func (c *Core) count(event string) { c.eventCounts[event]++ }

// TakeEventCounts returns how often each event has happened since the last call, by name.
func (c *Core) TakeEventCounts() map[string]int {
	events := c.eventCounts
	c.eventCounts = map[string]int{}
	return events
}
