package entry

import (
	"context"
	"errors"
	"maps"
	"slices"
	"strconv"
	"time"

	"example.org/comfreyrouter/backend"
	"example.org/comfreyrouter/errkind"
	"example.org/comfreyrouter/events"
	"example.org/comfreyrouter/fairshare"
	"example.org/comfreyrouter/routing"
)

// task is one run of a call on a backend server. It counts against the team's limit until its end is confirmed or its lease has
// expired.
type task struct {
	id         string
	call       *call
	pool       string
	team       string
	server     string
	address    string
	fence      uint64
	startSeq   uint64 // increases with each start
	startedAt  time.Time
	leaseEnd   time.Time
	lost       bool // its end is unconfirmed; its lease is no longer renewed
	stopping   bool
	repeatable bool
}

// assignment tells a waiting call on which server it runs, or why it must not start.
type assignment struct {
	server string
	task   *task
	send   backend.Task
	err    error
}

// awaitAssignment enqueues the call and waits for its assignment or the end of its context.
func (e *Engine) awaitAssignment(c *call) (assignment, error) {
	if c.ctx.Err() != nil {
		return assignment{}, e.waitError(c)
	}
	c.assigned = make(chan assignment, 1)
	e.mu.Lock()
	e.enqueueLocked(c)
	e.dispatchLocked(c.queue.Pool)
	e.mu.Unlock()
	select {
	case a := <-c.assigned:
		return a, a.err
	case <-c.ctx.Done():
	}
	err := e.waitError(c)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.queues[c.queue.Pool].Remove(c.item) {
		e.dequeuedLocked(c)
		return assignment{}, err
	}
	if a := <-c.assigned; a.task != nil {
		c.onServer = false
		e.health.Inconclusive(a.server)
		e.endTaskLocked(a.task)
	}
	return assignment{}, err
}

