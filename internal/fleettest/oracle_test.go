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

// Time limits of the oracle. They follow the stated targets, plus the tolerances named here.
const (
	convergenceTime    = 14 * time.Second // until a configuration is in force on all entry VMs
	settleTime         = 90 * time.Second // until remaining tasks, leases and ejections of servers end
	withdrawalDeadline = freshness + 2*time.Second
	drainStart         = 5 * time.Second // after which a draining server gets no new task
	maxStartDelay      = 2 * time.Second // from the dispatch of a task to its start
	answerGrace        = 2 * time.Second // closing an id and fetching a result take up to 1 s each
)

// start records the start of a task on a backend server.
type start struct {
	at     time.Time
	holder string
	server int
}

// limitEntry is a limit of team varmland and the period in which it may be in force.
type limitEntry struct {
	value    int
	from, to time.Time // to is zero while the limit may be in force
}

// oracle checks the starts on servers and the answers to callers against the invariants of the fleet. Violations are labelled (a) to (i).
type oracle struct {
	world *world

	mu         sync.Mutex
	violations []string
	orders     map[string]*request
	limits     []*limitEntry
	withdrawn  map[string]time.Time // by key: when its withdrawal was seen in the log
	leaving    map[string]time.Time // by server: when the log was seen to have it in a phase other than serving
	loweredAt  time.Time            // when the observer read the limit in force
	limit      int
	inForce    int                  // tag of the limit in force
	isolatedAt map[string]time.Time // by entry VM: when it was last isolated from anything
}

