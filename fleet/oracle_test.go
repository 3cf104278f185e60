package fleet

import (
	"fmt"
	"maps"
)

// oracle checks each batch against the invariants of docs/design.md, section 6. It counts by itself and calls no code of the
// fold.
type oracle struct {
	claimant map[string]string // first claimant of each id, for ever
	closed   map[string]bool
	finished map[string]bool
	won      map[uint64]bool // versions for which a change was accepted
	version  uint64
	// What follows is as it was before the batch.
	granted   map[string]int    // by team
	available map[string]int    // by pool
	pools     map[string]string // by VM
	latest    map[string]string // highest incarnation by entry VM
	problems  []string
}

func newOracle() *oracle {
	return &oracle{claimant: map[string]string{}, closed: map[string]bool{}, finished: map[string]bool{}, won: map[uint64]bool{}, granted: map[string]int{}}
}

func (o *oracle) failf(format string, args ...any) {
	o.problems = append(o.problems, fmt.Sprintf(format, args...))
}

func (o *oracle) check(s *State, b Batch, results []Result) {
	for i, c := range b.Commands {
		if !results[i].OK() {
			continue
		}
		switch {
		case c.Configure != nil:
			o.configured(s, c.Configure, results[i])
		case c.Claim != nil:
			o.claimed(b.Writer, c.Claim.Team+"/"+c.Claim.RequestID)
		case c.Close != nil:
			o.closedUnrun(b.Writer, c.Close.Team+"/"+c.Close.RequestID)
		case c.Finish != nil:
			o.finished[c.Finish.Team+"/"+c.Finish.RequestID] = true
		case c.Drain != nil:
			o.budgets(s, c.Drain.VM)
		case c.Move != nil:
			o.budgets(s, c.Move.VM)
		case c.Phase != nil:
			o.arrived(s, c.Phase.VM)
		}
	}
	o.always(s)
}

// configured checks that one change at most wins each version, and that removed VMs leave their pools their minimum.
func (o *oracle) configured(s *State, c *Configure, r Result) {
	if s.ConfigureResults.ByID[c.ID].Version <= o.version {
		return // a repeat of an earlier change
	}
	if c.Expect != 0 && o.won[c.Expect] {
		o.failf("two changes were accepted for version %d", c.Expect)
	}
	o.won[c.Expect] = c.Expect != 0
	o.version = s.ConfigureResults.ByID[c.ID].Version
	for _, change := range c.Changes {
		if change.Server != nil && change.Server.Value == nil {
			for name := range s.Config.Pools {
				o.removed(s, name)
			}
		}
	}
}

func (o *oracle) removed(s *State, pool string) {
	available, _ := count(s, func(_ string, v VM) bool { return v.Pool == pool })
	if minimum := s.Config.Pools[pool].Min; available < min(minimum, o.available[pool]) {
		o.failf("pool %s has %d VMs after a removal, and needs %d", pool, available, minimum)
	}
}

func (o *oracle) claimed(writer, key string) {
	if first, ok := o.claimant[key]; ok && first != writer {
		o.failf("%s was claimed by %s and by %s", key, first, writer)
	}
	if o.closed[key] {
		o.failf("%s was claimed after it was closed", key)
	}
	o.claimant[key] = writer
}

func (o *oracle) closedUnrun(writer, key string) {
	if o.closed[key] {
		return // its claimant has closed it
	}
	if first, ok := o.claimant[key]; ok && first != writer {
		o.failf("%s was closed by %s although %s claimed it", key, writer, first)
	}
	if o.finished[key] {
		o.failf("%s was closed unrun although it had run", key)
	}
	o.closed[key] = true
}

// budgets checks every budget that the VM counts in, after a drain or a move of it was accepted.
func (o *oracle) budgets(s *State, name string) {
	vm, server := s.VMs[name], s.Config.Servers[name]
	pool, service := s.Config.Pools[vm.Pool], s.Config.Pools[vm.Pool].Service
	available, out := count(s, func(_ string, v VM) bool { return v.Pool == vm.Pool })
	o.atMost("pool", out, pool.MaxUnavailable)
	o.atMost("minimum of the pool", pool.Min, available)
	_, out = count(s, func(_ string, v VM) bool { return s.Config.Pools[v.Pool].Service == service })
	o.atMost("service", out, s.Config.Services[service].MaxUnavailable)
	_, out = count(s, func(n string, _ VM) bool { return s.Config.Servers[n].Rack == server.Rack })
	o.atMost("rack", out, s.Config.Racks[server.Rack].MaxUnavailable)
	_, out = count(s, func(n string, _ VM) bool { return s.Config.Servers[n].DataCentre == server.DataCentre })
	o.atMost("data centre", out, s.Config.Centres[server.DataCentre].MaxUnavailable)
}

func (o *oracle) atMost(what string, n, bound int) {
	if n > bound {
		o.failf("budget of the %s: %d, but at most %d", what, n, bound)
	}
}

// arrived checks that a planned move brings no failed VM into a pool.
func (o *oracle) arrived(s *State, name string) {
	if vm := s.VMs[name]; vm.Down && vm.Phase == Serving && o.pools[name] != vm.Pool {
		o.failf("VM %s arrived in pool %s while it was down", name, vm.Pool)
	}
}

func count(s *State, in func(string, VM) bool) (available, out int) {
	for name, v := range s.VMs {
		switch {
		case !in(name, v):
		case v.Phase == "serving" && !v.Down:
			available++
		default:
			out++
		}
	}
	return available, out
}

// always checks what holds after each batch, and keeps what the next check compares with.
func (o *oracle) always(s *State) {
	c := s.Config
	if _, ok := c.Presets[c.InForce]; !ok || c.InForce == "" {
		o.failf("preset %q is in force and does not exist", c.InForce)
	}
	if c.Version < o.version {
		o.failf("version %d came after %d", c.Version, o.version)
	}
	o.version = c.Version
	if len(s.VMs) != len(c.Servers) {
		o.failf("%d VMs for %d declared servers", len(s.VMs), len(c.Servers))
	}
	o.pools, o.available = map[string]string{}, map[string]int{}
	for name, v := range s.VMs {
		if _, ok := c.Pools[v.Pool]; !ok {
			o.failf("VM %s is in pool %q, which does not exist", name, v.Pool)
		}
		if _, ok := c.Pools[v.MoveTo]; !ok && v.Phase == "moving" {
			o.failf("VM %s moves to pool %q, which does not exist", name, v.MoveTo)
		}
		o.pools[name] = v.Pool
		o.available[v.Pool], _ = count(s, func(_ string, w VM) bool { return w.Pool == v.Pool })
	}
	for vm, incarnation := range o.latest {
		if s.LastIncarnation[vm] < incarnation {
			o.failf("entry VM %s went back from incarnation %s to %s", vm, incarnation, s.LastIncarnation[vm])
		}
	}
	o.latest = maps.Clone(s.LastIncarnation)
	for _, team := range []string{"a", "b"} {
		sum := 0
		for _, g := range s.Grants[team] {
			sum += g.Firm + g.Leased
		}
		if sum > max(c.Teams[team].Limit, o.granted[team]) {
			o.failf("team %s has grants of %d, above its limit of %d and above the %d before", team, sum, c.Teams[team].Limit, o.granted[team])
		}
		o.granted[team] = sum
	}
}
