// Package backendserver is a stand-in for a backend server: it runs tasks in slots under leases, checks fencing tokens, and injects the faults that
// backend servers have. Only tests and the development commands use it.
package backendserver

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/oklog/ulid/v2"

	"example.org/comfreyrouter/backend"
)

// TaskFunc runs a task. It returns a *backend.Checkpoint as its error if Signals.Checkpoint is closed before the task ends and its state can be
// saved.
type TaskFunc func(ctx context.Context, t backend.Task, s Signals) ([]byte, error)

// Signals notify a running task. Each channel is closed when its signal is sent.
type Signals struct {
	Checkpoint <-chan struct{} // save the state and return
	Throttle   <-chan struct{} // run at half speed from now on
}

// Options configure a Server.
type Options struct {
	Name  string
	Slots int
	Run   TaskFunc // nil for Sleep
	// OnStart is called for every task that starts, before it runs.
	OnStart func(backend.Task)
	// UsageLag is the delay after which a started task shows in the list of running tasks.
	UsageLag time.Duration
}

// Faults are the faults that a Server injects. The zero value is a healthy server. The names of the fields are also the JSON names in the body of
// POST /v1/faults.
type Faults struct {
	Delay    time.Duration // added before each task runs
	Late     time.Duration // added between the end of a task and its response
	FailAll  bool          // every task fails at once
	Hang     bool          // tasks start and never end
	Truncate bool          // responses stop after half of the body
	Cross    bool          // responses carry the id and the body of another task
	Corrupt  bool          // the bodies of responses don't match their digests
	Drop     bool          // the connection closes without a response after the task has run
}

type task struct {
	backend.Task
	started      time.Time
	leaseEnd     int64
	cancel       context.CancelCauseFunc
	checkpoint   chan struct{}
	throttle     chan struct{}
	checkpointed bool
	throttled    bool
}

// Server is a backend server.
type Server struct {
	options   Options
	bootID    string
	startedAt time.Time

	mu           sync.Mutex
	faults       Faults
	tasks        map[string]*task
	startedTasks map[string]bool
	fences       map[string]uint64 // highest fencing token of each holder
	poolEpoch    uint64
	draining     bool
}

// New returns a backend server without tasks.
func New(o Options) *Server {
	if o.Run == nil {
		o.Run = Sleep
	}
	return &Server{
		options:      o,
		bootID:       ulid.Make().String(),
		startedAt:    time.Now(),
		tasks:        map[string]*task{},
		startedTasks: map[string]bool{},
		fences:       map[string]uint64{},
	}
}

// SetFaults replaces the injected faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

func (s *Server) currentFaults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

func (s *Server) clockMillis() int64 { return time.Since(s.startedAt).Milliseconds() }

// refusal is the reason why a task was not started.
type refusal string

// admit checks a task and registers it as running. If the task may not start, it returns the reason.
func (s *Server) admit(ctx context.Context, t backend.Task) (*task, context.Context, refusal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if reason := s.refusalOf(t); reason != "" {
		return nil, nil, reason
	}
	s.startedTasks[t.ID] = true
	s.fences[t.Holder] = t.Fence
	ctx, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	running := &task{
		Task: t, started: time.Now(), leaseEnd: t.LeaseUntil, cancel: cancel, checkpoint: make(chan struct{}), throttle: make(chan struct{}),
	}
	s.tasks[t.ID] = running
	return running, ctx, ""
}

// refusalOf returns the reason why a task may not start, or "" if it may. The lock must be held.
func (s *Server) refusalOf(t backend.Task) refusal {
	switch {
	case t.Fence < s.fences[t.Holder]:
		return "fence"
	case t.PoolEpoch < s.poolEpoch:
		return "epoch"
	case s.draining:
		return "draining"
	case t.BootID != s.bootID:
		return backend.ReasonBoot
	case s.startedTasks[t.ID]:
		return "duplicate"
	case t.StartUntil < s.clockMillis():
		return "late"
	case t.LeaseUntil <= s.clockMillis():
		return "lease"
	case len(s.tasks) >= s.options.Slots:
		return "busy"
	}
	return ""
}

// Causes with which tasks end. Their texts are sent in the reason header of the response.
var (
	errLeaseExpired = errors.New("lease")
	errStopped      = errors.New("stopped")
	errFailed       = errors.New("failed")
)

// runTask runs an admitted task and then frees its slot.
func (s *Server) runTask(ctx context.Context, t *task) ([]byte, error) {
	defer s.finish(t)
	go s.watchLease(ctx, t)
	if s.options.OnStart != nil {
		s.options.OnStart(t.Task)
	}
	f := s.currentFaults()
	switch {
	case f.FailAll:
		return nil, errFailed
	case f.Hang:
		<-ctx.Done()
		return nil, context.Cause(ctx)
	}
	if err := sleep(ctx, f.Delay); err != nil {
		return nil, err
	}
	body, err := s.options.Run(ctx, t.Task, Signals{Checkpoint: t.checkpoint, Throttle: t.throttle})
	if ctx.Err() != nil {
		return nil, context.Cause(ctx)
	}
	return body, err
}

