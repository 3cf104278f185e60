package dispatch

import (
	"time"

	"example.org/comfreyrouter/jobs"
	"example.org/comfreyrouter/ledger"
)

// maxTakenAge bounds the age of a job by the time of day, so that a clock that jumped doesn't make a job hopeless.
const maxTakenAge = 60 * time.Second

// AddJob takes a job from the ledger.
func (c *Core) AddJob(e *ledger.Entry) {
	if e.Submission != nil && e.Final == nil && c.jobs[e.Submission.ID] == nil && !c.ended[e.Submission.ID] {
		c.addJob(e)
		if j := c.jobs[e.Submission.ID]; j != nil {
			c.noteArrival(j)
			c.noteShare(j)
		}
	}
}

func (c *Core) addJob(e *ledger.Entry) {
	if e.Submission.Spec.Validate() != nil {
		c.count("job_invalid") // nodes accept none, so another writer has stored it
		return
	}
	age := min(max(time.Duration(c.wallMS-e.Submission.ReceivedMS)*time.Millisecond, 0), maxTakenAge)
	j := &job{
		sub: e.Submission, offset: e.Offset, submitted: c.now - age, started: e.Progress.Started,
		occurrences: map[int]*occurrence{}, doneBefore: map[int]bool{},
	}
	if e.Progress.MayHaveStarted {
		j.mark = markStored
	}
	c.jobs[j.sub.ID] = j
	for _, p := range e.Progress.Occurrences {
		if p.Done {
			j.doneBefore[p.Number] = true
			continue
		}
		restore(j.addOccurrence(p.Number), p)
	}
	if !j.sub.Spec.Scheduled() && len(j.occurrences) == 0 {
		j.addOccurrence(0)
		j.nextOcc = 1
	}
	if j.failed {
		c.settle(j)
	}
}

// addOccurrence lays out the tasks of an occurrence.
func (j *job) addOccurrence(number int) *occurrence {
	o := &occurrence{job: j, number: number}
	for i := range j.sub.Spec.Steps {
		s := &step{occurrence: o, spec: &j.sub.Spec.Steps[i], index: i}
		for k := range s.spec.Count {
			s.tasks = append(s.tasks, &task{id: jobs.TaskID{Job: j.sub.ID, Occurrence: number, Step: i, Index: k}, step: s})
		}
		o.left += len(s.tasks)
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
				o.steps[i].tasks[k].failed = f.Attempts
				o.job.failed = o.job.failed || o.steps[i].tasks[k].exhausted()
			}
		}
	}
}

// exhausted reports whether a task has failed so often that its job has failed.
func (t *task) exhausted() bool {
	return !t.step.spec.LongRunning && len(t.failed) >= t.step.occurrence.job.sub.MaxAttempts
}

func (t *task) markDone() {
	if !t.done {
		t.done = true
		t.step.doneCount++
		t.step.occurrence.left--
	}
}

// maxOpenTasks bounds the tasks that are laid out of one timed job, so that one whose occurrences are all due doesn't use up the memory. A single
// occurrence may have more.
const maxOpenTasks = 20_000

// openTasks returns how many tasks of a job are laid out.
func (j *job) openTasks() int {
	n := 0
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			n += len(s.tasks)
		}
	}
	return n
}

// openOccurrences lays out the occurrences of a timed job whose time has come.
func (c *Core) openOccurrences(j *job) {
	spec := j.sub.Spec
	for j.nextOcc < spec.Repeated && j.openTasks() < maxOpenTasks {
		due := spec.FirstMS + int64(j.nextOcc)*spec.EveryMS
		if c.wallMS < due-c.params.EarlyStart.Milliseconds()/2 {
			return
		}
		if !j.doneBefore[j.nextOcc] && j.occurrences[j.nextOcc] == nil {
			j.addOccurrence(j.nextOcc)
		}
		j.nextOcc++
	}
}

// Cancel stops a job.
func (c *Core) Cancel(id string) {
	if j := c.jobs[id]; j != nil && !j.cancelled {
		c.cancel(j)
	}
}

