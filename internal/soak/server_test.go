package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"example.org/comfreyrouter/platform"
)

// Sizes and times of the backend servers. The lease, the heartbeat and the list of ends are those of the users' platform.
const (
	serverCPU      = 16000
	serverMB       = 16000
	maxLease       = 10 * time.Second
	heartbeat      = 1500 * time.Millisecond
	warmUp         = 300 * time.Millisecond
	maxListedEnds  = 500
	serverTick     = 10 * time.Millisecond
	serverStopTime = 20 * time.Millisecond
)

// span is a run of a task on a server, as the history keeps it.
type span struct {
	task, server string
	attempt      int64
	from, to     time.Time // to is zero while it runs
	how          string
	acknowledged bool // the end was acknowledged, and the lease hadn't expired in between
}

// serverRun is a run that is active.
type serverRun struct {
	span  *span
	total time.Duration // 0 if it runs until it is stopped
	// warmUp is how long it takes to be at work, if it runs until it is stopped.
	warmUp time.Duration
}

// server is a backend server that keeps leases, one incarnation after another under one id.
type server struct {
	w                          *world
	id, zone, machine, address string
	labels                     []string

	mu          sync.Mutex
	incarnation int
	door        *door // nil before the first incarnation
	http        *http.Server
	up, lost    bool
	dark        bool // it has no power: its connections are silent
	cuts        int  // cuts that are open
	born        time.Time
	lapsedAt    time.Time // when the lease last expired
	lease       int64
	fence       int64
	active      map[string]*serverRun
	newest      map[string]int64 // highest attempt that was stopped or has ended, by task
	ends        []any
	lastEnd     int64
	endAdded    chan struct{}
	listed      bool
	writtenAt   time.Time
	spans       []*span
	kept        []lateCall
	rng         *rand.Rand // guarded by mu
}

// connKey is the key under which the context of a call has the incarnation that accepted its connection.
type connKey struct{}

// boot starts a process with its first incarnation.
func (s *server) boot() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.door == nil {
		l, err := freeListener()
		if err != nil {
			return err
		}
		s.door, s.address = newDoor(l), l.Addr().String()
	}
	l := s.door.listen()
	mux := http.NewServeMux()
	for path, handle := range map[string]func(http.ResponseWriter, *http.Request, order){
		startPath: s.handleStart, "/run-stop": s.handleStop, holdPath: s.handleHold,
		"/pace": func(w http.ResponseWriter, _ *http.Request, _ order) { s.reply(w, http.StatusOK, map[string]any{}) },
	} {
		mux.HandleFunc("POST "+path, s.handle(handle))
	}
	s.begin()
	s.http = &http.Server{Handler: mux, ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
		s.mu.Lock()
		defer s.mu.Unlock()
		return context.WithValue(ctx, connKey{}, s.incarnation)
	}}
	go func(h *http.Server) { _ = h.Serve(l) }(s.http) // ends with Close
	s.writeEntry()
	return nil
}

// begin begins an incarnation, which carries out what a former one has kept. The lock must be held.
func (s *server) begin() {
	s.incarnation++
	s.up, s.dark, s.born, s.lease, s.fence, s.lastEnd, s.ends = true, false, time.Now(), 0, 0, 0, nil
	s.active, s.newest, s.endAdded = map[string]*serverRun{}, map[string]int64{}, make(chan struct{})
	for _, c := range s.kept {
		go s.carryOutLate(c, s.born)
	}
	s.kept = nil
}

// crash ends the incarnation with all of its runs and breaks its connections.
func (s *server) crash() {
	s.mu.Lock()
	if !s.up && !s.dark {
		s.mu.Unlock()
		return
	}
	s.endRuns()
	s.dark = false
	h := s.http
	s.mu.Unlock()
	_ = h.Close()
}

// endRuns ends the incarnation with all of its runs. The lock must be held.
func (s *server) endRuns() {
	s.up = false
	for _, r := range s.active {
		r.span.to, r.span.how = time.Now(), "crashed"
	}
	s.active = map[string]*serverRun{}
}

// losePower ends the incarnation without a sign: all calls stay unanswered.
func (s *server) losePower() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endRuns()
	s.dark = true
}

// regainPower begins an incarnation, which writes its first entry half a heartbeat interval later. It resets the connections of former ones when bytes
// arrive on them.
func (s *server) regainPower() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.dark {
		return
	}
	s.begin()
	s.writtenAt = time.Now().Add(-heartbeat / 2)
}

func (s *server) clock() int64 { return time.Since(s.born).Milliseconds() }

