// Package limits implements an entry VM's part in enforcing the teams' upper limits: which tasks it may start under its
// grants, which grants it requests and returns, and when the leases on other members' grants have expired.
package limits

import (
	"maps"
	"slices"
	"time"

	"example.org/comfreyrouter/fleet"
)

// Defaults of Options.
const (
	// DefaultLease is how long a member's leased grants stay valid after a renewal.
	DefaultLease = 10 * time.Minute
	// DefaultClockDriftDivisor is the inverse of the largest relative difference between the rates of two clocks.
	DefaultClockDriftDivisor = 1000
	// DefaultTaskLease is the longest time that a task runs on a backend server after its holder's last renewal.
	DefaultTaskLease = 15 * time.Second
	// DefaultIdleWindow is how long a grant stays unused before it is returned for the team's other holders.
	DefaultIdleWindow = 2 * time.Second
	// DefaultContactWindow is the age up to which answers of a majority of the data centres count as contact. It must be
	// shorter than the time for which peers report that a VM reads the log; see Watcher.MajorityContact.
	DefaultContactWindow = 3 * time.Second
)

// Options configures a Holder and a Watcher. The Default constants describe the durations.
type Options struct {
	Lease             time.Duration
	TaskLease         time.Duration
	ClockDriftDivisor int // inverse of the largest relative difference between two clock rates
	IdleWindow        time.Duration
	ContactWindow     time.Duration
}

// DefaultOptions returns the default settings.
func DefaultOptions() Options {
	return Options{
		Lease:             DefaultLease,
		TaskLease:         DefaultTaskLease,
		ClockDriftDivisor: DefaultClockDriftDivisor,
		IdleWindow:        DefaultIdleWindow,
		ContactWindow:     DefaultContactWindow,
	}
}

// shortened returns d less the largest clock drift. The holder of a lease uses it, so that its lease ends first.
func (o Options) shortened(d time.Duration) time.Duration {
	return d - d/time.Duration(o.ClockDriftDivisor)
}

// lengthened returns d plus the largest clock drift, for everyone who waits for another's lease to end.
func (o Options) lengthened(d time.Duration) time.Duration {
	return d + d/time.Duration(o.ClockDriftDivisor)
}

// Holder counts the tasks that one entry VM runs under its grants. A task counts until its end is confirmed or its lease has ended.
type Holder struct {
	options      Options
	teams        map[string]*teamUse
	leaseEnd     time.Time
	planPending  bool // a plan's commands have been appended, but not confirmed
	planRequests bool // the pending plan requests grants, which renews the lease
	plannedAt    time.Time
}

// NewHolder returns a Holder without grants.
func NewHolder(o Options) *Holder { return &Holder{options: o, teams: map[string]*teamUse{}} }

// Renewed records a confirmed renewal that was sent at sentAt. The lease counts from sentAt, so that it ends here before it ends for
// any other member.
func (h *Holder) Renewed(sentAt time.Time) {
	end := sentAt.Add(h.options.shortened(h.options.Lease))
	if end.After(h.leaseEnd) {
		h.leaseEnd = end
	}
}

// RenewedByPeers renews the lease during a log outage of the whole fleet, because every live member has answered a heartbeat sent
// at askedAt or later; see keys.View.FleetOutageSince. It does not renew a lease that has ended: a member may have sent an
// expiry and crashed, so that it does not answer, and its append may still arrive.
func (h *Holder) RenewedByPeers(askedAt, now time.Time) {
	if now.Before(h.leaseEnd) {
		h.Renewed(askedAt)
	}
}

// LeaseEnd returns when the lease on the grants ends.
func (h *Holder) LeaseEnd() time.Time { return h.leaseEnd }

// TaskLeaseEnd returns until when a task may run on its server if it is started or renewed at now. rank is the task's position
// among the counted tasks of its team, from 0 in the order of their starts. Only as many tasks as the firm part of the grant
// allows may outlive the lease on the grants.
func (h *Holder) TaskLeaseEnd(team string, rank int, now time.Time) time.Time {
	end := now.Add(h.options.TaskLease)
	if rank >= h.team(team).firm() && end.After(h.leaseEnd) {
		return h.leaseEnd
	}
	return end
}

// Observe reads the grants of all teams from the fold's state. self is the holder's incarnation.
func (h *Holder) Observe(s *fleet.State, self string) {
	for name := range s.Config.Teams {
		h.team(name)
	}
	for name := range s.Grants {
		h.team(name)
	}
	for name, t := range h.teams {
		t.observe(s, name, self)
	}
}

