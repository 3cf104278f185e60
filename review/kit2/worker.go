package main

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Bounds of the deployment, from the settings of a small site.
const (
	holdMax     = 10 * time.Second
	stopTimeout = 200 * time.Millisecond
	heartbeat   = 1500 * time.Millisecond
	maxHoldWait = 2 * time.Second
	// startup is how long a task that lasts takes until it is at work.
	startup = 300 * time.Millisecond
)

// outage says in which way a worker is away.
type outage int

const (
	isUp      outage = iota
	isDark           // without power: connections are silent
	isCrashed        // its process has ended: connections are reset
	isCut            // cut off from all nodes, and runs on
)

// run is one run of a task on a worker.
type run struct {
	task     string
	attempt  int64
	began    time.Time
	length   time.Duration // 0: it lasts
	cpu, mem int64
	stopping bool
}

// worker is a stand-in of a worker, one life after the other on the same machine, under the same id and address.
type worker struct {
	id, machine, kind, rack, service, address string
	cpu, mem                                  int64
	registerAfter                             time.Duration // from the start of a life to its first entry in the store
	fleet                                     *fleet

	mu       sync.Mutex
	state    outage
	gone     bool // for good
	shedding bool // it refuses all starts with 503, and has then done nothing
	life     int
	born     time.Time
	lease    int64
	lapsedAt time.Time // when the lease was last seen to have lapsed
	fence    int64
	active   map[string]*run
	latest   map[string]int64 // highest attempt that was stopped or has ended, by task
	ends     [][]any
	endCount int64
	ended    chan struct{}
	sequence int64
	conns    map[net.Conn]int // life in which each connection was opened
}

func newWorker(f *fleet, id, service, kind, rack string) *worker {
	return &worker{
		id: id, machine: "m-" + id, kind: kind, rack: rack, service: service, cpu: 64000, mem: 131072, fleet: f, conns: map[net.Conn]int{},
		ended: make(chan struct{}),
	}
}

type connKey struct{}

// serve listens on a free port and starts the first life.
func (w *worker) serve() {
	l := listen()
	w.address = l.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", w.handleStart)
	mux.HandleFunc("POST /run-stop", w.handleStop)
	mux.HandleFunc("POST /hold", w.handleHold)
	mux.HandleFunc("POST /pace", w.handlePace)
	server := &http.Server{
		Handler: w.gate(mux),
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c)
		},
		ConnState: func(c net.Conn, s http.ConnState) {
			w.mu.Lock()
			defer w.mu.Unlock()
			switch s {
			case http.StateNew:
				w.conns[c] = w.life
				if w.state == isCrashed {
					reset(c)
				}
			case http.StateClosed, http.StateHijacked:
				delete(w.conns, c)
			case http.StateActive, http.StateIdle:
			}
		},
	}
	go func() { _ = server.Serve(l) }()
	w.mu.Lock()
	w.begin()
	w.mu.Unlock()
	go w.heartbeats()
	go w.expire()
}

func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// gate handles calls on the connections of earlier lives, and calls while the worker is away, as the network would.
func (w *worker) gate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		c, _ := r.Context().Value(connKey{}).(net.Conn)
		w.mu.Lock()
		state, stale := w.state, w.conns[c] != w.life
		w.mu.Unlock()
		if state == isDark || state == isCut {
			w.silence(r)
		}
		if state == isCrashed || stale {
			reset(c) // a machine that has restarted doesn't know the connection
			panic(http.ErrAbortHandler)
		}
		if want := r.Header.Get("Comfreyrouter-Expect-Instance"); want != "" && want != w.id {
			rw.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		next.ServeHTTP(rw, r)
	})
}

// silence leaves a call without an answer until its caller gives up.
func (w *worker) silence(r *http.Request) {
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}

// begin starts a life. The lock must be held.
func (w *worker) begin() {
	w.life++
	w.state, w.born = isUp, time.Now()
	w.lease, w.fence, w.endCount, w.sequence = 0, 0, 0, 0
	w.active, w.latest, w.ends = map[string]*run{}, map[string]int64{}, nil
	w.fleet.note("worker %s: life %d begins, born %d", w.id, w.life, w.born.UnixMilli())
}

