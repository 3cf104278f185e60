package dispatch

import (
	"cmp"
	"slices"
	"time"

	"example.org/comfreyrouter/jobs"
)

// rank is the priority class of a job. Lower ranks are placed first.
type rank int

const (
	rankLongRunning rank = iota // its tasks must be serving at all times
	rankStarted                 // has started and can be on time: the resources already spent pay off only if it is
	rankOnTime                  // can be on time
	rankOverShare               // can be on time, but its workspace has used up its share
	rankLateStarted             // has started and can no longer be on time
	rankLate                    // can no longer be on time
	rankTooLate                 // its result will be too late to be of use; it was accepted, so it runs when there is capacity
)

// late reports whether jobs of the rank can't be on time.
func (r rank) late() bool { return r >= rankLateStarted }

// candidate is a job with tasks that may start now.
type candidate struct {
	job  *job
	rank rank
	// sortKey orders jobs of the same rank: the slack, or the time of submission for long-running jobs and for those that can't be on time.
	sortKey time.Duration
	slack   time.Duration // time left beyond the remaining steps; negative if the job will be late; unset for long-running jobs
}

// Schedule starts all tasks that may start and for which there is capacity.
func (c *Core) Schedule() {
	byService := map[string][]candidate{}
	for _, j := range c.jobs {
		if j.cancelled || j.failed {
			continue
		}
		if j.sub.Spec.Scheduled() {
			c.openOccurrences(j)
			c.finishIfEnded(j)
		}
		if !c.hasStartable(j) {
			continue
		}
		service := c.serviceOf(j)
		byService[service] = append(byService[service], c.candidate(j))
	}
	clear(c.markedWaiting)
	for service, waiting := range byService {
		c.markedWaiting[service] = c.placeService(service, waiting)
	}
}

// hasStartable reports whether a task of a job may start now.
func (c *Core) hasStartable(j *job) bool {
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			if s.doneCount < len(s.tasks) && s.ready() {
				for _, t := range s.tasks {
					if c.startable(t) {
						return true
					}
				}
			}
		}
	}
	return false
}

func (c *Core) startable(t *task) bool {
	return t.run == nil && !t.done && c.mayStart(t) && c.now >= t.notBefore
}

// ready reports whether all tasks of the preceding steps are done.
func (s *step) ready() bool {
	for _, i := range s.spec.After {
		if b := s.occurrence.steps[i]; b.doneCount < len(b.tasks) {
			return false
		}
	}
	return true
}

// placeService starts tasks of one service in order of priority. It returns how many jobs with a stored or requested mark still wait, or the number
// of all waiting jobs if no server is schedulable.
func (c *Core) placeService(service string, waiting []candidate) int {
	var pool []*server
	for _, s := range c.servers {
		if s.info.Service == service && c.schedulable(s) {
			pool = append(pool, s)
		}
	}
	if len(pool) == 0 {
		return len(waiting)
	}
	slices.SortFunc(pool, func(a, b *server) int { return cmp.Compare(a.info.ID, b.info.ID) })
	slices.SortFunc(waiting, compareCandidates)
	blocked := c.awaitsReports(service)
	marked := 0
	for _, w := range waiting {
		if blocked && w.job.inherited || w.rank.late() && !hasCapacityForLate(pool) {
			continue
		}
		if w.job.startMark != markStored {
			marked += c.requestMark(w.job, marked)
			continue
		}
		c.placeJob(w.job, pool)
		if c.hasStartable(w.job) && !c.atLimit(w.job) {
			marked++
		}
	}
	return marked
}

// lateJobReserve is the share of a pool's processors that late jobs leave free. Their tasks run for about a second, and a demand peak in the meantime
// would find no capacity.
const lateJobReserve = 0.25

// hasCapacityForLate reports whether a pool has more free capacity than the reserve for jobs that can be on time.
func hasCapacityForLate(pool []*server) bool {
	var capacity, used int64
	for _, s := range pool {
		capacity += s.info.Capacity.CPU
		used += s.used.CPU
	}
	return float64(capacity-used) > lateJobReserve*float64(capacity)
}

// placeJob starts the tasks of a job's ready steps as far as there is capacity.
func (c *Core) placeJob(j *job, pool []*server) {
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			if s.doneCount < len(s.tasks) && s.ready() {
				c.placeStep(s, pool)
			}
		}
	}
}

func compareCandidates(a, b candidate) int {
	return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.sortKey, b.sortKey), cmp.Compare(a.job.sub.ID, b.job.sub.ID))
}

// placeStep starts the waiting tasks of a step as far as there is capacity. A gang starts completely or not at all.
func (c *Core) placeStep(s *step, pool []*server) {
	if s.spec.Gang {
		c.placeGang(s, pool)
		return
	}
	for _, t := range s.tasks {
		if !c.startable(t) {
			continue
		}
		srv := c.chooseServer(t, pool, nil)
		if srv == nil && t.caution() != startAnywhere {
			c.reserveServer(t, pool)
			continue
		}
		if srv == nil {
			return
		}
		c.start(t, srv)
	}
}

