package dispatch

import (
	"iter"
	"slices"
	"time"

	"example.org/comfreyrouter/jobs"
	"example.org/comfreyrouter/ledger"
	"example.org/comfreyrouter/waitorder"
)

// maxRestoredAge bounds a job's age as computed from the time of day, so that a clock jump doesn't make the job too late to be of use.
const maxRestoredAge = 60 * time.Second

// AddJob adds a job from the ledger.
func (c *Core) AddJob(e *ledger.Entry) {
	if e.Submission != nil && e.Final == nil && c.jobs[e.Submission.ID] == nil && !c.endedJobs[e.Submission.ID] {
		c.addJob(e, false)
		if j := c.jobs[e.Submission.ID]; j != nil {
			c.addArrival(j)
			c.chargeShare(j)
		}
	}
}

// addJob adds a job of which a predecessor may have started tasks if it is inherited.
func (c *Core) addJob(e *ledger.Entry, inherited bool) {
	if e.Submission.Spec.Validate() != nil {
		c.count("job_invalid") // nodes accept no invalid jobs, so another writer has stored it
		return
	}
	age := min(max(time.Duration(c.wallMS-e.Submission.ReceivedMS)*time.Millisecond, 0), maxRestoredAge)
	j := &job{
		sub: e.Submission, offset: e.Offset, submittedAt: c.now - age, started: e.Progress.Started, inherited: inherited,
		occurrences: map[int]*occurrence{}, doneOccurrences: map[int]bool{},
	}
	if e.Progress.MayHaveStarted {
		j.startMark = markStored
	}
	c.jobs[j.sub.ID] = j
	for _, p := range e.Progress.Occurrences {
		if p.Done {
			j.doneOccurrences[p.Number] = true
			continue
		}
		restore(j.addOccurrence(p.Number), p)
	}
	if !j.sub.Spec.Scheduled() && len(j.occurrences) == 0 {
		j.addOccurrence(0)
		j.nextOccurrence = 1
	}
	if j.failed {
		c.finishIfEnded(j)
	}
}

// addOccurrence creates the tasks of an occurrence.
func (j *job) addOccurrence(number int) *occurrence {
	o := &occurrence{job: j, number: number}
	for i := range j.sub.Spec.Steps {
		s := &step{occurrence: o, spec: &j.sub.Spec.Steps[i], index: i}
		for k := range s.spec.Count {
			s.tasks = append(s.tasks, &task{id: jobs.TaskID{Job: j.sub.ID, Occurrence: number, Step: i, Index: k}, step: s})
		}
		s.waiting = len(s.tasks)
		o.remaining += len(s.tasks)
		o.steps = append(o.steps, s)
	}
	j.occurrences[number] = o
	return o
}

func restore(o *occurrence, p ledger.OccurrenceProgress) {
	for i, sp := range p.Steps {
		if i >= len(o.steps) {
			return
		}
		for _, k := range sp.Done {
			if k >= 0 && k < len(o.steps[i].tasks) {
				o.steps[i].tasks[k].markDone()
			}
		}
		for k, f := range sp.Failures {
			if k >= 0 && k < len(o.steps[i].tasks) {
				t := o.steps[i].tasks[k]
				t.failedAttempts, t.crashes, t.silentRuns = f.Attempts, f.Crashes, f.Silent
				o.job.failed = o.job.failed || t.exhausted() || t.crashesServers()
			}
		}
	}
}

// exhausted reports whether a task has failed so often that its job fails.
func (t *task) exhausted() bool {
	return !t.step.spec.LongRunning && len(t.failedAttempts) >= t.step.occurrence.job.sub.MaxAttempts
}

func (t *task) markDone() {
	if !t.done {
		if t.run == nil {
			t.step.waiting--
		}
		t.done = true
		t.step.doneCount++
		t.step.occurrence.remaining--
	}
}

// maxOpenTasks bounds the tasks that are held in memory for one scheduled job, because all of its occurrences may be due at once. A single occurrence
// may have more.
const maxOpenTasks = 20_000

// openTasks returns the number of a job's tasks that are held in memory.
func (j *job) openTasks() int {
	n := 0
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			n += len(s.tasks)
		}
	}
	return n
}

