package dispatch

import (
	"time"

	"example.org/comfreyrouter/jobs"
	"example.org/comfreyrouter/waitorder"
)

const (
	// runtimeWeight is the weight of a new run time in a queue's mean.
	runtimeWeight = 0.05
	// minRuntimeSamples is the number of samples from which on a queue's mean replaces declared run times, which are off by up to 0.9.
	minRuntimeSamples = 12
	// longestTaskFactor is the ratio of a step's longest task to the mean. Run times within a job differ by about 15%.
	longestTaskFactor = 1.2
	// defaultTaskMS is the assumed run time of a task without a declared one, in milliseconds.
	defaultTaskMS = 1000
)

// runtimeMean is the mean run time of a queue's tasks, in milliseconds.
type runtimeMean struct {
	mean    float64
	samples int
}

// recordRuntime adds the run time of a completed task to the means of its job and its queue.
func (c *Core) recordRuntime(t *task, d time.Duration) {
	ms := float64(d.Milliseconds())
	j := t.step.occurrence.job
	j.meanTaskMS = (j.meanTaskMS*float64(j.doneTasks) + ms) / float64(j.doneTasks+1)
	j.doneTasks++
	rt := c.runtimes[j.sub.Route]
	if rt == nil {
		rt = &runtimeMean{}
		c.runtimes[j.sub.Route] = rt
	}
	rt.samples++
	weight := max(runtimeWeight, 1/float64(rt.samples))
	rt.mean += weight * (ms - rt.mean)
}

// taskMS returns the expected run time of a task: the mean of the job's completed tasks, the mean of its queue, or the declared time.
func (c *Core) taskMS(j *job, estimate int64) float64 {
	if j.doneTasks > 0 {
		return j.meanTaskMS
	}
	if rt := c.runtimes[j.sub.Route]; rt != nil && rt.samples >= minRuntimeSamples {
		return rt.mean
	}
	if estimate > 0 {
		return float64(estimate)
	}
	return defaultTaskMS
}

// maxStackSteps is the number of steps up to which criticalPath allocates nothing; most jobs have fewer than five.
const maxStackSteps = 8

// criticalPath returns the run time of the longest chain of steps of an occurrence, for all of its steps and for those that are not done.
func (c *Core) criticalPath(o *occurrence) (total, remaining time.Duration) {
	var onStack [2][maxStackSteps]time.Duration // each pass calls this for all jobs
	totalTo, remainingTo := onStack[0][:], onStack[1][:]
	if len(o.steps) > maxStackSteps {
		totalTo, remainingTo = make([]time.Duration, len(o.steps)), make([]time.Duration, len(o.steps))
	}
	for i, s := range o.steps {
		for _, b := range s.spec.After {
			totalTo[i] = max(totalTo[i], totalTo[b])
			remainingTo[i] = max(remainingTo[i], remainingTo[b])
		}
		d := time.Duration(c.taskMS(o.job, s.spec.EstimateMS) * longestTaskFactor * float64(time.Millisecond))
		totalTo[i] += d
		if s.doneCount < len(s.tasks) {
			remainingTo[i] += d
		}
		total, remaining = max(total, totalTo[i]), max(remaining, remainingTo[i])
	}
	return total, remaining
}

// candidate returns a job with its position in the order in which jobs wait.
func (c *Core) candidate(j *job) candidate {
	w := waitorder.Job{
		LongRunning: j.sub.Spec.LongRunning(), Begun: j.started || j.runCount > 0, OverShare: c.isBeyondShare(j), Submitted: j.submittedAt,
	}
	var onStack [1]waitorder.Part // most jobs have one occurrence
	w.Parts = onStack[:0]
	if !w.LongRunning {
		for _, o := range j.occurrences {
			total, remaining := c.criticalPath(o)
			w.Parts = append(w.Parts, waitorder.Part{Due: c.dueAt(o), Objective: objective(j.sub, total), Remaining: remaining})
		}
	}
	return candidate{job: j, Position: waitorder.Of(w, c.now)}
}

// objective returns the time within which a job has to end if the run time of its critical path is total.
func objective(sub *jobs.Submission, total time.Duration) time.Duration {
	return time.Duration(sub.SlackFactor*float64(total)) + jobs.Milliseconds(sub.TargetMS)
}