// away ends the present life, with everything that runs.
func (w *worker) away(how outage, forGood bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fleet.note("worker %s: away (%s), %d runs end with it", w.id, map[outage]string{isDark: "no power", isCrashed: "crashed"}[how], len(w.active))
	w.state, w.gone = how, forGood
	for key, r := range w.active {
		w.fleet.ended(w, r, "lost")
		delete(w.active, key)
	}
	if how == isCrashed {
		for c := range w.conns {
			reset(c)
		}
	}
	if forGood {
		time.AfterFunc(3*heartbeat, func() { w.fleet.store.Put("keyed.servers", w.id, nil) })
	}
}

// back starts the next life under the same id.
func (w *worker) back() {
	w.mu.Lock()
	w.begin()
	wait := w.registerAfter
	w.mu.Unlock()
	go func() {
		time.Sleep(wait)
		w.register()
	}()
}

// cut cuts the worker off from all nodes, or joins it again. It reaches the store all the while.
func (w *worker) cut(on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.state = isUp
	if on {
		w.state = isCut
	}
	w.fleet.note("worker %s: cut off: %v", w.id, on)
}

func (w *worker) clock() int64 { return time.Since(w.born).Milliseconds() }

func (w *worker) register() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.state != isUp && w.state != isCut || time.Since(w.born) < w.registerAfter {
		return
	}
	w.sequence++
	entry, _ := json.Marshal(map[string]any{
		"service": w.service, "address": w.address, "zone": "vasteras", "version": "1", "capacity": 8, "phase": "ready", "sequence": w.sequence,
		"host_machine": w.machine, "room": map[string]int64{"cpu": w.cpu, "mem_mb": w.mem}, "labels": []string{w.kind, w.rack},
		"born": w.born.UnixMilli(), "clock_ms": w.clock(),
	})
	w.fleet.store.Put("keyed.servers", w.id, entry)
}

func (w *worker) heartbeats() {
	for w.register(); ; w.register() {
		time.Sleep(heartbeat)
	}
}

// expire ends all runs when the lease has passed, and each run whose work is done.
func (w *worker) expire() {
	for ; ; time.Sleep(5 * time.Millisecond) {
		w.mu.Lock()
		if w.lease < w.clock() {
			w.lapsedAt = time.Now()
		}
		for _, r := range w.active {
			switch {
			case w.lease < w.clock():
				w.end(r, "lapsed")
			case r.length > 0 && time.Since(r.began) >= r.length && !r.stopping:
				w.end(r, "done")
			}
		}
		w.mu.Unlock()
	}
}

// end ends a run and lists the end. The lock must be held.
func (w *worker) end(r *run, how string) {
	delete(w.active, r.task)
	w.latest[r.task] = max(w.latest[r.task], r.attempt)
	w.endCount++
	w.ends = append(w.ends, []any{w.endCount, r.task, r.attempt, how, ""})
	close(w.ended)
	w.ended = make(chan struct{})
	w.fleet.ended(w, r, how)
}

type order struct {
	Task     string `json:"task"`
	Attempt  int64  `json:"attempt"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadline_ms"`
	Fence    int64  `json:"fencing_token"`
	Ack      int64  `json:"ack_cursor"`
	WaitMS   int64  `json:"wait_ms"`
}

// read decodes an order and checks its token. If it returns true, the caller has the lock.
func (w *worker) read(rw http.ResponseWriter, r *http.Request) (order, bool) {
	var o order
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return o, false
	}
	w.mu.Lock()
	if o.Fence < w.fence {
		w.answer(rw, http.StatusConflict, map[string]any{"reason": "fence"})
		w.mu.Unlock()
		return o, false
	}
	w.fence = o.Fence
	return o, true
}

func (w *worker) answer(rw http.ResponseWriter, status int, body map[string]any) {
	body["clock_ms"], body["born"] = w.clock(), w.born.UnixMilli()
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(body)
}

func (w *worker) extend(deadline int64) {
	w.lease = max(w.lease, min(deadline, w.clock()+holdMax.Milliseconds()))
}

