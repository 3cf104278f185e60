package fairshare

import (
	"math"
	"time"
)

// UsageDecay is the time constant with which past deviations from the shares decay; see docs/decisions/fair-shares.md.
const UsageDecay = 30 * time.Second

// Usage tracks by how many slots of a pool each team exceeds its entitlement on all entry VMs. It integrates running tasks less
// entitled slots over time, with exponential decay. It therefore counts slot-time regardless of declared sizes, a team whose share
// is less than one slot still gets a slot from time to time, and a team is not charged later for borrowed slots that no other
// team wanted.
type Usage struct {
	decay        time.Duration
	at           time.Time
	sources      map[string]map[string]int // running tasks by entry VM and team
	running      map[string]int            // their sum by team
	entitlements map[string]float64        // slots to which each team is entitled (Divide)
	excess       map[string]float64        // decayed mean of the slots above the entitlement, as of at
}

// NewUsage returns an empty Usage with the given time constant.
func NewUsage(decay time.Duration) *Usage {
	return &Usage{decay: decay, sources: map[string]map[string]int{}, running: map[string]int{}, excess: map[string]float64{}}
}

// SetRunning sets the number of tasks by team that an entry VM, identified by source, runs from now on. It is called for the VM itself
// when a task starts or ends, and for a peer at each heartbeat. The caller must not change the map afterwards.
func (u *Usage) SetRunning(source string, running map[string]int, now time.Time) {
	u.advance(now)
	for team, n := range u.sources[source] {
		u.add(team, -n)
	}
	for team, n := range running {
		u.add(team, n)
	}
	u.sources[source] = running
}

// RemoveSource removes the running tasks of an entry VM that is gone. Its past usage still counts until it has decayed.
func (u *Usage) RemoveSource(source string, now time.Time) {
	u.SetRunning(source, nil, now)
	delete(u.sources, source)
}

// Excess returns the decayed mean number of slots by which each team exceeded its entitlement. The map is only valid until the next
// method call.
func (u *Usage) Excess(now time.Time) map[string]float64 {
	u.advance(now)
	return u.excess
}

// SetEntitlements sets the slots to which each team is entitled from now on, as returned by Divide. Their use is not charged.
func (u *Usage) SetEntitlements(parts map[string]float64, now time.Time) {
	u.advance(now)
	u.entitlements = parts
}

func (u *Usage) add(team string, n int) {
	u.running[team] += n
	if u.running[team] == 0 {
		delete(u.running, team)
	}
}

// minExcess is the absolute excess below which a team without running tasks is dropped, so that memory does not grow with every team
// ever seen.
const minExcess = 1e-6

func (u *Usage) advance(now time.Time) {
	elapsed := now.Sub(u.at)
	if elapsed <= 0 {
		return
	}
	u.at = now
	factor := math.Exp(-float64(elapsed) / float64(u.decay))
	for team, slots := range u.excess {
		u.excess[team] = slots * factor
		if math.Abs(u.excess[team]) < minExcess && u.running[team] == 0 {
			delete(u.excess, team)
		}
	}
	for team, n := range u.running {
		u.excess[team] += float64(n) * (1 - factor)
	}
	for team, part := range u.entitlements {
		u.excess[team] -= part * (1 - factor)
	}
}