// waitError returns the reason why a call was not assigned before its context ended.
func (e *Engine) waitError(c *call) error {
	cause := context.Cause(c.ctx)
	switch {
	case errors.Is(cause, errCallerLeft):
		return errCallerLeft
	case !errors.Is(cause, errDeadline):
		return errkind.New(errkind.ShuttingDown, "this entry VM is shutting down")
	case c.refusals > 0:
		return errkind.New(errkind.BackendRefused, "refused %d times, the last time with: %v", c.refusals, c.lastErr)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	switch {
	case len(e.candidatesLocked(c.queue.Pool, now)) == 0:
		return errkind.New(errkind.NoBackendServer, "no backend server of pool %q took work until the deadline", c.queue.Pool)
	case !e.holder.MayStart(c.team, now):
		return errkind.New(errkind.LimitReached, "team %q ran as much as its grant allows until the deadline", c.team)
	}
	return errDeadline
}

func (e *Engine) enqueueLocked(c *call) {
	q := e.queues[c.queue.Pool]
	if q == nil {
		q = fairshare.NewQueue()
		e.queues[c.queue.Pool] = q
	}
	e.itemSeq++
	c.item = fairshare.Item{ID: e.itemSeq, Team: c.team, Class: c.queue.Class, Enqueued: c.receivedAt}
	if c.refusals > 0 || c.attempts > 0 || c.resume {
		q.Return(c.item)
	} else {
		q.Push(c.item)
	}
	e.calls[c.item.ID] = c
	e.waitingBytes += len(c.req.Body)
	e.waitingByTeam[c.team]++
	e.holder.SetWaiting(c.team, e.waitingByTeam[c.team])
}

// dequeuedLocked updates the counts of waiting calls after a call has left its queue.
func (e *Engine) dequeuedLocked(c *call) {
	delete(e.calls, c.item.ID)
	e.waitingBytes -= len(c.req.Body)
	e.waitingByTeam[c.team]--
	e.holder.SetWaiting(c.team, e.waitingByTeam[c.team])
}

func (e *Engine) dispatchAllLocked() {
	for pool := range e.queues {
		e.dispatchLocked(pool)
	}
}

// dispatchLocked starts as many waiting calls of a pool as limits, slots and shares allow: first on the pool's own servers, then urgent
// ones on the servers of spare pools.
func (e *Engine) dispatchLocked(pool string) {
	q := e.queues[pool]
	if q == nil || q.Len() == 0 || !e.joined {
		return
	}
	now := time.Now()
	own := e.candidatesLocked(pool, now)
	view := e.fairViewLocked(pool, own, now)
	e.lendIdleAllotmentLocked(&view, pool, now)
	e.startWaitingLocked(q, own, view, now)
	if q.Len() == 0 {
		return
	}
	if spare := e.spareServersLocked(pool, now); len(spare) > 0 {
		e.startWaitingLocked(q, spare, spareView(e.fairViewLocked(pool, spare, now)), now)
	}
	e.probeLocked(pool, q, now)
}

// startWaitingLocked starts waiting calls on servers. Calls for which there is no server go back to their queue.
func (e *Engine) startWaitingLocked(q *fairshare.Queue, servers []routing.Server, view fairshare.View, now time.Time) {
	var unplaced []fairshare.Item
	for {
		item, ok := q.Next(view)
		if !ok {
			break
		}
		c := e.calls[item.ID]
		if err := e.keyRefusalLocked(c, now); err != nil {
			e.dequeuedLocked(c)
			c.assigned <- assignment{err: err}
			continue
		}
		i, ok := routing.Choose(servers, e.options.DataCentre, c.exclude, e.rng)
		if !ok {
			unplaced = append(unplaced, item)
			continue
		}
		if !e.startTaskLocked(c, servers[i].Name, now) {
			unplaced = append(unplaced, item)
			continue
		}
		c.isProbe = false
		servers[i].LocalTasks++
		view.FreeSlots--
		view.Running[c.team]++
		e.countHeldLocked(&view, c.queue.Pool)
	}
	for _, item := range unplaced {
		q.Return(item)
	}
}

// spareServersLocked returns the servers of the spare pools that may run work of another, full pool.
func (e *Engine) spareServersLocked(pool string, now time.Time) []routing.Server {
	var servers []routing.Server
	config := e.options.Store.Config()
	for _, name := range slices.Sorted(maps.Keys(config.Pools)) {
		if config.Pools[name].Spare && name != pool {
			servers = append(servers, e.candidatesLocked(name, now)...)
		}
	}
	return servers
}

// spareView returns the view for spare pools: the preset's reserve stays free for their own queues, and the other slots are lent to
// urgent work only. No allotment applies, because it covers only the pool's own slots.
func spareView(v fairshare.View) fairshare.View {
	v.FreeSlots -= v.ReservedSlots
	v.ReservedSlots = v.FreeSlots
	v.Allotment = 0
	return v
}

func (e *Engine) fairViewLocked(pool string, servers []routing.Server, now time.Time) fairshare.View {
	config := e.options.Store.Config()
	view := fairshare.View{Shares: sharesOf(config), Running: map[string]int{}}
	for name := range config.Teams {
		view.Running[name] = e.localRunning[pool][name] + e.remoteRunning[pool][name]
	}
	slots := 0
	for _, s := range servers {
		slots += s.Slots
		if !s.Ejected {
			view.FreeSlots += max(0, s.Free())
		}
	}
	view.ReservedSlots = fairshare.Reserve(slots, config.Preset().ReservePercent)
	e.addSharesLocked(&view, pool, config, now)
	view.MayStart = func(team string) bool { return e.holder.MayStart(team, now) }
	return view
}

// startTimeout is how long after its dispatch a task may start. Together with the freshness of the view at dispatch it limits how long a
// withdrawn key can still start tasks, however long the network delays them.
const startTimeout = 2 * time.Second

// startTaskLocked counts a task against the team's limit and assigns it to the waiting call. It reports false, and starts nothing, if the
// limit does not allow the task. The task is counted before the call stops counting as waiting: the holder's fair share depends on the
// number of waiting calls, and an uncounted task would let the team exceed its limit.
func (e *Engine) startTaskLocked(c *call, name string, now time.Time) bool {
	if !e.holder.Start(c.team, now) {
		return false
	}
	e.dequeuedLocked(c)
	s := e.servers[name]
	e.taskSeq++
	t := &task{
		id:   e.options.Incarnation + "-" + strconv.FormatUint(e.taskSeq, 10),
		call: c, pool: c.queue.Pool, team: c.team, server: name, address: s.address,
		fence: e.member.Fence, startSeq: e.taskSeq, startedAt: now, repeatable: c.kind == repeatable,
	}
	t.leaseEnd = e.holder.TaskLeaseEnd(c.team, e.holder.Running(c.team)-1, now)
	e.tasks[t.id] = t
	e.localLoad[name]++
	e.health.Started(name, now)
	if e.localRunning[t.pool] == nil {
		e.localRunning[t.pool] = map[string]int{}
	}
	e.localRunning[t.pool][t.team]++
	e.recordUsageLocked(t.pool, now)
	if c.attempts == 0 && c.refusals == 0 {
		e.options.Counters.StartDelay(c.queue.Class, now.Sub(c.receivedAt))
	}
	c.onServer = true
	c.assigned <- assignment{server: name, task: t, send: backend.Task{
		ID: t.id, Queue: c.req.Queue, Team: c.team, Class: c.queue.Class,
		Holder: e.options.VM, Fence: t.fence, PoolEpoch: s.epoch,
		BootID:     s.clock.bootID,
		StartUntil: s.clock.serverTime(now.Add(startTimeout), e.options.Limits.ClockDriftDivisor),
		LeaseUntil: s.clock.serverTime(t.leaseEnd, e.options.Limits.ClockDriftDivisor),
		Body:       c.req.Body, Resume: c.resume,
	}}
	return true
}

// endTaskLocked removes a task from all counts and dispatches calls that waited for its slot. It does nothing if that was done before.
func (e *Engine) endTaskLocked(t *task) {
	if _, ok := e.tasks[t.id]; !ok {
		return
	}
	delete(e.tasks, t.id)
	e.holder.End(t.team)
	decrement(e.localLoad, t.server)
	decrement(e.localRunning[t.pool], t.team)
	e.recordUsageLocked(t.pool, time.Now())
	e.dispatchAllLocked()
}

func decrement(m map[string]int, key string) {
	m[key]--
	if m[key] <= 0 {
		delete(m, key)
	}
}

type runResult struct {
	body []byte
	err  error
}

// runTask runs an assigned task to its end. A repeatable task is stopped when the caller disconnects or the deadline passes. A
// non-repeatable one may continue until Options.Linger after its deadline, because its outcome must be recorded.
func (e *Engine) runTask(c *call, a assignment) ([]byte, error) {
	ctx, cancel := context.WithCancel(e.baseCtx)
	defer cancel()
	startedAt := time.Now()
	ended := make(chan runResult, 1)
	go func() {
		body, err := e.options.Backend.Run(ctx, a.task.address, a.send)
		ended <- runResult{body, err}
	}()
	result := e.waitTask(c, a.task, ended, cancel)
	e.taskEnded(c, a, result.err, time.Since(startedAt))
	return result.body, result.err
}

func (e *Engine) waitTask(c *call, t *task, ended chan runResult, cancel context.CancelFunc) runResult {
	select {
	case r := <-ended:
		return r
	case <-c.ctx.Done():
	}
	if c.kind != repeatable {
		timer := time.NewTimer(max(0, time.Until(c.receivedAt.Add(c.req.TimeLeft))) + e.options.Linger)
		defer timer.Stop()
		select {
		case r := <-ended:
			return r
		case <-timer.C:
		}
	}
	stopCtx, stop := context.WithTimeout(e.baseCtx, e.options.StopGrace)
	defer stop()
	go e.stopTask(stopCtx, t, false)
	select {
	case r := <-ended:
		return r
	case <-stopCtx.Done():
		cancel()
		return <-ended
	}
}

// stopTask asks the server to stop or checkpoint a task. The result is returned by the pending Run.
func (e *Engine) stopTask(ctx context.Context, t *task, checkpoint bool) {
	stop := e.options.Backend.Stop
	if checkpoint {
		stop = e.options.Backend.Checkpoint
	}
	// An error needs no handling: the task then ends with its lease at the latest.
	_ = stop(ctx, t.address, t.id, e.options.VM, t.fence)
}

// taskEnded updates health and run times, and stops counting the task if its end is confirmed. Otherwise the task counts until its lease,
// which is no longer renewed, has expired on the server.
func (e *Engine) taskEnded(c *call, a assignment, err error, runTime time.Duration) {
	if errkind.Of(err) == errkind.AnswerCorrupt {
		events.Log(e.options.Logger, events.AnswerRejected, a.server, err)
	}
	ejected := false
	defer func() {
		if ejected {
			events.Log(e.options.Logger, events.ServerEjected, a.server)
		}
	}()
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	c.onServer = false
	k := errkind.Kind("")
	var checkpoint *backend.Checkpoint
	checkpointed := errors.As(err, &checkpoint)
	if err != nil && !checkpointed {
		k = errkind.Of(err)
	}
	switch {
	case checkpointed:
		e.health.Inconclusive(a.server)
	case k == "":
		e.runTimes.Observe(c.req.Queue, c.team, runTime, now)
		e.reportHealthLocked(a.server, true, now)
	case k == errkind.BackendRefused:
		e.recordRefusalLocked(a.server, err, now)
		if errors.Is(err, backend.ErrBootMismatch) {
			e.forgetClockLocked(a.server, a.send.BootID)
		}
	case c.ctx.Err() == nil && !a.task.stopping:
		before := e.health.Ejected(a.server, now)
		e.reportFailureLocked(c, a.server, now)
		ejected = !before && e.health.Ejected(a.server, now)
	default:
		e.health.Inconclusive(a.server)
	}
	e.recordSlotLocked(c, a.server, k != errkind.BackendRefused)
	if k == "" || k == errkind.BackendRefused || k == errkind.BackendFailed {
		e.endTaskLocked(a.task)
		return
	}
	a.task.lost = true
	time.AfterFunc(max(0, a.task.leaseEnd.Sub(now)), func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.endTaskLocked(a.task)
	})
}
