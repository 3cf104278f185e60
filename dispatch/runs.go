package dispatch

import (
	"slices"
	"time"

	"example.org/comfreyrouter/jobs"
)

const (
	// stopRetryInterval is the delay before an unanswered stop is sent again.
	stopRetryInterval = 400 * time.Millisecond
	// failureDelay is the minimum delay before a failed task starts again.
	failureDelay = 50 * time.Millisecond
	// stallTimeout is how long a run may show no progress before its task is started elsewhere. A report comes at least every second, and even on a
	// server that is 7 times slower the longest tasks advance by a percent every 0.4 s.
	stallTimeout = 2500 * time.Millisecond
	// failuresToBackOff is the number of consecutive failed runs, of different tasks, after which a server gets no work for a while.
	failuresToBackOff = 3
	// minBackoff and maxBackoff bound the time for which a failing server gets no work. It doubles with each failed probe.
	minBackoff = 2 * time.Second
	maxBackoff = 4 * time.Second
)

// start assigns a task to a server and orders its start. late says whether its job is late.
func (c *Core) start(t *task, s *server, late bool) {
	t.startCount++
	r := &run{task: t, server: s, attempt: c.params.Epoch*attemptsPerEpoch + t.startCount, state: runStarting, sentAt: c.now, progressAt: c.now, pace: 100, late: late}
	c.addRun(r)
	if t.caution() != startAnywhere {
		s.trial = r
		c.markDirty(t.step.occurrence.job)
	}
	j := t.step.occurrence.job
	if !j.started && j.firstStart == 0 {
		w := c.candidate(j)
		j.lateAtStart, j.slackAtStart = late, w.Slack
		if c.isBeyondShare(j) {
			c.count("job_beyond_share")
		}
		j.firstStart = c.now
	}
	ticket, _ := c.ticketFor(t.step, s) // chooseServer has checked that the ticket exists if one is needed
	c.orders = append(c.orders, Order{Server: s.target(), Start: &jobs.Order{
		LongRunning: t.step.spec.LongRunning, Ticket: ticket, Task: t.id, Attempt: r.attempt, Text: j.sub.Spec.Text, Checkpoint: t.newestCheckpoint().value, LeaseUntil: c.grantLease(s), Fence: s.token,
	}})
}

// markStarted records that a task of a job has certainly run: until then the job is pending.
func (c *Core) markStarted(j *job) {
	if !j.started {
		j.started = true
		c.markDirty(j)
	}
}

// addRun adds a run to the usage of its server and its workspace.
func (c *Core) addRun(r *run) {
	t, s := r.task, r.server
	if !t.done {
		t.step.waiting--
	}
	t.run = r
	s.runs[t.id.String()] = r
	s.used = s.used.Add(t.step.spec.Allocation())
	c.countImage(s, t.step.spec, 1)
	if r.late {
		s.usedLateCPU += t.step.spec.Allocation().CPU
	}
	j := t.step.occurrence.job
	r.service = s.info.Service
	c.usePool(r, t.step.spec.Allocation().CPU)
	j.runCount++
	c.usage[j.sub.Workspace] = c.usage[j.sub.Workspace].Add(t.step.spec.Need)
}

// usePool adds processors that a run uses, in thousandths, to the use of its workspace in its pool.
func (c *Core) usePool(r *run, cpu int64) {
	if r.task.step.spec.LongRunning {
		return
	}
	k := workspacePool{r.service, r.task.step.occurrence.job.sub.Workspace}
	if c.poolUsage[k] += cpu; c.poolUsage[k] == 0 {
		delete(c.poolUsage, k)
	}
}

