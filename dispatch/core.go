// Package dispatch decides where and when tasks run. A Core holds the state of one dispatcher: it takes what was seen (jobs, reports of
// backend servers, answers to orders) with the time, and returns orders and the records to store. It has no clock and does no I/O.
//
// Times are durations on a clock that also counts while the machine is suspended.
package dispatch

import (
	"time"

	"example.org/comfreyrouter/jobs"
	"example.org/comfreyrouter/ledger"
)

// Params are the bounds that the fleet's operators and the platform set.
type Params struct {
	Epoch int64         // of this dispatcher; also the fencing token of its orders
	Lease time.Duration // of a run, renewed with each report
	// PredecessorsUntil is until when former dispatchers may go on giving leases, as far as their orders still arrive.
	PredecessorsUntil time.Duration
	// EarlyStart is how long before its time an occurrence may start.
	EarlyStart time.Duration
}

const (
	// clockRate is how slow a server's clock may be: 2%.
	clockRate = 0.98
	// leaseSlack covers rounding to whole milliseconds and late timers.
	leaseSlack = 200 * time.Millisecond
	// attemptsPerEpoch keeps the numbers of the runs of different dispatchers apart, so that starts need not be stored.
	attemptsPerEpoch = 1 << 12
	// slowAnswer is how long a start may be unanswered before its server gets no more; servers answer within about 10 ms.
	slowAnswer = 200 * time.Millisecond
	// answerAge is how old a server's last report may be for it to get new work: two renewals of a second and some delay.
	answerAge = 2600 * time.Millisecond
)

// Order is something that has to be sent. Exactly one of the pointers is set.
type Order struct {
	Server jobs.Server
	Start  *jobs.Order
	Stop   *StopOrder
	Pace   *PaceOrder
}

// StopOrder ends a run.
type StopOrder struct {
	Task    string
	Attempt int64
}

// PaceOrder sets the share of its speed at which a run works.
type PaceOrder struct {
	Task    string
	Attempt int64
	Percent int
}

// runState is the state of one run.
type runState int

const (
	runStarting runState = iota // sent, not answered
	runUnknown                  // not answered in time: it may run, or run later
	runActive
	runStopping
)

// run is one run of a task on a server.
type run struct {
	task      *task
	server    *server
	attempt   int64
	state     runState
	sentAt    time.Duration
	activeAt  time.Duration
	confirmed time.Duration // when the start or the stop was answered; 0 if not
	nextStop  time.Duration // when a stop may be sent again
	stopSent  bool
	stopDone  bool // the server has confirmed the stop
	percent   int
	movedAt   time.Duration // when percent last rose
	movedMS   int64         // the same on the server's clock, if it was reported
	pace      int           // share of its speed that was ordered, in percent
	load      float64
}

// task is one task of an occurrence.
type task struct {
	id         jobs.TaskID
	step       *step
	run        *run // nil while it waits
	done       bool
	failed     []int64 // attempts that failed
	checkpoint string
	notBefore  time.Duration // after a failure
	avoid      string        // server of the last failure
	starts     int64         // by this dispatcher
}

// step is one step of an occurrence.
type step struct {
	occurrence *occurrence
	spec       *jobs.Step
	index      int
	tasks      []*task
	doneCount  int
	tickets    tickets
}

// occurrence is one execution of a job's steps.
type occurrence struct {
	job    *job
	number int
	steps  []*step
	left   int // tasks that are not done
}

// job is a job that has not ended.
type job struct {
	sub         *jobs.Submission
	offset      int64
	submitted   time.Duration
	started     bool
	firstStart  time.Duration // 0 if a former dispatcher started it
	beganLate   bool          // it could not be on time any more when it began
	failedRuns  int
	cancelled   bool
	failed      bool
	occurrences map[int]*occurrence
	doneBefore  map[int]bool // occurrences that are done
	nextOcc     int
	mark        markState
	inherited   bool    // a former dispatcher may have started tasks of it
	runs        int     // runs on servers
	overShare   bool    // its workspace sent more than it is owed
	taskMS      float64 // mean run time of its tasks that are done
	tasksDone   int
}

// server is a backend server.
type server struct {
	info      jobs.Server
	listed    bool // the platform's list has it
	recorded  bool // the ledger says that it may have work
	recording bool
	swept     bool // it has answered this dispatcher
	silent    bool // the last renewal got no answer
	gone      bool // another life answers at its address
	bornMS    int64
	clockMS   int64 // at recvAt
	sentAt    time.Duration
	recvAt    time.Duration
	lapsesAt  time.Duration // by then everything on it has lapsed, if nothing more is sent
	runs      map[string]*run
	used      jobs.Resources
	seen      int64 // newest end that was taken into account
	taken     int64 // newest end that is stored
	fails     int   // failed runs in a row, over different tasks
	heldUntil time.Duration
	holdFor   time.Duration
	released  bool          // it gets no new work, because another pool needs its machine once it is empty
	cordoned  bool          // it gets no new work, because its machine is about to have its upkeep or to move
	ending    bool          // that was ordered
	idleSince time.Duration // since when nothing has run on it
	fillPace  int           // share of their speed at which filling tasks work, in percent
	pacedAt   time.Duration // when fillPace last changed
}

