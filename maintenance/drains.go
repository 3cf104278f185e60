// Package maintenance decides which VM of a running wave is drained next and when a drain is given up.
package maintenance

import (
	"slices"

	"example.org/comfreyrouter/fleet"
)

// Snapshot is what a decision is made from. It shares maps with the state and must be used under its lock.
type Snapshot struct {
	State *fleet.State
	// RunningTasks is the number of running tasks of each backend server.
	RunningTasks map[string]int
	// Confirmed says that the view was confirmed by the log a moment ago. Nothing new is drained otherwise.
	Confirmed bool
}

// NextDrains returns the drains to ask for, at most as many as the preset in force leaves room for. The fold decides: of two VMs that
// ask at once, it grants what the budgets allow. VMs with few running tasks come first, since they are empty sooner.
func NextDrains(s Snapshot) []fleet.StartDrain {
	preset := s.State.Config.Preset()
	if !s.Confirmed || !preset.Maintenance {
		return nil
	}
	room := preset.MaxDrains - s.State.DrainsInProgress()
	var asks []fleet.StartDrain
	taken := map[string]bool{} // pools that have an ask in this round
	for _, c := range candidates(s) {
		if len(asks) >= room {
			break
		}
		pool := s.State.VMs[c.VM].Pool
		if taken[pool] || !s.State.CheckDisruption(c.VM).OK() {
			continue
		}
		taken[pool] = true
		asks = append(asks, c)
	}
	return asks
}

// candidates returns the VMs of running waves that have not been maintained, fewest running tasks first.
func candidates(s Snapshot) []fleet.StartDrain {
	var out []fleet.StartDrain
	for name, w := range s.State.Waves {
		if w.State != fleet.WaveRunning {
			continue
		}
		for vm, v := range s.State.VMs {
			inWave := len(w.Pools) == 0 || slices.Contains(w.Pools, v.Pool)
			if inWave && v.Available() && !w.Maintained[vm] {
				out = append(out, fleet.StartDrain{VM: vm, Epoch: v.Epoch, Wave: name})
			}
		}
	}
	slices.SortFunc(out, func(a, b fleet.StartDrain) int {
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
	return out
}

// ShouldAbandon reports whether the drain of a VM must end because a budget no longer holds, for example after unplanned failures. A VM
// that is rebooting cannot come back sooner, so only a draining one is given up.
func ShouldAbandon(s *fleet.State, vm string) (reason string, giveUp bool) {
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

// Remaining returns how many VMs of a wave still have to be maintained.
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
