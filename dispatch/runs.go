package dispatch

import (
	"slices"
	"time"

	"example.org/comfreyrouter/jobs"
)

const (
	// stopRepeat is the pause before an unanswered stop is sent again.
	stopRepeat = 400 * time.Millisecond
	// failPause is the least pause before a task that failed starts again.
	failPause = 50 * time.Millisecond
	// standsAfter is how long a run may show no progress before it is started elsewhere. A report comes at least each second, and on a
	// server that is 7 times slower the longest tasks still advance by a percent in 0.4 s.
	standsAfter = 2500 * time.Millisecond
	// failsToHold is the number of failed runs in a row, of different tasks, after which a server is left alone for a while.
	failsToHold = 3
	// holdFirst and holdMost bound how long a failing server is left alone; the span doubles with each failed probe.
	holdFirst = 2 * time.Second
	holdMost  = 8 * time.Second
)

// start places a task on a server and orders its start.
func (c *Core) start(t *task, s *server) {
	t.starts++
	r := &run{task: t, server: s, attempt: c.params.Epoch*attemptsPerEpoch + t.starts, state: runStarting, sentAt: c.now, movedAt: c.now, pace: 100}
	c.hold(r)
	j := t.step.occurrence.job
	if !j.started {
		j.beganLate = c.candidate(j).rank.late()
		j.started, j.firstStart = true, c.now
		c.markDirty(j)
	}
	ticket, _ := c.ticketFor(t.step, s) // choose has found that there is one, if there must be
	c.orders = append(c.orders, Order{Server: s.info, Start: &jobs.Order{
		LongRunning: t.step.spec.LongRunning, Ticket: ticket, Task: t.id, Attempt: r.attempt, Text: j.sub.Spec.Text, Checkpoint: t.checkpoint, LeaseUntil: c.lease(s), Fence: c.params.Epoch,
	}})
}

// hold counts a run against its server and its workspace.
func (c *Core) hold(r *run) {
	t, s := r.task, r.server
	t.run = r
	s.runs[t.id.String()] = r
	s.used = s.used.Add(t.step.spec.Allocation())
	j := t.step.occurrence.job
	j.runs++
	c.usage[j.sub.Workspace] = c.usage[j.sub.Workspace].Add(t.step.spec.Need)
}

// release notes that a run is over for certain.
func (c *Core) release(r *run) {
	t, s := r.task, r.server
	key := t.id.String()
	if s.runs[key] != r {
		return
	}
	delete(s.runs, key)
	s.idleSince = c.now
	s.used = s.used.Sub(t.step.spec.Allocation())
	j := t.step.occurrence.job
	j.runs--
	c.usage[j.sub.Workspace] = c.usage[j.sub.Workspace].Sub(t.step.spec.Need)
	if t.run == r {
		t.run = nil
	}
	c.breakGang(t)
	c.settle(j)
}

// stop orders that a run ends.
func (c *Core) stop(r *run) {
	if r.stopSent && c.now < r.nextStop {
		return
	}
	r.state = runStopping
	r.stopSent, r.stopDone = true, false
	r.nextStop = c.now + stopRepeat
	c.orders = append(c.orders, Order{Server: r.server.info, Stop: &StopOrder{r.task.id.String(), r.attempt}})
}

func (c *Core) find(server, key string, attempt int64) *run {
	s := c.servers[server]
	if s == nil {
		return nil
	}
	if r := s.runs[key]; r != nil && r.attempt == attempt {
		return r
	}
	return nil
}

// StartAnswered takes the answer to a start.
func (c *Core) StartAnswered(server, key string, attempt int64, result jobs.StartResult) {
	r := c.find(server, key, attempt)
	if r == nil {
		return
	}
	if r.state != runStarting {
		if result == jobs.Started && r.confirmed == 0 {
			r.confirmed = c.now
		}
		return
	}
	switch result {
	case jobs.Started:
		r.state, r.confirmed, r.activeAt, r.movedAt = runActive, c.now, c.now, c.now
	case jobs.StartUnknown:
		c.count("start_unanswered")
		r.state = runUnknown
		c.penalize(r.server)
	case jobs.StartWrongInstance:
		c.ServerReplaced(server)
	default:
		c.startRefused(r, result)
	}
}

