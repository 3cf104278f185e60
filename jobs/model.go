// Package jobs holds the types of the jobs subsystem: what callers submit, what operators configure, and what backend servers report.
// It does no I/O and is independent of external formats.
package jobs

import (
	"strconv"
	"strings"
	"time"
)

// Resources are amounts of a server's capacity.
type Resources struct {
	CPU      int64 `json:"c,omitempty"` // thousandths of a core
	MemoryMB int64 `json:"m,omitempty"`
	GPU      int64 `json:"g,omitempty"` // accelerators
}

// Add returns the sum of two amounts.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.CPU + o.CPU, r.MemoryMB + o.MemoryMB, r.GPU + o.GPU}
}

// Sub returns the difference of two amounts.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.CPU - o.CPU, r.MemoryMB - o.MemoryMB, r.GPU - o.GPU}
}

// Times returns n times the amounts.
func (r Resources) Times(n int) Resources {
	return Resources{r.CPU * int64(n), r.MemoryMB * int64(n), r.GPU * int64(n)}
}

// Over returns by how much r is over o in each kind of resource, and 0 where it isn't.
func (r Resources) Over(o Resources) Resources {
	return Resources{max(r.CPU-o.CPU, 0), max(r.MemoryMB-o.MemoryMB, 0), max(r.GPU-o.GPU, 0)}
}

// Fits reports whether r is at most capacity in each kind of resource.
func (r Resources) Fits(capacity Resources) bool {
	return r.CPU <= capacity.CPU && r.MemoryMB <= capacity.MemoryMB && r.GPU <= capacity.GPU
}

// Within reports whether r is at most limit in each kind of resource. A limit of 0 means no limit on that kind.
func (r Resources) Within(limit Resources) bool {
	return (limit.CPU == 0 || r.CPU <= limit.CPU) && (limit.MemoryMB == 0 || r.MemoryMB <= limit.MemoryMB) &&
		(limit.GPU == 0 || r.GPU <= limit.GPU)
}

// DominantShare returns the largest share of capacity that r takes in any kind of resource. Kinds that capacity lacks don't count.
func (r Resources) DominantShare(capacity Resources) float64 {
	share := 0.0
	for _, kind := range [][2]int64{{r.CPU, capacity.CPU}, {r.MemoryMB, capacity.MemoryMB}, {r.GPU, capacity.GPU}} {
		if kind[1] > 0 {
			share = max(share, float64(kind[0])/float64(kind[1]))
		}
	}
	return share
}

// Step is one stage of a job: tasks of equal size.
type Step struct {
	Count        int       `json:"n"`
	Need         Resources `json:"r"`            // of each task
	EstimateMS   int64     `json:"e,omitempty"`  // declared run time of a task
	After        []int     `json:"a,omitempty"`  // steps whose tasks must all be done first
	Gang         bool      `json:"ga,omitempty"` // all tasks start together or none
	SameRack     bool      `json:"sr,omitempty"` // the gang runs best on servers of one rack
	Label        string    `json:"l,omitempty"`  // label that the server must have
	Rack         string    `json:"ra,omitempty"` // label of the rack that holds the tasks' data
	MaxPerServer int       `json:"mx,omitempty"` // most tasks of the step on one server; 0 means no limit
	Checkpoints  bool      `json:"ck,omitempty"`
	Speculative  bool      `json:"sp,omitempty"`
	LongRunning  bool      `json:"lr,omitempty"`
	Image        string    `json:"im,omitempty"`
	TargetMS     int64     `json:"t,omitempty"`  // target tail latency of a task that serves requests
	Fills        bool      `json:"f,omitempty"`  // filler task: uses only processors that other tasks leave idle
	MissBudget   int       `json:"mb,omitempty"` // tasks that may be unavailable at once through the system's own actions
}

// Allocation returns the resources that a task reserves on its server. A filler task reserves no processors.
func (s Step) Allocation() Resources {
	if s.Fills {
		return Resources{0, s.Need.MemoryMB, s.Need.GPU}
	}
	return s.Need
}