// removeRun removes a run that has certainly ended.
func (c *Core) removeRun(r *run) {
	t, s := r.task, r.server
	key := t.id.String()
	if s.runs[key] != r {
		return
	}
	delete(s.runs, key)
	s.idleSince = c.now
	s.used = s.used.Sub(t.step.spec.Allocation())
	c.countImage(s, t.step.spec, -1)
	if r.late {
		s.usedLateCPU -= t.step.spec.Allocation().CPU
	}
	j := t.step.occurrence.job
	c.usePool(r, -t.step.spec.Allocation().CPU)
	j.runCount--
	c.usage[j.sub.Workspace] = c.usage[j.sub.Workspace].Sub(t.step.spec.Need)
	if t.run == r {
		t.run = nil
		if !t.done {
			t.step.waiting++
		}
	}
	c.stopGang(t)
	c.finishIfEnded(j)
}

// stop orders the stop of a run.
func (c *Core) stop(r *run) {
	if r.stopSent && c.now < r.stopRetryAt {
		return
	}
	r.state = runStopping
	r.stopSent, r.stopConfirmed = true, false
	r.stopRetryAt = c.now + stopRetryInterval
	c.orders = append(c.orders, Order{Server: r.server.target(), Stop: &StopOrder{r.task.id.String(), r.attempt, r.server.token}})
}

func (c *Core) findRun(server, key string, attempt int64) *run {
	s := c.servers[server]
	if s == nil {
		return nil
	}
	if r := s.runs[key]; r != nil && r.attempt == attempt {
		return r
	}
	return nil
}

// StartAnswered handles the answer to a start that was sent to an incarnation of a server.
func (c *Core) StartAnswered(asked jobs.Server, key string, attempt int64, result jobs.StartResult) {
	r := c.findRun(asked.ID, key, attempt)
	if result != jobs.StartUnknown {
		c.grantAnswered(asked)
	}
	if r == nil {
		return
	}
	r.answered = true
	if r.server.bornMS != asked.BornMS && asked.BornMS != 0 {
		if result != jobs.StartUnknown {
			c.removeRun(r) // it was lost with a former incarnation, or never began
		}
		return
	}
	if result != jobs.StartUnknown && result != jobs.StartRestarted {
		r.server.heardAt = c.now
	}
	if result == jobs.Started {
		r.begun = true
		c.markStarted(r.task.step.occurrence.job)
	}
	if r.state != runStarting {
		if result == jobs.Started && r.confirmedAt == 0 {
			r.confirmedAt = c.now
		}
		return
	}
	switch result {
	case jobs.Started:
		r.state, r.confirmedAt, r.activeAt, r.progressAt = runActive, c.now, c.now, c.now
	case jobs.StartUnknown:
		c.count("start_unanswered")
		r.state = runUnknown
		c.countServerFailure(r.server)
	case jobs.StartWrongInstance:
		c.removeRun(r) // it didn't begin
		c.ServerReplaced(r.server.target())
	default:
		c.startRefused(r, result)
	}
}

// startRefused handles a start that was rejected without any effect.
func (c *Core) startRefused(r *run, result jobs.StartResult) {
	c.count("start_refused_" + refusalNames[result])
	r.task.notBefore = c.now + failureDelay
	switch result {
	case jobs.StartNoCapacity:
		r.server.backoffUntil = max(r.server.backoffUntil, c.now+failureDelay)
	case jobs.StartEvacuated, jobs.StartViewOutdated: // it wasn't sent
	case jobs.StartNoTicket:
		c.invalidateTicket(r.task.step, r.server.info.ID) // not a failure of the server
	case jobs.StartRestarted:
		r.server.unresponsive = true // until its present incarnation reports
	default:
		c.countServerFailure(r.server)
	}
	if result != jobs.StartNoTicket && result != jobs.StartEvacuated && result != jobs.StartViewOutdated {
		r.task.avoidServer = r.server.info.ID
	}
	c.removeRun(r)
}

var refusalNames = map[jobs.StartResult]string{
	jobs.StartNoCapacity: "room", jobs.StartFenced: "fenced", jobs.StartSuperseded: "old", jobs.StartLeaseExpired: "late",
	jobs.StartUnhealthy: "unhealthy", jobs.StartInvalid: "invalid", jobs.StartNoTicket: "ticket", jobs.StartRestarted: "restarted",
	jobs.StartEvacuated: "evacuated", jobs.StartViewOutdated: "view_outdated",
}

