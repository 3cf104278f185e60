// Package pools decides which VM moves to which pool, from the preset in force and the demand that lasts. Short bursts are not
// answered by moves: routing lends the servers of the spare pools to them.
package pools

import (
	"slices"
	"time"

	"example.org/comfreyrouter/fleet"
)

// Options are the settings of a Planner.
type Options struct {
	// Raise is how long demand must be above a pool's size before it gets a VM, and Lower how long it must be below before
	// one goes back. A short Raise and a long Lower damp moves under bursts.
	Raise time.Duration
	Lower time.Duration
	// TargetPercent of a pool's slots are to be in use.
	TargetPercent int
	// MaxMoves bounds the moves in progress.
	MaxMoves int
}

// DefaultOptions suit pools of 8 to 12 servers with bursts of some seconds.
func DefaultOptions() Options {
	return Options{Raise: 30 * time.Second, Lower: 10 * time.Minute, TargetPercent: 80, MaxMoves: 3}
}

// Snapshot is what a plan is made from.
type Snapshot struct {
	Layout uint64
	Config *fleet.Config
	VMs    map[string]fleet.VM
	// Busy is the number of slots that each pool's running and waiting requests need.
	Busy map[string]int
}

// Planner remembers since when demand has asked for another size.
type Planner struct {
	options Options
	above   map[string]time.Time
	below   map[string]time.Time
}

// NewPlanner returns a planner that has seen no demand.
func NewPlanner(o Options) *Planner {
	return &Planner{options: o, above: map[string]time.Time{}, below: map[string]time.Time{}}
}

// poolView is the state of one pool in a plan.
type poolView struct {
	name    string
	members []string // available VMs, in order of name
	wanted  int
	spare   bool
	min     int
}

// surplus is the number of VMs that the pool can give.
func (p poolView) surplus() int { return len(p.members) - max(p.wanted, p.min) }

// Plan returns the next move, and false if none is needed. There is one at a time, because each accepted move raises the
// layout epoch: of two VMs that plan at once, one wins.
func (p *Planner) Plan(s Snapshot, now time.Time) (fleet.StartMove, bool) {
	views, arriving, moving := p.views(s, now)
	if moving >= p.options.MaxMoves {
		return fleet.StartMove{}, false
	}
	to, ok := neediest(views, arriving)
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

func (p *Planner) views(s Snapshot, now time.Time) (views map[string]poolView, arriving map[string]int, moving int) {
	views = map[string]poolView{}
	arriving = map[string]int{}
	slots := map[string]int{}
	for name, pool := range s.Config.Pools {
		views[name] = poolView{name: name, spare: pool.Spare, min: pool.Min}
	}
	for _, name := range sortedNames(s.VMs) {
		vm := s.VMs[name]
		if vm.Phase == fleet.Moving {
			moving++
			arriving[vm.MoveTo]++
		}
		if !vm.Available() {
			continue
		}
		v := views[vm.Pool]
		v.members = append(v.members, name)
		views[vm.Pool] = v
		slots[vm.Pool] += s.Config.Servers[name].Slots
	}
	preset := s.Config.Preset()
	for name, v := range views {
		v.wanted = p.wanted(s, v, preset, slots[name], now)
		views[name] = v
	}
	return views, arriving, moving
}

// wanted returns the size that a pool should have: the preset's, or more while demand above it lasts.
func (p *Planner) wanted(s Snapshot, v poolView, preset fleet.Preset, slots int, now time.Time) int {
	have := len(v.members)
	base, fixed := preset.PoolSizes[v.name]
	if !fixed {
		base = have
		if v.spare {
			base = v.min
		}
	}
	if v.spare || have == 0 || slots == 0 {
		return base
	}
	perVM := slots / have
	need := (s.Busy[v.name]*100 + perVM*p.options.TargetPercent - 1) / (perVM * p.options.TargetPercent)
	switch {
	case need > have:
		delete(p.below, v.name)
		if lasted(p.above, v.name, now) >= p.options.Raise {
			return max(base, have+1)
		}
		return max(base, have)
	case need < have && have > base:
		delete(p.above, v.name)
		if lasted(p.below, v.name, now) >= p.options.Lower {
			return max(base, have-1)
		}
		return have
	}
	delete(p.above, v.name)
	delete(p.below, v.name)
	return max(base, need)
}

// lasted returns for how long a condition has held, and notes its start.
func lasted(since map[string]time.Time, pool string, now time.Time) time.Duration {
	start, ok := since[pool]
	if !ok {
		since[pool] = now
		return 0
	}
	return now.Sub(start)
}

// neediest returns the pool that lacks most VMs. A spare pool takes back what others no longer need.
func neediest(views map[string]poolView, arriving map[string]int) (poolView, bool) {
	var best poolView
	bestLack := 0
	for _, name := range sortedNames(views) {
		v := views[name]
		lack := v.wanted - len(v.members) - arriving[name]
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