// writeEntry writes the server's entry into the list, unless it doesn't reach the store. The lock must be held.
func (s *server) writeEntry() {
	if !s.up || s.cuts > 0 || s.w.zoneCut(s.zone) || s.w.storeDown.Load() > 0 {
		return
	}
	data, err := json.Marshal(map[string]any{
		"service": "pool", "address": s.address, "zone": s.zone, "phase": "ready", "host_machine": s.machine, "born": s.born.UnixMilli(), "clock_ms": s.clock(),
		"room": map[string]int{"cpu": serverCPU, "mem_mb": serverMB}, "labels": s.labels, "sequence": 1,
	})
	if err != nil {
		panic(err) // a map of plain values always encodes
	}
	s.listed, s.writtenAt = true, time.Now()
	s.w.store.Put(platform.TopicServers, s.id, data)
}

// live ends runs that have finished or whose lease has expired, and keeps the server's entry, until the world ends.
func (s *server) live() {
	for s.w.sleep(serverTick) {
		s.mu.Lock()
		switch {
		case s.up && time.Since(s.writtenAt) >= heartbeat:
			s.writeEntry()
		case s.listed && time.Since(s.writtenAt) >= 3*heartbeat && s.w.storeDown.Load() == 0:
			s.listed = false
			s.w.store.Put(platform.TopicServers, s.id, nil)
		}
		if s.up {
			s.advance()
		}
		s.mu.Unlock()
	}
}

// advance ends runs that have finished or whose lease has expired, at the time at which they did. The lock must be held.
func (s *server) advance() {
	now, leaseEnd := time.Now(), s.born.Add(time.Duration(s.lease)*time.Millisecond)
	if now.After(leaseEnd) {
		s.lapsedAt = leaseEnd
	}
	for _, r := range s.active {
		doneAt := r.span.from.Add(r.total)
		switch {
		case r.total > 0 && !now.Before(doneAt) && doneAt.Before(leaseEnd):
			s.end(r, "done", doneAt)
		case now.After(leaseEnd):
			s.end(r, "lapsed", leaseEnd)
		}
	}
}

// end ends a run. The lock must be held.
func (s *server) end(r *serverRun, how string, at time.Time) {
	task := r.span.task
	delete(s.active, task)
	s.newest[task] = max(s.newest[task], r.span.attempt)
	s.lastEnd++
	s.ends = append(s.ends, []any{s.lastEnd, task, r.span.attempt, how, ""})
	r.span.to, r.span.how = at, how
	close(s.endAdded)
	s.endAdded = make(chan struct{})
}

// order is the body of a call.
type order struct {
	Task        string `json:"task"`
	Attempt     int64  `json:"attempt"`
	Deadline    int64  `json:"deadline_ms"`
	Fence       int64  `json:"fencing_token"`
	AckCursor   int64  `json:"ack_cursor"`
	WaitMS      int64  `json:"wait_ms"`
	incarnation int    // that accepted the connection
}

// handle reads a call and checks its instance and its fencing token. A call across a cut, or while there is no power, gets no answer. The former has no
// effect, and the latter may have one later.
func (s *server) handle(next func(http.ResponseWriter, *http.Request, order)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		o := order{incarnation: r.Context().Value(connKey{}).(int)}
		data, err := io.ReadAll(r.Body)
		if err != nil || json.Unmarshal(data, &o) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		s.dropIfCut(r, o)
		s.resetIfStale(o)
		if want := r.Header.Get("Comfreyrouter-Expect-Instance"); want != "" && want != s.id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		s.lockFor(r, o)
		if o.Fence < s.fence {
			s.mu.Unlock()
			s.reply(w, http.StatusConflict, map[string]any{"reason": "fence"})
			return
		}
		s.fence = o.Fence
		s.mu.Unlock()
		next(w, r, o)
	}
}

// resetIfStale resets the connection of a call that a former incarnation has accepted.
func (s *server) resetIfStale(o order) {
	s.mu.Lock()
	stale := s.up && s.incarnation != o.incarnation
	s.mu.Unlock()
	if stale {
		panic(http.ErrAbortHandler)
	}
}

// lockFor takes the lock for a call. A call to an incarnation that has ended gets no answer, and may be carried out by the next one.
func (s *server) lockFor(r *http.Request, o order) {
	s.mu.Lock()
	if !s.up || s.incarnation != o.incarnation {
		s.maybeKeep(r.URL.Path, o)
		s.mu.Unlock()
		s.w.hang(r)
	}
}

// dropIfCut leaves a call unanswered until its caller gives up, if a cut separates the two. The epoch in the call tells the caller.
func (s *server) dropIfCut(r *http.Request, o order) {
	s.mu.Lock()
	cut := s.cuts > 0
	s.mu.Unlock()
	if caller, known := s.w.zoneOfEpoch(o.Fence); known && caller != s.zone {
		cut = cut || s.w.zoneCut(caller) || s.w.zoneCut(s.zone)
	}
	if cut {
		s.w.hang(r)
	}
}

