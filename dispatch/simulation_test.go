package dispatch

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"example.org/comfreyrouter/jobs"
	"example.org/comfreyrouter/ledger"
)

// tick is the step of the simulated time.
const tick = 20 * time.Millisecond

// fakeRun is a run on a simulated server.
type fakeRun struct {
	attempt int64
	endsAt  time.Duration
	how     jobs.EndKind
	percent int
}

// fakeServer is a simulated backend server. It keeps what the platform's pages say of one.
type fakeServer struct {
	info    jobs.Server
	up      bool
	cut     bool    // nothing reaches it, nothing comes back
	rate    float64 // of its clock
	bornAt  time.Duration
	lease   int64
	fence   int64
	runs    map[string]*fakeRun
	newest  map[string]int64 // highest attempt stopped or ended, by task
	ended   []jobs.End
	number  int64
	failing bool
	stands  bool // its tasks make no progress
}

func (s *fakeServer) clock(now time.Duration) int64 {
	return int64(float64((now - s.bornAt).Milliseconds()) * s.rate)
}

func (s *fakeServer) used(spec map[string]jobs.Step) jobs.Resources {
	var r jobs.Resources
	for task := range s.runs {
		r = r.Add(spec[task].Allocation())
	}
	return r
}

func (s *fakeServer) end(task string, how jobs.EndKind) {
	s.number++
	s.newest[task] = max(s.newest[task], s.runs[task].attempt)
	s.ended = append(s.ended, jobs.End{Number: s.number, Task: task, Attempt: s.runs[task].attempt, How: how})
	delete(s.runs, task)
}

// delayed is an order that a server carries out later.
type delayed struct {
	at    time.Duration
	order Order
}

// world is a fleet with one dispatcher at a time and an oracle.
type world struct {
	rng       *rand.Rand
	now       time.Duration
	servers   map[string]*fakeServer
	ledger    *ledger.Ledger
	offset    int64
	core      *Core
	epoch     int64
	config    *jobs.Configuration
	steps     map[string]jobs.Step // by task
	specs     map[string]jobs.Submission
	done      map[string]bool // tasks and runs whose end was acknowledged
	failed    map[string]int
	listed    map[string]bool // tasks of which a done run was listed
	unstored  []Batch
	storeDown bool // nothing is stored
	late      []delayed
	lossy     float64 // share of orders without an answer
	faults    []string
	starts    int
}

const (
	testLease   = 4 * time.Second
	testSilence = time.Second
)

func newWorld(seed uint64, servers int) *world {
	w := &world{
		rng: rand.New(rand.NewPCG(seed, 1)), now: time.Minute, servers: map[string]*fakeServer{}, ledger: ledger.New(),
		config: &jobs.Configuration{
			Version: 1, Routes: []jobs.Route{{Name: "q", Service: "pool"}}, Services: map[string]jobs.Service{"pool": {Name: "pool"}},
			Workspaces: []jobs.Workspace{{Name: "w", Limit: jobs.Resources{CPU: 6000}}},
		},
		steps: map[string]jobs.Step{}, specs: map[string]jobs.Submission{}, done: map[string]bool{}, failed: map[string]int{}, listed: map[string]bool{},
	}
	for i := range servers {
		w.addServer(fmt.Sprintf("s%d", i), jobs.Resources{CPU: 4000, MemoryMB: 4000})
	}
	w.takeOver()
	return w
}

func (w *world) addServer(id string, room jobs.Resources) *fakeServer {
	s := &fakeServer{
		info: jobs.Server{ID: id, Service: "pool", Address: id, Machine: "m-" + id, Ready: true, Capacity: room, BornMS: w.now.Milliseconds()},
		up:   true, rate: 1 - 0.02*w.rng.Float64(), bornAt: w.now - time.Second, runs: map[string]*fakeRun{}, newest: map[string]int64{},
	}
	w.servers[id] = s
	return s
}

// takeOver replaces the dispatcher, which is gone with all that it had not stored.
func (w *world) takeOver() {
	w.unstored = nil
	w.epoch++
	w.apply([]ledger.Record{ledger.DispatcherRecord(ledger.Dispatcher{Epoch: w.epoch, Incarnation: fmt.Sprint(w.epoch)})})
	w.core = New(Params{Epoch: w.epoch, Lease: testLease, PredecessorsUntil: w.now + testSilence}, w.ledger, w.config, w.now, w.wall())
}

func (w *world) wall() int64 { return w.now.Milliseconds() }

func (w *world) apply(records []ledger.Record) {
	for _, r := range records {
		change, id, err := w.ledger.Apply(r, w.offset)
		w.offset++
		if err != nil {
			w.fault("ledger: %v", err)
		}
		if change == ledger.JobAdded && w.core != nil {
			w.core.AddJob(w.ledger.Jobs[id])
		}
		if change == ledger.JobCancelled && w.core != nil {
			w.core.Cancel(id)
		}
	}
}

func (w *world) fault(format string, args ...any) {
	w.faults = append(w.faults, fmt.Sprintf("at %v: ", w.now)+fmt.Sprintf(format, args...))
}