// Pending reports whether the commands of a plan wait for their confirmation.
func (h *Holder) Pending() bool { return h.planPending }

// ReturnPending reports whether a return of the team's grants waits for its confirmation.
func (h *Holder) ReturnPending(team string) bool { return h.team(team).returning }

// Confirmed takes a state in which the commands of the last plan have been applied or can no longer be applied. If their append
// failed, any later applied batch of the same writer shows that. Until Confirmed is called, Plan returns no further commands
// and the grants to return are not used.
func (h *Holder) Confirmed(s *fleet.State, self string) {
	h.Observe(s, self)
	if !h.planPending {
		return
	}
	h.planPending = false
	for _, t := range h.teams {
		t.returning = false
	}
	if h.planRequests {
		h.Renewed(h.plannedAt)
	}
}

// Allowed returns how many tasks of a team may run now.
func (h *Holder) Allowed(team string, now time.Time) int {
	return h.team(team).allowed(now.Before(h.leaseEnd))
}

// MayStart reports whether the team may start one more task. It may not above a lowered limit, nor above the fair share while
// another holder lacks its own; running tasks may go on in both cases.
func (h *Holder) MayStart(team string, now time.Time) bool {
	t := h.team(team)
	return t.running < t.startLimit(now.Before(h.leaseEnd))
}

// Start counts one more task if the team may start it, and reports whether it may.
func (h *Holder) Start(team string, now time.Time) bool {
	if !h.MayStart(team, now) {
		return false
	}
	t := h.team(team)
	t.running++
	t.peaks[0] = max(t.peaks[0], t.running)
	return true
}

// End stops counting a task. It is called once the end of the task is confirmed or its own lease has ended.
func (h *Holder) End(team string) { h.team(team).running-- }

// Running returns the number of counted tasks of a team.
func (h *Holder) Running(team string) int { return h.team(team).running }

// SetWaiting sets the number of waiting requests of a team.
func (h *Holder) SetWaiting(team string, n int) { h.team(team).waiting = n }

// Plan holds the grants that a holder requests and returns, and the tasks that it must stop.
type Plan struct {
	Requests []fleet.TeamCount // total that the holder wants, by team
	Returns  []fleet.TeamCount // what the holder keeps, by team
	// Stop is the number of tasks, by team, that exceed what is allowed and must be checkpointed or stopped.
	Stop map[string]int
}

// Commands returns the plan's commands for one batch. It is empty if the plan neither requests nor returns grants.
func (p Plan) Commands() []fleet.Command {
	var commands []fleet.Command
	if len(p.Returns) > 0 {
		commands = append(commands, fleet.Command{ReturnGrants: &fleet.ReturnGrants{Keep: p.Returns}})
	}
	if len(p.Requests) > 0 {
		commands = append(commands, fleet.Command{RequestGrants: &fleet.RequestGrants{Wants: p.Requests}})
	}
	return commands
}

// Plan returns the grants to request and to return, and the tasks to stop. If the plan has commands, the caller appends them to
// the log and calls Confirmed once their outcome is known.
func (h *Holder) Plan(now time.Time) Plan {
	plan := Plan{Stop: map[string]int{}}
	for _, name := range slices.Sorted(maps.Keys(h.teams)) {
		t := h.teams[name]
		t.recordPeak(now, h.options.IdleWindow)
		if excess := t.running - t.allowed(now.Before(h.leaseEnd)); excess > 0 {
			plan.Stop[name] = excess
		}
		if h.planPending {
			continue
		}
		if keep, ok := t.countToKeep(now, h.options.IdleWindow); ok {
			t.returning, t.keep = true, keep
			plan.Returns = append(plan.Returns, fleet.TeamCount{Team: name, Count: keep})
			continue
		}
		if want, ok := t.countToRequest(); ok {
			plan.Requests = append(plan.Requests, fleet.TeamCount{Team: name, Count: want})
		}
	}
	if len(plan.Requests)+len(plan.Returns) > 0 {
		h.planPending, h.planRequests, h.plannedAt = true, len(plan.Requests) > 0, now
	}
	return plan
}

func (h *Holder) team(name string) *teamUse {
	t, ok := h.teams[name]
	if !ok {
		t = &teamUse{}
		h.teams[name] = t
	}
	return t
}