func (s *Server) finish(t *task) {
	t.cancel(nil)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.tasks, t.ID)
}

// watchLease cancels the task when its lease expires.
func (s *Server) watchLease(ctx context.Context, t *task) {
	for {
		s.mu.Lock()
		remaining := t.leaseEnd - s.clockMillis()
		s.mu.Unlock()
		if remaining <= 0 {
			t.cancel(errLeaseExpired)
			return
		}
		if sleep(ctx, time.Duration(remaining)*time.Millisecond) != nil {
			return
		}
	}
}

func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// renew extends the leases of a holder's tasks. A renewal never shortens a lease.
func (s *Server) renew(r backend.LeaseRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Fence < s.fences[r.Holder] || r.BootID != s.bootID {
		return
	}
	for id, until := range r.Until {
		if t, ok := s.tasks[id]; ok && t.Holder == r.Holder {
			t.leaseEnd = max(t.leaseEnd, until)
		}
	}
}

// action is what a holder may request for its running task.
type action string

const (
	stop       action = "stop"
	checkpoint action = "checkpoint"
	throttle   action = "throttle"
)

// signal applies an action to a running task. It ignores requests of other holders and those with an outdated fencing token.
func (s *Server) signal(id string, r backend.TaskRequest, a action) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t, ok := s.tasks[id]
	if !ok || t.Holder != r.Holder || r.Fence < s.fences[r.Holder] {
		return
	}
	switch {
	case a == stop:
		t.cancel(errStopped)
	case a == checkpoint && !t.checkpointed:
		t.checkpointed = true
		close(t.checkpoint)
	case a == throttle && !t.throttled:
		t.throttled = true
		close(t.throttle)
	}
}

// setDraining starts or ends a drain, unless a request with a later epoch came before.
func (s *Server) setDraining(epoch uint64, draining bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if epoch < s.poolEpoch {
		return
	}
	s.poolEpoch = epoch
	s.draining = draining
}

// Kill ends all tasks and refuses new ones, as the end of the process would.
func (s *Server) Kill() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
	for _, t := range s.tasks {
		t.cancel(errStopped)
	}
}

// restart ends all tasks and resets the clock, the ids of started tasks, the fencing tokens, the pool epoch and the drain, as a new process at the
// same address would. The boot ID stays.
func (s *Server) restart() {
	s.Kill()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.startedAt = time.Now()
	s.startedTasks = map[string]bool{}
	s.fences = map[string]uint64{}
	s.poolEpoch = 0
	s.draining = false
}

// Status returns the state of the server and all its running tasks.
func (s *Server) Status() backend.Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := backend.Status{
		Name:         s.options.Name,
		BootID:       s.bootID,
		ClockMillis:  s.clockMillis(),
		Slots:        s.options.Slots,
		Draining:     s.draining,
		PoolEpoch:    s.poolEpoch,
		ByHolder:     map[string]int{},
		RunningCount: len(s.tasks),
	}
	for _, t := range s.tasks {
		cores := 1.0
		if t.throttled {
			cores = 0.5
		}
		st.ByHolder[t.Holder]++
		st.Running = append(st.Running, backend.TaskStatus{
			ID: t.ID, Holder: t.Holder, Team: t.Team, Queue: t.Queue, Class: t.Class, RunTime: time.Since(t.started), Cores: cores,
		})
	}
	return st
}

// SleepTask is the body of a task that Sleep runs.
type SleepTask struct {
	Order     string `json:"order,omitempty"`
	RunMillis int    `json:"run_millis"`
	Fail      bool   `json:"fail,omitempty"`
}

// Sleep is a TaskFunc that waits for the run time in the task's body and returns the body. A checkpoint saves the remaining time; throttling doubles
// it. A body that is not a SleepTask is returned at once.
func Sleep(ctx context.Context, t backend.Task, s Signals) ([]byte, error) {
	var in SleepTask
	if err := json.Unmarshal(t.Body, &in); err != nil {
		return t.Body, nil
	}
	if in.Fail {
		return nil, errFailed
	}
	end := time.Now().Add(time.Duration(in.RunMillis) * time.Millisecond)
	timer := time.NewTimer(time.Until(end))
	defer timer.Stop()
	throttled := s.Throttle
	for {
		select {
		case <-timer.C:
			return t.Body, nil
		case <-ctx.Done():
			return nil, context.Cause(ctx)
		case <-throttled:
			throttled = nil
			remaining := 2 * time.Until(end)
			end = time.Now().Add(remaining)
			timer.Reset(remaining)
		case <-s.Checkpoint:
			return nil, newCheckpoint(in, time.Until(end))
		}
	}
}

// newCheckpoint returns the checkpoint of a task with the remaining run time.
func newCheckpoint(in SleepTask, remaining time.Duration) error {
	in.RunMillis = int(max(0, remaining).Milliseconds())
	state, err := json.Marshal(in)
	if err != nil {
		return err
	}
	return &backend.Checkpoint{State: state}
}