// Spec is a job as submitted.
type Spec struct {
	Text     string `json:"x"` // passed on to the backend servers unchanged
	Steps    []Step `json:"s"`
	FirstMS  int64  `json:"fm,omitempty"` // Unix time at which the first occurrence is due
	EveryMS  int64  `json:"ev,omitempty"` // interval between two occurrences
	Repeated int    `json:"rp,omitempty"` // number of occurrences; 0 for a job that isn't scheduled
}

// Scheduled reports whether the job has occurrences at scheduled times.
func (s Spec) Scheduled() bool { return s.Repeated > 0 }

// LongRunning reports whether the job runs until it is cancelled.
func (s Spec) LongRunning() bool {
	for _, step := range s.Steps {
		if step.LongRunning {
			return true
		}
	}
	return false
}

// Submission is an accepted job, with the settings of its queue at the time of acceptance.
type Submission struct {
	ID          string  `json:"id"`
	Route       string  `json:"q"` // name of the queue
	Service     string  `json:"sv"`
	Workspace   string  `json:"ws,omitempty"`
	Priority    int     `json:"pr,omitempty"` // 0 is the highest
	MaxAttempts int     `json:"ma,omitempty"`
	SlackFactor float64 `json:"sl,omitempty"` // the job is on time within SlackFactor times the run time of its critical path plus TargetMS
	TargetMS    int64   `json:"tl,omitempty"` // target latency of the queue
	ReceivedMS  int64   `json:"at"`           // Unix time
	Spec        Spec    `json:"sp"`
}

// Phase is the state of a job as shown to callers.
type Phase string

// The phases of a job.
const (
	Queued    Phase = "queued"
	Running   Phase = "running"
	Complete  Phase = "complete"
	Failed    Phase = "failed"
	Cancelled Phase = "cancelled"
)

// TaskID names one task of a job.
type TaskID struct {
	Job        string
	Occurrence int
	Step       int
	Index      int
}

// String returns the name by which backend servers know the task.
func (t TaskID) String() string {
	return t.Job + "." + strconv.Itoa(t.Occurrence) + "." + strconv.Itoa(t.Step) + "." + strconv.Itoa(t.Index)
}

// StepName returns the name of the task's step in its occurrence.
func (t TaskID) StepName() string {
	return t.Job + "." + strconv.Itoa(t.Occurrence) + "." + strconv.Itoa(t.Step)
}

// ParseTaskID parses a name that String returned.
func ParseTaskID(s string) (TaskID, bool) {
	parts := strings.Split(s, ".")
	if len(parts) != 4 {
		return TaskID{}, false
	}
	var n [3]int
	for i := range n {
		v, err := strconv.Atoi(parts[i+1])
		if err != nil || v < 0 {
			return TaskID{}, false
		}
		n[i] = v
	}
	return TaskID{parts[0], n[0], n[1], n[2]}, true
}

// Route is a queue of the configuration.
type Route struct {
	Name, Host, Prefix, Service string
	Priority, MaxAttempts       int
	SlackFactor                 float64
	TargetMS                    int64
	Public                      bool
	// Policy, if set, means that a start needs a ticket: the queue's policy allows only some servers to run a step.
	Policy *Policy
}

// Policy holds the timing of a queue's policy service: a response takes Decision plus PerServer for each server in the request, and
// tickets are valid for Valid.
type Policy struct {
	Decision, PerServer, Valid time.Duration
}

// TicketRequest asks the policy service which of the listed servers may run a step.
type TicketRequest struct {
	Job        string
	Occurrence int
	Step       int
	Servers    []string
}

// TicketGrant is the response to a TicketRequest: a ticket for each server that may run the step.
type TicketGrant struct {
	Tickets map[string]string
	Valid   time.Duration
}

// Service is a pool of backend servers.
type Service struct {
	Name  string
	Spare bool // its machines are off and cost nothing
}

// Workspace is a group of members with API keys, a fair share and an upper limit.
type Workspace struct {
	Name   string
	Keys   []string
	Weight float64   // fair share when the fleet is full; also the guaranteed rate in jobs per second
	Limit  Resources // on the resources in use across the fleet; 0 means no limit
}

// Configuration is the operators' configuration in force.
type Configuration struct {
	Version        int64
	Routes         []Route
	Services       map[string]Service
	Workspaces     []Workspace
	MaxHeaderBytes int64 // of the head of a call; 0 means that none is set
	MaxBodyBytes   int64
}

