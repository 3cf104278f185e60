package dispatch

import (
	"cmp"
	"slices"
	"time"

	"example.org/comfreyrouter/jobs"
)

// rank is the class of a job in the order of the queue. Lower ones come first.
type rank int

const (
	rankLongRunning rank = iota // its tasks must be at work at all times
	rankStarted                 // can be on time and has begun: what is invested pays only if it ends on time
	rankOnTime                  // can be on time
	rankOverShare               // could be on time, but its workspace sends more than it is owed
	rankLateStarted             // can't be on time any more, and has begun
	rankLate                    // can't be on time any more
	rankUseless                 // its answer will come too late to be of use; it was accepted, so it is done when there is room
)

// late reports whether a job of the class can't be on time.
func (r rank) late() bool { return r >= rankLateStarted }

// candidate is a job with tasks that may start now.
type candidate struct {
	job  *job
	rank rank
	// order is the order within the class: the time that is left beyond what the remaining steps take, or when the job was handed in if it
	// can't be on time.
	order time.Duration
}

// Schedule starts what can start.
func (c *Core) Schedule() {
	byService := map[string][]candidate{}
	for _, j := range c.jobs {
		if j.cancelled || j.failed {
			continue
		}
		if j.sub.Spec.Scheduled() {
			c.openOccurrences(j)
			c.settle(j)
		}
		if !c.hasWaiting(j) {
			continue
		}
		service := c.serviceOf(j)
		byService[service] = append(byService[service], c.candidate(j))
	}
	clear(c.ahead)
	for service, waiting := range byService {
		c.ahead[service] = c.place(service, waiting)
	}
}

// hasWaiting reports whether a task of a job could start now.
func (c *Core) hasWaiting(j *job) bool {
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			if s.doneCount < len(s.tasks) && s.ready() {
				for _, t := range s.tasks {
					if c.waits(t) {
						return true
					}
				}
			}
		}
	}
	return false
}

func (c *Core) waits(t *task) bool { return t.run == nil && !t.done && c.now >= t.notBefore }

// ready reports whether all tasks of the steps before are done.
func (s *step) ready() bool {
	for _, i := range s.spec.After {
		if b := s.occurrence.steps[i]; b.doneCount < len(b.tasks) {
			return false
		}
	}
	return true
}

// place starts tasks of one service, the most urgent jobs first, and returns how many of those that may start wait.
func (c *Core) place(service string, waiting []candidate) int {
	var pool []*server
	for _, s := range c.servers {
		if s.info.Service == service && c.usable(s) {
			pool = append(pool, s)
		}
	}
	if len(pool) == 0 {
		return len(waiting)
	}
	slices.SortFunc(pool, func(a, b *server) int { return cmp.Compare(a.info.ID, b.info.ID) })
	slices.SortFunc(waiting, compareCandidates)
	blocked := c.blocked(service)
	ahead := 0
	for _, w := range waiting {
		if blocked && w.job.inherited || w.rank.late() && !roomForLate(pool) {
			continue
		}
		if w.job.mark != markStored {
			ahead += c.wantMark(w.job, ahead)
			continue
		}
		c.placeJob(w.job, pool)
		if c.hasWaiting(w.job) && !c.atLimit(w.job) {
			ahead++
		}
	}
	return ahead
}

// lateReserve is the share of a pool's processors that jobs which can't be on time leave free. Their tasks run for about a second, and a turn of the
// demand that comes meanwhile would find no room.
const lateReserve = 0.25

// roomForLate reports whether a pool has more room than is kept for jobs that can be on time.
func roomForLate(pool []*server) bool {
	var room, used int64
	for _, s := range pool {
		room += s.info.Capacity.CPU
		used += s.used.CPU
	}
	return float64(room-used) > lateReserve*float64(room)
}

// placeJob starts the tasks of a job whose turn has come, as far as there is room.
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
	return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.order, b.order), cmp.Compare(a.job.sub.ID, b.job.sub.ID))
}

