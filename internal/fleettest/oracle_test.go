package fleettest

import (
	"bytes"
	"context"
	"fmt"
	"sync"
	"time"

	"example.org/comfreyrouter/backend"
	"example.org/comfreyrouter/entry"
	"example.org/comfreyrouter/errkind"
	"example.org/comfreyrouter/fleet"
)

// Bounds of the oracle. All come from the stated targets, with the graces named here.
const (
	convergence = 14 * time.Second // a configuration is in force everywhere
	settling    = 90 * time.Second // lingering tasks, leases and ejections end
	withdrawal  = freshness + 2*time.Second
	drainStart  = 5 * time.Second // a leaving server gets no new start
	startWithin = 2 * time.Second // from the dispatch of a task to its start
	answerGrace = 2 * time.Second // an id is closed or a result fetched, each within a second
)

// start is the start of a task on a backend server.
type start struct {
	at     time.Time
	holder string
	server int
}

// limitEntry is a limit of team varmland from when it may be in force until it no longer is.
type limitEntry struct {
	value    int
	from, to time.Time // zero to while it may be in force
}

// oracle compares what the servers started and what the callers were told with what is allowed.
type oracle struct {
	world *world

	mu         sync.Mutex
	violations []string
	orders     map[string]*request
	limits     []*limitEntry
	withdrawn  map[string]time.Time // by key, when the log had accepted it
	leaving    map[string]time.Time // by server, when its phase was in the log
	loweredAt  time.Time            // when the limit in force was seen by the observer
	limit      int
	inForce    int                  // tag of the limit in force
	trouble    map[string]time.Time // by entry VM, when it was last cut off from anything
}

func newOracle(w *world) *oracle {
	return &oracle{
		world: w, orders: map[string]*request{}, withdrawn: map[string]time.Time{}, leaving: map[string]time.Time{},
		trouble: map[string]time.Time{}, limit: teamLimit, limits: []*limitEntry{{value: teamLimit}},
	}
}

func (o *oracle) violate(format string, args ...any) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.violateLocked(format, args...)
}

func (o *oracle) violateLocked(format string, args ...any) {
	at := time.Since(time.Date(2000, 1, 1, 1, 0, 0, 0, time.UTC)).Round(time.Millisecond)
	o.violations = append(o.violations, fmt.Sprintf("%v: ", at)+fmt.Sprintf(format, args...))
}

// observe takes what the log says after each record.
func (o *oracle) observe() {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	o.world.truth.View(func(s *fleet.State) {
		for id, k := range s.Config.Keys {
			if _, seen := o.withdrawn[id]; k.Withdrawn && !seen {
				o.withdrawn[id] = now
			}
		}
		for name, vm := range s.VMs {
			_, seen := o.leaving[name]
			switch {
			case vm.Phase == fleet.Serving:
				delete(o.leaving, name)
			case !seen:
				o.leaving[name] = now
			}
		}
		if t := s.Config.Teams["varmland"]; t.Share > 1000 && t.Share-1000 != o.inForce {
			o.limits[o.inForce].to = now
			o.inForce, o.limit, o.loweredAt = t.Share-1000, t.Limit, now
		}
	})
}

// propose notes a limit that an operator publishes, and returns its tag.
func (o *oracle) propose(value int) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.limits = append(o.limits, &limitEntry{value: value, from: time.Now()})
	return len(o.limits) - 1
}

func (o *oracle) rejected(tag int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.limits[tag].to = time.Now()
}

// read notes that a VM has read another limit: until then it may start tasks under its grants of the earlier one.
func (o *oracle) read(v *vm) {
	tag := max(0, v.store.Config().Teams["varmland"].Share-1000)
	o.mu.Lock()
	defer o.mu.Unlock()
	if tag != v.limitTag {
		if earlier := o.limits[v.limitTag]; !earlier.to.IsZero() {
			earlier.to = time.Now()
		}
		v.limitTag = tag
	}
}

// highestLimitLocked returns the highest limit that may have been in force since a time.
func (o *oracle) highestLimitLocked(since time.Time) int {
	highest := 0
	for _, v := range o.world.live() {
		if v.limitTag > 0 || v.store.Config().Version > 0 {
			highest = max(highest, o.limits[v.limitTag].value)
		}
	}
	for _, e := range o.limits {
		if e.to.IsZero() || !e.to.Before(since) {
			highest = max(highest, e.value)
		}
	}
	return highest
}

// started is called by a server for each start.
func (w *world) started(server int, t backend.Task) {
	count, oldest := w.runningOf("varmland")
	o := w.oracle
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	r := o.orders[orderOf(t)]
	if r == nil {
		o.violateLocked("a task of no request started: %s", t.ID)
		return
	}
	if !t.Resume {
		r.starts = append(r.starts, start{now, t.Holder, server})
		if len(r.starts) > 1 && !r.repeatable {
			o.violateLocked("(a) order %s started %d times: %v", r.order, len(r.starts), r.starts)
		}
	}
	if r.notRun && !r.repeatable {
		o.violateLocked("(b) order %s started after its caller was told that it did not run", r.order)
	}
	// A start that was sent before the limit was lowered may come up to startWithin later.
	if limit := o.highestLimitLocked(oldest.Add(-startWithin)); t.Team == "varmland" && count > limit {
		o.violateLocked("(d) %d tasks of a team run with a limit of %d: %s", count, limit, t.ID)
	}
	if t.Team == "varmland" && count > o.limit && o.limitSettledLocked(now) {
		o.violateLocked("(d) task %s is number %d above a limit of %d that is in force everywhere since %v", t.ID, count, o.limit, o.loweredAt)
	}
	if at, ok := o.withdrawn[r.key]; ok && now.Sub(at) > withdrawal {
		o.violateLocked("(e) order %s of key %s started on s%d by %s %v after the withdrawal", r.order, r.key, server, t.Holder, now.Sub(at))
	}
	if at, ok := o.leaving[serverName(server)]; ok && now.Sub(at) > drainStart && o.trouble[t.Holder].Before(at) {
		o.violateLocked("(g) order %s started on s%d %v after that began to leave", r.order, server, now.Sub(at))
	}
}