// Core is the state of a dispatcher.
type Core struct {
	params    Params
	config    *jobs.Configuration
	servers   map[string]*server
	jobs      map[string]*job
	routes    map[string]*jobs.Route    // by name
	policies  bool                      // a queue has a policy
	usage     map[string]jobs.Resources // by workspace
	limits    map[string]jobs.Resources
	arrivals  map[string]*arrivals // by service
	weights   map[string]float64   // by workspace: jobs a second that are owed
	shares    map[string]*share
	listRead  bool            // the platform's list of servers was read
	dueUpkeep map[string]bool // servers whose machines have an upkeep before them
	dirty     map[string]*job
	orders    []Order
	records   []ledger.Record
	ended     map[string]bool     // jobs whose end was decided
	learned   map[string]*runtime // by queue
	admission admission
	ahead     map[string]int // jobs that are marked and wait, by service, at the last pass
	usualRoom jobs.Resources // of a server
	now       time.Duration
	wallMS    int64
	alone     bool
	events    map[string]int // what happened since it was last taken, by reason
	notes     []ServerProblem
	jobNotes  []JobSummary
}

// ServerProblem is something that an engineer on call wants to read in the log: runs that were given up, or a server that is left alone.
type ServerProblem struct {
	Server string
	Reason string
	Runs   int
	Age    time.Duration // since the server's last report
}

// JobSummary is what an engineer on call wants to read of a job that has ended.
type JobSummary struct {
	Job, Queue, Workspace string
	Phase                 jobs.Phase
	WaitedMS, TookMS      int64 // from handing in to the first start, and to the end
	FailedRuns            int
	LateAtStart           bool // it could not be on time any more before it began
}

// TakeJobSummaries returns the notes on jobs since the last call.
func (c *Core) TakeJobSummaries() []JobSummary {
	n := c.jobNotes
	c.jobNotes = nil
	return n
}

// TakeServerProblems returns the notes since the last call.
func (c *Core) TakeServerProblems() []ServerProblem {
	n := c.notes
	c.notes = nil
	return n
}

func (c *Core) note(s *server, reason string) {
	c.count(reason)
	c.notes = append(c.notes, ServerProblem{s.info.ID, reason, len(s.runs), c.now - s.recvAt})
}

// New returns a core that takes over what a ledger says.
func New(p Params, l *ledger.Ledger, config *jobs.Configuration, now time.Duration, wallMS int64) *Core {
	c := &Core{
		params: p, servers: map[string]*server{}, jobs: map[string]*job{}, usage: map[string]jobs.Resources{},
		dirty: map[string]*job{}, ended: map[string]bool{}, learned: map[string]*runtime{}, events: map[string]int{},
		arrivals: map[string]*arrivals{}, shares: map[string]*share{}, ahead: map[string]int{},
		admission: admission{admitted: map[string]admitted{}, turned: map[string]turned{}, accepted: map[string]time.Duration{}, since: now},
		now:       now, wallMS: wallMS,
	}
	c.SetConfiguration(config)
	for id, s := range l.Servers {
		srv := c.newServer(jobs.Server{ID: id, Service: s.Service, Address: s.Address, BornMS: s.BornMS, Machine: s.Machine})
		srv.recorded = true
		srv.lapsesAt = c.lapseAfter(p.PredecessorsUntil)
	}
	for id, e := range l.Jobs {
		if e.Submission != nil && e.Final == nil {
			c.addJob(e)
			j := c.jobs[id]
			if j == nil {
				continue // it had failed, and nothing of it runs
			}
			j.inherited = e.Progress.MayHaveStarted
			if e.Cancelled {
				c.cancel(j)
			}
		}
	}
	return c
}

// lapseAfter returns when a lease has lapsed that was given at a time at the latest.
func (c *Core) lapseAfter(given time.Duration) time.Duration {
	return given + scaled(c.params.Lease) + leaseSlack
}

// PredecessorsStoppedBy notes that former dispatchers gave no more orders after a time. Servers that haven't answered this dispatcher have leases of
// theirs only.
func (c *Core) PredecessorsStoppedBy(at time.Duration) {
	for _, s := range c.servers {
		if s.recorded && !s.swept && s.recvAt == 0 {
			s.lapsesAt = min(s.lapsesAt, c.lapseAfter(at))
		}
	}
}

// scaled returns how long a span on a server's clock may take.
func scaled(d time.Duration) time.Duration { return time.Duration(float64(d) / clockRate) }

// SetConfiguration puts a configuration in force.
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

// serviceOf returns the pool on which a job runs now: that of its queue, or the last one known if the queue is gone.
func (c *Core) serviceOf(j *job) string {
	if r := c.routes[j.sub.Route]; r != nil {
		return r.Service
	}
	return j.sub.Service
}

// Advance sets the time, and whether this dispatcher is known to be the only one. If it isn't, another one may have extended leases.
func (c *Core) Advance(now time.Duration, wallMS int64, alone bool) {
	c.now, c.wallMS, c.alone = now, wallMS, alone
}

// TakeOrders returns the orders decided since the last call.
func (c *Core) TakeOrders() []Order {
	o := c.orders
	c.orders = nil
	return o
}

func (c *Core) count(event string) { c.events[event]++ }

// TakeEventCounts returns how often what happened since the last call, by reason.
func (c *Core) TakeEventCounts() map[string]int {
	events := c.events
	c.events = map[string]int{}
	return events
}
