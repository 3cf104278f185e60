package entry

import (
	"maps"
	"time"

	"example.org/comfreyrouter/fairshare"
	"example.org/comfreyrouter/fleet"
)

// poolShares is the state that enforces the teams' shares of one pool across all entry VMs.
type poolShares struct {
	usage       *fairshare.Usage
	sources     map[string]bool // peers whose tasks are included in usage
	overnight   bool            // the pool has queues for overnight work
	allotment   int
	allottedAt  time.Time
	remoteTasks int       // the peers' tasks at the last dispatch of the pool
	idleSince   time.Time // since when slots reserved for peers have stayed free
}

// Slots are reserved for a peer that starts nothing for idleAllotmentTimeout, which is longer than the 3 s between two load reports of a
// peer in a fleet of full size. Then they are lent for lendPeriod and reserved for it again, because a VM that refills all slots cannot
// see that the peer has become able to start tasks.
const (
	idleAllotmentTimeout = 4 * time.Second
	lendPeriod           = 10 * time.Second
)

// lendIdleAllotmentLocked lifts the allotment in view while the peers do not use the slots that it reserves for them, for example because
// they cannot reach the servers or, without the log, get no grants.
func (e *Engine) lendIdleAllotmentLocked(view *fairshare.View, pool string, now time.Time) {
	s := e.sharesLocked(pool)
	remote := 0
	for _, n := range e.remoteRunning[pool] {
		remote += n
	}
	idle := view.FreeSlots > max(0, view.Allotment-view.HeldSlots)
	idleFor := now.Sub(s.idleSince)
	due := !s.idleSince.IsZero() && idleFor >= idleAllotmentTimeout
	switch {
	case remote > s.remoteTasks || view.Allotment == fairshare.UnlimitedAllotment || due && idleFor >= idleAllotmentTimeout+lendPeriod:
		s.idleSince, due = time.Time{}, false
	case s.idleSince.IsZero() && idle:
		s.idleSince = now
	case !due && !idle:
		s.idleSince = time.Time{}
	}
	s.remoteTasks = remote
	if due {
		view.Allotment = 0
	}
}

// maxAllotmentAge is how long an allotment is used before it is computed again. Between two heartbeats only this VM's own demand changes.
const maxAllotmentAge = 50 * time.Millisecond

func (e *Engine) sharesLocked(pool string) *poolShares {
	s, ok := e.shares[pool]
	if !ok {
		s = &poolShares{usage: fairshare.NewUsage(fairshare.UsageDecay), sources: map[string]bool{}}
		e.shares[pool] = s
	}
	return s
}

// updateSharesLocked updates usage, entitlements and allotments from the peers' loads. A peer without a recent load is dropped.
func (e *Engine) updateSharesLocked(config *fleet.Config, now time.Time) {
	for pool := range config.Pools {
		s := e.sharesLocked(pool)
		reporting := map[string]bool{}
		for _, p := range e.peerLoads {
			reporting[p.Incarnation] = true
			s.usage.SetRunning(p.Incarnation, p.Running[pool], now)
		}
		for source := range s.sources {
			if !reporting[source] {
				s.usage.RemoveSource(source, now)
			}
		}
		s.sources = reporting
		e.allotLocked(pool, s, config, now)
	}
	for pool := range e.shares {
		if _, ok := config.Pools[pool]; !ok {
			delete(e.shares, pool)
		}
	}
}

// allotLocked divides a pool's slots among the teams and entry VMs. An allotment of 0 would mean no limit, so it is at least 1.
func (e *Engine) allotLocked(pool string, s *poolShares, config *fleet.Config, now time.Time) {
	own, peers := e.demandLocked(pool)
	remaining := e.remainingLimitsLocked(config)
	own.Waiting = capWaiting(own.Waiting, remaining)
	for i := range peers {
		peers[i].Waiting = capWaiting(peers[i].Waiting, remaining)
	}
	slots := e.poolSlotsLocked(pool)
	shares := sharesOf(config)
	s.usage.SetEntitlements(fairshare.Divide(slots, shares, fairshare.TotalDemand(append(peers, own)...)), now)
	s.allotment = max(1, fairshare.Allot(slots, shares, own, peers))
	s.overnight = hasOvernight(config, pool)
	s.allottedAt = now
}

// remainingLimitsLocked returns how many more tasks each team's limit allows in the whole fleet.
func (e *Engine) remainingLimitsLocked(config *fleet.Config) map[string]int {
	remaining := map[string]int{}
	for name, t := range config.Teams {
		remaining[name] = t.Limit
	}
	for pool := range config.Pools {
		for team, n := range e.localRunning[pool] {
			remaining[team] -= n
		}
		for team, n := range e.remoteRunning[pool] {
			remaining[team] -= n
		}
	}
	return remaining
}

// capWaiting leaves out requests that wait for their team's limit, because they could not use slots that others reserve for them.
func capWaiting(waiting, remaining map[string]int) map[string]int {
	capped := map[string]int{}
	for team, n := range waiting {
		if n = min(n, remaining[team]); n > 0 {
			capped[team] = n
		}
	}
	return capped
}

// poolSlotsLocked returns the slots of a pool's servers that are available and not draining.
func (e *Engine) poolSlotsLocked(pool string) int {
	slots := 0
	for _, name := range e.byPool[pool] {
		if s := e.servers[name]; s.available && !s.draining {
			slots += s.slots
		}
	}
	return slots
}

// addSharesLocked adds usage, the allotment and the held slots of a pool to its view.
func (e *Engine) addSharesLocked(view *fairshare.View, pool string, config *fleet.Config, now time.Time) {
	s := e.sharesLocked(pool)
	if now.Sub(s.allottedAt) >= maxAllotmentAge {
		e.allotLocked(pool, s, config, now)
	}
	view.Usage = s.usage.Excess(now)
	view.Allotment = s.allotment
	for _, t := range e.tasks {
		if server, ok := e.servers[t.server]; !ok || t.pool != pool || server.pool != pool {
			continue // a task on a server of another pool takes no slot of this one
		}
		e.countHeldLocked(view, pool)
	}
}

// countHeldLocked counts a slot that this VM holds. In a pool with overnight work the allotment does not limit urgent work.
func (e *Engine) countHeldLocked(view *fairshare.View, pool string) {
	view.HeldSlots++
	if !e.shares[pool].overnight {
		view.HeldUrgentSlots++
	}
}

// hasOvernight reports whether a pool has queues for overnight work. Heartbeats do not report the classes of the peers' work, so with one
// allotment for both classes, a peer's overnight work would delay urgent work.
func hasOvernight(config *fleet.Config, pool string) bool {
	for _, q := range config.Queues {
		if q.Pool == pool && q.Class == fleet.Overnight {
			return true
		}
	}
	return false
}

// recordUsageLocked updates the pool's usage after a task of this VM has started or ended.
func (e *Engine) recordUsageLocked(pool string, now time.Time) {
	e.sharesLocked(pool).usage.SetRunning(e.options.Incarnation, maps.Clone(e.localRunning[pool]), now)
}
