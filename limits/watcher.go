package limits

import (
	"maps"
	"slices"
	"time"

	"example.org/comfreyrouter/fleet"
)

// memberLease is another member's lease as observed by this VM.
type memberLease struct {
	leaseSeq    uint64    // fleet.Member.LeaseSeq as last read
	countedFrom time.Time // start of the lease by this VM's clock
	fenced      bool
	fencedAt    time.Time
}

// Watcher decides when the leases of other members have expired. It counts each lease from when this VM read its renewal, which is
// later than the holder does, so that it never expires a grant that the holder still uses.
type Watcher struct {
	options      Options
	members      map[string]*memberLease
	contactUntil time.Time // until when the last contact to a majority of the data centres counts
}

// NewWatcher returns a Watcher that knows no members.
func NewWatcher(o Options) *Watcher { return &Watcher{options: o, members: map[string]*memberLease{}} }

// Observe takes the members in the fold's state as read at now. It skips self, this VM's own incarnation.
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
			seen = &memberLease{}
			w.members[id] = seen
		}
		if !ok || seen.leaseSeq != m.LeaseSeq {
			seen.leaseSeq = m.LeaseSeq
			seen.countedFrom = now
		}
		if m.Fenced && !seen.fenced {
			seen.fenced = true
			seen.fencedAt = now
		}
	}
}

// HeartbeatAnswered restarts a member's lease, because this VM answers the member's heartbeat. If every member answers it, the
// member renews its lease although the log is unavailable (Holder.RenewedByPeers).
func (w *Watcher) HeartbeatAnswered(incarnation string, now time.Time) {
	if seen, ok := w.members[incarnation]; ok {
		seen.countedFrom = now
	}
}

// RestartAll restarts the leases of all members.
func (w *Watcher) RestartAll(now time.Time) {
	for _, seen := range w.members {
		seen.countedFrom = now
	}
}

// MajorityContact records that a majority of the data centres has answered heartbeats sent at askedAt or later; see
// keys.View.MajorityAskedAt. A gap in the contact, even one in which this VM was paused, restarts all leases: a holder that does not
// know of this VM may meanwhile have renewed its lease by the answers of all others, who no longer hear that this VM reads the log.
func (w *Watcher) MajorityContact(askedAt, now time.Time) {
	if askedAt.After(w.contactUntil) {
		w.RestartAll(now)
	}
	if until := askedAt.Add(w.options.ContactWindow); until.After(w.contactUntil) {
		w.contactUntil = until
	}
}

// DueCommands returns an Expire for each lease that has expired and a Release for each fenced member whose task leases have ended.
// Without contact to a majority of the data centres no lease expires.
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
		case !seen.fenced && now.Sub(seen.countedFrom) > w.options.lengthened(w.options.Lease):
			due = append(due, fleet.Command{Expire: &fleet.Expire{Incarnation: id, LeaseSeq: seen.leaseSeq}})
		}
	}
	return due
}