// startRefused returns a task whose start did nothing.
func (c *Core) startRefused(r *run, result jobs.StartResult) {
	c.count("start_refused_" + refusal[result])
	r.task.notBefore = c.now + failPause
	switch result {
	case jobs.StartNoCapacity:
		r.server.heldUntil = max(r.server.heldUntil, c.now+failPause)
	case jobs.StartNoTicket:
		c.dropTicket(r.task.step, r.server.info.ID) // not the server's fault
	default:
		c.penalize(r.server)
	}
	if result != jobs.StartNoTicket {
		r.task.avoid = r.server.info.ID
	}
	c.release(r)
}

var refusal = map[jobs.StartResult]string{
	jobs.StartNoCapacity: "room", jobs.StartFenced: "fenced", jobs.StartSuperseded: "old", jobs.StartLeaseExpired: "late",
	jobs.StartUnhealthy: "unhealthy", jobs.StartInvalid: "invalid", jobs.StartNoTicket: "ticket",
}

// StopAnswered takes the answer to a stop.
func (c *Core) StopAnswered(server, key string, attempt int64, confirmed bool) {
	if r := c.find(server, key, attempt); r != nil && confirmed && r.state == runStopping {
		r.stopDone, r.confirmed = true, c.now
	}
}

// runListed takes a run that a server lists as active.
func (c *Core) runListed(s *server, a jobs.RunState, sent time.Duration) {
	r := s.runs[a.Task]
	if r == nil || r.attempt != a.Attempt {
		c.adopt(s, a)
		return
	}
	if a.Percent > r.percent || r.activeAt == 0 {
		r.percent, r.movedAt, r.movedMS = a.Percent, c.now, s.clockMS
	}
	r.load = a.Load
	if a.Checkpoint != "" {
		r.task.checkpoint = a.Checkpoint
	}
	switch r.state {
	case runStarting, runUnknown:
		r.state, r.confirmed = runActive, c.now
		if r.activeAt == 0 {
			r.activeAt = c.now
		}
	case runActive:
		c.stopStanding(r)
	case runStopping:
		if c.now >= r.nextStop && (!r.stopDone || r.confirmed < sent) {
			c.stop(r)
		}
	}
}

// stopStanding stops a run that makes no progress, so that its task starts elsewhere. A long-running task that is at work shows none.
func (c *Core) stopStanding(r *run) {
	if r.percent >= atWork || r.pace < 100 || c.now-max(r.movedAt, r.activeAt) < standsAfter {
		return
	}
	if r.movedMS > 0 && jobs.Milliseconds(r.server.clockMS-r.movedMS) < standsAfter {
		return // the report was long on its way
	}
	c.note(r.server, "run_stands")
	r.task.avoid = r.server.info.ID
	c.penalize(r.server)
	c.stop(r)
}

// adopt takes over a run that a former dispatcher has started, or stops one that nobody wants.
func (c *Core) adopt(s *server, a jobs.RunState) {
	t := c.task(a.Task)
	if t != nil && t.run == nil && !t.done && !t.step.occurrence.job.cancelled && !t.step.occurrence.job.failed && a.Attempt/attemptsPerEpoch < c.params.Epoch {
		r := &run{task: t, server: s, attempt: a.Attempt, state: runActive, sentAt: c.now, confirmed: c.now, activeAt: c.now, movedAt: c.now, percent: a.Percent, pace: 100}
		c.hold(r)
		t.step.occurrence.job.started = true
		if a.Checkpoint != "" {
			t.checkpoint = a.Checkpoint
		}
		c.count("run_adopted")
		return
	}
	c.count("run_unwanted")
	c.orders = append(c.orders, Order{Server: s.info, Stop: &StopOrder{a.Task, a.Attempt}})
}