func newOracle(w *world) *oracle {
	return &oracle{
		world: w, orders: map[string]*request{}, withdrawn: map[string]time.Time{}, leaving: map[string]time.Time{},
		isolatedAt: map[string]time.Time{}, limit: teamLimit, limits: []*limitEntry{{value: teamLimit}},
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

// observe updates the expectations from the state of the log after each record.
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

// limitProposed records a limit that an operator submits, and returns its tag.
func (o *oracle) limitProposed(value int) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.limits = append(o.limits, &limitEntry{value: value, from: time.Now()})
	return len(o.limits) - 1
}

func (o *oracle) limitRejected(tag int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.limits[tag].to = time.Now()
}

// limitRead records that a VM has read another limit: until then it may start tasks with the grants that it has under the earlier one.
func (o *oracle) limitRead(v *vm) {
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

// highestLimitLocked returns the highest limit that may have been in force at some time since the given one.
func (o *oracle) highestLimitLocked(since time.Time) int {
	highest := 0
	for _, v := range o.world.liveVMs() {
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

// started checks the start of a task; backend servers call it for each start.
func (w *world) started(server int, t backend.Task) {
	count, oldest := w.runningOf("varmland")
	o := w.oracle
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	r := o.orders[orderOf(t)]
	if r == nil {
		o.violateLocked("task %s started without a request", t.ID)
		return
	}
	if !t.Resume {
		r.starts = append(r.starts, start{now, t.Holder, server})
		if len(r.starts) > 1 && !r.repeatable {
			o.violateLocked("(a) order %s started %d times: %v", r.order, len(r.starts), r.starts)
		}
	}
	if r.notRun && !r.repeatable {
		o.violateLocked("(b) order %s started after its caller got the answer that it did not run", r.order)
	}
	// A start that was sent before the limit was lowered may arrive up to maxStartDelay later.
	if limit := o.highestLimitLocked(oldest.Add(-maxStartDelay)); t.Team == "varmland" && count > limit {
		o.violateLocked("(d) a team runs %d tasks with a limit of %d: task %s", count, limit, t.ID)
	}
	if t.Team == "varmland" && count > o.limit && o.limitSettledLocked(now) {
		o.violateLocked("(d) task %s is number %d above a limit of %d that is in force everywhere since %v", t.ID, count, o.limit, o.loweredAt)
	}
	if at, ok := o.withdrawn[r.key]; ok && now.Sub(at) > withdrawalDeadline {
		o.violateLocked("(e) order %s of key %s started on s%d by %s %v after the withdrawal", r.order, r.key, server, t.Holder, now.Sub(at))
	}
	if at, ok := o.leaving[serverName(server)]; ok && now.Sub(at) > drainStart && o.isolatedAt[t.Holder].Before(at) {
		o.violateLocked("(g) order %s started on s%d %v after the server began to drain", r.order, server, now.Sub(at))
	}
}

// limitGrace is how long starts that were sent before a limit was read may still arrive, if no VM is isolated.
const limitGrace = 2 * time.Second

// limitSettledLocked reports whether the observer read the limit in force more than limitGrace ago, all VMs have read it, and none was
// isolated since.
func (o *oracle) limitSettledLocked(now time.Time) bool {
	for _, v := range o.world.liveVMs() {
		if v.store.Config().Teams["varmland"].Share-1000 != o.inForce || !o.isolatedAt[v.name].Before(o.loweredAt) {
			return false
		}
	}
	return now.Sub(o.loweredAt) > limitGrace
}

// runningOf returns the number of a team's tasks running on all servers, and the start time of the oldest.
func (w *world) runningOf(team string) (count int, oldest time.Time) {
	now := time.Now()
	oldest = now
	w.mu.Lock()
	backends := append([]*backendProcess(nil), w.backends...)
	w.mu.Unlock()
	for _, s := range backends {
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

// answered checks the answer to an attempt or a lookup.
func (o *oracle) answered(r *request, resp entry.Response, sentAt, deadline, at time.Time, by string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if late := at.Sub(deadline); late > answerGrace {
		o.violateLocked("(h) order %s was answered %v after its deadline by %s: %s", r.order, late, by, resp.Kind)
	}
	switch resp.Outcome {
	case errkind.Done:
		if len(r.starts) == 0 {
			o.violateLocked("(c) order %s was answered as done but never started", r.order)
		}
		if resp.Kind == errNone && !bytes.Equal(resp.Body, []byte(answerTo(r.order))) {
			o.violateLocked("(c) order %s got the wrong body %q", r.order, resp.Body)
		}
	case errkind.NotRun:
		// Without a known key there is no team for which the id could be closed: the request may run once its key is added.
		r.notRun = r.notRun || resp.Kind != errkind.KeyUnknown && resp.Kind != errkind.KeyMissing
		for _, s := range r.starts {
			if !r.repeatable || r.attempts == 1 && !s.at.Before(sentAt) {
				o.violateLocked("(b) order %s was answered as not run (%s: %s) by %s but started: %v", r.order, resp.Kind, resp.Message, by, r.starts)
			}
		}
	case errkind.Unknown:
	default:
		o.violateLocked("(h) order %s was answered with outcome %q", r.order, resp.Outcome)
	}
}

// noteIsolated records that entry VMs are isolated from something now.
func (o *oracle) noteIsolated(vms ...string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, v := range vms {
		o.isolatedAt[v] = time.Now()
	}
}

// watch checks that the version of the configuration never goes back on any VM.
func (o *oracle) watch(ctx context.Context) {
	for ctx.Err() == nil {
		for _, v := range o.world.liveVMs() {
			version := v.store.Config().Version
			if version < v.version {
				o.violate("(f) the configuration of %s went from %d back to %d", v.name, v.version, version)
			}
			v.version = version
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// converged checks that all VMs have the configuration of the log, a preset in force, and the same state.
func (o *oracle) converged() {
	var want *fleet.Config
	o.world.truth.View(func(s *fleet.State) { want = s.Config })
	for _, v := range o.world.liveVMs() {
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

// sameState checks that VMs at the same offset have the same encoded state. VMs at different offsets aren't compared, because VMs go on
// writing meanwhile.
func (o *oracle) sameState() {
	encoded := map[uint64][]byte{}
	for _, v := range o.world.liveVMs() {
		v.store.View(func(s *fleet.State) {
			data, err := s.Encode()
			if other, ok := encoded[s.Offset]; err != nil || ok && !bytes.Equal(data, other) {
				o.violate("(f) %s differs from another VM in its state at offset %d: %v", v.name, s.Offset, err)
			}
			encoded[s.Offset] = data
		})
	}
}

// serves checks that every VM serves requests of each kind once all faults have ended.
func (o *oracle) serves() {
	w := o.world
	if !w.configure(w.newKey(), limitChange(teamLimit, o.limitProposed(teamLimit))) {
		o.violate("(i) a configuration change was not accepted after all faults had ended")
	}
	key := keyName(w.keyCount - 1)
	time.Sleep(2 * time.Second)
	var all sync.WaitGroup
	for _, v := range w.liveVMs() {
		all.Go(func() {
			// Sent one at a time: while requests wait, admission refuses others by the learned run times, which may be long.
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