// openOccurrences creates the occurrences of a scheduled job that are due.
func (c *Core) openOccurrences(j *job) {
	spec := j.sub.Spec
	for j.nextOccurrence < spec.Repeated && j.openTasks() < maxOpenTasks {
		due := spec.FirstMS + int64(j.nextOccurrence)*spec.EveryMS
		if c.wallMS < due-c.params.EarlyStart.Milliseconds()/2 {
			return
		}
		if !j.doneOccurrences[j.nextOccurrence] && j.occurrences[j.nextOccurrence] == nil {
			j.addOccurrence(j.nextOccurrence)
		}
		j.nextOccurrence++
	}
}

// Cancel cancels a job and stops its runs.
func (c *Core) Cancel(id string) {
	if j := c.jobs[id]; j != nil && !j.cancelled {
		c.cancel(j)
	}
}

func (c *Core) cancel(j *job) {
	j.cancelled = true
	c.stopRuns(j)
	c.finishIfEnded(j)
}

// stopRuns stops every run of a job.
func (c *Core) stopRuns(j *job) {
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			for _, t := range s.tasks {
				if t.run != nil {
					c.stop(t.run)
				}
			}
		}
	}
}

// finishIfEnded stores the final state of a job if it has ended. Tasks of a cancelled or failed job that may run on awaited servers count towards the limit
// of its workspace, also for the next dispatcher, which knows of them only before the final state is stored.
func (c *Core) finishIfEnded(j *job) {
	phase, ended := j.finalPhase()
	if !ended || c.endedJobs[j.sub.ID] || phase != jobs.Complete && c.mayRunUnreported(j) {
		return
	}
	c.endedJobs[j.sub.ID] = true
	delete(c.jobs, j.sub.ID)
	delete(c.unstoredJobs, j.sub.ID)
	c.count("job_" + string(phase))
	if phase == jobs.Complete && !j.sub.Spec.Scheduled() {
		c.countLateResult(j)
	}
	c.summaries = append(c.summaries, j.summary(phase, c.now))
	c.records = append(c.records, ledger.FinalStateRecords(j.sub.ID, ledger.FinalState{Phase: phase, Route: j.sub.Route, EndedMS: c.wallMS})...)
}

// countLateResult counts a completed job whose result is late, or too late to be of use.
func (c *Core) countLateResult(j *job) {
	for _, o := range j.occurrences {
		total, _ := c.criticalPath(o)
		switch within, took := objective(j.sub, total), c.now-j.submittedAt; {
		case took > waitorder.MaxUsefulFactor*within:
			c.count("job_result_useless")
		case took > within:
			c.count("job_result_late")
		}
	}
}

func (j *job) summary(phase jobs.Phase, now time.Duration) JobSummary {
	waited := time.Duration(0)
	if j.firstStart > 0 {
		waited = j.firstStart - j.submittedAt
	}
	return JobSummary{
		Job: j.sub.ID, Queue: j.sub.Route, Workspace: j.sub.Workspace, Phase: phase, WaitedMS: waited.Milliseconds(),
		TookMS: (now - j.submittedAt).Milliseconds(), FailedRuns: j.failedRuns, Crashes: j.crashes, LateAtStart: j.lateAtStart, SlackAtStartMS: j.slackAtStart.Milliseconds(),
	}
}

// finalPhase returns the final phase of a job, and whether it has ended. A cancelled or failed job ends with its last run.
func (j *job) finalPhase() (jobs.Phase, bool) {
	switch {
	case j.cancelled:
		return jobs.Cancelled, j.runCount == 0
	case j.failed:
		return jobs.Failed, j.runCount == 0
	case j.sub.Spec.Scheduled() && j.nextOccurrence < j.sub.Spec.Repeated:
		return "", false
	}
	for _, o := range j.occurrences {
		if o.remaining > 0 {
			return "", false
		}
	}
	return jobs.Complete, true
}

// markDirty records that the progress of a job has to be stored.
func (c *Core) markDirty(j *job) { c.unstoredJobs[j.sub.ID] = j }

// progress returns the job's progress in the ledger's format.
func (j *job) progress() ledger.Progress {
	p := ledger.Progress{MayHaveStarted: j.startMark != markNone, Started: j.started}
	for k := range j.doneOccurrences {
		p.Occurrences = append(p.Occurrences, ledger.OccurrenceProgress{Number: k, Done: true})
	}
	for _, o := range j.occurrences {
		p.Occurrences = append(p.Occurrences, o.progress())
	}
	return p
}

