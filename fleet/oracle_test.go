package fleet

import (
	"fmt"
	"maps"
)

// oracle checks each batch against the invariants of docs/design.md, section 6. It computes its own counts and calls no code of
// the fold.
type oracle struct {
	claimant    map[string]string // first claimant of each id, never removed
	closed      map[string]bool
	finished    map[string]bool
	acceptedFor map[uint64]bool // versions for which a change was accepted
	version     uint64
	// The prev fields hold values from before the batch.
	prevGranted      map[string]int    // by team
	prevAvailable    map[string]int    // by pool
	prevPools        map[string]string // by VM
	prevIncarnations map[string]string // highest incarnation by entry VM
	problems         []string
}

func newOracle() *oracle {
	return &oracle{claimant: map[string]string{}, closed: map[string]bool{}, finished: map[string]bool{}, acceptedFor: map[uint64]bool{}, prevGranted: map[string]int{}}
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
			o.checkConfigure(s, c.Configure, results[i])
		case c.Claim != nil:
			o.checkClaim(b.Writer, c.Claim.Team+"/"+c.Claim.RequestID)
		case c.Close != nil:
			o.checkClose(b.Writer, c.Close.Team+"/"+c.Close.RequestID)
		case c.Finish != nil:
			o.finished[c.Finish.Team+"/"+c.Finish.RequestID] = true
		case c.Drain != nil:
			o.checkBudgets(s, c.Drain.VM)
		case c.Move != nil:
			o.checkBudgets(s, c.Move.VM)
		case c.Phase != nil:
			o.checkMoveEnd(s, c.Phase.VM)
		}
	}
	o.checkInvariants(s)
}

// checkConfigure checks that at most one change is accepted for each version, and that a removal of VMs keeps the minimum of their pools.
func (o *oracle) checkConfigure(s *State, c *Configure, r Result) {
	if s.ConfigureResults.ByID[c.ID].Version <= o.version {
		return // a repeat of an earlier change
	}
	if c.Expect != 0 && o.acceptedFor[c.Expect] {
		o.failf("two changes were accepted for version %d", c.Expect)
	}
	o.acceptedFor[c.Expect] = c.Expect != 0
	o.version = s.ConfigureResults.ByID[c.ID].Version
	for _, change := range c.Changes {
		if change.Server != nil && change.Server.Value == nil {
			for name := range s.Config.Pools {
				o.checkRemoval(s, name)
			}
		}
	}
}

func (o *oracle) checkRemoval(s *State, pool string) {
	available, _ := count(s, func(_ string, v VM) bool { return v.Pool == pool })
	if minimum := s.Config.Pools[pool].Min; available < min(minimum, o.prevAvailable[pool]) {
		o.failf("pool %s has %d VMs after a removal, and needs %d", pool, available, minimum)
	}
}

func (o *oracle) checkClaim(writer, key string) {
	if first, ok := o.claimant[key]; ok && first != writer {
		o.failf("%s was claimed by %s and by %s", key, first, writer)
	}
	if o.closed[key] {
		o.failf("%s was claimed after it was closed", key)
	}
	o.claimant[key] = writer
}

func (o *oracle) checkClose(writer, key string) {
	if o.closed[key] {
		return // its claimant has closed it
	}
	if first, ok := o.claimant[key]; ok && first != writer {
		o.failf("%s was closed by %s although %s claimed it", key, writer, first)
	}
	if o.finished[key] {
		o.failf("%s was closed as not run although it had run", key)
	}
	o.closed[key] = true
}

// checkBudgets checks every budget that the VM counts in, after a drain or move of the VM was accepted.
func (o *oracle) checkBudgets(s *State, name string) {
	vm, server := s.VMs[name], s.Config.Servers[name]
	pool, service := s.Config.Pools[vm.Pool], s.Config.Pools[vm.Pool].Service
	available, out := count(s, func(_ string, v VM) bool { return v.Pool == vm.Pool })
	o.checkAtMost("pool", out, pool.MaxUnavailable)
	o.checkAtMost("minimum of the pool", pool.Min, available)
	_, out = count(s, func(_ string, v VM) bool { return s.Config.Pools[v.Pool].Service == service })
	o.checkAtMost("service", out, s.Config.Services[service].MaxUnavailable)
	_, out = count(s, func(n string, _ VM) bool { return s.Config.Servers[n].Rack == server.Rack })
	o.checkAtMost("rack", out, s.Config.Racks[server.Rack].MaxUnavailable)
	_, out = count(s, func(n string, _ VM) bool { return s.Config.Servers[n].DataCentre == server.DataCentre })
	o.checkAtMost("data centre", out, s.Config.DataCentres[server.DataCentre].MaxUnavailable)
}

func (o *oracle) checkAtMost(what string, n, bound int) {
	if n > bound {
		o.failf("budget of the %s: %d, but at most %d", what, n, bound)
	}
}

// checkMoveEnd checks that no planned move ends with a failed VM in its new pool.
func (o *oracle) checkMoveEnd(s *State, name string) {
	if vm := s.VMs[name]; vm.Down && vm.Phase == Serving && o.prevPools[name] != vm.Pool {
		o.failf("VM %s was moved into pool %s while it was down", name, vm.Pool)
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

// checkInvariants checks the invariants that hold after every batch, and records the values that the next check compares with.
func (o *oracle) checkInvariants(s *State) {
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
	o.prevPools, o.prevAvailable = map[string]string{}, map[string]int{}
	for name, v := range s.VMs {
		if _, ok := c.Pools[v.Pool]; !ok {
			o.failf("VM %s is in pool %q, which does not exist", name, v.Pool)
		}
		if _, ok := c.Pools[v.MoveTo]; !ok && v.Phase == "moving" {
			o.failf("VM %s moves to pool %q, which does not exist", name, v.MoveTo)
		}
		o.prevPools[name] = v.Pool
		o.prevAvailable[v.Pool], _ = count(s, func(_ string, w VM) bool { return w.Pool == v.Pool })
	}
	for vm, incarnation := range o.prevIncarnations {
		if s.LastIncarnation[vm] < incarnation {
			o.failf("entry VM %s went back from incarnation %s to %s", vm, incarnation, s.LastIncarnation[vm])
		}
	}
	o.prevIncarnations = maps.Clone(s.LastIncarnation)
	for _, team := range []string{"a", "b"} {
		sum := 0
		for _, g := range s.Grants[team] {
			sum += g.Firm + g.Leased
		}
		if sum > max(c.Teams[team].Limit, o.prevGranted[team]) {
			o.failf("team %s has grants of %d, above its limit of %d and above the %d before", team, sum, c.Teams[team].Limit, o.prevGranted[team])
		}
		o.prevGranted[team] = sum
	}
}