// placeGang starts all tasks of a gang at once, or none.
func (c *Core) placeGang(s *step, pool []*server) {
	for _, t := range s.tasks {
		if !c.startable(t) {
			return
		}
	}
	for _, group := range gangServerSets(s, pool) {
		chosen := map[*task]*server{}
		reserved := map[*server]jobs.Resources{}
		for _, t := range s.tasks {
			srv := c.chooseServer(t, group, reserved)
			if srv == nil {
				break
			}
			chosen[t] = srv
			reserved[srv] = reserved[srv].Add(s.spec.Allocation())
		}
		if len(chosen) < len(s.tasks) || !c.gangWithinLimit(s) {
			continue
		}
		for _, t := range s.tasks {
			c.start(t, chosen[t])
		}
		return
	}
}

// gangServerSets returns the sets of servers to try for a gang. For a gang that works best on one rack, single racks come first.
func gangServerSets(s *step, pool []*server) [][]*server {
	if !s.spec.SameRack {
		return [][]*server{pool}
	}
	byRack := map[string][]*server{}
	for _, srv := range pool {
		byRack[srv.info.Rack()] = append(byRack[srv.info.Rack()], srv)
	}
	var groups [][]*server
	for _, rack := range slices.Sorted(mapKeys(byRack)) {
		groups = append(groups, byRack[rack])
	}
	return append(groups, pool)
}

func mapKeys[V any](m map[string]V) func(func(string) bool) {
	return func(yield func(string) bool) {
		for k := range m {
			if !yield(k) {
				return
			}
		}
	}
}

func (c *Core) gangWithinLimit(s *step) bool {
	ws := s.occurrence.job.sub.Workspace
	total := c.usage[ws]
	for range s.tasks {
		total = total.Add(s.spec.Need)
	}
	return total.Within(c.limits[ws])
}

// chooseServer returns the server for a task: the fullest one with enough capacity, so that capacity for large tasks and entire machines stay free.
func (c *Core) chooseServer(t *task, pool []*server, reserved map[*server]jobs.Resources) *server {
	ws := t.step.occurrence.job.sub.Workspace
	if !c.usage[ws].Add(t.step.spec.Need).Within(c.limits[ws]) {
		c.count("wait_limit")
		return nil
	}
	var best *server
	var bestCost float64
	for _, s := range pool {
		free := s.info.Capacity.Sub(s.used).Sub(reserved[s])
		if !t.step.spec.Allocation().Fits(free) || !s.info.HasLabel(t.step.spec.Label) || c.atMaxPerServer(t, s) {
			continue
		}
		if !c.acceptsTask(s, t) {
			continue
		}
		if _, allowed := c.ticketFor(t.step, s); !allowed {
			continue
		}
		cost := c.cost(t, s, free)
		if best == nil || cost < bestCost {
			best, bestCost = s, cost
		}
	}
	return best
}

// atMaxPerServer reports whether a server runs as many tasks of the step as its limit per server allows.
func (c *Core) atMaxPerServer(t *task, s *server) bool {
	limit := t.step.spec.MaxPerServer
	if limit == 0 {
		return false
	}
	n := 0
	for _, r := range s.runs {
		if r.task.step == t.step {
			n++
		}
	}
	return n >= limit
}

// Weights of the choice of a server, in units of the free share of its processors.
const (
	costLastFailure   = 10.0 // the last failure of the task was there
	costServerFailure = 2.0  // for each consecutive failed run
	costOtherRack     = 4.0  // the task's data is on another rack
	costSameStep      = 5.0  // for each task of the same step there, if it is long-running or a filler: the end of the server would end them all
	costUpkeepDue     = 3.0  // the upkeep of the machine would end a long-running task there
	costInterference  = 1.0  // for each task there that it would slow down, or that would slow it down
)

func (c *Core) cost(t *task, s *server, free jobs.Resources) float64 {
	cost := 0.0
	if s.info.Capacity.CPU > 0 {
		cost = float64(free.CPU) / float64(s.info.Capacity.CPU)
	}
	if t.avoidServer == s.info.ID {
		cost += costLastFailure
	}
	cost += costServerFailure * float64(s.consecutiveFailures)
	if rack := t.step.spec.Rack; rack != "" && !s.info.HasLabel(rack) {
		cost += costOtherRack
	}
	if t.step.spec.LongRunning && c.upkeepDue[s.info.ID] {
		cost += costUpkeepDue
	}
	if t.step.spec.LongRunning || t.step.spec.Fills {
		cost += colocationCost(t, s)
	}
	return cost
}

// colocationCost returns the cost of running a long-running or filler task beside the current runs of a server.
func colocationCost(t *task, s *server) float64 {
	cost := 0.0
	for _, r := range s.runs {
		if r.task.step == t.step {
			cost += costSameStep
		}
		if interferes(t.step.spec, r.task.step.spec) {
			cost += costInterference
		}
	}
	return cost
}

// interferes reports whether one of two steps is a filler and the other one is serving.
func interferes(a, b *jobs.Step) bool {
	return (a.Fills && b.TargetMS > 0 && !b.Fills) || (b.Fills && a.TargetMS > 0 && !a.Fills)
}
