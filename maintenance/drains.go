// Package maintenance decides which backend server VM of a running wave is drained next, and when a drain is abandoned. A wave is an
// operator's order to maintain each VM of some pools, or of all pools, once. A drain keeps new tasks from a VM until it is empty and can be
// rebooted.
package maintenance

import (
	"slices"

	"example.org/comfreyrouter/fleet"
)

// Snapshot is the input of a decision. It shares maps with the state and must only be used under the state's lock.
type Snapshot struct {
	State *fleet.State
	// RunningTasks is the number of running tasks of each backend server.
	RunningTasks map[string]int
	// Confirmed is set if the log has been read so recently that the state counts as current. Otherwise no new drain starts.
	Confirmed bool
}

// NextDrains returns the drains to propose, at most as many as the preset in force still allows and one per pool. If several entry VMs
// propose drains at the same time, the fold accepts those that the budgets allow. VMs with the fewest running tasks come first, because they
// are empty sooner.
func NextDrains(s Snapshot) []fleet.StartDrain {
	preset := s.State.Config.Preset()
	if !s.Confirmed || !preset.Maintenance {
		return nil
	}
	freeSlots := preset.MaxDrains - s.State.DrainsInProgress()
	var drains []fleet.StartDrain
	chosen := map[string]bool{} // pools for which this call has chosen a drain
	for _, c := range candidates(s) {
		if len(drains) >= freeSlots {
			break
		}
		pool := s.State.VMs[c.VM].Pool
		if chosen[pool] || !s.State.CheckDisruption(c.VM).OK() {
			continue
		}
		chosen[pool] = true
		drains = append(drains, c)
	}
	return drains
}

// candidates returns a drain for each available VM of the running waves that has not been maintained yet, fewest running tasks first.
func candidates(s Snapshot) []fleet.StartDrain {
	var drains []fleet.StartDrain
	for name, w := range s.State.Waves {
		if w.State != fleet.WaveRunning {
			continue
		}
		for vm, v := range s.State.VMs {
			inWave := len(w.Pools) == 0 || slices.Contains(w.Pools, v.Pool)
			if inWave && v.Available() && !w.Maintained[vm] {
				drains = append(drains, fleet.StartDrain{VM: vm, Epoch: v.Epoch, Wave: name})
			}
		}
	}
	slices.SortFunc(drains, func(a, b fleet.StartDrain) int {
		if s.RunningTasks[a.VM] != s.RunningTasks[b.VM] {
			return s.RunningTasks[a.VM] - s.RunningTasks[b.VM]
		}
		if a.VM < b.VM {
			return -1
		}
		if a.VM > b.VM {
			return 1
		}
		return 0
	})
	return drains
}

// ShouldAbandon reports whether the drain of a VM must end, and why: its wave is no longer running, the preset allows no maintenance, or
// a budget no longer holds, for example after unplanned failures. Only a draining VM is affected. A reboot is never abandoned, because
// that wouldn't bring the VM back sooner.
func ShouldAbandon(s *fleet.State, vm string) (reason string, abandon bool) {
	v, ok := s.VMs[vm]
	if !ok || v.Phase != fleet.Draining {
		return "", false
	}
	if v.Wave != "" && s.Waves[v.Wave].State != fleet.WaveRunning {
		return "the wave is " + string(s.Waves[v.Wave].State), true
	}
	if !s.Config.Preset().Maintenance {
		return "preset " + s.Config.InForce + " allows no maintenance", true
	}
	if r := s.CheckDisruption(vm); !r.OK() {
		return r.Message, true
	}
	return "", false
}

// Remaining returns the number of VMs of a wave that have not been maintained yet.
func Remaining(s *fleet.State, wave string) int {
	w := s.Waves[wave]
	n := 0
	for name, v := range s.VMs {
		inWave := len(w.Pools) == 0 || slices.Contains(w.Pools, v.Pool)
		if inWave && !w.Maintained[name] {
			n++
		}
	}
	return n
}
