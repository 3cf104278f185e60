package entry

import (
	"maps"
	"time"

	"example.org/comfreyrouter/fairshare"
	"example.org/comfreyrouter/fleet"
)

// poolShares is what keeps the teams' shares of one pool over all entry VMs.
type poolShares struct {
	usage      *fairshare.Usage
	sources    map[string]bool // peers whose tasks the usage counts
	mixed      bool            // the pool has overnight work
	allotment  int
	allottedAt time.Time
	remote     int       // tasks of the peers when the pool was dispatched last
	leftSince  time.Time // since when slots are left to peers that start nothing
}

// Slots are left for leaveFor to a peer that starts nothing, which is longer than the 3 s between two loads of a peer at full size. Then
// they are lent for lendFor and left to it again, because a VM that refills all slots cannot see that the peer has become able to start.
const (
	leaveFor = 4 * time.Second
	lendFor  = 10 * time.Second
)

// lendIdleLocked lifts the allotment while the peers do not use the slots that are left to them, for example because they are cut off from
// the servers or, without the log, from grants.
func (e *Engine) lendIdleLocked(view *fairshare.View, pool string, now time.Time) {
	s := e.sharesLocked(pool)
	remote := 0
	for _, n := range e.remoteRunning[pool] {
		remote += n
	}
	idle := view.FreeSlots > max(0, view.Allotment-view.HeldSlots)
	left := now.Sub(s.leftSince)
	due := !s.leftSince.IsZero() && left >= leaveFor
	switch {
	case remote > s.remote || view.Allotment == fairshare.UnlimitedAllotment || due && left >= leaveFor+lendFor:
		s.leftSince, due = time.Time{}, false
	case s.leftSince.IsZero() && idle:
		s.leftSince = now
	case !due && !idle:
		s.leftSince = time.Time{}
	}
	s.remote = remote
	if due {
		view.Allotment = 0
	}
}

// allotEvery is the age up to which an allotment is used. Between two heartbeats only this VM's own demand changes.
const allotEvery = 50 * time.Millisecond

func (e *Engine) sharesLocked(pool string) *poolShares {
	s, ok := e.shares[pool]
	if !ok {
		s = &poolShares{usage: fairshare.NewUsage(fairshare.UsageDecay), sources: map[string]bool{}}
		e.shares[pool] = s
	}
	return s
}

// takeSharesLocked takes what the peers run and what each team is entitled to. A peer that is silent counts no longer.
func (e *Engine) takeSharesLocked(config *fleet.Config, now time.Time) {
	for pool := range config.Pools {
		s := e.sharesLocked(pool)
		heard := map[string]bool{}
		for _, p := range e.peerLoads {
			heard[p.Incarnation] = true
			s.usage.SetRunning(p.Incarnation, p.Running[pool], now)
		}
		for source := range s.sources {
			if !heard[source] {
				s.usage.RemoveSource(source, now)
			}
		}
		s.sources = heard
		e.allotLocked(pool, s, config, now)
	}
	for pool := range e.shares {
		if _, ok := config.Pools[pool]; !ok {
			delete(e.shares, pool)
		}
	}
}

// allotLocked divides a pool's slots among the teams and entry VMs. An allotment of 0 would mean no bound, so it is at least 1.
func (e *Engine) allotLocked(pool string, s *poolShares, config *fleet.Config, now time.Time) {
	own, peers := e.demandLocked(pool)
	room := e.roomLocked(config)
	own.Waiting = capped(own.Waiting, room)
	for i := range peers {
		peers[i].Waiting = capped(peers[i].Waiting, room)
	}
	slots := e.poolSlotsLocked(pool)
	shares := sharesOf(config)
	s.usage.SetEntitlements(fairshare.Divide(slots, shares, fairshare.TotalDemand(append(peers, own)...)), now)
	s.allotment = max(1, fairshare.Allot(slots, shares, own, peers))
	s.mixed = hasOvernight(config, pool)
	s.allottedAt = now
}

// roomLocked returns how many more tasks each team's upper limit allows in the whole fleet.
func (e *Engine) roomLocked(config *fleet.Config) map[string]int {
	room := map[string]int{}
	for name, t := range config.Teams {
		room[name] = t.Limit
	}
	for pool := range config.Pools {
		for team, n := range e.running[pool] {
			room[team] -= n
		}
		for team, n := range e.remoteRunning[pool] {
			room[team] -= n
		}
	}
	return room
}

// capped leaves out requests that wait for their team's limit. They could not use the slots that others would leave to them.
func capped(waiting, room map[string]int) map[string]int {
	able := map[string]int{}
	for team, n := range waiting {
		if n = min(n, room[team]); n > 0 {
			able[team] = n
		}
	}
	return able
}

// poolSlotsLocked returns the slots of a pool's servers that are in service.
func (e *Engine) poolSlotsLocked(pool string) int {
	slots := 0
	for _, name := range e.byPool[pool] {
		if s := e.servers[name]; s.serving && !s.draining {
			slots += s.slots
		}
	}
	return slots
}

// addSharesLocked adds to a view of a pool what keeps the shares over all entry VMs.
func (e *Engine) addSharesLocked(view *fairshare.View, pool string, config *fleet.Config, now time.Time) {
	s := e.sharesLocked(pool)
	if now.Sub(s.allottedAt) >= allotEvery {
		e.allotLocked(pool, s, config, now)
	}
	view.Usage = s.usage.Excess(now)
	view.Allotment = s.allotment
	for _, t := range e.tasks {
		if server, ok := e.servers[t.server]; !ok || t.pool != pool || server.pool != pool {
			continue // work on lent servers takes no slot of the pool
		}
		e.heldLocked(view, pool)
	}
}

// heldLocked counts a slot that this VM holds. Where the pool has overnight work the allotment does not bound urgent work.
func (e *Engine) heldLocked(view *fairshare.View, pool string) {
	view.HeldSlots++
	if !e.shares[pool].mixed {
		view.HeldUrgentSlots++
	}
}

// hasOvernight reports whether a pool has queues for overnight work. Heartbeats do not tell the classes of the peers' work, so with an
// allotment for both, a peer's overnight work would hold back urgent work.
func hasOvernight(config *fleet.Config, pool string) bool {
	for _, q := range config.Queues {
		if q.Pool == pool && q.Class == fleet.Overnight {
			return true
		}
	}
	return false
}

// usageChangedLocked notes the start or end of an own task.
func (e *Engine) usageChangedLocked(pool string, now time.Time) {
	e.sharesLocked(pool).usage.SetRunning(e.options.Incarnation, maps.Clone(e.running[pool]), now)
}
