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

// foldView is what the engine takes from the fold after a change.
type foldView struct {
	member   fleet.Member
	isMember bool
	vms      map[string]fleet.VM
}

func (e *Engine) readFoldLocked(s *fleet.State) foldView {
	v := foldView{vms: maps.Clone(s.VMs)}
	v.member, v.isMember = s.Members[e.options.Incarnation]
	e.holder.Observe(s, e.options.Incarnation)
	return v
}

// refresh takes members, servers and grants from the fold. It returns an error of kind fenced if this incarnation is barred.
func (e *Engine) refresh() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	err := e.refreshLocked()
	e.dispatchAllLocked()
	return err
}

func (e *Engine) refreshLocked() error {
	var v foldView
	e.options.Store.View(func(s *fleet.State) { v = e.readFoldLocked(s) })
	if e.left {
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

// settleGrants asks for grants and gives back what is unused. It returns once the log has confirmed it, so at most one
// such batch is in flight.
func (e *Engine) settleGrants(ctx context.Context) {
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
	_ = e.refreshLocked() // foldLoop reports the error
	e.dispatchAllLocked()
}

// planGrants returns the commands to submit and stops the tasks above the grants. The commands of a plan whose append failed may
// still take effect; a renewal, which the fold orders behind them, shows what became of them.
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

// stopExcessLocked stops tasks that run above the grants, repeatable ones first and the newest first.
func (e *Engine) stopExcessLocked(excess map[string]int) {
	for team, n := range excess {
		tasks := e.tasksOfLocked(team)
		slices.SortFunc(tasks, func(a, b *task) int {
			if a.repeatable != b.repeatable {
				if a.repeatable {
					return -1
				}
				return 1
			}
			return cmp.Compare(b.number, a.number)
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
			go e.stopAbove(t)
		}
	}
}

// stopAbove checkpoints an overnight task and stops any other one.
func (e *Engine) stopAbove(t *task) {
	ctx, cancel := context.WithTimeout(e.base, e.options.StopGrace)
	defer cancel()
	e.stopTask(ctx, t, t.call.queue.Class == fleet.Overnight)
}

func (e *Engine) tasksOfLocked(team string) []*task {
	var tasks []*task
	for _, t := range e.tasks {
		if t.team == team {
			tasks = append(tasks, t)
		}
	}
	return tasks
}

// renewMember renews the member's lease. A renewal that is not confirmed within the period is sent again by the next call.
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
	// An expiry may come before the renewal in the log. Its grants must be gone here before the lease counts again.
	_ = e.refreshLocked() // foldLoop reports the error
	e.holder.Renewed(sentAt)
}

func (e *Engine) isMember() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.joined
}

// submitWait bounds the submission of commands that other VMs submit as well.
const submitWait = 5 * time.Second

// submitDue submits the expiries and releases of other members.
func (e *Engine) submitDue(ctx context.Context) {
	e.mu.Lock()
	due := e.watcher.DueCommands(time.Now())
	joined := e.joined
	e.mu.Unlock()
	if len(due) == 0 || !joined {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, submitWait)
	defer cancel()
	// Rejections need no answer: another VM was first, or the lease was renewed.
	_, _ = e.options.Submitter.Submit(ctx, due...)
}
