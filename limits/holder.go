// Package limits holds an entry VM's side of the teams' upper limits: what it may start under the grants it holds, what it
// asks for and gives back, and when the grants of others have lapsed.
package limits

import (
	"maps"
	"slices"
	"time"

	"example.org/comfreyrouter/fleet"
)

// Defaults of the lease on grants.
const (
	// DefaultLease is how long a member's leased grants hold after a renewal.
	DefaultLease = 10 * time.Minute
	// DefaultClockDriftDivisor bounds by how much two clocks differ in rate: one part in this number.
	DefaultClockDriftDivisor = 1000
	// DefaultTaskLease bounds how long a task runs on a backend server after its holder's last renewal.
	DefaultTaskLease = 15 * time.Second
	// DefaultIdleWindow is how long a grant stays unused before it is given back to teams' other holders.
	DefaultIdleWindow = 2 * time.Second
	// DefaultContactWindow is the age up to which answers of a majority of the data centres count as contact. It must be
	// below the time for which peers pass on that a VM reads the log, see Watcher.MajorityContact.
	DefaultContactWindow = 3 * time.Second
)

// Options are the settings of a Holder and a Watcher.
type Options struct {
	Lease             time.Duration
	TaskLease         time.Duration
	ClockDriftDivisor int // bound on the clock rate difference, one part in ClockDriftDivisor
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

// shortened returns d as the holder counts it, longer as everyone else does.
func (o Options) shortened(d time.Duration) time.Duration {
	return d - d/time.Duration(o.ClockDriftDivisor)
}

func (o Options) lengthened(d time.Duration) time.Duration {
	return d + d/time.Duration(o.ClockDriftDivisor)
}

// Holder counts the tasks that one entry VM runs under its grants. A task counts until its end is confirmed.
type Holder struct {
	options   Options
	teams     map[string]*teamUse
	leaseEnd  time.Time
	pending   bool // a plan's commands are on their way to the log
	asked     bool // the pending plan asks, which renews the lease
	plannedAt time.Time
}

// NewHolder returns a holder without grants.
func NewHolder(o Options) *Holder { return &Holder{options: o, teams: map[string]*teamUse{}} }

// Renewed notes a renewal that was asked for at sentAt and has been confirmed. The lease counts from before the request.
func (h *Holder) Renewed(sentAt time.Time) {
	end := sentAt.Add(h.options.shortened(h.options.Lease))
	if end.After(h.leaseEnd) {
		h.leaseEnd = end
	}
}

// RenewedByPeers notes that in an outage of the log for all every live member has answered a heartbeat sent at askedAt or later, see
// keys.View.FleetOutageSince. It never revives a lease that has ended: a member that sent an expiry and then crashed cannot
// be asked, and its append may still arrive.
func (h *Holder) RenewedByPeers(askedAt, now time.Time) {
	if now.Before(h.leaseEnd) {
		h.Renewed(askedAt)
	}
}

// LeaseEnd returns when the leased grants end.
func (h *Holder) LeaseEnd() time.Time { return h.leaseEnd }

// TaskLeaseEnd returns up to when a task may run on its server if it is started or renewed at now. Rank is the task's place among
// the counted tasks of its team, from 0 in the order of their starts. Only as many tasks as the firm part allows may
// outlive the lease on the grants.
func (h *Holder) TaskLeaseEnd(team string, rank int, now time.Time) time.Time {
	end := now.Add(h.options.TaskLease)
	if rank >= h.team(team).firm() && end.After(h.leaseEnd) {
		return h.leaseEnd
	}
	return end
}

// Observe takes the grants of all teams from the fold. Self is the holder's incarnation.
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

// Pending reports whether the commands of a plan have not been confirmed.
func (h *Holder) Pending() bool { return h.pending }

// ReturnPending reports whether a give-back of the team is on its way to the log.
func (h *Holder) ReturnPending(team string) bool { return h.team(team).giving }

// Confirmed takes a state in which the commands of the last plan have been applied or cannot be any more. If their append
// failed, any later batch of the same writer that has been applied shows this. Until then Plan gives no further commands
// and what was to be given back is not used.
func (h *Holder) Confirmed(s *fleet.State, self string) {
	h.Observe(s, self)
	if !h.pending {
		return
	}
	h.pending = false
	for _, t := range h.teams {
		t.giving = false
	}
	if h.asked {
		h.Renewed(h.plannedAt)
	}
}

// Allowed returns how many tasks of a team may run now.
func (h *Holder) Allowed(team string, now time.Time) int {
	return h.team(team).held(now.Before(h.leaseEnd))
}

// MayStart reports whether the team may run one more task. Above a lowered limit, and above the fair share while another
// holder lacks its own, it may not, although what runs may go on.
func (h *Holder) MayStart(team string, now time.Time) bool {
	t := h.team(team)
	return t.running < t.startable(now.Before(h.leaseEnd))
}

// Start counts a task and reports true if the team may run one more.
func (h *Holder) Start(team string, now time.Time) bool {
	if !h.MayStart(team, now) {
		return false
	}
	t := h.team(team)
	t.running++
	t.peaks[0] = max(t.peaks[0], t.running)
	return true
}

// End counts a task out, once its end is confirmed or its own lease has run out.
func (h *Holder) End(team string) { h.team(team).running-- }

// Running returns the number of counted tasks of a team.
func (h *Holder) Running(team string) int { return h.team(team).running }

// SetWaiting tells how many requests of a team wait.
func (h *Holder) SetWaiting(team string, n int) { h.team(team).waiting = n }

// Plan is what a holder wants from the log and from its tasks.
type Plan struct {
	Requests []fleet.TeamCount
	Returns  []fleet.TeamCount
	// Stop is the number of tasks, by team, that run above what is allowed and must be checkpointed or stopped.
	Stop map[string]int
}

// Commands returns the commands of the plan for one batch, none if it has none.
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

// Plan returns what to ask for, what to give back and what to stop. After a plan with commands the caller appends them and
// calls Confirmed.
func (h *Holder) Plan(now time.Time) Plan {
	plan := Plan{Stop: map[string]int{}}
	for _, name := range slices.Sorted(maps.Keys(h.teams)) {
		t := h.teams[name]
		t.note(now, h.options.IdleWindow)
		if excess := t.running - t.held(now.Before(h.leaseEnd)); excess > 0 {
			plan.Stop[name] = excess
		}
		if h.pending {
			continue
		}
		if keep, ok := t.toKeep(now, h.options.IdleWindow); ok {
			t.giving, t.keep = true, keep
			plan.Returns = append(plan.Returns, fleet.TeamCount{Team: name, Count: keep})
			continue
		}
		if want, ok := t.toAsk(); ok {
			plan.Requests = append(plan.Requests, fleet.TeamCount{Team: name, Count: want})
		}
	}
	if len(plan.Requests)+len(plan.Returns) > 0 {
		h.pending, h.asked, h.plannedAt = true, len(plan.Requests) > 0, now
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
