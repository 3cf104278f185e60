package routing

import (
	"slices"
	"time"
)

// HealthOptions are the settings of outlier ejection.
type HealthOptions struct {
	FailureThreshold int           // consecutive failures that eject a server
	Ejection         time.Duration // length of the first ejection; it doubles each time
	MaxEjection      time.Duration
	// MaxEjectedDivisor is the largest part of a pool that may be ejected at one time: one in this number. A correlated failure
	// therefore never empties a pool.
	MaxEjectedDivisor int
	// ProbeTimeout is the time that one task may take to prove an ejected server good before another one may try.
	ProbeTimeout time.Duration
}

// DefaultHealthOptions returns the default settings.
func DefaultHealthOptions() HealthOptions {
	return HealthOptions{
		FailureThreshold: 5, Ejection: 10 * time.Second, MaxEjection: 5 * time.Minute, MaxEjectedDivisor: 3, ProbeTimeout: 30 * time.Second,
	}
}

// Constants of the comparison with the pool.
const (
	// rateWeight is the weight of a task in a server's failure rate: one part in this number.
	rateWeight = 8
	// pardonAfter is the number of successes in a row after which earlier ejections no longer lengthen the next one.
	pardonAfter = 20
)

type serverHealth struct {
	failures     int     // in a row
	successes    int     // in a row
	rate         float64 // failed part of its recent tasks
	ejections    int
	suspect      bool // ejected, or not yet proved good since
	ejectedUntil time.Time
	probeUntil   time.Time
}

// Health decides which servers are left out because their tasks fail.
type Health struct {
	options HealthOptions
	servers map[string]*serverHealth
}

// NewHealth returns a Health that has seen no task.
func NewHealth(o HealthOptions) *Health {
	return &Health{options: o, servers: map[string]*serverHealth{}}
}

// Report notes the end of a task on a server. pool names all servers of its pool. Ends of tasks that started before the
// server was ejected say nothing new and are passed over.
func (h *Health) Report(server string, ok bool, pool []string, now time.Time) {
	s := h.server(server)
	if now.Before(s.ejectedUntil) {
		return
	}
	s.note(ok)
	if ok {
		s.suspect = false
		s.probeUntil = time.Time{}
		return
	}
	if s.suspect {
		h.eject(s, now)
		return
	}
	if s.failures >= h.options.FailureThreshold && h.worseThanPool(server, pool) && h.mayEject(server, pool) {
		h.eject(s, now)
	}
}

func (s *serverHealth) note(ok bool) {
	if !ok {
		s.failures++
		s.successes = 0
		s.rate += (1 - s.rate) / rateWeight
		return
	}
	s.failures = 0
	s.successes++
	s.rate -= s.rate / rateWeight
	if s.successes >= pardonAfter {
		s.ejections = 0
	}
}

func (h *Health) eject(s *serverHealth, now time.Time) {
	length := min(h.options.Ejection<<min(s.ejections, 10), h.options.MaxEjection)
	s.ejectedUntil = now.Add(length)
	s.probeUntil = time.Time{}
	s.suspect = true
	s.ejections++
}

// Started notes that a task started on a server. The first one after an ejection is a probe: the server gets no other
// until the probe has ended or taken too long.
func (h *Health) Started(server string, now time.Time) {
	if s, ok := h.servers[server]; ok && s.suspect {
		s.probeUntil = now.Add(h.options.ProbeTimeout)
	}
}

// Inconclusive notes that a task ended without a verdict on its server: the server refused it before the start, or the task was
// stopped. If it was the probe after an ejection, the next task may be the probe.
func (h *Health) Inconclusive(server string) {
	if s, ok := h.servers[server]; ok {
		s.probeUntil = time.Time{}
	}
}

// RetractFailure takes back a failure that was reported for a server, because the same request failed on another server too: then the
// request is the likelier cause. The failure on the other server is not to be reported.
func (h *Health) RetractFailure(server string) {
	s := h.server(server)
	if s.failures == 0 {
		return
	}
	s.failures--
	s.rate = max(0, (s.rate-1.0/rateWeight)/(1-1.0/rateWeight))
}

// worseThanPool reports whether the server fails more than the middle one of the others. When most servers fail, the cause is
// not this server, and leaving it out would help nobody.
func (h *Health) worseThanPool(server string, pool []string) bool {
	var others []float64
	for _, name := range pool {
		if name != server {
			others = append(others, h.server(name).rate)
		}
	}
	if len(others) == 0 {
		return false
	}
	slices.Sort(others)
	return others[len(others)/2]*2 < h.server(server).rate
}

// mayEject reports whether one more server of the pool may be left out. Servers that are not yet proved good count too.
func (h *Health) mayEject(server string, pool []string) bool {
	suspects := 0
	for _, name := range pool {
		if name != server && h.server(name).suspect {
			suspects++
		}
	}
	return (suspects+1)*h.options.MaxEjectedDivisor <= len(pool) && slices.Contains(pool, server)
}

// Ejected reports whether a server is left out now: during an ejection, and while a probe runs after one.
func (h *Health) Ejected(server string, now time.Time) bool {
	s, ok := h.servers[server]
	return ok && s.suspect && (now.Before(s.ejectedUntil) || now.Before(s.probeUntil))
}

// EjectedServers returns the servers of a pool that are left out now, at most one in MaxEjectedDivisor also after servers have moved to other
// pools: those with the most failures.
func (h *Health) EjectedServers(pool []string, now time.Time) map[string]bool {
	var out []string
	for _, name := range pool {
		if h.Ejected(name, now) {
			out = append(out, name)
		}
	}
	slices.SortFunc(out, func(a, b string) int {
		if d := h.servers[b].ejections - h.servers[a].ejections; d != 0 {
			return d
		}
		return h.servers[b].ejectedUntil.Compare(h.servers[a].ejectedUntil)
	})
	left := map[string]bool{}
	for _, name := range out[:min(len(out), len(pool)/h.options.MaxEjectedDivisor)] {
		left[name] = true
	}
	return left
}

// Failures returns the number of a server's last tasks that failed in a row.
func (h *Health) Failures(server string) int {
	if s, ok := h.servers[server]; ok {
		return s.failures
	}
	return 0
}

// Retain forgets the servers that are not named, for example after they left the fleet.
func (h *Health) Retain(servers map[string]bool) {
	for name := range h.servers {
		if !servers[name] {
			delete(h.servers, name)
		}
	}
}

func (h *Health) server(name string) *serverHealth {
	s, ok := h.servers[name]
	if !ok {
		s = &serverHealth{}
		h.servers[name] = s
	}
	return s
}
