package routing

import "time"

// FullMarkDuration is how long a full mark lasts, and the probe intervals are the usual bounds of a Prober. FullMarkDuration and
// MinProbeInterval suit tasks that run for some tenths of a second; see docs/decisions/routing.md.
const (
	FullMarkDuration = 50 * time.Millisecond
	MinProbeInterval = 2 * time.Millisecond
	MaxProbeInterval = 250 * time.Millisecond // the heartbeat interval
)

// FullMarks remembers which servers refused a task because no slot was free. The last heartbeat can be one interval old, so
// until the next one the refusal is the newest information about the server.
type FullMarks struct {
	duration time.Duration
	until    map[string]time.Time
}

// NewFullMarks returns a FullMarks whose marks expire after the given duration, usually FullMarkDuration.
func NewFullMarks(duration time.Duration) *FullMarks {
	return &FullMarks{duration: duration, until: map[string]time.Time{}}
}

// Refused marks a server as full because it refused a task at the given time.
func (m *FullMarks) Refused(server string, now time.Time) { m.until[server] = now.Add(m.duration) }

// TaskEnded removes the mark of a server on which a task of this VM ended, because that freed a slot.
func (m *FullMarks) TaskEnded(server string) { delete(m.until, server) }

// Full reports whether a server is marked as full.
func (m *FullMarks) Full(server string, now time.Time) bool {
	until, ok := m.until[server]
	if ok && !now.Before(until) {
		delete(m.until, server)
		return false
	}
	return ok
}

// Prober limits how often a VM sends a task to a server that has no free slot in its view. Such probes are useful because the
// view of the peers' tasks can be one heartbeat old. Each refused probe doubles the interval, so that a full pool gets few of them.
// The probe of a server after its ejection is another one: see Health.Started.
type Prober struct {
	minInterval, maxInterval time.Duration
	interval                 time.Duration
	nextAllowed              time.Time
}

// NewProber returns a Prober whose interval between probes lies between minInterval and maxInterval.
func NewProber(minInterval, maxInterval time.Duration) *Prober {
	return &Prober{minInterval: minInterval, maxInterval: maxInterval, interval: minInterval}
}

// Allowed reports whether a probe may be sent now.
func (p *Prober) Allowed(now time.Time) bool { return !now.Before(p.nextAllowed) }

// NextAllowedAt returns the time from which the next probe may be sent.
func (p *Prober) NextAllowedAt() time.Time { return p.nextAllowed }

// Sent records that a probe was sent.
func (p *Prober) Sent(now time.Time) { p.nextAllowed = now.Add(p.interval) }

// Completed records whether the server accepted the probe.
func (p *Prober) Completed(accepted bool) {
	if accepted {
		p.interval = p.minInterval
		return
	}
	p.interval = min(2*p.interval, p.maxInterval)
}