// Server is what a backend server reports about itself.
type Server struct {
	ID, Service, Address, DataCentre, Machine string
	Ready                                     bool // neither draining nor leaving
	Capacity                                  Resources
	Labels                                    []string // its kind, then its rack
	BornMS                                    int64    // start of this incarnation, Unix time
	RemainingMS                               int64    // minimum time that is left while it drains
	WarmUpMS                                  int64    // how much longer it stays slow after its start
}

// Rack returns the label that names the server's rack.
func (s Server) Rack() string {
	if len(s.Labels) == 0 {
		return ""
	}
	return s.Labels[len(s.Labels)-1]
}

// HasLabel reports whether the server has a label. Every server has the empty label.
func (s Server) HasLabel(label string) bool {
	if label == "" {
		return true
	}
	for _, l := range s.Labels {
		if l == label {
			return true
		}
	}
	return false
}

// RunState is a run that a server lists as active.
type RunState struct {
	Task       string
	Attempt    int64
	Checkpoint string
	Percent    int
	Load       float64 // tail latency in milliseconds of a task that serves requests, processors in use of any other
}

// End is the end of a run, as its server reports it.
type End struct {
	Number     int64 // increases from 1 in each incarnation of a server
	Task       string
	Attempt    int64
	How        EndKind
	Checkpoint string
}

// EndKind is the way in which a run ended.
type EndKind string

// The ways in which a run ends.
const (
	EndDone         EndKind = "done"
	EndFailed       EndKind = "failed"
	EndStopped      EndKind = "stopped"
	EndLeaseExpired EndKind = "lapsed"
	EndGangEnded    EndKind = "broken" // another member of its gang ended
	EndGangTimeout  EndKind = "alone"  // it waited too long for the other members of its gang
)

// Report is a server's response to a renewal.
type Report struct {
	ClockMS int64 // the server's own clock
	BornMS  int64
	Active  []RunState
	Ended   []End // in ascending order; the first of those that aren't acknowledged
	// MoreEnds says that the server may have further ends, which it reports once the first ones are acknowledged.
	MoreEnds bool
	// Repeated says that the renewal was sent twice, because it got no answer the first time. The server may carry it out a second time.
	Repeated bool
}

// StartResult is a server's response to a start.
type StartResult int

// The responses to a start.
const (
	Started      StartResult = iota
	StartUnknown             // no response: the task may run, now or later
	StartNoCapacity
	StartFenced        // the server has seen a higher fencing token
	StartSuperseded    // a later run of the task was stopped or has ended there
	StartLeaseExpired  // the lease had expired when the start arrived
	StartUnhealthy     // the server did nothing
	StartWrongInstance // another server responded
	StartInvalid
	StartNoTicket  // the ticket that the queue's policy requires is missing or no longer valid
	StartRestarted // the server has restarted under its id, and the start wasn't sent
	StartEvacuated // the server's data centre is evacuated, and the start wasn't sent
	// StartViewOutdated means that the start wasn't sent because the node doesn't know which data centres are evacuated.
	StartViewOutdated
)

// Order is an order to start one task on one server.
type Order struct {
	Task       TaskID
	Attempt    int64
	Text       string
	Checkpoint string
	LeaseUntil int64  // on the server's clock, in milliseconds
	Fence      int64  // fencing token of the dispatcher
	Ticket     string // if the queue has a policy
	// LongRunning means that other tasks of the step may have to wait until this one is serving.
	LongRunning bool
}

// Machine is a machine of the fleet as the platform lists it.
type Machine struct {
	ID, Pool, Server string
	DataCentre       string
	Up               bool
	Phase            string
	Capacity         Resources
	Labels           []string
}

// Phases of a machine in which it has no runs.
const (
	MachineInUpkeep = "upkeep" // down for its upkeep
	MachineMoving   = "moving" // being moved to another pool
)

// Wave is a request for the upkeep of machines.
type Wave struct {
	Number        int64
	Machines      []string
	DurationS     float64 // requested duration, in seconds
	MaxConcurrent int     // most machines that may be down at once
}

// Milliseconds converts a number of milliseconds to a duration.
func Milliseconds(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }
