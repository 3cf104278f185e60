package fairshare

import (
	"math"
	"time"
)

// UsageDecay is the time constant with which past differences from the shares are forgotten. docs/decisions/fair-shares.md has the
// measurement behind it.
const UsageDecay = 30 * time.Second

// Usage is how far each team's use of a pool's slots, on all entry VMs, is above what it is entitled to. It integrates running tasks
// less entitled slots over time, with decay. So it counts slot-time, whatever sizes are declared, a team whose share is less than one
// slot gets its turns, and a team that borrowed slots which nobody else wanted does not pay for them later.
type Usage struct {
	decay   time.Duration
	at      time.Time
	sources map[string]map[string]int // running tasks by entry VM and team
	running map[string]int            // their sum by team
	parts   map[string]float64        // slots to which each team is entitled now (Divide)
	slots   map[string]float64        // decayed mean of the slots above the entitled ones, at the time at
}

// NewUsage returns a Usage of a fleet that has run nothing.
func NewUsage(decay time.Duration) *Usage {
	return &Usage{decay: decay, sources: map[string]map[string]int{}, running: map[string]int{}, slots: map[string]float64{}}
}

// SetRunning notes what an entry VM runs from now on, by team. It is called for the VM itself when a task starts or ends, and for a peer at
// each heartbeat. The map is not to be changed afterwards.
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

// RemoveSource notes that an entry VM is gone. What it used still counts until it has decayed.
func (u *Usage) RemoveSource(source string, now time.Time) {
	u.SetRunning(source, nil, now)
	delete(u.sources, source)
}

// Excess returns the decayed mean number of slots by which each team was above what it was entitled to. The map is only valid until
// the next call of a method.
func (u *Usage) Excess(now time.Time) map[string]float64 {
	u.advance(now)
	return u.slots
}

// SetEntitlements notes the slots to which each team is entitled from now on, by Divide. They are not charged.
func (u *Usage) SetEntitlements(parts map[string]float64, now time.Time) {
	u.advance(now)
	u.parts = parts
}

func (u *Usage) add(team string, n int) {
	u.running[team] += n
	if u.running[team] == 0 {
		delete(u.running, team)
	}
}

// minSlots is the use below which a team is forgotten, so that memory is bounded by the teams that run.
const minSlots = 1e-6

func (u *Usage) advance(now time.Time) {
	elapsed := now.Sub(u.at)
	if elapsed <= 0 {
		return
	}
	u.at = now
	factor := math.Exp(-float64(elapsed) / float64(u.decay))
	for team, slots := range u.slots {
		u.slots[team] = slots * factor
		if math.Abs(u.slots[team]) < minSlots && u.running[team] == 0 {
			delete(u.slots, team)
		}
	}
	for team, n := range u.running {
		u.slots[team] += float64(n) * (1 - factor)
	}
	for team, part := range u.parts {
		u.slots[team] -= part * (1 - factor)
	}
}
