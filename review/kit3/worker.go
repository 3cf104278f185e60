package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	heartbeat  = 1500 * time.Millisecond
	holdMost   = 10 * time.Second // hold_max_ms
	workerCPU  = 64000
	workerMem  = 131072
	listedEnds = 500
)

// workerRun is a run on a worker.
type workerRun struct {
	task      string
	attempt   int64
	cpu, mem  int64
	startedAt time.Time
	length    time.Duration // 0 if the task lasts
	startup   time.Duration // of a task that lasts
	stoppedAt int           // percent
}

// percent returns how far the run is; a task that lasts is at work at 100.
func (r *workerRun) percent(now time.Time) int {
	of := r.length
	if of == 0 {
		of = r.startup
	}
	return int(min(100*now.Sub(r.startedAt)/max(of, 1), 100))
}

// worker is one life of a machine. Its tasks are known to the fleet by their jobs.
type worker struct {
	fleet   *fleet
	id      string
	machine string
	address string
	service string
	labels  []string
	born    time.Time
	server  *http.Server

	mu       sync.Mutex
	dead     bool
	fence    int64
	leaseEnd int64 // on the worker's clock
	runs     map[string]*workerRun
	barred   map[string]int64 // highest attempt that was stopped or has ended, by task
	ends     [][]any
	lastEnd  int64
	ended    chan struct{} // closed and replaced at each end
}

// startWorker starts a worker on a machine, at an address, and registers it.
func (f *fleet) startWorker(id, machine, service string, labels []string, address string) (*worker, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	w := &worker{
		fleet: f, id: id, machine: machine, address: l.Addr().String(), service: service, labels: labels, born: time.Now(),
		runs: map[string]*workerRun{}, barred: map[string]int64{}, ended: make(chan struct{}),
	}
	w.server = &http.Server{Handler: w}
	go func() { _ = w.server.Serve(l) }() // ends with the worker
	f.mu.Lock()
	f.workers[id] = w
	f.mu.Unlock()
	f.store.write("keyed.servers", id, map[string]any{
		"service": service, "address": w.address, "zone": "z1", "version": "1", "capacity": 8, "phase": "ready", "warmup_left_ms": 0, "sequence": 1,
		"host_machine": machine, "labels": labels, "room": map[string]int{"cpu": workerCPU, "mem_mb": workerMem}, "born": w.born.UnixMilli(),
	})
	go w.tick()
	return w, nil
}

func (w *worker) clock() int64 { return 1000 + time.Since(w.born).Milliseconds() }

// tick ends the runs that are done, and all once the lease has expired.
func (w *worker) tick() {
	for range time.Tick(5 * time.Millisecond) {
		w.mu.Lock()
		if w.dead {
			w.mu.Unlock()
			return
		}
		now := time.Now()
		for _, r := range w.runs {
			switch {
			case w.clock() >= w.leaseEnd:
				w.end(r, "lapsed")
			case r.length > 0 && now.Sub(r.startedAt) >= r.length:
				w.end(r, "done")
			}
		}
		w.mu.Unlock()
	}
}

// end lists the end of a run. The lock must be held.
func (w *worker) end(r *workerRun, how string) {
	delete(w.runs, r.task)
	w.barred[r.task] = max(w.barred[r.task], r.attempt)
	w.lastEnd++
	w.ends = append(w.ends, []any{w.lastEnd, r.task, r.attempt, how, ""})
	close(w.ended)
	w.ended = make(chan struct{})
	w.fleet.runEnded(w, r, how)
}

// die ends the worker and everything on it at once. Its connections are closed.
func (w *worker) die(why string) {
	w.mu.Lock()
	if w.dead {
		w.mu.Unlock()
		return
	}
	w.dead = true
	runs := w.runs
	w.runs = map[string]*workerRun{}
	w.mu.Unlock()
	_ = w.server.Close()
	for _, r := range runs {
		w.fleet.runEnded(w, r, why)
	}
	w.fleet.rec.note("worker %s on %s ends: %s, with %d runs", w.id, w.machine, why, len(runs))
}

// crash ends the worker. Its entry is removed after three heartbeats of silence unless it has come back by then.
func (w *worker) crash() {
	w.die("crash")
	time.AfterFunc(3*heartbeat, func() {
		w.fleet.mu.Lock()
		current := w.fleet.workers[w.id] == w
		w.fleet.mu.Unlock()
		if current {
			w.fleet.store.write("keyed.servers", w.id, nil)
		}
	})
}

// order is the body of a call to a worker.
type order struct {
	Task     string `json:"task"`
	Attempt  int64  `json:"attempt"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadline_ms"`
	Fence    int64  `json:"fencing_token"`
	Ack      int64  `json:"ack_cursor"`
	WaitMS   int64  `json:"wait_ms"`
}

func (o order) String() string {
	if o.Task == "" {
		return fmt.Sprintf("with ack_cursor %d", o.Ack)
	}
	return fmt.Sprintf("%s run %d", o.Task, o.Attempt)
}