// placeStep starts the waiting tasks of a step as far as there is room. A gang starts whole or not at all.
func (c *Core) placeStep(s *step, pool []*server) {
	if s.spec.Gang {
		c.placeGang(s, pool)
		return
	}
	for _, t := range s.tasks {
		if !c.waits(t) {
			continue
		}
		srv := c.choose(t, pool, nil)
		if srv == nil {
			return
		}
		c.start(t, srv)
	}
}

// placeGang starts all tasks of a gang at once, or none.
func (c *Core) placeGang(s *step, pool []*server) {
	for _, t := range s.tasks {
		if !c.waits(t) {
			return
		}
	}
	for _, group := range gangPools(s, pool) {
		chosen := map[*task]*server{}
		taken := map[*server]jobs.Resources{}
		for _, t := range s.tasks {
			srv := c.choose(t, group, taken)
			if srv == nil {
				break
			}
			chosen[t] = srv
			taken[srv] = taken[srv].Add(s.spec.Allocation())
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

// gangPools returns the sets of servers among which a gang may be spread: single racks first if it works best on one.
func gangPools(s *step, pool []*server) [][]*server {
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

// choose returns the server for a task: the fullest one with room, so that room for wide tasks and whole machines stay free.
func (c *Core) choose(t *task, pool []*server, taken map[*server]jobs.Resources) *server {
	ws := t.step.occurrence.job.sub.Workspace
	if !c.usage[ws].Add(t.step.spec.Need).Within(c.limits[ws]) {
		c.count("wait_limit")
		return nil
	}
	var best *server
	var bestCost float64
	for _, s := range pool {
		free := s.info.Capacity.Sub(s.used).Sub(taken[s])
		if !t.step.spec.Allocation().Fits(free) || !s.info.HasLabel(t.step.spec.Label) || c.crowded(t, s) {
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

// crowded reports whether a server runs as many tasks of a step as it may.
func (c *Core) crowded(t *task, s *server) bool {
	most := t.step.spec.MaxPerServer
	if most == 0 {
		return false
	}
	n := 0
	for _, r := range s.runs {
		if r.task.step == t.step {
			n++
		}
	}
	return n >= most
}

// Weights of the choice of a server, in units of the free share of its processors.
const (
	costAvoid     = 10.0 // the task has just failed there
	costSuspect   = 2.0  // for each failed run in a row
	costFarRack   = 4.0  // its data is on another rack
	costSibling   = 5.0  // for each task of the same long-running step there, which would end with it
	costDue       = 3.0  // a long-running task would end there with the upkeep of the machine
	costDisturbed = 1.0  // for each task there that it would disturb, or that would disturb it
)

func (c *Core) cost(t *task, s *server, free jobs.Resources) float64 {
	cost := 0.0
	if s.info.Capacity.CPU > 0 {
		cost = float64(free.CPU) / float64(s.info.Capacity.CPU)
	}
	if t.avoid == s.info.ID {
		cost += costAvoid
	}
	cost += costSuspect * float64(s.fails)
	if rack := t.step.spec.Rack; rack != "" && !s.info.HasLabel(rack) {
		cost += costFarRack
	}
	if t.step.spec.LongRunning && c.dueUpkeep[s.info.ID] {
		cost += costDue
	}
	if t.step.spec.LongRunning || t.step.spec.Fills {
		cost += neighbours(t, s)
	}
	return cost
}

// neighbours returns the cost of running a task that serves or fills beside what a server runs.
func neighbours(t *task, s *server) float64 {
	cost := 0.0
	for _, r := range s.runs {
		if r.task.step == t.step {
			cost += costSibling
		}
		if disturbs(t.step.spec, r.task.step.spec) {
			cost += costDisturbed
		}
	}
	return cost
}

// disturbs reports whether one of two steps fills and the other one serves.
func disturbs(a, b *jobs.Step) bool {
	return (a.Fills && b.TargetMS > 0 && !b.Fills) || (b.Fills && a.TargetMS > 0 && !a.Fills)
}
