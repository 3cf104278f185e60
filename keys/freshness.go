package keys

import "time"

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
	Offset  uint64
	ReadAt  time.Time // start of the last read that reached the end of the log
	Peers   []PeerView
	Centres []string // data centres that have declared entry VMs
	Centre  string   // the VM's own data centre
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

// OutageForAllSince returns the earliest time at which the members that cover the fleet said that none of them can
// read the log, and false if one of them can, is ahead, or is silent, or if a data centre is not covered. While
// nobody can read the log nobody can have read a new record, so an old view is a current one.
func (v View) OutageForAllSince(now time.Time, bound time.Duration) (time.Time, bool) {
	if v.LogReadable {
		return time.Time{}, false
	}
	since := now
	covered := map[string]bool{v.Centre: true}
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
	for _, c := range v.Centres {
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
	if since, outage := v.OutageForAllSince(now, bound); outage && since.After(at) {
		at = since
	}
	return at.Add(bound)
}
