package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Sizes and times of the servers, as the pages give them for rutnat.
const (
	roomCPU         = 64000
	roomMB          = 131072
	stopTime        = 20 * time.Millisecond // stop_timeout_ms is 200
	warmUp          = 300 * time.Millisecond
	maxListedEnds   = 500
	checkpointEvery = 500 * time.Millisecond // checkpoint_s of pandigital-cr
)

func room() map[string]int { return map[string]int{"cpu": roomCPU, "mem_mb": roomMB, "gpu": 0} }

// run is one run of a task on a server.
type run struct {
	task     string
	attempt  int64
	fence    int64
	text     string
	started  time.Time
	worked   time.Duration // work that a checkpoint brought along
	total    time.Duration // 0: it lasts
	gang     *gang
	ended    bool
	checkpnt string
}

// span is a run as the record keeps it, for the checks.
type span struct {
	task, server string
	attempt      int64
	from, to     time.Time // to is zero while it runs
	how          string
	noted        bool // ack_cursor has reached its end, and the lease hadn't lapsed in between
}

// server is a worker: one life after another under the same id.
type server struct {
	fleet             *fleet
	id, zone, machine string
	rack              int
	address           string

	mu        sync.Mutex
	http      *http.Server
	up        bool
	born      time.Time
	beats     int64
	lastBeat  time.Time
	writtenAt time.Time // when it last wrote its entry
	entry     bool      // the store has an entry of it
	lease     int64
	fence     int64
	active    map[string]*run
	newest    map[string]int64 // highest attempt of each task that was stopped or ended here
	ends      []any
	lastEnd   int64
	endAdded  chan struct{}
	cut       chan struct{} // closed when the server is reached again; nil if it isn't cut off
	lapsedAt  time.Time     // when the lease last ran out
	kind      string
	spans     []*span
	stopLife  chan struct{}
}

func newServer(f *fleet, id, zone string, i int) *server {
	return &server{fleet: f, id: id, zone: zone, machine: fmt.Sprintf("m-%02d", i), rack: i / f.rackSize, kind: "a"}
}

func (s *server) labels() []string { return []string{s.kind, fmt.Sprintf("r1-%d", s.rack)} }

// boot begins a life of the server, at the address of the life before.
func (s *server) boot() error {
	address := s.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.address, s.up, s.born = l.Addr().String(), true, time.Now()
	s.beats, s.lease, s.fence, s.lastEnd, s.ends = 0, 0, 0, 0, nil
	s.active, s.newest, s.endAdded, s.stopLife = map[string]*run{}, map[string]int64{}, make(chan struct{}), make(chan struct{})
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", s.handle(s.handleStart))
	mux.HandleFunc("POST /run-stop", s.handle(s.handleStop))
	mux.HandleFunc("POST /hold", s.handle(s.handleHold))
	mux.HandleFunc("POST /pace", s.handle(func(w http.ResponseWriter, _ *http.Request, _ order) { s.reply(w, http.StatusOK, nil) }))
	s.http = &http.Server{Handler: mux}
	go func(h *http.Server) { _ = h.Serve(l) }(s.http) // ends with Close
	go s.live(s.stopLife)
	s.fleet.rec.add("server %s (%s) begins a life, born %d", s.id, s.zone, s.born.UnixMilli())
	return nil
}

// crash ends the life of the server and all that runs on it.
func (s *server) crash() {
	s.mu.Lock()
	if !s.up {
		s.mu.Unlock()
		return
	}
	s.up = false
	close(s.stopLife)
	var broken []*gang
	for _, r := range s.active {
		r.ended = true
		s.closeSpan(r, "lost with its server")
		if r.gang != nil {
			broken = append(broken, r.gang)
		}
	}
	h := s.http
	s.mu.Unlock()
	s.fleet.rec.add("server %s crashes", s.id)
	_ = h.Close() // breaks all connections
	for _, g := range broken {
		s.fleet.gangs.broken(g, nil)
	}
}

