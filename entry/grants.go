package entry

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"example.org/comfreyrouter/errkind"
	"example.org/comfreyrouter/fleet"
)

// fleetView is the part of the fleet's state that the engine copies after a change.
type fleetView struct {
	member   fleet.Member
	isMember bool
	vms      map[string]fleet.VM
}

func (e *Engine) readFleetLocked(s *fleet.State) fleetView {
	v := fleetView{vms: maps.Clone(s.VMs)}
	v.member, v.isMember = s.Members[e.options.Incarnation]
	e.holder.Observe(s, e.options.Incarnation)
	return v
}

// refresh copies membership, servers and grants from the fold. It returns an error of kind fenced if this incarnation was fenced.
func (e *Engine) refresh() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	err := e.refreshLocked()
	e.dispatchAllLocked()
	return err
}

func (e *Engine) refreshLocked() error {
	var v fleetView
	e.options.Store.View(func(s *fleet.State) { v = e.readFleetLocked(s) })
	if e.hasLeft {
		return nil
	}
	if e.joined && !v.isMember || v.member.Fenced {
		e.joined = false
		return errkind.New(errkind.Fenced, "incarnation %s was fenced", e.options.Incarnation)
	}
	e.member, e.joined = v.member, v.isMember
	e.setServersLocked(v.vms)
	return nil
}

// updateGrants requests the grants that are needed and returns unused ones to the fleet. It blocks until the log has confirmed the
// batch, so at most one such batch is in flight.
func (e *Engine) updateGrants(ctx context.Context) {
	commands := e.planGrants(time.Now())
	if len(commands) == 0 {
		return
	}
	if _, err := e.options.Submitter.Submit(ctx, commands...); err != nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.options.Store.View(func(s *fleet.State) { e.holder.Confirmed(s, e.options.Incarnation) })
	_ = e.refreshLocked() // refreshLoop reports the error
	e.dispatchAllLocked()
}

// planGrants returns the commands to submit, and stops the tasks that exceed the grants. Commands of an earlier plan whose append failed
// may still take effect. In that case planGrants returns only a renewal: it comes after them in the log, so once it is read back,
// their results are known.
func (e *Engine) planGrants(now time.Time) []fleet.Command {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.joined {
		return nil
	}
	unconfirmed := e.holder.Pending()
	plan := e.holder.Plan(now)
	e.stopExcessLocked(plan.Stop)
	if unconfirmed {
		return []fleet.Command{{Renew: &fleet.Renew{}}}
	}
	return plan.Commands()
}

// stopExcessLocked stops as many tasks of each team as exceed its grants: repeatable ones first, and the newest first among equals.
// Tasks that are lost or already stopping count as stopped.
func (e *Engine) stopExcessLocked(excess map[string]int) {
	for team, n := range excess {
		tasks := e.teamTasksLocked(team)
		slices.SortFunc(tasks, func(a, b *task) int {
			if a.repeatable != b.repeatable {
				if a.repeatable {
					return -1
				}
				return 1
			}
			return cmp.Compare(b.startSeq, a.startSeq)
		})
		for _, t := range tasks {
			if t.lost || t.stopping {
				n--
			}
		}
		for _, t := range tasks {
			if n <= 0 {
				break
			}
			if t.lost || t.stopping {
				continue
			}
			t.stopping = true
			n--
			go e.evictTask(t)
		}
	}
}

// evictTask sends a checkpoint order for an overnight task, and a stop order for any other one.
func (e *Engine) evictTask(t *task) {
	ctx, cancel := context.WithTimeout(e.baseCtx, e.options.StopGrace)
	defer cancel()
	e.stopTask(ctx, t, t.call.queue.Class == fleet.Overnight)
}

func (e *Engine) teamTasksLocked(team string) []*task {
	var tasks []*task
	for _, t := range e.tasks {
		if t.team == team {
			tasks = append(tasks, t)
		}
	}
	return tasks
}

// renewMember renews the member's lease. A renewal that is not confirmed within renewPeriod is repeated by the next call.
func (e *Engine) renewMember(ctx context.Context) {
	if !e.isMember() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, renewPeriod)
	defer cancel()
	sentAt := time.Now()
	results, err := e.options.Submitter.Submit(ctx, fleet.Command{Renew: &fleet.Renew{}})
	if err != nil || !results[0].OK() {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	// An expiry may precede the renewal in the log. The grants that it removed must be removed here before the lease is extended.
	_ = e.refreshLocked() // refreshLoop reports the error
	e.holder.Renewed(sentAt)
}

func (e *Engine) isMember() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.joined
}

// submitTimeout limits the submission of commands that other VMs submit as well.
const submitTimeout = 5 * time.Second

// submitDueCommands submits the due expiries and releases of other members.
func (e *Engine) submitDueCommands(ctx context.Context) {
	e.mu.Lock()
	commands := e.watcher.DueCommands(time.Now())
	joined := e.joined
	e.mu.Unlock()
	if len(commands) == 0 || !joined {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	// A rejection is harmless: another VM was first, or the lease was renewed.
	_, _ = e.options.Submitter.Submit(ctx, commands...)
}
