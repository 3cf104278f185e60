// Package backendserver is a stand-in for a worker of the platform: it runs tasks in slots under leases, with fencing tokens, and has
// switches for the ways in which workers fail. It serves tests and the dev command only.
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

// TaskFunc runs a task. It returns a *backend.Checkpoint if Signals.Checkpoint is closed before the end and the task can be saved.
type TaskFunc func(ctx context.Context, t backend.Task, s Signals) ([]byte, error)

// Signals reach a running task. Each channel is closed when its signal comes.
type Signals struct {
	Checkpoint <-chan struct{} // save the state and end
	Throttle   <-chan struct{} // run at half the speed from now on
}

// Options are the settings of a Server.
type Options struct {
	Name  string
	Slots int
	Run   TaskFunc // nil for Sleep
	// OnStart is called for every task that starts, before it runs.
	OnStart func(backend.Task)
	// UsageLag is how far the reports of running tasks lag.
	UsageLag time.Duration
}

// Faults are the switches of a Server. The zero value is a healthy one.
type Faults struct {
	Delay    time.Duration // added before each task runs
	Late     time.Duration // added between the end of a task and its answer
	FailAll  bool          // every task fails at once
	Hang     bool          // tasks start and never end
	Truncate bool          // answers stop halfway
	Cross    bool          // answers carry the id of another task
	Corrupt  bool          // answers have other bytes than their digest says
	Drop     bool          // the connection breaks after the task has run
}

type task struct {
	backend.Task
	started    time.Time
	until      int64
	cancel     context.CancelCauseFunc
	checkpoint chan struct{}
	throttle   chan struct{}
	saved      bool
	throttled  bool
}

// Server is one worker.
type Server struct {
	options Options
	bootID  string
	start   time.Time

	mu        sync.Mutex
	faults    Faults
	tasks     map[string]*task
	seen      map[string]bool
	fences    map[string]uint64
	poolEpoch uint64
	draining  bool
}

// New returns a worker without tasks.
func New(o Options) *Server {
	if o.Run == nil {
		o.Run = Sleep
	}
	return &Server{
		options: o,
		bootID:  ulid.Make().String(),
		start:   time.Now(),
		tasks:   map[string]*task{},
		seen:    map[string]bool{},
		fences:  map[string]uint64{},
	}
}

// SetFaults replaces the switches.
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

func (s *Server) clockMillis() int64 { return time.Since(s.start).Milliseconds() }

// refusal is the reason for which a task did not start.
type refusal string

// begin checks a task and starts counting it. It returns the reason if the task may not start.
func (s *Server) begin(ctx context.Context, t backend.Task) (*task, context.Context, refusal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if reason := s.check(t); reason != "" {
		return nil, nil, reason
	}
	s.seen[t.ID] = true
	s.fences[t.Holder] = t.Fence
	ctx, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	running := &task{Task: t, started: time.Now(), until: t.LeaseUntil, cancel: cancel, checkpoint: make(chan struct{}), throttle: make(chan struct{})}
	s.tasks[t.ID] = running
	return running, ctx, ""
}

func (s *Server) check(t backend.Task) refusal {
	switch {
	case t.Fence < s.fences[t.Holder]:
		return "fence"
	case t.PoolEpoch < s.poolEpoch:
		return "epoch"
	case s.draining:
		return "draining"
	case t.BootID != s.bootID:
		return backend.ReasonBoot
	case s.seen[t.ID]:
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

// Causes for which the server ends a task.
var (
	errLease   = errors.New("lease")
	errStopped = errors.New("stopped")
	errFailed  = errors.New("failed")
)

// run runs a task that has begun and frees its slot.
func (s *Server) run(ctx context.Context, t *task) ([]byte, error) {
	defer s.end(t)
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

func (s *Server) end(t *task) {
	t.cancel(nil)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.tasks, t.ID)
}

// watchLease stops the task when its lease runs out.
func (s *Server) watchLease(ctx context.Context, t *task) {
	for {
		s.mu.Lock()
		left := t.until - s.clockMillis()
		s.mu.Unlock()
		if left <= 0 {
			t.cancel(errLease)
			return
		}
		if sleep(ctx, time.Duration(left)*time.Millisecond) != nil {
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

// renew moves the lease ends of a holder's tasks. A lease never gets shorter.
func (s *Server) renew(r backend.LeaseRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Fence < s.fences[r.Holder] || r.BootID != s.bootID {
		return
	}
	for id, until := range r.Until {
		if t, ok := s.tasks[id]; ok && t.Holder == r.Holder {
			t.until = max(t.until, until)
		}
	}
}

// action is what a holder may do to its running task.
type action string

const (
	stop       action = "stop"
	checkpoint action = "checkpoint"
	throttle   action = "throttle"
)

// signal passes an action on to a task of its holder.
func (s *Server) signal(id string, r backend.TaskRequest, do action) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t, ok := s.tasks[id]
	if !ok || t.Holder != r.Holder || r.Fence < s.fences[r.Holder] {
		return
	}
	switch {
	case do == stop:
		t.cancel(errStopped)
	case do == checkpoint && !t.saved:
		t.saved = true
		close(t.checkpoint)
	case do == throttle && !t.throttled:
		t.throttled = true
		close(t.throttle)
	}
}

// setDraining starts or ends a drain, unless a later epoch was seen.
func (s *Server) setDraining(epoch uint64, draining bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if epoch < s.poolEpoch {
		return
	}
	s.poolEpoch = epoch
	s.draining = draining
}

// Kill ends all tasks, as the end of the process does.
func (s *Server) Kill() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
	for _, t := range s.tasks {
		t.cancel(errStopped)
	}
}

// restart forgets everything, as a new process at the same address does. Tasks that run end.
func (s *Server) restart() {
	s.Kill()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.start = time.Now()
	s.seen = map[string]bool{}
	s.fences = map[string]uint64{}
	s.poolEpoch = 0
	s.draining = false
}

// Status returns the state of the worker.
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

// SleepTask is the body of a task for Sleep.
type SleepTask struct {
	Order     string `json:"order,omitempty"`
	RunMillis int    `json:"run_millis"`
	Fail      bool   `json:"fail,omitempty"`
}

// Sleep is a Work that takes the time its body asks for and answers with the body. A checkpoint saves the time that is left; a throttle doubles
// it.
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
			left := 2 * time.Until(end)
			end = time.Now().Add(left)
			timer.Reset(left)
		case <-s.Checkpoint:
			return nil, saved(in, time.Until(end))
		}
	}
}

// saved returns the checkpoint of a task that has some time left.
func saved(in SleepTask, left time.Duration) error {
	in.RunMillis = int(max(0, left).Milliseconds())
	state, err := json.Marshal(in)
	if err != nil {
		return err
	}
	return &backend.Checkpoint{State: state}
}