func (w *worker) handleStart(rw http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	shedding := w.shedding
	w.mu.Unlock()
	if shedding {
		w.fleet.note("worker %s: a start is refused with 503", w.id)
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	o, ok := w.read(rw, r)
	if !ok {
		return
	}
	defer w.mu.Unlock()
	refuse := func(reason string) { w.answer(rw, http.StatusConflict, map[string]any{"reason": reason}) }
	if present := w.active[o.Task]; present != nil && present.attempt == o.Attempt {
		w.answer(rw, http.StatusOK, map[string]any{})
		return
	}
	if o.Deadline <= w.clock() {
		refuse("late")
		return
	}
	w.extend(o.Deadline)
	if w.latest[o.Task] >= o.Attempt || w.active[o.Task] != nil {
		refuse("old")
		return
	}
	step := w.fleet.step(o.Task)
	cpu, mem := int64(0), int64(0)
	for _, a := range w.active {
		cpu, mem = cpu+a.cpu, mem+a.mem
	}
	if cpu+step.CPU > w.cpu || mem+step.Mem > w.mem {
		refuse("room")
		return
	}
	length := time.Duration(0)
	if !step.Lasts {
		length = runTime(o.Spec, o.Task)
	}
	started := &run{task: o.Task, attempt: o.Attempt, began: time.Now(), length: length, cpu: step.CPU, mem: step.Mem}
	w.active[o.Task] = started
	w.fleet.started(w, started)
	w.answer(rw, http.StatusOK, map[string]any{})
}

// runTime returns how long a task works: its spec lists the run times of the steps in milliseconds. The last one holds for all later steps.
func runTime(spec, task string) time.Duration {
	times := strings.Split(strings.TrimPrefix(spec, "run_ms="), "/")
	step, _ := strconv.Atoi(strings.Split(task, ".")[2])
	ms, _ := strconv.Atoi(times[min(step, len(times)-1)])
	return time.Duration(ms) * time.Millisecond
}

func (w *worker) handleStop(rw http.ResponseWriter, r *http.Request) {
	o, ok := w.read(rw, r)
	if !ok {
		return
	}
	defer w.mu.Unlock()
	w.latest[o.Task] = max(w.latest[o.Task], o.Attempt)
	if a := w.active[o.Task]; a != nil && a.attempt <= o.Attempt && !a.stopping {
		a.stopping = true
		life := w.life
		time.AfterFunc(stopTimeout*3/4, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			if w.life == life && w.active[a.task] == a {
				w.end(a, "stopped")
			}
		})
	}
	w.answer(rw, http.StatusOK, map[string]any{})
}

func (w *worker) handlePace(rw http.ResponseWriter, r *http.Request) {
	if _, ok := w.read(rw, r); ok {
		w.answer(rw, http.StatusOK, map[string]any{})
		w.mu.Unlock()
	}
}

func (w *worker) handleHold(rw http.ResponseWriter, r *http.Request) {
	o, ok := w.read(rw, r)
	if !ok {
		return
	}
	life := w.life
	if o.Deadline > 0 {
		w.extend(o.Deadline)
	}
	w.ends = slices.DeleteFunc(w.ends, func(e []any) bool {
		reached := e[0].(int64) <= o.Ack
		if reached {
			w.fleet.takenNote(e[1].(string), e[2].(int64), w.lapsedAt)
		}
		return reached
	})
	ended, wait := w.ended, len(w.ends) == 0
	w.mu.Unlock()
	w.fleet.held(w)
	if wait && o.WaitMS > 0 {
		select {
		case <-ended:
		case <-time.After(min(time.Duration(o.WaitMS)*time.Millisecond, maxHoldWait)):
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		}
	}
	w.mu.Lock()
	if w.life != life || w.state != isUp {
		w.mu.Unlock()
		w.silence(r) // the life that took the call has ended without a word
	}
	defer w.mu.Unlock()
	active := []any{}
	for _, key := range slices.Sorted(maps.Keys(w.active)) {
		a := w.active[key]
		percent := 100
		if a.length > 0 {
			percent = min(99, int(100*time.Since(a.began)/a.length))
		} else if time.Since(a.began) < startup {
			percent = int(100 * time.Since(a.began) / startup)
		}
		active = append(active, []any{a.task, a.attempt, "", percent, 1})
	}
	w.answer(rw, http.StatusOK, map[string]any{"active": active, "finished": w.ends[:min(len(w.ends), 500)]})
}

func (w *worker) String() string { return fmt.Sprintf("worker %s (%s, %s)", w.id, w.kind, w.rack) }
