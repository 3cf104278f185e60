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

// task is a run of a call on a backend server. It counts against the team's limit until its end is confirmed or its lease has
// run out.
type task struct {
	id         string
	call       *call
	pool       string
	team       string
	server     string
	address    string
	fence      uint64
	number     uint64 // order of starts
	startedAt  time.Time
	leaseEnd   time.Time
	lost       bool // its lease is not renewed any more
	stopping   bool
	repeatable bool
}

// assignment tells a waiting call where it runs, or why it does not.
type assignment struct {
	server string
	task   *task
	send   backend.Task
	err    error
}

// await queues the call and waits for its assignment.
func (e *Engine) await(c *call) (assignment, error) {
	if c.ctx.Err() != nil {
		return assignment{}, e.waitError(c)
	}
	c.assigned = make(chan assignment, 1)
	e.mu.Lock()
	e.pushLocked(c)
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
		e.poppedLocked(c)
		return assignment{}, err
	}
	if a := <-c.assigned; a.task != nil {
		c.onServer = false
		e.health.Inconclusive(a.server)
		e.endLocked(a.task)
	}
	return assignment{}, err
}

// waitError says why a call waited until its context ended.
func (e *Engine) waitError(c *call) error {
	cause := context.Cause(c.ctx)
	switch {
	case errors.Is(cause, errLeft):
		return errLeft
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

func (e *Engine) pushLocked(c *call) {
	q := e.queues[c.queue.Pool]
	if q == nil {
		q = fairshare.NewQueue()
		e.queues[c.queue.Pool] = q
	}
	e.nextItem++
	c.item = fairshare.Item{ID: e.nextItem, Team: c.team, Class: c.queue.Class, Enqueued: c.began}
	if c.refusals > 0 || c.attempts > 0 || c.resume {
		q.Return(c.item)
	} else {
		q.Push(c.item)
	}
	e.calls[c.item.ID] = c
	e.waitingBytes += len(c.req.Body)
	e.waiting[c.team]++
	e.holder.SetWaiting(c.team, e.waiting[c.team])
}

// poppedLocked counts a call out that is no longer in its queue.
func (e *Engine) poppedLocked(c *call) {
	delete(e.calls, c.item.ID)
	e.waitingBytes -= len(c.req.Body)
	e.waiting[c.team]--
	e.holder.SetWaiting(c.team, e.waiting[c.team])
}

func (e *Engine) dispatchAllLocked() {
	for pool := range e.queues {
		e.dispatchLocked(pool)
	}
}

// dispatchLocked starts as many waiting calls of a pool as limits, slots and shares allow: first on the pool's own servers, then urgent ones on the
// spare pools' servers.
func (e *Engine) dispatchLocked(pool string) {
	q := e.queues[pool]
	if q == nil || q.Len() == 0 || !e.joined {
		return
	}
	now := time.Now()
	own := e.candidatesLocked(pool, now)
	view := e.fairViewLocked(pool, own, now)
	e.lendIdleLocked(&view, pool, now)
	e.fillLocked(q, own, view, now)
	if q.Len() == 0 {
		return
	}
	if spare := e.lendableLocked(pool, now); len(spare) > 0 {
		e.fillLocked(q, spare, lentView(e.fairViewLocked(pool, spare, now)), now)
	}
	e.probeLocked(pool, q, now)
}

// fillLocked starts waiting calls on servers. Calls that find no server go back to their queue.
func (e *Engine) fillLocked(q *fairshare.Queue, servers []routing.Server, view fairshare.View, now time.Time) {
	var aside []fairshare.Item
	for {
		item, ok := q.Next(view)
		if !ok {
			break
		}
		c := e.calls[item.ID]
		if err := e.keyRefusalLocked(c, now); err != nil {
			e.poppedLocked(c)
			c.assigned <- assignment{err: err}
			continue
		}
		i, ok := routing.Choose(servers, e.options.DataCentre, c.exclude, e.rnd)
		if !ok {
			aside = append(aside, item)
			continue
		}
		if !e.startLocked(c, servers[i].Name, now) {
			aside = append(aside, item)
			continue
		}
		c.probe = false
		servers[i].LocalTasks++
		view.FreeSlots--
		view.Running[c.team]++
		e.heldLocked(&view, c.queue.Pool)
	}
	for _, item := range aside {
		q.Return(item)
	}
}

// lendableLocked returns the servers of the spare pools that may take work of a full pool.
func (e *Engine) lendableLocked(pool string, now time.Time) []routing.Server {
	var servers []routing.Server
	config := e.options.Store.Config()
	for _, name := range slices.Sorted(maps.Keys(config.Pools)) {
		if config.Pools[name].Spare && name != pool {
			servers = append(servers, e.candidatesLocked(name, now)...)
		}
	}
	return servers
}

// lentView keeps the preset's reserve of the spare pools free for their own queues, and lends to urgent work only. The allotment is
// for the pool's own slots.
func lentView(v fairshare.View) fairshare.View {
	v.FreeSlots -= v.ReservedSlots
	v.ReservedSlots = v.FreeSlots
	v.Allotment = 0
	return v
}

func (e *Engine) fairViewLocked(pool string, servers []routing.Server, now time.Time) fairshare.View {
	config := e.options.Store.Config()
	view := fairshare.View{Shares: sharesOf(config), Running: map[string]int{}}
	for name := range config.Teams {
		view.Running[name] = e.running[pool][name] + e.remoteRunning[pool][name]
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

// startWithin is how long after its dispatch a task may start. Together with the freshness of the view at the dispatch it bounds the
// time for which a withdrawn key still starts tasks, however long the network delays them.
const startWithin = 2 * time.Second

// startLocked counts a task against the team's limit and hands it to the waiting call. It reports false, and starts nothing, if the limit does
// not allow the task. The task is counted before the call stops waiting: the holder's fair share depends on what waits, and a task that it
// did not count would let the team run above its limit.
func (e *Engine) startLocked(c *call, name string, now time.Time) bool {
	if !e.holder.Start(c.team, now) {
		return false
	}
	e.poppedLocked(c)
	s := e.servers[name]
	e.nextTask++
	t := &task{
		id:   e.options.Incarnation + "-" + strconv.FormatUint(e.nextTask, 10),
		call: c, pool: c.queue.Pool, team: c.team, server: name, address: s.address,
		fence: e.member.Fence, number: e.nextTask, startedAt: now, repeatable: c.kind == repeatable,
	}
	t.leaseEnd = e.holder.TaskLeaseEnd(c.team, e.holder.Running(c.team)-1, now)
	e.tasks[t.id] = t
	e.local[name]++
	e.health.Started(name, now)
	if e.running[t.pool] == nil {
		e.running[t.pool] = map[string]int{}
	}
	e.running[t.pool][t.team]++
	e.usageChangedLocked(t.pool, now)
	if c.attempts == 0 && c.refusals == 0 {
		e.options.Counters.StartDelay(c.queue.Class, now.Sub(c.began))
	}
	c.onServer = true
	c.assigned <- assignment{server: name, task: t, send: backend.Task{
		ID: t.id, Queue: c.req.Queue, Team: c.team, Class: c.queue.Class,
		Holder: e.options.VM, Fence: t.fence, PoolEpoch: s.epoch,
		BootID:     s.clock.boot,
		StartUntil: s.clock.at(now.Add(startWithin), e.options.Limits.ClockDriftDivisor),
		LeaseUntil: s.clock.at(t.leaseEnd, e.options.Limits.ClockDriftDivisor),
		Body:       c.req.Body, Resume: c.resume,
	}}
	return true
}

// endLocked counts a task out and starts what waited for its slot.
func (e *Engine) endLocked(t *task) {
	if _, ok := e.tasks[t.id]; !ok {
		return
	}
	delete(e.tasks, t.id)
	e.holder.End(t.team)
	decrement(e.local, t.server)
	decrement(e.running[t.pool], t.team)
	e.usageChangedLocked(t.pool, time.Now())
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

// runTask runs an assigned task to its end. The caller's leaving or the deadline stops a repeatable task; a non-repeatable one
// goes on for Options.Linger, because its outcome must be learned.
func (e *Engine) runTask(c *call, a assignment) ([]byte, error) {
	ctx, cancel := context.WithCancel(e.base)
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
		timer := time.NewTimer(max(0, time.Until(c.began.Add(c.req.TimeLeft))) + e.options.Linger)
		defer timer.Stop()
		select {
		case r := <-ended:
			return r
		case <-timer.C:
		}
	}
	stopCtx, stop := context.WithTimeout(e.base, e.options.StopGrace)
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

// stopTask asks the server to end a task. The end shows in the answer to Run.
func (e *Engine) stopTask(ctx context.Context, t *task, checkpoint bool) {
	stop := e.options.Backend.Stop
	if checkpoint {
		stop = e.options.Backend.Checkpoint
	}
	// An error needs no answer: the task then ends with its lease.
	_ = stop(ctx, t.address, t.id, e.options.VM, t.fence)
}

// taskEnded counts the task out if its end is confirmed. Otherwise the task counts until its lease, which is not renewed any
// more, has run out on the server.
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
		e.reportLocked(a.server, true, now)
	case k == errkind.BackendRefused:
		e.refusedLocked(a.server, err, now)
		if errors.Is(err, backend.ErrOtherBoot) {
			e.forgetClockLocked(a.server, a.send.BootID)
		}
	case c.ctx.Err() == nil && !a.task.stopping:
		before := e.health.Ejected(a.server, now)
		e.failedLocked(c, a.server, now)
		ejected = !before && e.health.Ejected(a.server, now)
	default:
		e.health.Inconclusive(a.server)
	}
	e.slotKnownLocked(c, a.server, k != errkind.BackendRefused)
	if k == "" || k == errkind.BackendRefused || k == errkind.BackendFailed {
		e.endLocked(a.task)
		return
	}
	a.task.lost = true
	time.AfterFunc(max(0, a.task.leaseEnd.Sub(now)), func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.endLocked(a.task)
	})
}
