package fleet

import "example.org/comfreyrouter/errkind"

// CheckDisruption checks that every availability budget would hold without the VM. The VM itself need not be available now.
func (s *State) CheckDisruption(name string) Result { return s.checkBudgets(s.Config, name) }

// DrainsInProgress returns the number of VMs that are being drained or rebooted for maintenance.
func (s *State) DrainsInProgress() int { return s.countDrains() }

// checkBudgets checks that the VM may become unavailable under configuration c: no budget of its pool, service, rack and data
// centre may be exceeded, where every other unavailable VM counts, planned or not.
func (s *State) checkBudgets(c *Config, name string) Result {
	vm := s.VMs[name]
	server := s.declaration(c, name)
	pool, poolKept := c.Pools[vm.Pool]
	out := s.countUnavailable(c, name)
	remaining := 0
	for other, v := range s.VMs {
		if other != name && v.Pool == vm.Pool && s.remainsAvailable(c, other) {
			remaining++
		}
	}
	if remaining < pool.Min {
		return reject(errkind.BudgetExceeded, "pool %q needs %d VMs and would have %d", vm.Pool, pool.Min, remaining)
	}
	// A pool that is removed together with its VMs has no budget.
	if poolKept && out.pool+1 > pool.MaxUnavailable {
		return reject(errkind.BudgetExceeded, "pool %q has %d VMs unavailable of at most %d", vm.Pool, out.pool, pool.MaxUnavailable)
	}
	if svc, ok := c.Services[pool.Service]; ok && out.service+1 > svc.MaxUnavailable {
		return reject(errkind.BudgetExceeded, "service %q has %d VMs unavailable of at most %d", pool.Service, out.service, svc.MaxUnavailable)
	}
	if rack, ok := c.Racks[server.Rack]; ok && out.rack+1 > rack.MaxUnavailable {
		return reject(errkind.BudgetExceeded, "rack %q has %d VMs unavailable of at most %d", server.Rack, out.rack, rack.MaxUnavailable)
	}
	if dc, ok := c.DataCentres[server.DataCentre]; ok && out.dataCentre+1 > dc.MaxUnavailable {
		return reject(errkind.BudgetExceeded, "data centre %q has %d VMs unavailable of at most %d", server.DataCentre, out.dataCentre, dc.MaxUnavailable)
	}
	return Result{}
}

// unavailableCounts holds the number of unavailable VMs in the pool, service, rack and data centre of one VM.
type unavailableCounts struct{ pool, service, rack, dataCentre int }

// countUnavailable counts the VMs other than except that are unavailable or not declared in c, in except's pool, service, rack and
// data centre.
func (s *State) countUnavailable(c *Config, except string) unavailableCounts {
	var out unavailableCounts
	own := s.VMs[except]
	server := s.declaration(c, except)
	service := c.Pools[own.Pool].Service
	for name, v := range s.VMs {
		if name == except || s.remainsAvailable(c, name) {
			continue
		}
		other := s.declaration(c, name)
		if v.Pool == own.Pool {
			out.pool++
		}
		if c.Pools[v.Pool].Service == service {
			out.service++
		}
		if other.Rack == server.Rack {
			out.rack++
		}
		if other.DataCentre == server.DataCentre {
			out.dataCentre++
		}
	}
	return out
}

// remainsAvailable reports whether a VM is available and still declared in c.
func (s *State) remainsAvailable(c *Config, name string) bool {
	_, ok := c.Servers[name]
	return ok && s.VMs[name].Available()
}

// declaration returns the declaration of a VM in c, or the one in force if c removes it.
func (s *State) declaration(c *Config, name string) BackendServer {
	if server, ok := c.Servers[name]; ok {
		return server
	}
	return s.Config.Servers[name]
}

// reportHealth records an unplanned failure or its end. It checks no budget, because the failure has already happened.
func (s *State) reportHealth(c *ReportHealth) Result {
	vm, ok := s.VMs[c.VM]
	if !ok {
		return reject(errkind.NotFound, "VM %q is not declared", c.VM)
	}
	vm.Down = c.Down
	s.VMs[c.VM] = vm
	return Result{}
}