func (s *server) shutDown() { s.crash() }

// crashFor crashes the server and starts it again under the same id.
func (s *server) crashFor(d time.Duration) error {
	s.crash()
	time.Sleep(d)
	return s.boot()
}

// setCut cuts the server off from all nodes, or ends that. It runs on meanwhile, and reaches the store.
func (s *server) setCut(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case on && s.cut == nil:
		s.cut = make(chan struct{})
	case !on && s.cut != nil:
		close(s.cut)
		s.cut = nil
	}
	s.fleet.rec.add("server %s cut off: %v", s.id, on)
}

// live sends heartbeats and ends what has finished or lapsed, until the life ends.
func (s *server) live(stop chan struct{}) {
	s.beat()
	for {
		select {
		case <-stop:
			return
		case <-s.fleet.ended:
			return
		case <-time.After(10 * time.Millisecond):
		}
		s.mu.Lock()
		due := time.Since(s.lastBeat) >= heartbeat
		s.mu.Unlock()
		if due {
			s.beat()
		}
		s.checkRuns()
	}
}

// beat writes the server's entry, if it reaches the store.
func (s *server) beat() {
	s.mu.Lock()
	s.lastBeat = time.Now()
	if !s.up || s.fleet.isCutOff(s.zone) || s.fleet.down.Load() {
		s.mu.Unlock()
		return
	}
	s.beats++
	data, err := json.Marshal(map[string]any{
		"service": serviceName, "address": s.address, "zone": s.zone, "version": "v1", "capacity": 8, "phase": "ready", "warmup_left_ms": 0,
		"room": room(), "labels": s.labels(), "host_machine": s.machine, "clock_ms": s.clock(), "born": s.born.UnixMilli(), "sequence": s.beats,
	})
	s.entry, s.writtenAt = true, time.Now()
	s.mu.Unlock()
	if err != nil {
		panic(err) // maps of plain values always encode
	}
	s.fleet.store.Put(topicServers, s.id, data)
}

// expireEntry removes the entry of the server after three heartbeats of silence.
func (s *server) expireEntry() {
	s.mu.Lock()
	silent := s.entry && time.Since(s.writtenAt) > 3*heartbeat
	if silent {
		s.entry = false
	}
	s.mu.Unlock()
	if silent {
		s.fleet.rec.add("the entry of server %s expires", s.id)
		s.fleet.store.Put(topicServers, s.id, nil)
	}
}

func (s *server) clock() int64 { return time.Since(s.born).Milliseconds() }

// order is the body of a call.
type order struct {
	Task       string `json:"task"`
	Attempt    int64  `json:"attempt"`
	Text       string `json:"spec"`
	Deadline   int64  `json:"deadline_ms"`
	Fence      int64  `json:"fencing_token"`
	Checkpoint string `json:"checkpoint"`
	AckCursor  int64  `json:"ack_cursor"`
	WaitMS     int64  `json:"wait_ms"`
}