func (o *occurrence) progress() ledger.OccurrenceProgress {
	p := ledger.OccurrenceProgress{Number: o.number}
	for _, s := range o.steps {
		var sp ledger.StepProgress
		for _, t := range s.tasks {
			if t.done {
				sp.Done = append(sp.Done, t.id.Index)
			} else if silent := t.storedSilentRuns(); len(t.failedAttempts)+len(t.crashes)+len(silent) > 0 {
				if sp.Failures == nil {
					sp.Failures = map[int]ledger.TaskFailures{}
				}
				sp.Failures[t.id.Index] = ledger.TaskFailures{Attempts: t.failedAttempts, Crashes: t.crashes, Silent: silent}
			}
		}
		p.Steps = append(p.Steps, sp)
	}
	return p
}

// Batch is a set of records to append to the ledger. Once they are stored, BatchStored must be called with it.
type Batch struct {
	Records    []ledger.Record
	Epoch      int64                 // epoch to claim with these records; 0 if the present one suffices
	ends       map[incarnation]int64 // newest end that the records take into account, by server
	servers    []incarnation         // servers whose record is in the batch
	startMarks []string              // jobs whose tasks may start once the batch is stored
	crashed    []*task               // tasks whose last crash is in the batch
}

// Empty reports whether there is nothing to store and nothing to acknowledge.
func (b Batch) Empty() bool { return len(b.Records) == 0 && len(b.ends) == 0 && b.Epoch == 0 }

// EndedOn returns the servers whose reported ends are acknowledged once the batch is stored.
func (b Batch) EndedOn() iter.Seq[string] {
	return func(yield func(string) bool) {
		for i := range b.ends {
			if !yield(i.server.info.ID) {
				return
			}
		}
	}
}

// EndsStored reports whether the effects of all ends that a server has reported are stored. The server reports the others again.
func (c *Core) EndsStored(server string) bool {
	s := c.servers[server]
	return s == nil || s.storedEnd >= s.lastEnd
}

// TakeBatch returns the records decided since the last call.
func (c *Core) TakeBatch() Batch {
	c.forgetRemoved()
	b := Batch{Records: c.records, Epoch: c.epochToClaim(), ends: map[incarnation]int64{}}
	c.records = nil
	b.crashed, c.unstoredCrashes = c.unstoredCrashes, nil
	for id, j := range c.unstoredJobs {
		b.Records = append(b.Records, ledger.ProgressRecord(id, j.progress()))
		if j.startMark == markRequested {
			j.startMark = markSent
			b.startMarks = append(b.startMarks, id)
		}
	}
	clear(c.unstoredJobs)
	for _, s := range c.servers {
		if s.lastEnd > s.storedEnd {
			b.ends[s.incarnation()] = s.lastEnd
		}
		if !s.recorded && !s.recording && s.listed && s.info.Ready && s.described() {
			s.recording, s.inLedger = true, true
			b.servers = append(b.servers, s.incarnation())
			b.Records = append(b.Records, c.serverRecord(s))
		}
		if s.recorded && s.formerLeasesStored && s.formerLeasesEndAt <= c.now {
			b.Records = append(b.Records, c.serverRecord(s)) // a node that has just started doesn't know how old the record is
		}
	}
	return b
}

// serverRecord returns the record of a server with its present incarnation.
func (c *Core) serverRecord(s *server) ledger.Record {
	s.formerLeasesStored = s.formerLeasesEndAt > c.now
	return ledger.ServerRecord(s.info.ID, ledger.Server{
		Service: s.info.Service, Address: s.info.Address, BornMS: s.bornMS, Machine: s.info.Machine, FormerLeasesUntilMS: c.formerLeasesUntilMS(s),
	})
}

// BatchStored records that a batch is stored: its ends can be acknowledged, its servers may get work, and its jobs may start. It reports whether
// something may start that could not start before.
func (c *Core) BatchStored(b Batch) bool {
	c.epochClaimed(b.Epoch)
	for _, id := range b.startMarks {
		if j := c.jobs[id]; j != nil {
			j.startMark = markStored
		}
	}
	for _, t := range b.crashed {
		t.crashUnstored = slices.Contains(c.unstoredCrashes, t) // it may have crashed another server meanwhile
	}
	for i, lastEnd := range b.ends {
		if c.isCurrent(i) {
			i.server.storedEnd = max(i.server.storedEnd, lastEnd)
		}
	}
	for _, i := range b.servers {
		if c.isCurrent(i) {
			i.server.recorded = true
		}
	}
	return len(b.startMarks)+len(b.servers)+len(b.crashed) > 0
}

// QueueRecord adds a record to the next batch.
func (c *Core) QueueRecord(r ledger.Record) { c.records = append(c.records, r) }
