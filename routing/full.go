package routing

import "time"

// FullMarkDuration and MinProbeInterval are the settings for tasks of some tenths of a second. docs/decisions/routing.md has the measurement.
const (
	FullMarkDuration = 50 * time.Millisecond
	MinProbeInterval = 2 * time.Millisecond
	MaxProbeInterval = 250 * time.Millisecond // the heartbeat interval
)

// FullMarks remembers which servers refused a task because no slot was free. A heartbeat is up to one interval old, so
// until the next one the refusal is the newest knowledge of the server.
type FullMarks struct {
	hold  time.Duration
	until map[string]time.Time
}

// NewFullMarks returns marks that hold for the given time, usually FullMarkDuration.
func NewFullMarks(hold time.Duration) *FullMarks {
	return &FullMarks{hold: hold, until: map[string]time.Time{}}
}

// Refused notes that a server refused a task at the given time.
func (m *FullMarks) Refused(server string, now time.Time) { m.until[server] = now.Add(m.hold) }

// TaskEnded notes that a task of this VM ended on a server, so that a slot there is free.
func (m *FullMarks) TaskEnded(server string) { delete(m.until, server) }

// Full reports whether a server counts as full.
func (m *FullMarks) Full(server string, now time.Time) bool {
	until, ok := m.until[server]
	if ok && !now.Before(until) {
		delete(m.until, server)
		return false
	}
	return ok
}

// Prober lets a VM try a server although no slot is free by its view, because the view of its peers' tasks is up to one heartbeat
// old. A refused probe doubles the time until the next one, so that a full pool gets few of them.
type Prober struct {
	least, most time.Duration
	wait        time.Duration
	next        time.Time
}

// NewProber returns a Prober that waits between least and most from one probe to the next.
func NewProber(least, most time.Duration) *Prober {
	return &Prober{least: least, most: most, wait: least}
}

// Allowed reports whether a probe may be sent now.
func (p *Prober) Allowed(now time.Time) bool { return !now.Before(p.next) }

// NextAllowedAt returns the time from which a probe may be sent.
func (p *Prober) NextAllowedAt() time.Time { return p.next }

// Sent notes that a probe was sent.
func (p *Prober) Sent(now time.Time) { p.next = now.Add(p.wait) }

// Completed notes whether a server took a probe.
func (p *Prober) Completed(taken bool) {
	if taken {
		p.wait = p.least
		return
	}
	p.wait = min(2*p.wait, p.most)
}