// submit hands a job in.
func (w *world) submit(id string, steps ...jobs.Step) {
	s := jobs.Submission{
		ID: id, Route: "q", Service: "pool", Workspace: "w", MaxAttempts: 3, SlackFactor: 1.6, TargetMS: 600, ReceivedMS: w.wall(),
		Spec: jobs.Spec{Text: "x", Steps: steps},
	}
	w.specs[id] = s
	for i, step := range steps {
		for k := range step.Count {
			w.steps[jobs.TaskID{Job: id, Step: i, Index: k}.String()] = step
		}
	}
	w.core.Advance(w.now, w.wall(), true)
	w.apply([]ledger.Record{ledger.SubmissionRecord(s)})
}

func (w *world) cancel(id string) {
	w.core.Advance(w.now, w.wall(), true)
	w.apply([]ledger.Record{ledger.CancelRecord(id)})
}

// run lets time pass.
func (w *world) run(d time.Duration) {
	for until := w.now + d; w.now < until; {
		w.step()
	}
}

func (w *world) step() {
	w.now += tick
	for _, id := range w.ids() {
		w.work(w.servers[id])
	}
	for len(w.late) > 0 && w.late[0].at <= w.now {
		w.carryOut(w.late[0].order)
		w.late = w.late[1:]
	}
	w.core.Advance(w.now, w.wall(), true)
	for _, id := range w.ids() {
		if s := w.servers[id]; s.up && !s.cut {
			w.core.ServerListed(s.info)
		} else if !s.up {
			w.core.ServerUnlisted(id)
		}
	}
	for _, id := range w.core.Servers() {
		w.renew(id)
	}
	w.core.Schedule()
	w.send()
	w.store()
}

