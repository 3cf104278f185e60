package dispatch

import (
	"cmp"
	"math"
	"slices"

	"example.org/comfreyrouter/jobs"
	"example.org/comfreyrouter/waitorder"
)

// candidate is a job with tasks that may start now, and its position in the order.
type candidate struct {
	job *job
	waitorder.Position
}

// Schedule starts all tasks that may start and for which there is capacity.
func (c *Core) Schedule() {
	c.updateAwaited()
	byService := map[string][]*job{}
	for _, j := range c.jobs {
		if j.cancelled || j.failed {
			c.finishIfEnded(j)
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
		byService[service] = append(byService[service], j)
	}
	c.updateBeyondShare(byService)
	c.updateUnreportedUsage()
	pools := c.serverPools(byService)
	clear(c.markedWaiting)
	for service, waiting := range byService {
		c.markedWaiting[service] = c.placeService(pools[service], waiting)
	}
	for _, p := range pools {
		c.eventCounts["servers_examined"] += p.examined
	}
}

// hasStartable reports whether a task of a job may start now.
func (c *Core) hasStartable(j *job) bool {
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			if s.waiting > 0 && s.ready() {
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

// placeService starts tasks of one service in the order in which its jobs wait. Jobs are left out whose tasks may run on an awaited server. It returns how
// many jobs with a stored or requested mark still wait, or the number of all waiting jobs if no server is schedulable.
func (c *Core) placeService(pool *serverPool, waitingJobs []*job) int {
	if pool == nil {
		return len(waitingJobs)
	}
	waiting := make([]candidate, len(waitingJobs))
	for i, j := range waitingJobs {
		waiting[i] = c.candidate(j)
	}
	slices.SortFunc(waiting, compareCandidates)
	var marks markBudget
	for _, w := range waiting {
		if c.awaits(w.job) || !pool.room().Admits(w.Class) {
			continue
		}
		if w.job.startMark != markStored {
			c.requestMark(w.job, pool, &marks)
			continue
		}
		c.placeJob(w, pool)
		if c.hasStartable(w.job) && !c.atLimit(w.job) {
			marks.waiting++
		}
	}
	return marks.waiting
}

// placeJob starts the tasks of a job's ready steps as far as there is capacity.
func (c *Core) placeJob(w candidate, pool *serverPool) {
	for _, o := range w.job.occurrences {
		for _, s := range o.steps {
			if s.waiting > 0 && s.ready() {
				c.placeStep(s, pool, w.Class.Late())
			}
		}
	}
}

func compareCandidates(a, b candidate) int {
	return cmp.Or(a.Position.Compare(b.Position), cmp.Compare(a.job.sub.ID, b.job.sub.ID))
}

// placeStep starts the waiting tasks of a step as far as there is capacity. A gang starts completely or not at all. late says whether the job is late.
func (c *Core) placeStep(s *step, pool *serverPool, late bool) {
	if s.spec.Gang {
		c.placeGang(s, pool, late)
		return
	}
	for _, t := range s.tasks {
		if !c.startable(t) {
			continue
		}
		i, found := -1, false
		if c.mayIsolate(t, pool.servers) {
			i, found = c.chooseServer(t, pool)
		}
		if !found && t.caution() != startAnywhere {
			c.reserveServer(t, pool.servers)
			continue
		}
		if !found {
			return
		}
		c.start(t, pool.servers[i], late)
		pool.taskStarted(i, s.spec.Allocation(), late)
	}
}

// reservedPlaces is what the tasks of a gang that is being placed take up on a server.
type reservedPlaces struct {
	tasks     int
	allocated jobs.Resources
}

// placeGang starts all tasks of a gang at once, or none.
func (c *Core) placeGang(s *step, pool *serverPool, late bool) {
	for _, t := range s.tasks {
		if !c.startable(t) || !c.mayIsolate(t, pool.servers) {
			return
		}
	}
	for _, group := range gangServerSets(s, pool.servers) {
		chosen := map[*task]*server{}
		reserved := map[*server]reservedPlaces{}
		for _, t := range s.tasks {
			srv := c.chooseGangServer(t, group, reserved)
			if srv == nil {
				break
			}
			chosen[t] = srv
			places := reserved[srv]
			reserved[srv] = reservedPlaces{places.tasks + 1, places.allocated.Add(s.spec.Allocation())}
		}
		if len(chosen) < len(s.tasks) || !c.gangWithinLimit(s) {
			continue
		}
		for _, t := range s.tasks {
			c.start(t, chosen[t], late)
		}
		pool.sort()
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
	total := c.workspaceUsage(ws)
	for range s.tasks {
		total = total.Add(s.spec.Need)
	}
	return total.Within(c.limits[ws])
}

// chooseServer returns the position in a pool of the server for a task: the fullest one with enough capacity, so that capacity for large tasks and
// entire machines stay free. It is false if no server may run the task now. The pool is in ascending order of the least possible cost, so the search
// ends at the first server that can't be better than the best one so far.
func (c *Core) chooseServer(t *task, pool *serverPool) (int, bool) {
	allocation := t.step.spec.Allocation()
	if c.limitReached(t) || pool.fitsNowhere(allocation) {
		return 0, false
	}
	best, bestCost, fits := -1, 0.0, false
	for i := pool.firstWithFree(allocation.CPU); i < len(pool.servers); i++ {
		s := pool.servers[i]
		if best >= 0 && compareCost(pool.freeShares[i], s, bestCost, pool.servers[best]) > 0 {
			break
		}
		pool.examined++
		free := s.info.Capacity.Sub(s.used)
		if !allocation.Fits(free) {
			continue
		}
		fits = true
		if !c.mayRun(t, s) {
			continue
		}
		if cost := c.cost(t, s, free); best < 0 || compareCost(cost, s, bestCost, pool.servers[best]) < 0 {
			best, bestCost = i, cost
		}
	}
	if !fits {
		pool.recordTooLarge(allocation)
	}
	return best, best >= 0
}

// chooseGangServer returns the server for a task of a gang, or nil. The other tasks of the gang have reserved places.
func (c *Core) chooseGangServer(t *task, servers []*server, reserved map[*server]reservedPlaces) *server {
	if c.limitReached(t) {
		return nil
	}
	var best *server
	var bestCost float64
	for _, s := range servers {
		free := s.info.Capacity.Sub(s.used).Sub(reserved[s].allocated)
		if !t.step.spec.Allocation().Fits(free) || !c.mayRun(t, s) || t.step.remainingPlaces(s) <= reserved[s].tasks {
			continue
		}
		if cost := c.cost(t, s, free); best == nil || compareCost(cost, s, bestCost, best) < 0 {
			best, bestCost = s, cost
		}
	}
	return best
}

// compareCost orders servers by cost, and those of the same cost by their ids.
func compareCost(aCost float64, a *server, bCost float64, b *server) int {
	return cmp.Or(cmp.Compare(aCost, bCost), cmp.Compare(a.info.ID, b.info.ID))
}

// limitReached reports whether the limit of its workspace keeps a task from starting, and counts that.
func (c *Core) limitReached(t *task) bool {
	if c.withinLimit(t) {
		return false
	}
	c.count("wait_limit")
	return true
}

// withinLimit reports whether the limit of its workspace allows a task to start.
func (c *Core) withinLimit(t *task) bool {
	ws := t.step.occurrence.job.sub.Workspace
	return c.workspaceUsage(ws).Add(t.step.spec.Need).Within(c.limits[ws])
}

// mayRun reports whether a task may run on a server that has enough capacity.
func (c *Core) mayRun(t *task, s *server) bool {
	return c.permitted(t, s) && t.step.remainingPlaces(s) > 0 && c.acceptsTask(s, t)
}

// permitted reports whether a server is one on which a task may run at all, whatever else runs there.
func (c *Core) permitted(t *task, s *server) bool {
	if !s.info.HasLabel(t.step.spec.Label) {
		return false
	}
	_, allowed := c.ticketFor(t.step, s)
	return allowed
}

// remainingPlaces returns how many more tasks of a step its limit per server allows on a server.
func (s *step) remainingPlaces(srv *server) int {
	if s.spec.MaxPerServer == 0 {
		return math.MaxInt
	}
	n := s.spec.MaxPerServer
	for _, r := range srv.runs {
		if r.task.step == s {
			n--
		}
	}
	return max(n, 0)
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
	cost := freeShare(s, free) // the other terms only add to it, which chooseServer relies on
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
	return cost + c.slowdownCost(t, s)
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