// handle checks what all calls have in common. While the server can't be reached by the caller, the call hangs and has no effect.
func (s *server) handle(next func(w http.ResponseWriter, r *http.Request, o order)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var o order
		data, err := io.ReadAll(r.Body)
		if err != nil || json.Unmarshal(data, &o) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		s.dropIfSevered(r, o.Fence)
		if want := r.Header.Get("Comfreyrouter-Expect-Instance"); want != "" && want != s.id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		s.mu.Lock()
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

// dropIfSevered waits for the end of a cut and breaks the connection, if the caller is beyond a cut.
func (s *server) dropIfSevered(r *http.Request, fence int64) {
	s.mu.Lock()
	cut := s.cut
	s.mu.Unlock()
	if cut == nil {
		cut = s.fleet.severed(s, fence)
	}
	if cut == nil {
		return
	}
	select {
	case <-cut:
	case <-r.Context().Done():
	}
	panic(http.ErrAbortHandler)
}

func (s *server) reply(w http.ResponseWriter, status int, body map[string]any) {
	if body == nil {
		body = map[string]any{}
	}
	s.mu.Lock()
	body["clock_ms"], body["born"] = s.clock(), s.born.UnixMilli()
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // fails only if the caller has gone
}

// extend extends the lease of all that runs here. The lock must be held.
func (s *server) extend(deadline int64) {
	s.lease = max(s.lease, min(deadline, s.clock()+leaseMost.Milliseconds()))
}

func (s *server) handleStart(w http.ResponseWriter, _ *http.Request, o order) {
	s.mu.Lock()
	reason := ""
	r := s.active[o.Task]
	switch {
	case r != nil && r.attempt == o.Attempt:
	case o.Deadline <= s.clock():
		reason = "late"
	case o.Attempt <= s.newest[o.Task] || r != nil && o.Attempt < r.attempt:
		reason = "old"
	case r != nil: // an earlier run of the task is at work here
		s.mu.Unlock()
		s.fleet.rec.add("server %s is to start %s run %d beside run %d", s.id, o.Task, o.Attempt, r.attempt)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case !s.fits(s.fleet.sizeOf(o.Task)):
		reason = "room"
	default:
		s.begin(o)
	}
	if reason != "late" {
		s.extend(o.Deadline)
	}
	s.mu.Unlock()
	if reason != "" {
		s.fleet.rec.add("server %s refuses to start %s run %d: %s", s.id, o.Task, o.Attempt, reason)
		s.reply(w, http.StatusConflict, map[string]any{"reason": reason})
		return
	}
	s.reply(w, http.StatusOK, nil)
}

// fits reports whether a task of a size fits beside all that runs here. The lock must be held.
func (s *server) fits(task size) bool {
	for name := range s.active {
		other := s.fleet.sizeOf(name)
		task.cpu += other.cpu
		task.memMB += other.memMB
	}
	return task.cpu <= roomCPU && task.memMB <= roomMB
}

// begin begins a run. The lock must be held.
func (s *server) begin(o order) {
	r := &run{task: o.Task, attempt: o.Attempt, fence: o.Fence, text: o.Text, started: time.Now(), total: s.fleet.runTime(o.Task), checkpnt: o.Checkpoint}
	s.active[o.Task] = r
	s.spans = append(s.spans, &span{task: o.Task, server: s.id, attempt: o.Attempt, from: r.started})
	s.fleet.rec.add("server %s starts %s run %d, token %d, checkpoint %q", s.id, o.Task, o.Attempt, o.Fence, o.Checkpoint)
	r.worked = workOf(o.Checkpoint)
	if s.fleet.gangs.isGang(o.Task) {
		r.gang = s.fleet.gangs.join(s, r)
	}
}

// workOf returns the work that a checkpoint stands for.
func workOf(checkpoint string) time.Duration {
	var ms int64
	if _, err := fmt.Sscanf(checkpoint, "%08x", &ms); err != nil {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}

// progress returns the work of a run so far.
func (r *run) progress() time.Duration {
	if r.gang != nil {
		return r.gang.progress()
	}
	return r.worked + time.Since(r.started)
}

// saved returns the newest checkpoint of a run.
func (r *run) saved() string {
	if r.gang == nil || !r.gang.saves {
		return ""
	}
	done := r.progress() / checkpointEvery * checkpointEvery
	if done <= 0 {
		return r.checkpnt
	}
	return fmt.Sprintf("%08x", done.Milliseconds())
}

// checkRuns ends runs that have done their work, and all runs after the lease.
func (s *server) checkRuns() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.up {
		return
	}
	lapsed := s.clock() > s.lease
	if lapsed {
		s.lapsedAt = time.Now()
	}
	for _, r := range s.active {
		switch {
		case lapsed:
			s.end(r, "lapsed")
			if r.gang != nil {
				go s.fleet.gangs.broken(r.gang, r)
			}
		case r.gang != nil: // its gang ends it
		case r.total > 0 && r.progress() >= r.total:
			s.end(r, "done")
		}
	}
}

// end ends a run and lists its end. The lock must be held.
func (s *server) end(r *run, how string) {
	if r.ended {
		return
	}
	saved := ""
	if how != "done" {
		saved = r.saved()
	}
	r.ended = true
	delete(s.active, r.task)
	s.newest[r.task] = max(s.newest[r.task], r.attempt)
	s.lastEnd++
	s.ends = append(s.ends, []any{s.lastEnd, r.task, r.attempt, how, saved})
	s.closeSpan(r, how)
	close(s.endAdded)
	s.endAdded = make(chan struct{})
	s.fleet.rec.add("server %s lists the end %d of %s run %d: %s %s", s.id, s.lastEnd, r.task, r.attempt, how, saved)
}

// closeSpan records the end of a run. The lock must be held.
func (s *server) closeSpan(r *run, how string) {
	for _, sp := range slices.Backward(s.spans) {
		if sp.task == r.task && sp.attempt == r.attempt && sp.to.IsZero() {
			sp.to, sp.how = time.Now(), how
			return
		}
	}
}

func (s *server) handleStop(w http.ResponseWriter, _ *http.Request, o order) {
	time.Sleep(stopTime)
	s.mu.Lock()
	s.newest[o.Task] = max(s.newest[o.Task], o.Attempt)
	r := s.active[o.Task]
	if r != nil && r.attempt == o.Attempt {
		s.end(r, "stopped")
	} else {
		r = nil
	}
	s.mu.Unlock()
	if r != nil && r.gang != nil {
		s.fleet.gangs.broken(r.gang, r)
	}
	s.reply(w, http.StatusOK, nil)
}

// noteEnd records that ack_cursor has reached an end. The lock must be held.
func (s *server) noteEnd(end []any) {
	s.fleet.rec.add("server %s: the end %v is taken note of", s.id, end)
	for _, sp := range s.spans {
		if sp.task == end[1] && sp.attempt == end[2] {
			sp.noted = s.lapsedAt.Before(sp.to)
		}
	}
}

func (s *server) handleHold(w http.ResponseWriter, r *http.Request, o order) {
	s.mu.Lock()
	s.extend(o.Deadline)
	for len(s.ends) > 0 && s.ends[0].([]any)[0].(int64) <= o.AckCursor {
		s.noteEnd(s.ends[0].([]any))
		s.ends = s.ends[1:]
	}
	added, wait := s.endAdded, len(s.ends) == 0
	s.mu.Unlock()
	if wait {
		select {
		case <-added:
		case <-time.After(time.Duration(min(o.WaitMS, 2000)) * time.Millisecond):
		case <-r.Context().Done():
			return
		}
	}
	s.dropIfSevered(r, o.Fence)
	s.mu.Lock()
	active := []any{}
	for _, x := range s.active {
		percent := 100
		switch {
		case x.total > 0:
			percent = int(100 * x.progress() / x.total)
		case time.Since(x.started) < warmUp:
			percent = 0
		}
		active = append(active, []any{x.task, x.attempt, x.saved(), min(percent, 100), 0})
	}
	ends := slices.Clone(s.ends[:min(len(s.ends), maxListedEnds)])
	s.mu.Unlock()
	if ends == nil {
		ends = []any{}
	}
	s.reply(w, http.StatusOK, map[string]any{"active": active, "finished": ends})
}

// allSpans returns all runs of all servers, those that still run with the present as their end.
func (f *fleet) allSpans() []span {
	var all []span
	for _, s := range f.servers {
		s.mu.Lock()
		for _, sp := range s.spans {
			c := *sp
			if c.to.IsZero() {
				c.to, c.how = time.Now(), "runs"
			}
			all = append(all, c)
		}
		s.mu.Unlock()
	}
	slices.SortFunc(all, func(a, b span) int { return a.from.Compare(b.from) })
	return all
}
