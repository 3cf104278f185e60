// Package taskserver is a small stand-in for a backend server that runs tasks under leases, for tests and trials. The lease end is recorded but not
// enforced: tasks don't stop when it passes.
package taskserver

import (
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Server is a backend server that runs tasks by waiting for their run time. It implements http.Handler.
type Server struct {
	ID      string
	RunTime time.Duration // run time of every task
	// Ticket, if set, returns the ticket that a start must carry for a step.
	Ticket func(step string) string
	// CrashedBy, if set, says which tasks crash the server when they start. It drops all calls for Downtime and then calls OnRestart.
	CrashedBy func(task string) bool
	Downtime  time.Duration
	OnRestart func()

	mu             sync.Mutex
	down           bool
	startedAt      time.Time
	leaseUntil     int64
	highestFence   int64
	active         map[string]*run
	latestAttempts map[string]int64
	endings        []any
	lastEnding     int64
	starts         map[string]int // by task
	rejected       int
	reportedEnding int64 // number of the newest ending that was reported
	repeats        int
	endingAdded    chan struct{}
	mux            *http.ServeMux
}

// run is a running attempt of a task.
type run struct {
	attempt int64
	timer   *time.Timer
}

// New returns a server whose tasks each run for runTime.
func New(id string, runTime time.Duration) *Server {
	s := &Server{
		ID: id, RunTime: runTime, startedAt: time.Now(), active: map[string]*run{}, latestAttempts: map[string]int64{}, starts: map[string]int{},
		endingAdded: make(chan struct{}), mux: http.NewServeMux(),
	}
	s.mux.HandleFunc("POST /run-start", s.handleStart)
	s.mux.HandleFunc("POST /run-stop", s.handleStop)
	s.mux.HandleFunc("POST /hold", s.handleHold)
	return s
}

// Registration returns the record by which the server announces itself in the store.
func (s *Server) Registration(service, address string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	data, _ := json.Marshal(map[string]any{ // maps and lists of plain values always encode
		"service": service, "address": address, "zone": "z", "phase": "ready", "host_machine": "m-" + s.ID, "born": s.startedAt.UnixMilli(),
		"room": map[string]int{"cpu": 64000, "mem_mb": 131072}, "labels": []string{"a", "r1"}, "clock_ms": s.clock(), "sequence": 1,
	})
	return data
}

// Starts returns how many times each task has started on this server.
func (s *Server) Starts() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]int{}
	for k, n := range s.starts {
		out[k] = n
	}
	return out
}

// Rejected returns the number of starts that were rejected because they did not carry the right ticket.
func (s *Server) Rejected() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rejected
}

// ResetRepeats sets the count of Repeats to 0.
func (s *Server) ResetRepeats() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.repeats = 0
}

// Repeats returns the number of reports whose endings had all been reported before.
func (s *Server) Repeats() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.repeats
}

func (s *Server) clock() int64 { return time.Since(s.startedAt).Milliseconds() }

// ServeHTTP serves a call, unless it is meant for another incarnation of the server.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if want := r.Header.Get("Comfreyrouter-Expect-Instance"); want != "" && want != s.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.mux.ServeHTTP(w, r)
}

// crash loses all runs and everything that the server knows. The lock must be held.
func (s *Server) crash() {
	for _, r := range s.active {
		r.timer.Stop()
	}
	s.down = true
	time.AfterFunc(s.Downtime, func() {
		s.mu.Lock()
		s.down, s.startedAt, s.leaseUntil, s.highestFence, s.lastEnding = false, time.Now(), 0, 0, 0
		s.active, s.latestAttempts, s.endings = map[string]*run{}, map[string]int64{}, nil
		s.mu.Unlock()
		s.OnRestart()
	})
}

// order is the body of a call: an order to the server, of which each call uses some fields.
type order struct {
	Task      string `json:"task"`
	Attempt   int64  `json:"attempt"`
	Deadline  int64  `json:"deadline_ms"`
	Fence     int64  `json:"fencing_token"`
	AckCursor int64  `json:"ack_cursor"`
	WaitMS    int64  `json:"wait_ms"`
	Ticket    string `json:"ticket"`
}

