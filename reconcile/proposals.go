package reconcile

import (
	"context"
	"maps"
	"strconv"
	"time"

	"example.org/comfreyrouter/events"
	"example.org/comfreyrouter/fleet"
	"example.org/comfreyrouter/maintenance"
	"example.org/comfreyrouter/pools"
)

func uitoa(n uint64) string { return strconv.FormatUint(n, 10) }

// platformLive is the platform's state of a VM that is neither leaving nor gone.
const platformLive = "live"

// reportHealth reports a change of a VM's health. A VM is down if the platform lists it in another state than live, or if it has not
// answered for DownAfter. A rebooting VM is not reported down, because it is out of service anyway.
func (r *Reconciler) reportHealth(ctx context.Context, a assignment, err error, platformState string) {
	leaving := platformState != "" && platformState != platformLive
	down := leaving || r.silentFor(a.name, err) >= r.options.DownAfter
	switch {
	case down && !a.vm.Down && a.vm.Phase != fleet.Rebooting:
		if r.submit(ctx, fleet.Command{Health: &fleet.ReportHealth{VM: a.name, Down: true}}) {
			events.Log(r.options.Logger, events.ServerDown, a.name)
		}
	case a.vm.Down && err == nil && !leaving:
		if r.submit(ctx, fleet.Command{Health: &fleet.ReportHealth{VM: a.name}}) {
			events.Log(r.options.Logger, events.ServerUp, a.name)
		}
	}
}

// silentFor returns the time for which a server has not answered. err is the result of the latest call.
func (r *Reconciler) silentFor(name string, err error) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err == nil {
		delete(r.silentSince, name)
		return 0
	}
	since, ok := r.silentSince[name]
	if !ok {
		r.silentSince[name] = time.Now()
		return 0
	}
	return time.Since(since)
}

// platformGone is the platform's state of a VM that no longer exists.
const platformGone = "gone"

// fenceGone fences the members whose entry VM is gone according to the platform, so that their grants are returned.
func (r *Reconciler) fenceGone(ctx context.Context, vmStates map[string]string) {
	gone := map[string]string{} // VM name by incarnation
	r.options.Store.View(func(s *fleet.State) {
		for id, m := range s.Members {
			if !m.Fenced && vmStates[m.VM] == platformGone {
				gone[id] = m.VM
			}
		}
	})
	for id, vm := range gone {
		if r.submit(ctx, fleet.Command{Fence: &fleet.Fence{Incarnation: id}}) {
			events.Log(r.options.Logger, events.MemberFenced, vm, id)
		}
	}
}

// proposeDrains marks running waves that have maintained all their VMs as done, and proposes the next drains of the others.
func (r *Reconciler) proposeDrains(ctx context.Context) {
	var drains []fleet.StartDrain
	runningTasks := r.options.View.RunningTasks()
	var finished []fleet.SetWave
	r.options.Store.View(func(s *fleet.State) {
		drains = maintenance.NextDrains(maintenance.Snapshot{State: s, RunningTasks: runningTasks, Confirmed: true})
		for name, w := range s.Waves {
			if w.State == fleet.WaveRunning && maintenance.Remaining(s, name) == 0 {
				finished = append(finished, fleet.SetWave{Name: name, State: fleet.WaveDone})
			}
		}
	})
	for _, w := range finished {
		r.submit(ctx, fleet.Command{Wave: &w})
	}
	for _, drain := range drains {
		if r.submit(ctx, fleet.Command{Drain: &drain}) {
			events.Log(r.options.Logger, events.DrainStarted, drain.VM, drain.Wave)
		}
	}
}

// proposeMove proposes the next move of a VM to another pool, if one is needed.
func (r *Reconciler) proposeMove(ctx context.Context) {
	var snapshot pools.Snapshot
	r.options.Store.View(func(s *fleet.State) {
		snapshot = pools.Snapshot{Layout: s.Layout, Config: s.Config, VMs: maps.Clone(s.VMs)}
	})
	move, ok := pools.NextMove(snapshot)
	if !ok {
		return
	}
	if r.submit(ctx, fleet.Command{Move: &move}) {
		events.Log(r.options.Logger, events.MoveStarted, move.VM, snapshot.VMs[move.VM].Pool, move.To)
	}
}
