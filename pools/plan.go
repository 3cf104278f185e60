// Package pools decides which backend server VM moves to which pool, so that the pools reach the sizes in the preset in force, the
// operating mode that the operators have chosen for the fleet. Demand causes no moves, because a burst is over before a VM has moved;
// instead, routing lends servers of the spare pools to pools that are full.
package pools

import (
	"slices"

	"example.org/comfreyrouter/fleet"
)

// MaxMoves is the maximum number of moves in progress. It is low because a moving VM serves no requests.
const MaxMoves = 3

// Snapshot is the part of the fleet's state that moves are planned from.
type Snapshot struct {
	Layout uint64 // layout epoch
	Config *fleet.Config
	VMs    map[string]fleet.VM
}

// poolView is the state of a pool that moves are planned from.
type poolView struct {
	name       string
	size       int      // number of VMs that belong to the pool or move to it
	members    []string // names of those that are available, sorted
	targetSize int      // size that the pool should have
	spare      bool
	min        int // minimum number of available VMs
}

// surplus returns the number of VMs that the pool can give away. VMs that are down or drained count towards its size, so that failures
// and maintenance don't cause moves to another pool and back.
func (p poolView) surplus() int { return min(p.size-p.targetSize, len(p.members)-p.min) }

// NextMove returns the next move, and false if none is needed or possible. It returns one at a time, because each accepted move raises
// the layout epoch: if two VMs propose moves at the same time, only one is accepted.
func NextMove(s Snapshot) (fleet.StartMove, bool) {
	views, moving := poolViews(s)
	if moving >= MaxMoves {
		return fleet.StartMove{}, false
	}
	to, ok := destinationPool(views)
	if !ok {
		return fleet.StartMove{}, false
	}
	from, ok := sourcePool(views, to)
	if !ok {
		return fleet.StartMove{}, false
	}
	vm := pickVM(s, from, to)
	return fleet.StartMove{VM: vm, Epoch: s.VMs[vm].Epoch, To: to.name, Layout: s.Layout}, true
}

func poolViews(s Snapshot) (views map[string]poolView, moving int) {
	views = map[string]poolView{}
	for name, pool := range s.Config.Pools {
		v := poolView{name: name, spare: pool.Spare, min: pool.Min}
		v.targetSize = targetSize(s.Config, v)
		views[name] = v
	}
	for _, name := range sortedNames(s.VMs) {
		vm := s.VMs[name]
		pool := vm.Pool
		if vm.Phase == fleet.Moving {
			moving++
			pool = vm.MoveTo
		}
		v := views[pool]
		v.size++
		if vm.Available() {
			v.members = append(v.members, name)
		}
		views[pool] = v
	}
	return views, moving
}

// targetSize returns the size that a pool should have: its size in the preset in force, or else the number of VMs declared for it. For a
// spare pool that the preset does not name it is the pool's minimum, and the pool keeps the VMs that no other pool needs.
func targetSize(c *fleet.Config, v poolView) int {
	if size, ok := c.Preset().PoolSizes[v.name]; ok {
		return size
	}
	return declaredSize(c, v)
}

func declaredSize(c *fleet.Config, v poolView) int {
	if v.spare {
		return v.min
	}
	n := 0
	for _, server := range c.Servers {
		if server.Pool == v.name {
			n++
		}
	}
	return n
}

// destinationPool returns the pool that should receive a VM: the one that is furthest below its target size. If there is none, a spare
// pool takes back the surplus of the others.
func destinationPool(views map[string]poolView) (poolView, bool) {
	var best poolView
	maxDeficit := 0
	for _, name := range sortedNames(views) {
		v := views[name]
		deficit := v.targetSize - v.size
		if deficit > maxDeficit {
			best, maxDeficit = v, deficit
		}
	}
	if maxDeficit > 0 {
		return best, true
	}
	return sparePoolForSurplus(views)
}

// sparePoolForSurplus returns the first spare pool by name, and false if there is none or if none of the other pools has a surplus.
func sparePoolForSurplus(views map[string]poolView) (poolView, bool) {
	var spare poolView
	found, surplus := false, false
	for _, name := range sortedNames(views) {
		v := views[name]
		if v.spare && !found {
			spare, found = v, true
		}
		if !v.spare && v.surplus() > 0 {
			surplus = true
		}
	}
	return spare, found && surplus
}

// sourcePool returns the pool that should give up a VM: the one with the largest surplus, with spare pools before all others.
func sourcePool(views map[string]poolView, to poolView) (poolView, bool) {
	var best poolView
	found := false
	for _, name := range sortedNames(views) {
		v := views[name]
		if name == to.name || v.surplus() <= 0 {
			continue
		}
		better := v.spare && !best.spare || v.spare == best.spare && v.surplus() > best.surplus()
		if !found || better {
			best, found = v, true
		}
	}
	return best, found
}

// pickVM returns the VM of the source pool in whose data centre the source has the largest excess of VMs over the destination, so that
// both pools stay spread over the data centres.
func pickVM(s Snapshot, from, to poolView) string {
	fromCount := countByDataCentre(s, from)
	toCount := countByDataCentre(s, to)
	best := from.members[0]
	score := func(vm string) int {
		centre := s.Config.Servers[vm].DataCentre
		return fromCount[centre] - toCount[centre]
	}
	for _, vm := range from.members[1:] {
		if score(vm) > score(best) {
			best = vm
		}
	}
	return best
}

func countByDataCentre(s Snapshot, v poolView) map[string]int {
	n := map[string]int{}
	for _, vm := range v.members {
		n[s.Config.Servers[vm].DataCentre]++
	}
	return n
}

func sortedNames[V any](m map[string]V) []string {
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
