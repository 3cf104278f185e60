package keys

import (
	"slices"
	"time"
)

// PeerView is the state that a member of the fleet reported in its last answer to a heartbeat.
type PeerView struct {
	DataCentre string
	// AskedAt is when the heartbeat was sent, the latest time for which the answer is certain to hold.
	AskedAt time.Time
	// Offset is the offset of the last log record that the peer has applied. ReadAge is the time from its last read that reached the end
	// of the log to its answer.
	Offset  uint64
	ReadAge time.Duration
	// LogReadable is set if the peer's own last read of the log succeeded or its LogReadableAnywhere was true.
	LogReadable bool
	// Gone is set if the peer's VM no longer exists according to the platform's list.
	Gone bool
}

// View is what an entry VM knows about the age of its own state.
type View struct {
	Offset uint64     // offset of the last log record that the VM has applied
	ReadAt time.Time  // start of the last read that reached the end of the log
	Peers  []PeerView // last answers to the VM's own heartbeats
	// Heard is the state that peers reported in the heartbeats that they sent to the VM, with AskedAt the time of receipt. Only
	// LogReadableAnywhere uses it, because the report may be older than its receipt by an unknown time.
	Heard       []PeerView
	DataCentres []string // data centres that have declared entry VMs
	DataCentre  string   // the VM's own data centre
	// LogReadable is set if the VM's last read of the log succeeded.
	LogReadable bool
}

// ConfirmedAt returns the latest time up to which the VM's state is known to include every record, from its own reads of the log or
// from those of a peer whose offset it has reached.
func (v View) ConfirmedAt() time.Time {
	at := v.ReadAt
	for _, p := range v.Peers {
		if !p.LogReadable || p.Offset > v.Offset {
			continue
		}
		if t := p.AskedAt.Add(-p.ReadAge); t.After(at) {
			at = t
		}
	}
	return at
}

// FleetOutageSince returns the earliest time at which the live members reported that none of them can read the log. It returns false
// if one of them can read it, is ahead of the VM, or has not answered within bound, or if no live member of a data centre has
// answered. During a fleet-wide outage of the log no member can have read a new record, so an old view is still current.
func (v View) FleetOutageSince(now time.Time, bound time.Duration) (time.Time, bool) {
	if v.LogReadable {
		return time.Time{}, false
	}
	since := now
	covered := map[string]bool{v.DataCentre: true}
	for _, p := range v.Peers {
		if p.Gone {
			continue
		}
		if p.LogReadable || p.Offset > v.Offset || now.Sub(p.AskedAt) > bound {
			return time.Time{}, false
		}
		covered[p.DataCentre] = true
		if p.AskedAt.Before(since) {
			since = p.AskedAt
		}
	}
	for _, c := range v.DataCentres {
		if !covered[c] {
			return time.Time{}, false
		}
	}
	return since, true
}

// FreshUntil returns the time until which keys may be checked against this view: until then the view includes every withdrawal that is
// older than bound. Later information can only extend that time.
func (v View) FreshUntil(now time.Time, bound time.Duration) time.Time {
	at := v.ConfirmedAt()
	if since, outage := v.FleetOutageSince(now, bound); outage && since.After(at) {
		at = since
	}
	return at.Add(bound)
}

// LogReadableAnywhere reports whether the VM can read the log itself, or has a status, requested or received within bound, of a peer
// whose offset is higher or that itself read the log within bound. The VM reports the result in its heartbeats, and its peers include it in
// PeerView.LogReadable. The LogReadable of a peer doesn't count here, because VMs that repeat each other's reports would keep them alive
// for ever, and a fleet-wide outage would never be detected.
func (v View) LogReadableAnywhere(now time.Time, bound time.Duration) bool {
	if v.LogReadable {
		return true
	}
	for _, p := range slices.Concat(v.Peers, v.Heard) {
		age := now.Sub(p.AskedAt)
		if age <= bound && (p.Offset > v.Offset || age+p.ReadAge <= bound) {
			return true
		}
	}
	return false
}

// MajorityAskedAt returns the latest time since which a majority of the data centres has been asked and has answered. A data centre
// has answered when one of its live members has: partitions occur between data centres, so that member has heard from the others in
// its data centre. It returns false if no majority has ever answered.
func (v View) MajorityAskedAt(now time.Time) (time.Time, bool) {
	newest := map[string]time.Time{v.DataCentre: now}
	for _, p := range v.Peers {
		if p.Gone {
			continue
		}
		if p.AskedAt.After(newest[p.DataCentre]) {
			newest[p.DataCentre] = p.AskedAt
		}
	}
	var asked []time.Time
	for _, c := range v.DataCentres {
		if at, ok := newest[c]; ok {
			asked = append(asked, at)
		}
	}
	majority := len(v.DataCentres)/2 + 1
	if len(asked) < majority {
		return time.Time{}, false
	}
	slices.SortFunc(asked, func(a, b time.Time) int { return b.Compare(a) })
	return asked[majority-1], true
}