// readOrder reads an order and refuses one of a predecessor of the current dispatcher. If it returns true, the caller must release the lock.
func (s *Server) readOrder(w http.ResponseWriter, r *http.Request) (order, bool) {
	var o order
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return o, false
	}
	s.mu.Lock()
	if s.down {
		s.mu.Unlock()
		panic(http.ErrAbortHandler) // closes the connection without an answer
	}
	if o.Fence < s.highestFence {
		s.mu.Unlock()
		s.writeJSON(w, http.StatusConflict, map[string]any{"reason": "fence"})
		return o, false
	}
	s.highestFence = o.Fence
	return o, true
}

func (s *Server) writeJSON(w http.ResponseWriter, status int, body map[string]any) {
	body["clock_ms"], body["born"] = s.clock(), s.startedAt.UnixMilli()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // fails only if the client has disconnected
}

func (s *Server) handleStart(w http.ResponseWriter, r *http.Request) {
	o, ok := s.readOrder(w, r)
	if !ok {
		return
	}
	defer s.mu.Unlock()
	if s.Ticket != nil && o.Ticket != s.Ticket(o.Task[:strings.LastIndex(o.Task, ".")]) {
		s.rejected++
		s.writeJSON(w, http.StatusConflict, map[string]any{"reason": "ticket"})
		return
	}
	if s.latestAttempts[o.Task] >= o.Attempt {
		s.writeJSON(w, http.StatusConflict, map[string]any{"reason": "old"})
		return
	}
	if s.active[o.Task] == nil {
		s.starts[o.Task]++
		s.active[o.Task] = &run{o.Attempt, time.AfterFunc(s.RunTime, func() { s.finish(o.Task, o.Attempt) })}
	}
	s.leaseUntil = max(s.leaseUntil, o.Deadline)
	if s.CrashedBy != nil && s.CrashedBy(o.Task) {
		s.crash()
	}
	s.writeJSON(w, http.StatusOK, map[string]any{})
}

func (s *Server) finish(task string, attempt int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r := s.active[task]; r != nil && r.attempt == attempt {
		s.recordEnding(task, "done")
	}
}

// recordEnding ends a run and adds it to the endings that are reported until they are acknowledged. The lock must be held.
func (s *Server) recordEnding(task, how string) {
	r := s.active[task]
	r.timer.Stop()
	delete(s.active, task)
	s.latestAttempts[task] = max(s.latestAttempts[task], r.attempt)
	s.lastEnding++
	s.endings = append(s.endings, []any{s.lastEnding, task, r.attempt, how, ""})
	close(s.endingAdded)
	s.endingAdded = make(chan struct{})
}

func (s *Server) handleStop(w http.ResponseWriter, r *http.Request) {
	o, ok := s.readOrder(w, r)
	if !ok {
		return
	}
	defer s.mu.Unlock()
	s.latestAttempts[o.Task] = max(s.latestAttempts[o.Task], o.Attempt)
	if s.active[o.Task] != nil {
		s.recordEnding(o.Task, "stopped")
	}
	s.writeJSON(w, http.StatusOK, map[string]any{})
}

func (s *Server) handleHold(w http.ResponseWriter, r *http.Request) {
	o, ok := s.readOrder(w, r)
	if !ok {
		return
	}
	s.leaseUntil = max(s.leaseUntil, o.Deadline)
	for len(s.endings) > 0 && s.endings[0].([]any)[0].(int64) <= o.AckCursor {
		s.endings = s.endings[1:]
	}
	endingAdded := s.endingAdded
	wait := len(s.endings) == 0
	s.mu.Unlock()
	if wait {
		select {
		case <-endingAdded:
		case <-time.After(time.Duration(o.WaitMS) * time.Millisecond):
		case <-r.Context().Done():
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		panic(http.ErrAbortHandler)
	}
	if len(s.endings) > 0 && s.lastEnding == s.reportedEnding {
		s.repeats++
	}
	s.reportedEnding = s.lastEnding
	active := []any{}
	for task, run := range s.active {
		active = append(active, []any{task, run.attempt, "", 100, 0})
	}
	s.writeJSON(w, http.StatusOK, map[string]any{"active": active, "finished": append([]any{}, s.endings...)})
}
