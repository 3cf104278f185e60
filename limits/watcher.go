package limits

import (
	"maps"
	"slices"
	"time"

	"example.org/comfreyrouter/fleet"
)

// watched is one member's lease as this VM has seen it.
type watched struct {
	leaseSeq uint64
	since    time.Time // from when this VM counts the lease
	fenced   bool
	fencedAt time.Time
}

// Watcher counts the leases of other members, from when this VM read the renewal, so that it never takes a grant that the
// holder still counts as its own.
type Watcher struct {
	options      Options
	members      map[string]*watched
	contactUntil time.Time
}

// NewWatcher returns a watcher that has seen no member.
func NewWatcher(o Options) *Watcher { return &Watcher{options: o, members: map[string]*watched{}} }

// Observe takes the members of the fold as read at now. Self is left out.
func (w *Watcher) Observe(members map[string]fleet.Member, self string, now time.Time) {
	for id := range w.members {
		if _, ok := members[id]; !ok {
			delete(w.members, id)
		}
	}
	for id, m := range members {
		if id == self {
			continue
		}
		seen, ok := w.members[id]
		if !ok {
			seen = &watched{}
			w.members[id] = seen
		}
		if !ok || seen.leaseSeq != m.LeaseSeq {
			seen.leaseSeq = m.LeaseSeq
			seen.since = now
		}
		if m.Fenced && !seen.fenced {
			seen.fenced = true
			seen.fencedAt = now
		}
	}
}

// HeartbeatAnswered restarts the count of a member's lease. A VM calls it when it answers the member's heartbeat: if every member does so, the
// holder's lease is renewed although the log is out.
func (w *Watcher) HeartbeatAnswered(incarnation string, now time.Time) {
	if seen, ok := w.members[incarnation]; ok {
		seen.since = now
	}
}

// RestartAll restarts every count.
func (w *Watcher) RestartAll(now time.Time) {
	for _, seen := range w.members {
		seen.since = now
	}
}

// MajorityContact notes that a majority of the data centres has answered heartbeats sent at askedAt or later, see
// keys.View.MajorityAskedAt. A gap in the contact, also one during which this VM was paused, restarts every count: a holder that
// does not know of this VM may have been vouched for by all others, who have stopped hearing that this VM reads the log.
func (w *Watcher) MajorityContact(askedAt, now time.Time) {
	if askedAt.After(w.contactUntil) {
		w.RestartAll(now)
	}
	if until := askedAt.Add(w.options.ContactWindow); until.After(w.contactUntil) {
		w.contactUntil = until
	}
}

// DueCommands returns the commands for leases that have lapsed and for fenced members whose task leases have run out. Without
// contact to a majority of the data centres no lease lapses.
func (w *Watcher) DueCommands(now time.Time) []fleet.Command {
	if now.After(w.contactUntil) {
		w.RestartAll(now)
	}
	var due []fleet.Command
	for _, id := range slices.Sorted(maps.Keys(w.members)) {
		seen := w.members[id]
		switch {
		case seen.fenced && now.Sub(seen.fencedAt) > w.options.lengthened(w.options.TaskLease):
			due = append(due, fleet.Command{Release: &fleet.Release{Incarnation: id}})
		case !seen.fenced && now.Sub(seen.since) > w.options.lengthened(w.options.Lease):
			due = append(due, fleet.Command{Expire: &fleet.Expire{Incarnation: id, LeaseSeq: seen.leaseSeq}})
		}
	}
	return due
}