func (s *server) reply(w http.ResponseWriter, status int, body map[string]any) {
	s.mu.Lock()
	body["clock_ms"], body["born"] = s.clock(), s.born.UnixMilli()
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // fails only if the caller has gone
}

// extend extends the lease of all runs. The lock must be held.
func (s *server) extend(deadline int64) {
	s.lease = max(s.lease, min(deadline, s.clock()+maxLease.Milliseconds()))
}

func (s *server) handleStart(w http.ResponseWriter, r *http.Request, o order) {
	s.lockFor(r, o)
	reason := s.start(o)
	s.mu.Unlock()
	if reason != "" {
		s.reply(w, http.StatusConflict, map[string]any{"reason": reason})
		return
	}
	s.reply(w, http.StatusOK, map[string]any{})
}

// start carries out a start, and returns the reason if it is rejected. The lock must be held.
func (s *server) start(o order) (reason string) {
	s.advance()
	run := s.active[o.Task]
	step, known := s.w.stepOf(o.Task)
	switch {
	case run != nil && run.span.attempt == o.Attempt:
	case o.Deadline <= s.clock():
		return "late"
	case o.Attempt <= s.newest[o.Task] || run != nil:
		reason = "old"
	case !known || !s.fits(step):
		reason = "room"
	default:
		sp := &span{task: o.Task, server: s.id, attempt: o.Attempt, from: time.Now()}
		s.spans = append(s.spans, sp)
		s.active[o.Task] = &serverRun{sp, step.runTime, step.warmUp()}
	}
	s.extend(o.Deadline)
	return reason
}

// fits reports whether a task of a step fits beside all runs. The lock must be held.
func (s *server) fits(step stepSpec) bool {
	cpu := step.CPU
	for task := range s.active {
		other, _ := s.w.stepOf(task)
		cpu += other.CPU
	}
	return cpu <= serverCPU
}

func (s *server) handleStop(w http.ResponseWriter, r *http.Request, o order) {
	time.Sleep(serverStopTime)
	s.lockFor(r, o)
	s.advance()
	s.newest[o.Task] = max(s.newest[o.Task], o.Attempt)
	if run := s.active[o.Task]; run != nil && run.span.attempt == o.Attempt {
		s.end(run, "stopped", time.Now())
	}
	s.mu.Unlock()
	s.reply(w, http.StatusOK, map[string]any{})
}

func (s *server) handleHold(w http.ResponseWriter, r *http.Request, o order) {
	s.lockFor(r, o)
	s.hold(o)
	added, wait := s.endAdded, len(s.ends) == 0
	s.mu.Unlock()
	if wait {
		select {
		case <-added:
		case <-time.After(time.Duration(min(o.WaitMS, 2000)) * time.Millisecond):
		case <-r.Context().Done(): // the caller has given up, or the incarnation has ended
		}
	}
	s.dropIfCut(r, o)
	s.lockFor(r, o)
	active := []any{}
	for task, x := range s.active {
		percent := 100
		switch age := time.Since(x.span.from); {
		case x.total > 0:
			percent = int(100 * age / x.total)
		case age < x.warmUp:
			percent = 0
		}
		active = append(active, []any{task, x.span.attempt, "", min(percent, 100), 0})
	}
	ends := slices.Clone(s.ends[:min(len(s.ends), maxListedEnds)])
	s.mu.Unlock()
	s.reply(w, http.StatusOK, map[string]any{"active": active, "finished": append([]any{}, ends...)})
}

// hold extends the lease and forgets the ends that are acknowledged. The lock must be held.
func (s *server) hold(o order) {
	s.advance()
	s.extend(o.Deadline)
	for len(s.ends) > 0 && s.ends[0].([]any)[0].(int64) <= o.AckCursor {
		s.acknowledge(s.ends[0].([]any))
		s.ends = s.ends[1:]
	}
}

// acknowledge records that the end of a run was acknowledged. The lock must be held.
func (s *server) acknowledge(end []any) {
	for _, sp := range slices.Backward(s.spans) {
		if sp.task == end[1] && sp.attempt == end[2] {
			sp.acknowledged = s.lapsedAt.Before(sp.to)
			return
		}
	}
}

// copySpans returns all runs of the server. Those that run now have no end.
func (s *server) copySpans() []span {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]span, 0, len(s.spans))
	for _, sp := range s.spans {
		all = append(all, *sp)
	}
	return all
}

func newServer(w *world, i int) *server {
	return &server{
		w: w, id: fmt.Sprintf("s%d", i), zone: zones[i%len(zones)], machine: fmt.Sprintf("m%d", i), labels: []string{"kind", racks[i%len(racks)]},
		rng: rand.New(rand.NewPCG(w.seed, uint64(100+i))),
	}
}
