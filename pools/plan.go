// Package pools decides which VM moves to which pool, so that pools reach the sizes of the preset in force. Demand causes no
// moves: a burst is over before a VM has moved, and routing lends the servers of the spare pools to pools that are full.
package pools

import (
	"slices"

	"example.org/comfreyrouter/fleet"
)

// MaxMoves bounds the moves in progress, since a moving VM serves nobody.
const MaxMoves = 3

// Snapshot is what a plan is made from.
type Snapshot struct {
	Layout uint64
	Config *fleet.Config
	VMs    map[string]fleet.VM
}

// poolView is the state of one pool in a plan.
type poolView struct {
	name    string
	size    int      // VMs that belong to the pool or move to it
	members []string // those that are available, in order of name
	wanted  int
	spare   bool
	min     int
}

// surplus is the number of VMs that the pool can give. VMs that are down or drained count for its size, so that failures and
// maintenance cause no moves there and back.
func (p poolView) surplus() int { return min(p.size-p.wanted, len(p.members)-p.min) }

// NextMove returns the next move, and false if none is needed. There is one at a time, because each accepted move raises the
// layout epoch: of two VMs that plan at once, one wins.
func NextMove(s Snapshot) (fleet.StartMove, bool) {
	views, moving := poolViews(s)
	if moving >= MaxMoves {
		return fleet.StartMove{}, false
	}
	to, ok := neediest(views)
	if !ok {
		return fleet.StartMove{}, false
	}
	from, ok := donor(views, to)
	if !ok {
		return fleet.StartMove{}, false
	}
	vm := pick(s, from, to)
	return fleet.StartMove{VM: vm, Epoch: s.VMs[vm].Epoch, To: to.name, Layout: s.Layout}, true
}

func poolViews(s Snapshot) (views map[string]poolView, moving int) {
	views = map[string]poolView{}
	for name, pool := range s.Config.Pools {
		v := poolView{name: name, spare: pool.Spare, min: pool.Min}
		v.wanted = wanted(s.Config, v)
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

// wanted returns the size that a pool should have: that of the preset in force, or else what its VMs were declared for. A spare pool
// that the preset does not name keeps what no other pool needs.
func wanted(c *fleet.Config, v poolView) int {
	if size, ok := c.Preset().PoolSizes[v.name]; ok {
		return size
	}
	return declared(c, v)
}

func declared(c *fleet.Config, v poolView) int {
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

// neediest returns the pool that lacks most VMs. A spare pool takes back what others no longer need.
func neediest(views map[string]poolView) (poolView, bool) {
	var best poolView
	bestLack := 0
	for _, name := range sortedNames(views) {
		v := views[name]
		lack := v.wanted - v.size
		if lack > bestLack {
			best, bestLack = v, lack
		}
	}
	if bestLack > 0 {
		return best, true
	}
	return spareForReturn(views)
}

// spareForReturn returns a spare pool if a pool has more than it wants.
func spareForReturn(views map[string]poolView) (poolView, bool) {
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

// donor returns the pool that gives a VM: a spare one if it can, else the one with the largest surplus.
func donor(views map[string]poolView, to poolView) (poolView, bool) {
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

// pick returns the VM of the donor whose data centre the donor uses most and the receiver least, so that both stay spread.
func pick(s Snapshot, from, to poolView) string {
	fromCount := perCentre(s, from)
	toCount := perCentre(s, to)
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

func perCentre(s Snapshot, v poolView) map[string]int {
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
