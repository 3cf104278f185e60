package entry

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"example.org/comfreyrouter/errkind"
	"example.org/comfreyrouter/fleet"
	"example.org/comfreyrouter/limits"
)

// foldView is what the engine takes from the fold after a change.
type foldView struct {
	member    fleet.Member
	isMember  bool
	vms       map[string]fleet.VM
	grants    map[string]fleet.Grant
	contested map[string]bool
	room      map[string]bool // teams of which some of the limit is not granted
	excess    map[string]*limits.Excess
}

func (e *Engine) readFold(s *fleet.State) foldView {
	self := e.options.Incarnation
	v := foldView{
		vms: maps.Clone(s.VMs), grants: map[string]fleet.Grant{},
		contested: map[string]bool{}, room: map[string]bool{}, excess: map[string]*limits.Excess{},
	}
	v.member, v.isMember = s.Members[self]
	for name, team := range s.Config.Teams {
		granted := s.Granted(name)
		v.room[name] = granted < team.Limit
		if granted > team.Limit {
			v.excess[name] = &limits.Excess{
				Most:  max(0, team.Limit-(granted-s.GrantOf(name, self).Total())),
				Share: s.ShareOfLimit(name, self),
			}
		}
	}
	for team, holders := range s.Grants {
		for incarnation, g := range holders {
			switch {
			case incarnation == self:
				v.grants[team] = g
			case g.Want > g.Total():
				v.contested[team] = true
			}
		}
	}
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
	e.options.Store.View(func(s *fleet.State) { v = e.readFold(s) })
	if e.left {
		return nil
	}
	if e.joined && !v.isMember || v.member.Fenced {
		e.joined = false
		return errkind.New(errkind.Fenced, "incarnation %s was fenced", e.options.Incarnation)
	}
	e.member, e.joined = v.member, v.isMember
	e.room = v.room
	for team := range e.options.Store.Config().Teams {
		e.holder.SetExcess(team, v.excess[team])
	}
	e.setServersLocked(v.vms)
	e.setGrantsLocked(v)
	return nil
}

// setGrantsLocked hands the grants to the holder, lowered by give-backs in flight: once a give-back was sent it may take effect at
// any time, and the part given back may then be running elsewhere.
func (e *Engine) setGrantsLocked(v foldView) {
	for team := range e.grants {
		if _, ok := v.grants[team]; !ok {
			e.holder.SetGrant(team, fleet.Grant{}, v.contested[team])
		}
	}
	e.grants = v.grants
	for team, g := range v.grants {
		if most, ok := e.giving[team]; ok {
			g = lowered(g, most)
			e.grants[team] = g
		}
		e.holder.SetGrant(team, g, v.contested[team])
	}
}

func lowered(g fleet.Grant, most int) fleet.Grant {
	g.Firm = min(g.Firm, most)
	g.Leased = min(g.Leased, most-g.Firm)
	return g
}

// reaskPeriod is how often a want that is not met is stated again while some of the limit is free.
const reaskPeriod = 500 * time.Millisecond

// settleGrants asks for grants and gives back what is unused. It returns once the log has confirmed it, so at most one
// such batch is in flight.
func (e *Engine) settleGrants(ctx context.Context) {
	commands := e.planGrants(time.Now())
	if len(commands) == 0 {
		return
	}
	sentAt := time.Now()
	results, err := e.options.Submitter.Submit(ctx, commands...)
	if err != nil {
		// Give-backs may still take effect. They are lifted after the next batch, which the fold orders behind them.
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.giving = map[string]int{}
	_ = e.refreshLocked() // foldLoop reports the error
	for i, c := range commands {
		if c.Ask != nil && results[i].OK() {
			e.holder.Renewed(sentAt)
		}
	}
	e.dispatchAllLocked()
}

// planGrants returns the commands to submit, lowers the grants that are given back, and stops the tasks above the grants.
func (e *Engine) planGrants(now time.Time) []fleet.Command {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.joined {
		return nil
	}
	plan := e.holder.Plan(now)
	e.stopExcessLocked(plan.Stop)
	config := e.options.Store.Config()
	// A team that is not configured any more is granted nothing, and would be asked for without end.
	plan.Ask = slices.DeleteFunc(plan.Ask, func(t fleet.TeamCount) bool {
		_, ok := config.Teams[t.Team]
		return !ok
	})
	asks := e.reaskLocked(plan.Ask, now)
	var commands []fleet.Command
	if len(plan.GiveBack) > 0 {
		commands = append(commands, fleet.Command{GiveBack: &fleet.GiveBack{Keep: plan.GiveBack}})
	}
	if len(asks) > 0 {
		commands = append(commands, fleet.Command{Ask: &fleet.AskGrants{Wants: asks}})
	}
	for _, keep := range plan.GiveBack {
		e.giving[keep.Team] = keep.Count
		e.grants[keep.Team] = lowered(e.grants[keep.Team], keep.Count)
		e.holder.SetGrant(keep.Team, e.grants[keep.Team], false)
	}
	return commands
}

// reaskLocked adds the wants that were stated before and not met, if some of the team's limit has become free. The fold grants
// only when it is asked.
func (e *Engine) reaskLocked(asks []fleet.TeamCount, now time.Time) []fleet.TeamCount {
	if now.Sub(e.askedAt) < reaskPeriod {
		return asks
	}
	for _, team := range slices.Sorted(maps.Keys(e.waiting)) {
		want := e.holder.Running(team) + e.waiting[team]
		asked := slices.ContainsFunc(asks, func(t fleet.TeamCount) bool { return t.Team == team })
		if e.waiting[team] > 0 && e.room[team] && !asked && want > e.grants[team].Total() {
			asks = append(asks, fleet.TeamCount{Team: team, Count: want})
			e.askedAt = now
		}
	}
	return asks
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
	due := e.watcher.Due(time.Now())
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