// task finds a task by its name.
func (c *Core) task(key string) *task {
	id, ok := jobs.ParseTaskID(key)
	if !ok {
		return nil
	}
	j := c.jobs[id.Job]
	if j == nil {
		return nil
	}
	o := j.occurrences[id.Occurrence]
	if o == nil && id.Occurrence < j.sub.Spec.Repeated && !j.doneBefore[id.Occurrence] {
		// A former dispatcher has begun this occurrence, and this one hasn't come to it yet, or has a slower time of day.
		o = j.addOccurrence(id.Occurrence)
	}
	if o == nil || id.Step >= len(o.steps) || id.Index >= len(o.steps[id.Step].tasks) {
		return nil
	}
	return o.steps[id.Step].tasks[id.Index]
}

// runEnded takes the end of a run.
func (c *Core) runEnded(s *server, e jobs.End) {
	t := c.task(e.Task)
	r := s.runs[e.Task]
	if r != nil && r.attempt != e.Attempt {
		r = nil
	}
	if t == nil {
		return
	}
	j := t.step.occurrence.job
	if e.Checkpoint != "" && e.How != jobs.EndDone {
		t.checkpoint = e.Checkpoint
	}
	switch e.How {
	case jobs.EndDone:
		c.taskDone(t, r)
		s.fails, s.holdFor = 0, 0
	case jobs.EndFailed:
		c.taskFailed(t, s, e.Attempt)
	case jobs.EndStopped, jobs.EndLeaseExpired, jobs.EndGangEnded, jobs.EndGangTimeout:
		c.count("end_" + string(e.How))
	}
	if r != nil {
		c.release(r)
	} else {
		c.settle(j)
	}
}

// taskDone notes that a task has ended well. If another run of it is known, it is stopped.
func (c *Core) taskDone(t *task, r *run) {
	if t.done || t.step.spec.LongRunning {
		return
	}
	o := t.step.occurrence
	if r != nil && r.activeAt > 0 {
		c.learn(t, c.now-r.activeAt)
	}
	if t.run != nil && t.run != r {
		c.stop(t.run)
	}
	t.markDone()
	c.markDirty(o.job)
	c.count("task_done")
	if o.left == 0 && o.job.sub.Spec.Scheduled() {
		o.job.doneBefore[o.number] = true
		delete(o.job.occurrences, o.number)
	}
}

// taskFailed counts a failed run. A task that has failed too often fails its job.
func (c *Core) taskFailed(t *task, s *server, attempt int64) {
	if slices.Contains(t.failed, attempt) {
		return
	}
	c.count("task_failed")
	j := t.step.occurrence.job
	j.failedRuns++
	first := len(t.failed) == 0
	t.avoid = s.info.ID
	t.notBefore = c.now + failPause
	if first {
		c.penalize(s)
	}
	if t.done {
		return
	}
	if t.step.spec.LongRunning {
		t.failed = []int64{attempt} // such a task is started again however often it fails
		return
	}
	t.failed = append(t.failed, attempt)
	c.markDirty(j)
	if t.exhausted() && !j.failed {
		j.failed = true
		c.stopRuns(j)
	}
}

// penalize leaves a server alone for a while once its runs fail in a row.
func (c *Core) penalize(s *server) {
	if c.now < s.heldUntil {
		return
	}
	s.fails++
	if s.fails < failsToHold {
		return
	}
	s.holdFor = min(max(2*s.holdFor, holdFirst), holdMost)
	s.heldUntil = c.now + s.holdFor
	s.fails = failsToHold - 1
	c.note(s, "server_held")
}

// breakGang stops the other members of a gang that has lost one.
func (c *Core) breakGang(t *task) {
	if !t.step.spec.Gang || t.done {
		return
	}
	for _, other := range t.step.tasks {
		if other.run != nil {
			c.stop(other.run)
		}
	}
}