func (w *worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	if want := r.Header.Get("Comfreyrouter-Expect-Instance"); want != "" && want != w.id {
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	var o order
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	if late := w.fleet.lateBy(w, r.URL.Path, o); late > 0 {
		time.AfterFunc(late, func() {
			defer func() { _ = recover() }() // the worker has ended
			w.fleet.mu.Lock()
			now := w.fleet.workers[w.id] // if it has started again under its id, it takes the call
			w.fleet.mu.Unlock()
			w.fleet.rec.note("worker %s carries out %s %s, %v late", w.id, r.URL.Path, o, late.Round(time.Millisecond))
			now.carryOut(unread{}, r, o)
		})
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	w.carryOut(out, r, o)
}

// unread is an answer that nobody gets.
type unread struct{}

func (unread) Header() http.Header         { return http.Header{} }
func (unread) Write(b []byte) (int, error) { return len(b), nil }
func (unread) WriteHeader(int)             {}

// carryOut carries out a call.
func (w *worker) carryOut(out http.ResponseWriter, r *http.Request, o order) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.dead {
		panic(http.ErrAbortHandler)
	}
	if o.Fence < w.fence {
		w.reply(out, http.StatusConflict, map[string]any{"reason": "fence"})
		return
	}
	w.fence = o.Fence
	switch r.URL.Path {
	case "/run-start":
		w.start(out, o)
	case "/run-stop":
		w.barred[o.Task] = max(w.barred[o.Task], o.Attempt)
		if run := w.runs[o.Task]; run != nil && run.attempt <= o.Attempt {
			run.stoppedAt = run.percent(time.Now())
			w.end(run, "stopped")
		}
		w.reply(out, http.StatusOK, map[string]any{})
	case "/pace":
		w.reply(out, http.StatusOK, map[string]any{})
	case "/hold":
		w.hold(out, r, o)
	default:
		out.WriteHeader(http.StatusNotFound)
	}
}

func (w *worker) reply(out http.ResponseWriter, status int, body map[string]any) {
	body["clock_ms"], body["born"] = w.clock(), w.born.UnixMilli()
	answer(out, status, body)
}

func (w *worker) extend(o order) {
	w.leaseEnd = max(w.leaseEnd, min(o.Deadline, w.clock()+holdMost.Milliseconds()))
}

// start carries out a start. The lock must be held.
func (w *worker) start(out http.ResponseWriter, o order) {
	refuse := func(reason string) {
		w.fleet.rec.note("worker %s refuses %s run %d: %s", w.id, o.Task, o.Attempt, reason)
		w.reply(out, http.StatusConflict, map[string]any{"reason": reason})
	}
	if run := w.runs[o.Task]; run != nil && run.attempt == o.Attempt {
		w.extend(o)
		w.reply(out, http.StatusOK, map[string]any{})
		return
	}
	step, known := w.fleet.stepOf(o.Task)
	if !known {
		w.reply(out, http.StatusBadRequest, map[string]any{})
		return
	}
	if o.Deadline <= w.clock() {
		refuse("late")
		return
	}
	w.extend(o)
	if w.runs[o.Task] != nil || o.Attempt <= w.barred[o.Task] {
		refuse("old")
		return
	}
	var cpu, mem int64
	for _, r := range w.runs {
		cpu, mem = cpu+r.cpu, mem+r.mem
	}
	if cpu+step.CPU > workerCPU || mem+step.MemMB > workerMem {
		refuse("room")
		return
	}
	run := &workerRun{task: o.Task, attempt: o.Attempt, cpu: step.CPU, mem: step.MemMB, startedAt: time.Now(), length: step.length, startup: step.startup}
	w.runs[o.Task] = run
	w.fleet.runStarted(w, run)
	w.reply(out, http.StatusOK, map[string]any{})
}

// hold extends the lease, forgets ends and answers with the lists, after the next end if there is none to list. The lock must be held.
func (w *worker) hold(out http.ResponseWriter, r *http.Request, o order) {
	if o.Deadline > 0 {
		w.extend(o)
	}
	for _, e := range w.ends {
		if e[0].(int64) <= o.Ack {
			w.fleet.endNoted(w, e)
		}
	}
	w.ends = slices.DeleteFunc(w.ends, func(e []any) bool { return e[0].(int64) <= o.Ack })
	if len(w.ends) == 0 && o.WaitMS > 0 {
		ended := w.ended
		w.mu.Unlock()
		select {
		case <-ended:
		case <-time.After(time.Duration(min(o.WaitMS, 2000)) * time.Millisecond):
		case <-r.Context().Done():
		}
		w.mu.Lock()
		if w.dead {
			w.fleet.rec.note("worker %s gives no answer to a waiting /hold, since it has ended", w.id)
			panic(http.ErrAbortHandler)
		}
	}
	active := []any{}
	for _, run := range w.runs {
		active = append(active, []any{run.task, run.attempt, "", run.percent(time.Now()), 1})
	}
	w.reply(out, http.StatusOK, map[string]any{"active": active, "finished": append([][]any{}, w.ends[:min(len(w.ends), listedEnds)]...)})
}

// jobOf returns the job of a task.
func jobOf(task string) string {
	id, _, _ := strings.Cut(task, ".")
	return id
}