// StopAnswered handles the answer to a stop that was sent to an incarnation of a server.
func (c *Core) StopAnswered(asked jobs.Server, key string, attempt int64, confirmed bool) {
	if !confirmed {
		return
	}
	if r := c.findRun(asked.ID, key, attempt); r != nil && r.state == runStopping && r.server.bornMS == asked.BornMS {
		r.stopConfirmed, r.confirmedAt = true, c.now
	}
}

// runListed handles a run that a server reports as active.
func (c *Core) runListed(s *server, a jobs.RunState, sent time.Duration) {
	r := s.runs[a.Task]
	if r == nil || r.attempt != a.Attempt {
		c.adopt(s, a)
		return
	}
	r.begun = true
	c.markStarted(r.task.step.occurrence.job)
	if a.Percent > r.percent || r.activeAt == 0 {
		r.percent, r.progressAt, r.progressClockMS = a.Percent, c.now, s.clockMS
	}
	r.latencyMS = a.Load
	r.survived = r.survived || c.now-r.sentAt >= startSurvival
	c.clearLongRunning(r)
	r.task.recordCheckpoint(checkpoint{a.Checkpoint, a.Attempt, a.Percent})
	switch r.state {
	case runStarting, runUnknown:
		r.state, r.confirmedAt = runActive, c.now
		if r.activeAt == 0 {
			r.activeAt = c.now
		}
	case runActive:
		c.stopStalled(r)
	case runStopping:
		switch {
		case r.uncertain && !r.stopConfirmed:
			c.count("late_start_kept")
			r.state, r.confirmedAt, r.uncertain, r.stopSent = runActive, c.now, false, false
			if r.activeAt == 0 {
				r.activeAt = c.now
			}
		case c.now >= r.stopRetryAt && (!r.stopConfirmed || r.confirmedAt < sent) && c.mayStopAgain(r):
			c.stop(r)
		}
	}
}

// stopStalled stops a run that makes no progress, so that its task starts elsewhere. A long-running task that is serving shows no progress.
func (c *Core) stopStalled(r *run) {
	if r.percent >= servingPercent || r.pace < 100 || c.now-max(r.progressAt, r.activeAt) < stallTimeout {
		return
	}
	if r.progressClockMS > 0 && jobs.Milliseconds(r.server.clockMS-r.progressClockMS) < stallTimeout {
		return // the report was delayed, not the run
	}
	c.reportProblem(r.server, "run_stands")
	r.task.avoidServer = r.server.info.ID
	c.countServerFailure(r.server)
	c.stop(r)
}

// adopt takes over a run that a predecessor started, or stops a run that isn't wanted.
func (c *Core) adopt(s *server, a jobs.RunState) {
	t := c.findTask(a.Task)
	if t != nil && t.run == nil && !t.done && !t.step.occurrence.job.cancelled && !t.step.occurrence.job.failed && a.Attempt/attemptsPerEpoch < c.params.Epoch {
		r := &run{task: t, server: s, attempt: a.Attempt, state: runActive, sentAt: c.now, confirmedAt: c.now, activeAt: c.now, progressAt: c.now, percent: a.Percent, pace: 100, answered: true, begun: true, survived: true}
		c.addRun(r)
		c.markStarted(t.step.occurrence.job)
		t.recordCheckpoint(checkpoint{a.Checkpoint, a.Attempt, a.Percent})
		c.count("run_adopted")
		return
	}
	c.count("run_unwanted")
	c.orders = append(c.orders, Order{Server: s.target(), Stop: &StopOrder{a.Task, a.Attempt, s.token}})
}