func (w *world) ids() []string {
	ids := make([]string, 0, len(w.servers))
	for id := range w.servers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// work lets a server's tasks go on.
func (w *world) work(s *fakeServer) {
	if !s.up {
		return
	}
	for _, task := range sortedKeys(s.runs) {
		r := s.runs[task]
		switch {
		case s.clock(w.now) >= s.lease:
			s.end(task, jobs.EndLeaseExpired)
		case s.stands:
			r.endsAt += tick
		case w.now >= r.endsAt:
			s.end(task, r.how)
		default:
			r.percent = min(r.percent+2, 100)
		}
	}
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// renew makes one renewal, if the server can be reached.
func (w *world) renew(id string) {
	r, ok := w.core.NextRenewal(id)
	if !ok {
		return
	}
	s := w.servers[id]
	if s == nil || !s.up || s.cut {
		w.core.RenewalUnanswered(id, w.now-tick, tick)
		return
	}
	if s.fence > w.epoch {
		return
	}
	s.fence = w.epoch
	s.lease = max(s.lease, r.LeaseUntil)
	// An end counts from its acknowledgement on. By the users' rules it also counts 100 ms after it was listed, but not near a fault,
	// and the dispatcher stores within two ticks.
	s.ended = slices.DeleteFunc(s.ended, func(e jobs.End) bool {
		if e.Number <= r.AckCursor {
			w.noteEnd(e)
		}
		return e.Number <= r.AckCursor
	})
	report := jobs.Report{ClockMS: s.clock(w.now), BornMS: s.info.BornMS, Ended: slices.Clone(s.ended)}
	for _, e := range report.Ended {
		w.listed[e.Task] = w.listed[e.Task] || e.How == jobs.EndDone
	}
	for _, task := range sortedKeys(s.runs) {
		run := s.runs[task]
		report.Active = append(report.Active, jobs.RunState{Task: task, Attempt: run.attempt, Percent: run.percent})
	}
	w.core.ReportReceived(id, w.now-tick/2, report)
}

func (w *world) noteEnd(e jobs.End) {
	key := fmt.Sprintf("%s/%d", e.Task, e.Attempt)
	if e.How == jobs.EndDone {
		w.done[e.Task] = true
	}
	if e.How == jobs.EndFailed && !w.done[key] {
		w.done[key] = true
		w.failed[e.Task]++
	}
}

// send carries orders out, loses them, or has them carried out later.
func (w *world) send() {
	for _, o := range w.core.TakeOrders() {
		s := w.servers[o.Server.ID]
		reached := s != nil && s.up && !s.cut
		if reached && w.rng.Float64() >= w.lossy {
			w.answer(o, w.carryOut(o))
			continue
		}
		if reached {
			w.late = append(w.late, delayed{w.now + 2*time.Second + time.Duration(w.rng.IntN(3000))*time.Millisecond, o})
			slices.SortStableFunc(w.late, func(a, b delayed) int { return int(a.at - b.at) })
		}
		w.answer(o, jobs.StartUnknown)
	}
}

func (w *world) answer(o Order, result jobs.StartResult) {
	switch {
	case o.Start != nil:
		w.core.StartAnswered(o.Server.ID, o.Start.Task.String(), o.Start.Attempt, result)
	case o.Stop != nil:
		w.core.StopAnswered(o.Server.ID, o.Stop.Task, o.Stop.Attempt, result == jobs.Started)
	}
}

// carryOut does what a server does with an order.
func (w *world) carryOut(o Order) jobs.StartResult {
	s := w.servers[o.Server.ID]
	if s == nil || !s.up || s.info.BornMS != o.Server.BornMS {
		return jobs.StartUnknown
	}
	switch {
	case o.Start != nil:
		return w.carryOutStart(s, *o.Start)
	case o.Stop != nil:
		s.newest[o.Stop.Task] = max(s.newest[o.Stop.Task], o.Stop.Attempt)
		if r := s.runs[o.Stop.Task]; r != nil && r.attempt <= o.Stop.Attempt {
			s.end(o.Stop.Task, jobs.EndStopped)
		}
	}
	return jobs.Started
}

func (w *world) carryOutStart(s *fakeServer, o jobs.Order) jobs.StartResult {
	task := o.Task.String()
	switch {
	case o.Fence < s.fence:
		return jobs.StartFenced
	case s.newest[task] >= o.Attempt:
		return jobs.StartSuperseded
	case o.LeaseUntil <= s.clock(w.now):
		return jobs.StartLeaseExpired
	case s.runs[task] != nil:
		return jobs.Started
	}
	s.fence = max(s.fence, o.Fence)
	s.lease = max(s.lease, o.LeaseUntil)
	w.check(s, o)
	w.starts++
	r := &fakeRun{attempt: o.Attempt, endsAt: w.now + time.Duration(300+w.rng.IntN(900))*time.Millisecond, how: jobs.EndDone}
	if w.steps[task].LongRunning {
		r.endsAt = w.now + time.Hour
	}
	if s.failing {
		r.how, r.endsAt = jobs.EndFailed, w.now+50*time.Millisecond
	}
	s.runs[task] = r
	return jobs.Started
}

// check is the oracle: it looks at a start as the users' rules do.
func (w *world) check(s *fakeServer, o jobs.Order) {
	task, step := o.Task.String(), w.steps[o.Task.String()]
	for id, other := range w.servers {
		if other.up && other.runs[task] != nil {
			w.fault("TWICE %s runs on %s and starts on %s", task, id, s.info.ID)
		}
	}
	if w.done[task] {
		w.fault("TWICE %s was done and starts on %s", task, s.info.ID)
	}
	if w.failed[task] >= w.specs[o.Task.Job].MaxAttempts && !step.LongRunning {
		w.fault("BUDGET %s failed %d times and starts", task, w.failed[task])
	}
	if !s.used(w.steps).Add(step.Allocation()).Fits(s.info.Capacity) {
		w.fault("LIMIT %s doesn't fit on %s", task, s.info.ID)
	}
	for _, before := range step.After {
		for k := range w.specs[o.Task.Job].Spec.Steps[before].Count {
			if !w.listed[jobs.TaskID{Job: o.Task.Job, Step: before, Index: k}.String()] {
				w.fault("ORDER %s starts before step %d is done", task, before)
			}
		}
	}
	w.checkSpread(s, o, step)
	w.checkLimit(o, step)
}

func (w *world) checkSpread(s *fakeServer, o jobs.Order, step jobs.Step) {
	if step.MaxPerServer == 0 {
		return
	}
	n := 0
	for other := range s.runs {
		if id, ok := jobs.ParseTaskID(other); ok && id.Job == o.Task.Job && id.Step == o.Task.Step {
			n++
		}
	}
	if n >= step.MaxPerServer {
		w.fault("ROUTE %s starts beside %d of its step", o.Task, n)
	}
}

func (w *world) checkLimit(o jobs.Order, step jobs.Step) {
	ws := w.specs[o.Task.Job].Workspace
	total := step.Need
	for _, s := range w.servers {
		for task := range s.runs {
			if id, ok := jobs.ParseTaskID(task); ok && s.up && w.specs[id.Job].Workspace == ws {
				total = total.Add(w.steps[task].Need)
			}
		}
	}
	// The rule allows a tenth and one task more.
	for _, workspace := range w.config.Workspaces {
		limit := workspace.Limit
		if workspace.Name == ws && limit.CPU > 0 && total.CPU > limit.CPU+limit.CPU/10+step.Need.CPU {
			w.fault("QUOTA %s brings %s to %d of %d", o.Task, ws, total.CPU, limit.CPU)
		}
	}
}

// store stores the core's batch; the answer comes a few ticks later.
func (w *world) store() {
	b := w.core.TakeBatch()
	if !b.Empty() {
		w.unstored = append(w.unstored, b)
	}
	if len(w.unstored) > 0 && !w.storeDown && w.rng.IntN(2) == 0 {
		for _, b := range w.unstored {
			w.apply(b.Records)
			w.core.BatchStored(b)
		}
		w.unstored = nil
	}
}

// restart gives a server a new life under its id.
func (w *world) restart(s *fakeServer) {
	s.up, s.cut, s.bornAt, s.lease, s.fence, s.number = true, false, w.now, 0, 0, 0
	s.info.BornMS = w.now.Milliseconds()
	s.runs, s.newest, s.ended = map[string]*fakeRun{}, map[string]int64{}, nil
}

func (w *world) phase(id string) jobs.Phase { return w.ledger.Jobs[id].Phase() }
