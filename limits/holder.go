// Package limits holds an entry VM's side of the teams' upper limits: what it may start under the grants it holds, what it
// asks for and gives back, and when the grants of others have lapsed.
package limits

import (
	"slices"
	"time"

	"example.org/comfreyrouter/fleet"
)

// Defaults of the lease on grants.
const (
	// DefaultLease is how long a member's leased grants hold after a renewal.
	DefaultLease = 10 * time.Minute
	// DefaultClockRate bounds by how much two clocks differ in rate: one part in this number.
	DefaultClockRate = 1000
	// DefaultTaskLease bounds how long a task runs on a backend server after its holder's last renewal.
	DefaultTaskLease = 15 * time.Second
	// DefaultIdle is how long a grant stays unused before it is given back to teams' other holders.
	DefaultIdle = 2 * time.Second
)

// Options are the settings of a Holder and a Watcher.
type Options struct {
	Lease     time.Duration
	TaskLease time.Duration
	ClockRate int // bound on the clock rate difference, one part in ClockRate
	Idle      time.Duration
}

// DefaultOptions returns the default settings.
func DefaultOptions() Options {
	return Options{Lease: DefaultLease, TaskLease: DefaultTaskLease, ClockRate: DefaultClockRate, Idle: DefaultIdle}
}

// shortened returns d as the holder counts it, longer as everyone else does.
func (o Options) shortened(d time.Duration) time.Duration { return d - d/time.Duration(o.ClockRate) }

func (o Options) lengthened(d time.Duration) time.Duration { return d + d/time.Duration(o.ClockRate) }

type teamUse struct {
	grant     fleet.Grant
	contested bool // another holder wants more than it has
	excess    *Excess
	running   int
	waiting   int
	peak      int       // highest use since peakFrom
	peakFrom  time.Time // start of the current idle window
}

// Holder counts the tasks that one entry VM runs under its grants. A task counts until its end is confirmed.
type Holder struct {
	options  Options
	teams    map[string]*teamUse
	leaseEnd time.Time
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

// Expired notes that the fold took the leased grants.
func (h *Holder) Expired() { h.leaseEnd = time.Time{} }

// LeaseEnd returns when the leased grants end. No task that needs one may run longer.
func (h *Holder) LeaseEnd() time.Time { return h.leaseEnd }

// SetGrant takes the holder's grant of a team from the fold; contested says that another holder wants more than it has.
func (h *Holder) SetGrant(team string, g fleet.Grant, contested bool) {
	t := h.team(team)
	t.grant = g
	t.contested = contested
}

// Excess is what a holder may do while the grants of a team exceed its limit, because the limit was lowered.
type Excess struct {
	// Most bounds new starts: the limit without the grants of all others. Tasks that run already may end.
	Most int
	// Share is the holder's part of the limit. What it does not run above it goes back.
	Share int
}

// SetExcess says that the grants of a team exceed its limit; nil says that they no longer do.
func (h *Holder) SetExcess(team string, e *Excess) { h.team(team).excess = e }

// Allowed returns how many tasks of a team may run before one more starts now.
func (h *Holder) Allowed(team string, now time.Time) int {
	t := h.team(team)
	if t.excess != nil {
		return min(h.granted(t, now), t.excess.Most)
	}
	return h.granted(t, now)
}

// granted returns how many tasks of a team may run on.
func (h *Holder) granted(t *teamUse, now time.Time) int {
	if now.Before(h.leaseEnd) {
		return t.grant.Total()
	}
	return t.grant.Firm
}

// Start counts a task and reports true if the team may run one more.
func (h *Holder) Start(team string, now time.Time) bool {
	t := h.team(team)
	if t.running >= h.Allowed(team, now) {
		return false
	}
	t.running++
	t.peak = max(t.peak, t.running)
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
	Ask      []fleet.TeamCount
	GiveBack []fleet.TeamCount
	// Stop is the number of tasks, by team, that run above what is allowed and must be checkpointed or stopped.
	Stop map[string]int
}

// Plan returns what to ask for, what to give back and what to stop.
func (h *Holder) Plan(now time.Time) Plan {
	plan := Plan{Stop: map[string]int{}}
	for _, name := range h.names() {
		t := h.teams[name]
		if excess := t.running - h.granted(t, now); excess > 0 {
			plan.Stop[name] = excess
		}
		if t.excess != nil {
			if keep := max(t.running, t.excess.Share); keep < t.grant.Total() {
				plan.GiveBack = append(plan.GiveBack, fleet.TeamCount{Team: name, Count: keep})
			}
			continue
		}
		if want := t.running + t.waiting; want > t.grant.Total() && want != t.grant.Want {
			plan.Ask = append(plan.Ask, fleet.TeamCount{Team: name, Count: want})
			continue
		}
		if keep, give := h.keep(t, now); give {
			plan.GiveBack = append(plan.GiveBack, fleet.TeamCount{Team: name, Count: keep})
		}
	}
	return plan
}

// keep returns what a team needs of its grant and whether the rest should go back: after an idle window if others
// ask, after ten if nobody does.
func (h *Holder) keep(t *teamUse, now time.Time) (int, bool) {
	need := t.running + t.waiting
	t.peak = max(t.peak, need)
	window := h.options.Idle
	if !t.contested {
		window *= 10
	}
	if t.peakFrom.IsZero() {
		t.peakFrom = now
	}
	if now.Sub(t.peakFrom) < window {
		return 0, false
	}
	keep := max(t.peak, t.grant.Firm)
	t.peak, t.peakFrom = need, now
	return keep, keep < t.grant.Total()
}

func (h *Holder) team(name string) *teamUse {
	t, ok := h.teams[name]
	if !ok {
		t = &teamUse{}
		h.teams[name] = t
	}
	return t
}

func (h *Holder) names() []string {
	names := make([]string, 0, len(h.teams))
	for name := range h.teams {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
