package dispatch

import (
	"time"

	"example.org/comfreyrouter/jobs"
)

const (
	// learnWeight is the weight of a new run time in a queue's mean.
	learnWeight = 0.05
	// learnLeast is the number of run times from which on a queue's mean replaces declared times, which are up to 0.9 off.
	learnLeast = 12
	// spread is by how much the longest task of a step exceeds the mean; tasks of a job differ by about 15%.
	spread = 1.2
	// marginShare and marginLeast are what a job that hasn't begun must have left beyond its objective to count as on time: run times are
	// known to about a sixth, and a start takes a few milliseconds.
	marginShare = 6
	marginLeast = 100 * time.Millisecond
	// defaultTaskMS is taken for a task without a declared time, in milliseconds.
	defaultTaskMS = 1000
	// worthless is how many times its objective a job may take before its answer is of no use to the caller.
	worthless = 3
)

// runtime is the learned run time of a queue's tasks, in milliseconds.
type runtime struct {
	mean float64
	n    int
}

// learn takes the run time of a task.
func (c *Core) learn(t *task, d time.Duration) {
	ms := float64(d.Milliseconds())
	j := t.step.occurrence.job
	j.taskMS = (j.taskMS*float64(j.tasksDone) + ms) / float64(j.tasksDone+1)
	j.tasksDone++
	rt := c.learned[j.sub.Route]
	if rt == nil {
		rt = &runtime{}
		c.learned[j.sub.Route] = rt
	}
	rt.n++
	weight := max(learnWeight, 1/float64(rt.n))
	rt.mean += weight * (ms - rt.mean)
}

// taskMS returns how long a task of a step is thought to run: as the job's other tasks did, as the queue's tasks did, or as declared.
func (c *Core) taskMS(j *job, estimate int64) float64 {
	if j.tasksDone > 0 {
		return j.taskMS
	}
	if rt := c.learned[j.sub.Route]; rt != nil && rt.n >= learnLeast {
		return rt.mean
	}
	if estimate > 0 {
		return float64(estimate)
	}
	return defaultTaskMS
}

// chain returns the time of an occurrence's longest chain of steps, and that of the steps that are not done.
func (c *Core) chain(o *occurrence) (whole, left time.Duration) {
	wholeTo := make([]time.Duration, len(o.steps))
	leftTo := make([]time.Duration, len(o.steps))
	for i, s := range o.steps {
		for _, b := range s.spec.After {
			wholeTo[i] = max(wholeTo[i], wholeTo[b])
			leftTo[i] = max(leftTo[i], leftTo[b])
		}
		d := time.Duration(c.taskMS(o.job, s.spec.EstimateMS) * spread * float64(time.Millisecond))
		wholeTo[i] += d
		if s.doneCount < len(s.tasks) {
			leftTo[i] += d
		}
		whole, left = max(whole, wholeTo[i]), max(left, leftTo[i])
	}
	return whole, left
}

// candidate ranks a job.
func (c *Core) candidate(j *job) candidate {
	if j.sub.Spec.LongRunning() {
		return candidate{j, rankLongRunning, j.submitted}
	}
	slack, margin, useful := time.Duration(1<<62), time.Duration(0), true
	for _, o := range j.occurrences {
		whole, left := c.chain(o)
		within := objective(j.sub, whole)
		margin = max(margin, left/marginShare+marginLeast)
		slack = min(slack, c.due(o)+within-c.now-left)
		useful = useful && c.now+left <= c.due(o)+worthless*within
	}
	switch {
	case !useful:
		return candidate{j, rankUseless, j.submitted}
	case slack < 0 && j.started:
		return candidate{j, rankLateStarted, j.submitted}
	case slack < 0:
		return candidate{j, rankLate, j.submitted}
	case j.started:
		return candidate{j, rankStarted, slack}
	case slack < margin:
		return candidate{j, rankLate, j.submitted}
	case j.overShare:
		return candidate{j, rankOverShare, slack}
	}
	return candidate{j, rankOnTime, slack}
}

// objective returns within which time a job has to be done, if its longest chain of steps takes whole.
func objective(sub *jobs.Submission, whole time.Duration) time.Duration {
	return time.Duration(sub.SlackFactor*float64(whole)) + jobs.Milliseconds(sub.TargetMS)
}

// due returns when an occurrence was due.
func (c *Core) due(o *occurrence) time.Duration {
	spec := o.job.sub.Spec
	if !spec.Scheduled() {
		return o.job.submitted
	}
	dueMS := spec.FirstMS + int64(o.number)*spec.EveryMS
	return c.now - time.Duration(c.wallMS-dueMS)*time.Millisecond
}

// share counts the jobs that a workspace has handed in against those that it is owed, its weight in jobs a second.
type share struct {
	left float64
	at   time.Duration
}

// shareSpan is how many seconds' worth of unused share a workspace keeps.
const shareSpan = 1.0

// noteShare marks a job of a workspace that sends more than it is owed.
func (c *Core) noteShare(j *job) {
	weight := c.weights[j.sub.Workspace]
	if weight <= 0 || j.sub.Spec.LongRunning() {
		return
	}
	s := c.shares[j.sub.Workspace]
	if s == nil {
		s = &share{left: shareSpan * weight, at: c.now}
		c.shares[j.sub.Workspace] = s
	}
	s.left, s.at = s.leftAt(c.now, weight), c.now
	if s.left < 1 {
		j.overShare = true
		c.count("job_over_share")
		return
	}
	s.left--
}

func (s *share) leftAt(now time.Duration, weight float64) float64 {
	return min(s.left+weight*(now-s.at).Seconds(), shareSpan*weight)
}

// overShare reports whether the next job of a workspace is more than it is owed.
func (c *Core) overShare(workspace string) bool {
	s, weight := c.shares[workspace], c.weights[workspace]
	return s != nil && weight > 0 && s.leftAt(c.now, weight) < 1
}

// Counts says how many jobs stand where.
type Counts struct {
	LongRunning, Started, OnTime, OverShare, Late, Runs, Servers int // Late are all that can't be on time
}

// Counts counts the jobs by rank.
func (c *Core) Counts() Counts {
	n := Counts{Servers: len(c.servers)}
	for _, j := range c.jobs {
		n.Runs += j.runs
		switch c.candidate(j).rank {
		case rankLongRunning:
			n.LongRunning++
		case rankStarted:
			n.Started++
		case rankOnTime:
			n.OnTime++
		case rankOverShare:
			n.OverShare++
		case rankLateStarted, rankLate, rankUseless:
			n.Late++
		}
	}
	return n
}
