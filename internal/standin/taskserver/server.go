// Package taskserver is a small stand-in of a backend server that runs tasks under leases, for tests and trials.
package taskserver

import (
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Server is the stand-in. It is an HTTP handler.
type Server struct {
	ID      string
	RunTime time.Duration // of every task
	// Ticket, if set, returns the ticket that a start of a step has to carry.
	Ticket func(step string) string

	mu       sync.Mutex
	born     time.Time
	lease    int64
	fence    int64
	active   map[string]*run
	newest   map[string]int64
	ended    []any
	number   int64
	starts   map[string]int // by task
	rejected int
	grown    chan struct{}
	mux      *http.ServeMux
}

type run struct {
	attempt int64
	timer   *time.Timer
}

// New returns a server whose tasks run for a time.
func New(id string, runTime time.Duration) *Server {
	s := &Server{
		ID: id, RunTime: runTime, born: time.Now(), active: map[string]*run{}, newest: map[string]int64{}, starts: map[string]int{},
		grown: make(chan struct{}), mux: http.NewServeMux(),
	}
	s.mux.HandleFunc("POST /run-start", s.start)
	s.mux.HandleFunc("POST /run-stop", s.stop)
	s.mux.HandleFunc("POST /hold", s.hold)
	return s
}

// Registration returns the record by which the server announces itself in the store.
func (s *Server) Registration(service, address string) []byte {
	data, _ := json.Marshal(map[string]any{ // plain values always encode
		"service": service, "address": address, "zone": "z", "phase": "ready", "host_machine": "m-" + s.ID, "born": s.born.UnixMilli(),
		"room": map[string]int{"cpu": 64000, "mem_mb": 131072}, "labels": []string{"a", "r1"}, "clock_ms": s.clock(), "sequence": 1,
	})
	return data
}

// Starts returns how often each task has started here.
func (s *Server) Starts() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]int{}
	for k, n := range s.starts {
		out[k] = n
	}
	return out
}

// Rejected returns how many starts were rejected for want of a ticket.
func (s *Server) Rejected() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rejected
}

func (s *Server) clock() int64 { return time.Since(s.born).Milliseconds() }

// ServeHTTP answers a call, if it is meant for this life of the server.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if want := r.Header.Get("Comfreyrouter-Expect-Instance"); want != "" && want != s.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.mux.ServeHTTP(w, r)
}

type order struct {
	Task     string `json:"task"`
	Attempt  int64  `json:"attempt"`
	Deadline int64  `json:"deadline_ms"`
	Fence    int64  `json:"fencing_token"`
	Taken    int64  `json:"ack_cursor"`
	WaitMS   int64  `json:"wait_ms"`
	Ticket   string `json:"ticket"`
}

// take reads an order and refuses one of a former dispatcher. The lock is held if it returns true.
func (s *Server) take(w http.ResponseWriter, r *http.Request) (order, bool) {
	var o order
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return o, false
	}
	s.mu.Lock()
	if o.Fence < s.fence {
		s.mu.Unlock()
		s.answer(w, http.StatusConflict, map[string]any{"reason": "fence"})
		return o, false
	}
	s.fence = o.Fence
	return o, true
}

func (s *Server) answer(w http.ResponseWriter, status int, body map[string]any) {
	body["clock_ms"], body["born"] = s.clock(), s.born.UnixMilli()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // a client that has gone away notices
}

func (s *Server) start(w http.ResponseWriter, r *http.Request) {
	o, ok := s.take(w, r)
	if !ok {
		return
	}
	defer s.mu.Unlock()
	if s.Ticket != nil && o.Ticket != s.Ticket(o.Task[:strings.LastIndex(o.Task, ".")]) {
		s.rejected++
		s.answer(w, http.StatusConflict, map[string]any{"reason": "ticket"})
		return
	}
	if s.newest[o.Task] >= o.Attempt {
		s.answer(w, http.StatusConflict, map[string]any{"reason": "old"})
		return
	}
	if s.active[o.Task] == nil {
		s.starts[o.Task]++
		s.active[o.Task] = &run{o.Attempt, time.AfterFunc(s.RunTime, func() { s.finish(o.Task, o.Attempt) })}
	}
	s.lease = max(s.lease, o.Deadline)
	s.answer(w, http.StatusOK, map[string]any{})
}

func (s *Server) finish(task string, attempt int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r := s.active[task]; r != nil && r.attempt == attempt {
		s.end(task, "done")
	}
}

// end ends a run. The lock must be held.
func (s *Server) end(task, how string) {
	r := s.active[task]
	r.timer.Stop()
	delete(s.active, task)
	s.newest[task] = max(s.newest[task], r.attempt)
	s.number++
	s.ended = append(s.ended, []any{s.number, task, r.attempt, how, ""})
	close(s.grown)
	s.grown = make(chan struct{})
}

func (s *Server) stop(w http.ResponseWriter, r *http.Request) {
	o, ok := s.take(w, r)
	if !ok {
		return
	}
	defer s.mu.Unlock()
	s.newest[o.Task] = max(s.newest[o.Task], o.Attempt)
	if s.active[o.Task] != nil {
		s.end(o.Task, "stopped")
	}
	s.answer(w, http.StatusOK, map[string]any{})
}

func (s *Server) hold(w http.ResponseWriter, r *http.Request) {
	o, ok := s.take(w, r)
	if !ok {
		return
	}
	s.lease = max(s.lease, o.Deadline)
	for len(s.ended) > 0 && s.ended[0].([]any)[0].(int64) <= o.Taken {
		s.ended = s.ended[1:]
	}
	grown := s.grown
	wait := len(s.ended) == 0
	s.mu.Unlock()
	if wait {
		select {
		case <-grown:
		case <-time.After(time.Duration(o.WaitMS) * time.Millisecond):
		case <-r.Context().Done():
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	active := []any{}
	for task, run := range s.active {
		active = append(active, []any{task, run.attempt, "", 100, 0})
	}
	s.answer(w, http.StatusOK, map[string]any{"active": active, "finished": append([]any{}, s.ended...)})
}