// limitGrace is the time in which starts that were sent before a limit was read may still arrive, if nothing is cut.
const limitGrace = 2 * time.Second

// limitSettledLocked reports whether the limit in force was read by all VMs some time ago, and nothing was cut since.
func (o *oracle) limitSettledLocked(now time.Time) bool {
	for _, v := range o.world.live() {
		if v.store.Config().Teams["varmland"].Share-1000 != o.inForce || !o.trouble[v.name].Before(o.loweredAt) {
			return false
		}
	}
	return now.Sub(o.loweredAt) > limitGrace
}

// runningOf returns the number of a team's tasks on all servers, and the start of the oldest.
func (w *world) runningOf(team string) (count int, oldest time.Time) {
	now := time.Now()
	oldest = now
	w.mu.Lock()
	workers := append([]*worker(nil), w.workers...)
	w.mu.Unlock()
	for _, s := range workers {
		if s.dead.Load() {
			continue
		}
		for _, t := range s.Status().Running {
			if t.Team == team {
				count++
				if began := now.Add(-t.RunTime); began.Before(oldest) {
					oldest = began
				}
			}
		}
	}
	return count, oldest
}

// answered takes the answer to an attempt.
func (o *oracle) answered(r *request, resp entry.Response, sentAt, deadline, at time.Time, by string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if late := at.Sub(deadline); late > answerGrace {
		o.violateLocked("(h) order %s was answered %v after its deadline by %s: %s", r.order, late, by, resp.Kind)
	}
	switch resp.Outcome {
	case errkind.Done:
		if len(r.starts) == 0 {
			o.violateLocked("(c) order %s is called done and never started", r.order)
		}
		if resp.Kind == errNone && !bytes.Equal(resp.Body, []byte(answerTo(r.order))) {
			o.violateLocked("(c) order %s got the body %q", r.order, resp.Body)
		}
	case errkind.NotRun:
		// Without a known key there is no team in whose name the id could be closed: it may run once its key is given.
		r.notRun = r.notRun || resp.Kind != errkind.KeyUnknown && resp.Kind != errkind.KeyMissing
		for _, s := range r.starts {
			if !r.repeatable || r.attempts == 1 && !s.at.Before(sentAt) {
				o.violateLocked("(b) order %s is called not run (%s: %s) by %s and started: %v", r.order, resp.Kind, resp.Message, by, r.starts)
			}
		}
	case errkind.Unknown:
	default:
		o.violateLocked("(h) order %s was answered with outcome %q", r.order, resp.Outcome)
	}
}

// isolate notes that an entry VM is cut off from something now.
func (o *oracle) isolate(vms ...string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, v := range vms {
		o.trouble[v] = time.Now()
	}
}

// watch follows the configuration of all VMs.
func (o *oracle) watch(ctx context.Context) {
	for ctx.Err() == nil {
		for _, v := range o.world.live() {
			version := v.store.Config().Version
			if version < v.version {
				o.violate("(f) the configuration of %s went from %d back to %d", v.name, v.version, version)
			}
			v.version = version
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// converged checks that all VMs have the same state.
func (o *oracle) converged() {
	var want *fleet.Config
	o.world.truth.View(func(s *fleet.State) { want = s.Config })
	for _, v := range o.world.live() {
		c := v.store.Config()
		if c.Version != want.Version || c.InForce != want.InForce {
			o.violate("(f) %s has version %d with %s in force, and the log has %d with %s", v.name, c.Version, c.InForce, want.Version, want.InForce)
		}
		if _, ok := c.Presets[c.InForce]; !ok {
			o.violate("(f) %s has no preset in force", v.name)
		}
	}
	o.sameState()
}

// sameState compares whole states, once for each offset: VMs go on writing meanwhile.
func (o *oracle) sameState() {
	encoded := map[uint64][]byte{}
	for _, v := range o.world.live() {
		v.store.View(func(s *fleet.State) {
			data, err := s.Encode()
			if other, ok := encoded[s.Offset]; err != nil || ok && !bytes.Equal(data, other) {
				o.violate("(f) %s has another state at offset %d: %v", v.name, s.Offset, err)
			}
			encoded[s.Offset] = data
		})
	}
}

// serves checks that every VM serves requests of each kind once all faults have ended.
func (o *oracle) serves() {
	w := o.world
	if !w.configure(w.newKey(), limited(teamLimit, o.propose(teamLimit))) {
		o.violate("(i) a change of the configuration is not accepted")
	}
	key := keyName(w.keyCount - 1)
	time.Sleep(2 * time.Second)
	var all sync.WaitGroup
	for _, v := range w.live() {
		all.Go(func() {
			// One after the other: while requests wait, admission refuses by the learned run times, which may be long.
			for kind := range kinds {
				r := w.newRequest(v, kind, "quotes", key, 100)
				resp := v.Handle(context.Background(), r.request(30*time.Second))
				if resp.Outcome != errkind.Done {
					o.violate("(i) order %s by %s after all faults have ended: %s %s", r.order, v.name, resp.Kind, resp.Message)
				}
			}
		})
	}
	all.Wait()
}