// findTask returns the task with the given id, or nil.
func (c *Core) findTask(key string) *task {
	id, ok := jobs.ParseTaskID(key)
	if !ok {
		return nil
	}
	j := c.jobs[id.Job]
	if j == nil {
		return nil
	}
	o := j.occurrences[id.Occurrence]
	if o == nil && id.Occurrence < j.sub.Spec.Repeated && !j.doneOccurrences[id.Occurrence] {
		// A predecessor has started this occurrence. This dispatcher hasn't opened it yet, or its time of day is behind.
		o = j.addOccurrence(id.Occurrence)
	}
	if o == nil || id.Step >= len(o.steps) || id.Index >= len(o.steps[id.Step].tasks) {
		return nil
	}
	return o.steps[id.Step].tasks[id.Index]
}

// runEnded handles the end of a run.
func (c *Core) runEnded(s *server, e jobs.End) {
	t := c.findTask(e.Task)
	r := s.runs[e.Task]
	if r != nil && r.attempt != e.Attempt {
		r = nil
	}
	if t == nil {
		return
	}
	j := t.step.occurrence.job
	c.markStarted(j)
	if e.How != jobs.EndDone {
		t.recordCheckpoint(checkpoint{e.Checkpoint, e.Attempt, finalPercent})
	}
	switch e.How {
	case jobs.EndDone:
		c.taskDone(t, r)
		s.consecutiveFailures, s.backoff = 0, 0
	case jobs.EndFailed:
		c.taskFailed(t, s, e.Attempt)
	case jobs.EndStopped, jobs.EndLeaseExpired, jobs.EndGangEnded, jobs.EndGangTimeout:
		c.count("end_" + string(e.How))
	}
	if r != nil {
		c.removeRun(r)
	} else {
		c.finishIfEnded(j)
	}
}

// taskDone records that a task has succeeded, and stops any other run of it. The members of a gang succeed together, so one end stands for all of them.
func (c *Core) taskDone(t *task, r *run) {
	if t.done || t.step.spec.LongRunning {
		return
	}
	o := t.step.occurrence
	if r != nil && r.activeAt > 0 {
		c.recordRuntime(t, c.now-r.activeAt)
		c.sampleEnded(r)
	}
	if t.run != nil && t.run != r {
		c.stop(t.run)
	}
	t.markDone()
	if t.step.spec.Gang {
		for _, member := range t.step.tasks {
			member.markDone()
		}
	}
	c.markDirty(o.job)
	c.count("task_done")
	if o.remaining == 0 && o.job.sub.Spec.Scheduled() {
		o.job.doneOccurrences[o.number] = true
		delete(o.job.occurrences, o.number)
	}
}

// taskFailed records a failed run. A task that has used up its attempts fails its job.
func (c *Core) taskFailed(t *task, s *server, attempt int64) {
	if slices.Contains(t.failedAttempts, attempt) {
		return
	}
	c.count("task_failed")
	j := t.step.occurrence.job
	j.failedRuns++
	first := len(t.failedAttempts) == 0
	t.avoidServer = s.info.ID
	t.notBefore = c.now + failureDelay
	if first {
		c.countServerFailure(s)
	}
	if t.done {
		return
	}
	if t.step.spec.LongRunning {
		t.failedAttempts = []int64{attempt} // a long-running task is restarted however often it fails
		return
	}
	t.failedAttempts = append(t.failedAttempts, attempt)
	c.markDirty(j)
	if t.exhausted() && !j.failed {
		j.failed = true
		c.stopRuns(j)
	}
}

// countServerFailure records a failure of a server. After several consecutive ones the server gets no work for a while.
func (c *Core) countServerFailure(s *server) {
	if c.now < s.backoffUntil {
		return
	}
	s.consecutiveFailures++
	if s.consecutiveFailures < failuresToBackOff {
		return
	}
	s.backoff = min(max(2*s.backoff, minBackoff), maxBackoff)
	s.backoffUntil = c.now + s.backoff
	s.consecutiveFailures = failuresToBackOff - 1
	c.reportProblem(s, "server_held")
}

// stopGang stops the other members of a gang after one run has ended without success.
func (c *Core) stopGang(t *task) {
	if !t.step.spec.Gang || t.done {
		return
	}
	for _, other := range t.step.tasks {
		if other.run != nil {
			c.stop(other.run)
		}
	}
}
