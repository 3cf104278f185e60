// Package fairshare decides which waiting request of a pool starts next, so that teams get their shares of the whole
// fleet although each entry VM has a queue of its own.
package fairshare

import (
	"slices"
	"time"

	"example.org/comfreyrouter/fleet"
)

// Item is a waiting request.
type Item struct {
	ID       uint64
	Team     string
	Class    fleet.Class
	Enqueued time.Time
}

// View is what the scheduler needs to know of the fleet.
type View struct {
	Shares map[string]int // by team
	// Running is the number of running tasks of each team in the pool, on all entry VMs.
	Running map[string]int
	// Free is the number of free slots of the pool, and Reserve the number that overnight work must leave free.
	Free    int
	Reserve int
	// MayStart reports whether a team's upper limit lets one more task start.
	MayStart func(team string) bool
}

// Queue holds the waiting requests of one pool on one entry VM.
type Queue struct {
	waiting map[fleet.Class]map[string][]Item
	count   map[string]int
	total   int
}

// NewQueue returns an empty queue.
func NewQueue() *Queue {
	return &Queue{
		waiting: map[fleet.Class]map[string][]Item{fleet.Urgent: {}, fleet.Overnight: {}},
		count:   map[string]int{},
	}
}

// Push adds a request at the end of its team's queue.
func (q *Queue) Push(item Item) {
	teams := q.waiting[item.Class]
	teams[item.Team] = append(teams[item.Team], item)
	q.count[item.Team]++
	q.total++
}

// Remove takes a request out, for example because its caller left. It reports false if the request was not waiting.
func (q *Queue) Remove(item Item) bool {
	teams := q.waiting[item.Class]
	i := slices.IndexFunc(teams[item.Team], func(other Item) bool { return other.ID == item.ID })
	if i < 0 {
		return false
	}
	teams[item.Team] = slices.Delete(teams[item.Team], i, i+1)
	q.removed(item)
	return true
}

func (q *Queue) removed(item Item) {
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

// Teams returns the teams that have waiting requests, in order.
func (q *Queue) Teams() []string {
	teams := make([]string, 0, len(q.count))
	for t := range q.count {
		teams = append(teams, t)
	}
	slices.Sort(teams)
	return teams
}

// Next takes out the request that starts next: urgent work first, and within a class the team with the smallest
// use of the fleet for its share. It returns false if nothing may start.
func (q *Queue) Next(v View) (Item, bool) {
	if v.Free <= 0 {
		return Item{}, false
	}
	if item, ok := q.nextOf(fleet.Urgent, v); ok {
		return item, true
	}
	if v.Free <= v.Reserve {
		return Item{}, false
	}
	return q.nextOf(fleet.Overnight, v)
}

func (q *Queue) nextOf(class fleet.Class, v View) (Item, bool) {
	teams := q.waiting[class]
	best := ""
	for team := range teams {
		if !v.MayStart(team) {
			continue
		}
		if best == "" || before(teams, team, best, v) {
			best = team
		}
	}
	if best == "" {
		return Item{}, false
	}
	item := teams[best][0]
	teams[best] = teams[best][1:]
	q.removed(item)
	return item, true
}

// before orders teams by running tasks for each unit of share, then by who has waited longest.
func before(teams map[string][]Item, a, b string, v View) bool {
	left := (v.Running[a] + 1) * max(v.Shares[b], 0)
	right := (v.Running[b] + 1) * max(v.Shares[a], 0)
	if left != right {
		return left < right
	}
	if !teams[a][0].Enqueued.Equal(teams[b][0].Enqueued) {
		return teams[a][0].Enqueued.Before(teams[b][0].Enqueued)
	}
	return a < b
}