// startDrain puts a serving VM into Draining if the preset, its drain limit, the wave and every budget allow it.
func (s *State) startDrain(c *StartDrain) Result {
	vm, r := s.vmAtEpoch(c.VM, c.Epoch)
	if !r.OK() {
		return r
	}
	if vm.Phase != Serving {
		return reject(errkind.VersionConflict, "VM %q is %s", c.VM, vm.Phase)
	}
	preset := s.Config.Preset()
	if !preset.Maintenance {
		return reject(errkind.BudgetExceeded, "preset %q allows no maintenance", s.Config.InForce)
	}
	if s.countDrains() >= preset.MaxDrains {
		return reject(errkind.BudgetExceeded, "%d VMs are being drained already", preset.MaxDrains)
	}
	if c.Wave != "" && s.Waves[c.Wave].State != WaveRunning {
		return reject(errkind.BudgetExceeded, "wave %q is not running", c.Wave)
	}
	if r := s.checkBudgets(s.Config, c.VM); !r.OK() {
		return r
	}
	vm.Wave = c.Wave
	s.setPhase(c.VM, vm, Draining)
	return Result{}
}

func (s *State) countDrains() int {
	n := 0
	for _, v := range s.VMs {
		if v.Phase == Draining || v.Phase == Rebooting {
			n++
		}
	}
	return n
}

// advancePhase puts a VM into its next phase. Draining is followed by Rebooting once the VM is empty, or by Serving if the drain is
// abandoned; Rebooting by Serving; Moving by Serving in the new pool once the VM is confirmed empty, or in the old pool if the
// move is abandoned.
func (s *State) advancePhase(c *AdvancePhase) Result {
	vm, r := s.vmAtEpoch(c.VM, c.Epoch)
	if !r.OK() {
		return r
	}
	switch {
	case vm.Phase == Draining && c.To == Rebooting:
	case vm.Phase == Draining && c.To == Serving:
		vm.Wave = ""
	case vm.Phase == Rebooting && c.To == Serving:
		s.markMaintained(c, vm)
		vm.Wave = ""
	case vm.Phase == Moving && c.To == Serving:
		if vm.Down && !c.Abandon {
			return reject(errkind.BudgetExceeded, "VM %q is down and would count as unavailable in pool %q", c.VM, vm.MoveTo)
		}
		if !c.Abandon {
			vm.Pool = vm.MoveTo
		}
		vm.MoveTo = ""
		s.Layout++
	default:
		return reject(errkind.VersionConflict, "VM %q cannot go from %s to %s", c.VM, vm.Phase, c.To)
	}
	s.setPhase(c.VM, vm, c.To)
	return Result{}
}

func (s *State) markMaintained(c *AdvancePhase, vm VM) {
	w, ok := s.Waves[vm.Wave]
	if !ok || !c.Maintained {
		return
	}
	if w.Maintained == nil {
		w.Maintained = map[string]bool{}
	}
	w.Maintained[c.VM] = true
	s.Waves[vm.Wave] = w
}

// startMove starts to move a VM out of its pool. It increments the layout epoch, as the end of a move does. Of several moves that
// were planned for the same layout only the first is therefore accepted, and the others must be planned again.
func (s *State) startMove(c *StartMove) Result {
	vm, r := s.vmAtEpoch(c.VM, c.Epoch)
	if !r.OK() {
		return r
	}
	if c.Layout != s.Layout {
		return reject(errkind.VersionConflict, "the move was planned for layout %d, but %d is in force", c.Layout, s.Layout)
	}
	if _, ok := s.Config.Pools[c.To]; !ok {
		return reject(errkind.NotFound, "pool %q does not exist", c.To)
	}
	if vm.Phase != Serving || c.To == vm.Pool {
		return reject(errkind.VersionConflict, "VM %q is %s in pool %q", c.VM, vm.Phase, vm.Pool)
	}
	if r := s.checkBudgets(s.Config, c.VM); !r.OK() {
		return r
	}
	vm.MoveTo = c.To
	s.setPhase(c.VM, vm, Moving)
	s.Layout++
	return Result{}
}

func (s *State) vmAtEpoch(name string, epoch uint64) (VM, Result) {
	vm, ok := s.VMs[name]
	if !ok {
		return VM{}, reject(errkind.NotFound, "VM %q is not declared", name)
	}
	if vm.Epoch != epoch {
		return VM{}, reject(errkind.VersionConflict, "VM %q is at phase epoch %d, not %d", name, vm.Epoch, epoch)
	}
	return vm, Result{}
}

func (s *State) setPhase(name string, vm VM, to Phase) {
	vm.Phase = to
	vm.Epoch++
	s.VMs[name] = vm
}