// dueAt returns the time from which the objective of an occurrence counts: its scheduled time, or the submission of the job.
func (c *Core) dueAt(o *occurrence) time.Duration {
	spec := o.job.sub.Spec
	if !spec.Scheduled() {
		return o.job.submittedAt
	}
	dueMS := spec.FirstMS + int64(o.number)*spec.EveryMS
	return c.now - time.Duration(c.wallMS-dueMS)*time.Millisecond
}

// isBeyondShare reports whether the workspace of a job had used up its share when the job arrived, or uses more of its pool than its share.
func (c *Core) isBeyondShare(j *job) bool {
	return j.overShare || len(c.beyondShare) > 0 && c.beyondShare[workspacePool{c.serviceOf(j), j.sub.Workspace}]
}

// workspacePool names a workspace and the service on whose servers its jobs run.
type workspacePool struct{ service, workspace string }

// updateBeyondShare determines the workspaces that use more than their share of a pool for which jobs wait.
func (c *Core) updateBeyondShare(waiting map[string][]*job) {
	clear(c.beyondShare)
	claims := map[string]map[string]waitorder.Claim{}
	for service, waitingJobs := range waiting {
		inPool := map[string]waitorder.Claim{}
		for _, j := range waitingJobs {
			if _, known := inPool[j.sub.Workspace]; !known && !j.sub.Spec.LongRunning() {
				inPool[j.sub.Workspace] = waitorder.Claim{Weight: c.weights[j.sub.Workspace]}
			}
		}
		claims[service] = inPool
	}
	for k, used := range c.poolUsage {
		if inPool := claims[k.service]; inPool != nil {
			inPool[k.workspace] = waitorder.Claim{Weight: c.weights[k.workspace], Used: used}
		}
	}
	for service, inPool := range claims {
		for workspace := range waitorder.BeyondShare(inPool) {
			c.beyondShare[workspacePool{service, workspace}] = true
		}
	}
}

// shareBucket is a token bucket with one token per submitted job. It refills at the weight of its workspace, in jobs per second.
type shareBucket struct {
	tokens float64
	at     time.Duration
}

// shareBurst is the number of seconds' worth of unused share that a workspace keeps.
const shareBurst = 1.0

// chargeShare takes a token for a new job, or marks the job if its workspace has used up its share.
func (c *Core) chargeShare(j *job) {
	weight := c.weights[j.sub.Workspace]
	if weight <= 0 || j.sub.Spec.LongRunning() {
		return
	}
	s := c.shares[j.sub.Workspace]
	if s == nil {
		s = &shareBucket{tokens: shareBurst * weight, at: c.now}
		c.shares[j.sub.Workspace] = s
	}
	s.tokens, s.at = s.tokensAt(c.now, weight), c.now
	if s.tokens < 1 {
		j.overShare = true
		c.count("job_over_share")
		return
	}
	s.tokens--
}

func (s *shareBucket) tokensAt(now time.Duration, weight float64) float64 {
	return min(s.tokens+weight*(now-s.at).Seconds(), shareBurst*weight)
}

// overShare reports whether the next job of a workspace would exceed its share.
func (c *Core) overShare(workspace string) bool {
	s, weight := c.shares[workspace], c.weights[workspace]
	return s != nil && weight > 0 && s.tokensAt(c.now, weight) < 1
}

// Counts holds the numbers of jobs by rank, of runs and of servers.
type Counts struct {
	LongRunning, Started, OnTime, OverShare, Late, Runs, Servers int // Late counts all jobs that can't be on time
}

// Counts returns the current numbers of jobs by rank, and of runs and servers.
func (c *Core) Counts() Counts {
	n := Counts{Servers: len(c.servers)}
	for _, j := range c.jobs {
		n.Runs += j.runCount
		switch c.candidate(j).Class {
		case waitorder.LongRunning:
			n.LongRunning++
		case waitorder.Begun:
			n.Started++
		case waitorder.OnTime:
			n.OnTime++
		case waitorder.OverShare:
			n.OverShare++
		case waitorder.BegunLate, waitorder.Overdue, waitorder.Late, waitorder.LateOverShare, waitorder.TooLate:
			n.Late++
		}
	}
	return n
}
