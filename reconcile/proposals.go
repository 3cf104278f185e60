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

// listedLive is the word of the platform's list for a VM that is neither leaving nor gone.
const listedLive = "live"

// reportHealth reports a change of a VM's health. A VM is down if the platform calls it leaving or gone, or if it has not answered for
// DownAfter; a rebooting one is out of service anyway.
func (r *Reconciler) reportHealth(ctx context.Context, a assignment, err error, listed string) {
	leaving := listed != "" && listed != listedLive
	down := leaving || r.silentFor(a.name, err) >= r.o.DownAfter
	switch {
	case down && !a.vm.Down && a.vm.Phase != fleet.Rebooting:
		if r.submit(ctx, fleet.Command{Health: &fleet.ReportHealth{VM: a.name, Down: true}}) {
			events.Log(r.o.Logger, events.ServerDown, a.name)
		}
	case a.vm.Down && err == nil && !leaving:
		if r.submit(ctx, fleet.Command{Health: &fleet.ReportHealth{VM: a.name}}) {
			events.Log(r.o.Logger, events.ServerUp, a.name)
		}
	}
}

// silentFor returns for how long a server has not answered.
func (r *Reconciler) silentFor(name string, err error) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err == nil {
		delete(r.silent, name)
		return 0
	}
	since, ok := r.silent[name]
	if !ok {
		r.silent[name] = time.Now()
		return 0
	}
	return time.Since(since)
}

// listedGone is the word of the platform's list for a VM that no longer exists.
const listedGone = "gone"

// fenceGone bars the members whose entry VM the platform calls gone, so that their grants come back.
func (r *Reconciler) fenceGone(ctx context.Context, listed map[string]string) {
	gone := map[string]string{} // VM by incarnation
	r.o.Store.View(func(s *fleet.State) {
		for id, m := range s.Members {
			if !m.Fenced && listed[m.VM] == listedGone {
				gone[id] = m.VM
			}
		}
	})
	for id, vm := range gone {
		if r.submit(ctx, fleet.Command{Fence: &fleet.Fence{Incarnation: id}}) {
			events.Log(r.o.Logger, events.MemberFenced, vm, id)
		}
	}
}

// askForDrains asks the fold for the next drain slots of the running waves.
func (r *Reconciler) askForDrains(ctx context.Context) {
	var asks []fleet.StartDrain
	busy := r.o.View.RunningTasks()
	var finished []fleet.SetWave
	r.o.Store.View(func(s *fleet.State) {
		asks = maintenance.NextDrains(maintenance.Snapshot{State: s, RunningTasks: busy, Confirmed: true})
		for name, w := range s.Waves {
			if w.State == fleet.WaveRunning && maintenance.Remaining(s, name) == 0 {
				finished = append(finished, fleet.SetWave{Name: name, State: fleet.WaveDone})
			}
		}
	})
	for _, w := range finished {
		r.submit(ctx, fleet.Command{Wave: &w})
	}
	for _, ask := range asks {
		if r.submit(ctx, fleet.Command{Drain: &ask}) {
			events.Log(r.o.Logger, events.DrainStarted, ask.VM, ask.Wave)
		}
	}
}

// askForMove asks the fold for the next move.
func (r *Reconciler) askForMove(ctx context.Context) {
	var snapshot pools.Snapshot
	r.o.Store.View(func(s *fleet.State) {
		snapshot = pools.Snapshot{Layout: s.Layout, Config: s.Config, VMs: maps.Clone(s.VMs)}
	})
	move, ok := pools.NextMove(snapshot)
	if !ok {
		return
	}
	if r.submit(ctx, fleet.Command{Move: &move}) {
		events.Log(r.o.Logger, events.MoveStarted, move.VM, snapshot.VMs[move.VM].Pool, move.To)
	}
}
