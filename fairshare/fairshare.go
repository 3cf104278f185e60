// Package fairshare decides which waiting request of a pool starts next, so that teams get their shares of the whole fleet
// although each entry VM has its own queue.
package fairshare

import (
	"maps"
	"slices"
	"time"

	"example.org/comfreyrouter/fleet"
)

// Item is a waiting request.
type Item struct {
	ID       uint64
	Team     string
	Class    fleet.Class
	Enqueued time.Time // arrival at the entry VM; Return restores the order by it, and it decides among teams with equal usage
}

// View is the state of the fleet and of a pool on which Queue.Next decides.
type View struct {
	Shares map[string]int // by team
	// Running is the number of running tasks of each team in the pool, on all entry VMs.
	Running map[string]int
	// Usage is the number of slots by which each team exceeded its entitlement on all entry VMs (Usage.Excess). If it is nil, teams
	// are ordered by running tasks per unit of share.
	Usage map[string]float64
	// HeldSlots is the number of slots of the pool that this entry VM holds, HeldUrgentSlots the number of those with urgent work, and
	// Allotment the number that it may hold while peers are short of slots (Allot). An Allotment of 0 means no bound. Urgent work
	// is bounded by HeldUrgentSlots only, so that overnight tasks do not hold it back.
	HeldSlots       int
	HeldUrgentSlots int
	Allotment       int
	// FreeSlots is the number of free slots of the pool, and ReservedSlots the number of them that overnight work must leave free.
	FreeSlots     int
	ReservedSlots int
	// MayStart reports whether a team's upper limit allows one more task to start.
	MayStart func(team string) bool
}

// Queue holds the waiting requests of one pool on one entry VM.
type Queue struct {
	waiting map[fleet.Class]map[string][]Item // by class and team, the next to start first
	count   map[string]int                    // waiting requests by team
	total   int
}

// NewQueue returns an empty queue.
func NewQueue() *Queue {
	return &Queue{
		waiting: map[fleet.Class]map[string][]Item{fleet.Urgent: {}, fleet.Overnight: {}},
		count:   map[string]int{},
	}
}

// Push appends a request to the queue of its class and team.
func (q *Queue) Push(item Item) {
	teams := q.waiting[item.Class]
	teams[item.Team] = append(teams[item.Team], item)
	q.count[item.Team]++
	q.total++
}

// Return puts back a request that Next took out but that did not start, in the order of arrival.
func (q *Queue) Return(item Item) {
	teams := q.waiting[item.Class]
	i := slices.IndexFunc(teams[item.Team], func(other Item) bool { return other.Enqueued.After(item.Enqueued) })
	if i < 0 {
		i = len(teams[item.Team])
	}
	teams[item.Team] = slices.Insert(teams[item.Team], i, item)
	q.count[item.Team]++
	q.total++
}

// Remove takes a request out, for example because its caller cancelled it. It returns false if the request was not waiting.
func (q *Queue) Remove(item Item) bool {
	teams := q.waiting[item.Class]
	i := slices.IndexFunc(teams[item.Team], func(other Item) bool { return other.ID == item.ID })
	if i < 0 {
		return false
	}
	teams[item.Team] = slices.Delete(teams[item.Team], i, i+1)
	q.countRemoved(item)
	return true
}

// countRemoved updates the counts after a request was taken out.
func (q *Queue) countRemoved(item Item) {
	teams := q.waiting[item.Class]
	if len(teams[item.Team]) == 0 {
		delete(teams, item.Team)
	}
	q.count[item.Team]--
	if q.count[item.Team] == 0 {
		delete(q.count, item.Team)
	}
	q.total--
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return q.total }

// Waiting returns the number of waiting requests of a team.
func (q *Queue) Waiting(team string) int { return q.count[team] }

// WaitingOf returns the number of waiting requests of a team and class.
func (q *Queue) WaitingOf(class fleet.Class, team string) int { return len(q.waiting[class][team]) }

// Teams returns the names of the teams that have waiting requests, sorted.
func (q *Queue) Teams() []string {
	teams := make([]string, 0, len(q.count))
	for t := range q.count {
		teams = append(teams, t)
	}
	slices.Sort(teams)
	return teams
}

// Next takes out the request that starts next: urgent work first, and within a class from the team with the lowest usage per
// unit of share in the whole fleet. It returns false if no request may start.
func (q *Queue) Next(v View) (Item, bool) {
	if v.FreeSlots <= 0 || v.atAllotment(v.HeldUrgentSlots) {
		return Item{}, false
	}
	if item, ok := q.nextInClass(fleet.Urgent, v); ok {
		return item, true
	}
	if v.FreeSlots <= v.ReservedSlots || v.atAllotment(v.HeldSlots) {
		return Item{}, false
	}
	return q.nextInClass(fleet.Overnight, v)
}

func (v View) atAllotment(held int) bool { return v.Allotment > 0 && held >= v.Allotment }

func (q *Queue) nextInClass(class fleet.Class, v View) (Item, bool) {
	teams := q.waiting[class]
	best := ""
	// The order is fixed because rounding can make the comparison of teams with nearly equal usage intransitive.
	for _, team := range slices.Sorted(maps.Keys(teams)) {
		if !v.MayStart(team) {
			continue
		}
		if best == "" || startsBefore(teams, team, best, v) {
			best = team
		}
	}
	if best == "" {
		return Item{}, false
	}
	item := teams[best][0]
	teams[best] = teams[best][1:]
	q.countRemoved(item)
	return item, true
}

// startsBefore reports whether team a starts before team b. It orders teams by usage per unit of share, then by the arrival of their
// oldest request.
func startsBefore(teams map[string][]Item, a, b string, v View) bool {
	if c := compareUsagePerShare(v.effectiveUsage(a), v.Shares[a], v.effectiveUsage(b), v.Shares[b]); c != 0 {
		return c < 0
	}
	if !teams[a][0].Enqueued.Equal(teams[b][0].Enqueued) {
		return teams[a][0].Enqueued.Before(teams[b][0].Enqueued)
	}
	return a < b
}

// runningWeight is the weight with which a running task counts at once, before Usage has integrated it. It keeps slots that become
// free together from all going to one team. With a weight of 1, teams with a share below one slot starve
// (docs/decisions/fair-shares.md).
const runningWeight = 0.03

// effectiveUsage returns the usage by which a team is ordered.
func (v View) effectiveUsage(team string) float64 {
	if v.Usage == nil {
		return float64(v.Running[team] + 1)
	}
	return v.Usage[team] + runningWeight*float64(v.Running[team])
}
