package keys

import (
	"slices"
	"time"
)

// PeerView is what a member of the fleet said in its last answer to a heartbeat.
type PeerView struct {
	DataCentre string
	// AskedAt is when the heartbeat was sent, the latest time for which the answer certainly speaks.
	AskedAt time.Time
	// Offset is the peer's offset, and ReadAge how long before its answer it last read the log to its end.
	Offset  uint64
	ReadAge time.Duration
	// LogReadable is false if neither the peer nor a peer it heard from could read the log.
	LogReadable bool
	// Gone is set if the platform's list says that the peer's VM no longer exists.
	Gone bool
}

// View is what one entry VM knows of the age of its own state.
type View struct {
	Offset uint64
	ReadAt time.Time // start of the last read that reached the end of the log
	Peers  []PeerView
	// Heard has what others said in the heartbeats that they sent, with AskedAt the time of receipt. It counts for
	// Readable only, because it speaks for an unknown time before the receipt.
	Heard       []PeerView
	DataCentres []string // data centres that have declared entry VMs
	DataCentre  string   // the VM's own data centre
	// LogReadable is whether the VM's last read of the log succeeded.
	LogReadable bool
}

// ConfirmedAt returns the latest time for which the VM's state is known to hold every record, by its own reads of the
// log or by those of a peer whose offset it has reached.
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

// FleetOutageSince returns the earliest time at which the members that cover the fleet said that none of them can
// read the log, and false if one of them can, is ahead, or is silent, or if a data centre is not covered. While
// nobody can read the log nobody can have read a new record, so an old view is a current one.
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

// FreshUntil returns until when a key may be checked on this view: a withdrawal older than bound would be in it. What becomes known later
// can only extend it.
func (v View) FreshUntil(now time.Time, bound time.Duration) time.Time {
	at := v.ConfirmedAt()
	if since, outage := v.FleetOutageSince(now, bound); outage && since.After(at) {
		at = since
	}
	return at.Add(bound)
}

// LogReadableAnywhere returns the LogReadable of the VM's own heartbeats: it reads the log, or has heard within bound from a VM that reads
// it or is ahead. Only reads of the peers themselves count, by their age: a VM that passed on what others had passed on
// would keep a rumour alive for ever, and no outage for all would ever be seen.
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

// MajorityAskedAt returns the latest time since which a majority of the data centres has been asked and has answered. A data
// centre has answered when one of its live members has: partitions occur between data centres, so this one has heard what the
// others there say. It returns false if a majority never has.
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