func (c *Core) cancel(j *job) {
	j.cancelled = true
	c.stopRuns(j)
	c.settle(j)
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

// settle stores the end of a job that has ended.
func (c *Core) settle(j *job) {
	phase, over := j.end()
	if !over || c.ended[j.sub.ID] {
		return
	}
	c.ended[j.sub.ID] = true
	delete(c.jobs, j.sub.ID)
	delete(c.dirty, j.sub.ID)
	c.count("job_" + string(phase))
	c.jobNotes = append(c.jobNotes, j.note(phase, c.now))
	c.records = append(c.records, ledger.FinalStateRecords(j.sub.ID, ledger.FinalState{Phase: phase, Route: j.sub.Route, EndedMS: c.wallMS})...)
}

func (j *job) note(phase jobs.Phase, now time.Duration) JobSummary {
	waited := time.Duration(0)
	if j.firstStart > 0 {
		waited = j.firstStart - j.submitted
	}
	return JobSummary{
		Job: j.sub.ID, Queue: j.sub.Route, Workspace: j.sub.Workspace, Phase: phase, WaitedMS: waited.Milliseconds(),
		TookMS: (now - j.submitted).Milliseconds(), FailedRuns: j.failedRuns, LateAtStart: j.beganLate,
	}
}

// end returns the phase of a job that has ended. A job that was stopped has ended when nothing of it runs any more.
func (j *job) end() (jobs.Phase, bool) {
	switch {
	case j.cancelled:
		return jobs.Cancelled, j.runs == 0
	case j.failed:
		return jobs.Failed, j.runs == 0
	case j.sub.Spec.Scheduled() && j.nextOcc < j.sub.Spec.Repeated:
		return "", false
	}
	for _, o := range j.occurrences {
		if o.left > 0 {
			return "", false
		}
	}
	return jobs.Complete, true
}

// markDirty notes that the progress of a job has to be stored.
func (c *Core) markDirty(j *job) { c.dirty[j.sub.ID] = j }

// progress returns what has been achieved of a job.
func (j *job) progress() ledger.Progress {
	p := ledger.Progress{MayHaveStarted: j.mark != markNone, Started: j.started}
	for k := range j.doneBefore {
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
			} else if len(t.failed) > 0 {
				if sp.Failures == nil {
					sp.Failures = map[int]ledger.TaskFailures{}
				}
				sp.Failures[t.id.Index] = ledger.TaskFailures{Attempts: t.failed}
			}
		}
		p.Steps = append(p.Steps, sp)
	}
	return p
}

// Batch is what has to be stored next. After it is stored, Stored must be called with it.
type Batch struct {
	Records []ledger.Record
	seen    map[string]int64 // by server: ends that the records take into account
	servers []string         // servers whose record is in the batch
	marks   []string         // jobs whose tasks may start once it is stored
}

// Empty reports whether there is nothing to store and nothing to acknowledge.
func (b Batch) Empty() bool { return len(b.Records) == 0 && len(b.seen) == 0 }

// TakeBatch returns the records decided since the last call.
func (c *Core) TakeBatch() Batch {
	b := Batch{Records: c.records, seen: map[string]int64{}}
	c.records = nil
	for id, j := range c.dirty {
		b.Records = append(b.Records, ledger.ProgressRecord(id, j.progress()))
		if j.mark == markWanted {
			j.mark = markSent
			b.marks = append(b.marks, id)
		}
	}
	clear(c.dirty)
	for id, s := range c.servers {
		if s.seen > s.taken {
			b.seen[id] = s.seen
		}
		if !s.recorded && !s.recording && s.listed && s.info.Ready {
			s.recording = true
			b.servers = append(b.servers, id)
			b.Records = append(b.Records, ledger.ServerRecord(id, ledger.Server{Service: s.info.Service, Address: s.info.Address, BornMS: s.info.BornMS, Machine: s.info.Machine}))
		}
	}
	return b
}

// BatchStored notes that a batch is stored: servers may forget its ends and may be given work, and jobs may start. It reports whether something
// may start now that could not before.
func (c *Core) BatchStored(b Batch) bool {
	for _, id := range b.marks {
		if j := c.jobs[id]; j != nil {
			j.mark = markStored
		}
	}
	for id, seen := range b.seen {
		if s := c.servers[id]; s != nil {
			s.taken = max(s.taken, min(seen, s.seen))
		}
	}
	for _, id := range b.servers {
		if s := c.servers[id]; s != nil {
			s.recorded = true
		}
	}
	return len(b.marks)+len(b.servers) > 0
}

// QueueRecord adds a record to the next batch.
func (c *Core) QueueRecord(r ledger.Record) { c.records = append(c.records, r) }
