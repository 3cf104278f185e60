// Package waitorder decides in which order jobs wait for the servers of a service when there is too little capacity for all of them. What matters to
// a caller are two moments: the job's objective, after which its result is late, and the latest useful moment, after which the result is of no use.
// The package reads no clock and does no I/O.
package waitorder

import (
	"cmp"
	"time"
)

const (
	// MaxUsefulFactor is the multiple of its objective after which a job's result is of no use to the caller.
	MaxUsefulFactor = 3
	// overdueFactor is the multiple of its objective by which a job must end, or it is overdue: half of the time in which a late result is of use
	// has passed.
	overdueFactor = 2
	// marginDivisor and minMargin determine the slack that a job that hasn't begun must have to count as on time: run times are known to about a
	// sixth, and a start takes a few milliseconds.
	marginDivisor = 6
	minMargin     = 100 * time.Millisecond
)

// Job describes a job of which tasks wait.
type Job struct {
	LongRunning bool
	Begun       bool // a task of it has started
	// OverShare reports whether its workspace is beyond its share.
	OverShare bool
	Submitted time.Duration // on the clock of Now
	Parts     []Part        // unused for a long-running job
}

// Part is a part of a job with an objective of its own: an occurrence of a scheduled job, or the entire job.
type Part struct {
	Due       time.Duration // the time from which its objective counts
	Objective time.Duration
	Remaining time.Duration // run time of the longest chain of steps that are not done
}

// Class is the priority class of a job. Lower classes come first.
type Class int

// All classes, in their order.
const (
	LongRunning   Class = iota // its tasks must be serving at all times
	Begun                      // has begun and can be on time: what was spent on it pays off only if it is
	BegunLate                  // has begun and is late but of use: it needs less than a job that hasn't begun
	OnTime                     // can be on time
	OverShare                  // can be on time, but its workspace is beyond its share
	Overdue                    // late, and soon of no use
	Late                       // can no longer be on time, and its result is still of use
	LateOverShare              // the same, of a workspace that is beyond its share
	TooLate                    // its result will be too late to be of use
)

// Late reports whether jobs of the class can't be on time.
func (c Class) Late() bool { return c == BegunLate || c >= Overdue }

// Position is the place of a job in the order.
type Position struct {
	Class Class
	// Key orders jobs of the same class.
	Key time.Duration
	// Slack is the time left beyond the remaining steps. It is negative if the job will be late, and unset for a long-running job.
	Slack time.Duration
}

// Compare orders positions.
func (p Position) Compare(q Position) int {
	return cmp.Or(cmp.Compare(p.Class, q.Class), cmp.Compare(p.Key, q.Key))
}

// Of returns the position of a job at a time.
func Of(j Job, now time.Duration) Position {
	p := Position{Key: j.Submitted}
	if j.LongRunning {
		return p
	}
	var margin time.Duration
	p.Slack = 1 << 62
	overdueSlack, usefulSlack := p.Slack, p.Slack
	for _, part := range j.Parts {
		margin = max(margin, part.Remaining/marginDivisor+minMargin)
		left := part.Due - now - part.Remaining
		p.Slack = min(p.Slack, left+part.Objective)
		overdueSlack = min(overdueSlack, left+overdueFactor*part.Objective)
		usefulSlack = min(usefulSlack, left+MaxUsefulFactor*part.Objective)
	}
	switch {
	case usefulSlack < 0:
		p.Class = TooLate
	case p.Slack >= 0 && j.Begun:
		p.Class, p.Key = Begun, p.Slack
	case p.Slack >= margin && j.OverShare:
		p.Class, p.Key = OverShare, p.Slack
	case p.Slack >= margin:
		p.Class, p.Key = OnTime, p.Slack
	case j.Begun:
		p.Class, p.Key = BegunLate, usefulSlack
	case overdueSlack < 0:
		p.Class, p.Key = Overdue, usefulSlack
	case j.OverShare:
		p.Class, p.Key = LateOverShare, usefulSlack
	default:
		p.Class, p.Key = Late, usefulSlack
	}
	return p
}
