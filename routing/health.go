package routing

import (
	"slices"
	"time"
)

// HealthOptions configures outlier ejection.
type HealthOptions struct {
	FailureThreshold int           // consecutive failures after which a server may be ejected
	FirstEjection    time.Duration // length of the first ejection; each further one is twice as long, up to MaxEjection
	MaxEjection      time.Duration // upper bound of the length of an ejection
	// MaxEjectedDivisor bounds the servers of a pool that are ejected at the same time to the size of the pool divided by it, so
	// that a correlated failure never empties a pool.
	MaxEjectedDivisor int
	// ProbeTimeout is how long the probe after an ejection may take before the server gets another one.
	ProbeTimeout time.Duration
}

// DefaultHealthOptions returns the default settings.
func DefaultHealthOptions() HealthOptions {
	return HealthOptions{
		FailureThreshold: 5, FirstEjection: 10 * time.Second, MaxEjection: 5 * time.Minute, MaxEjectedDivisor: 3, ProbeTimeout: 30 * time.Second,
	}
}

const (
	// failureRateWeight is the inverse of the weight of the newest task in a server's failure rate, an exponential moving average.
	failureRateWeight = 8
	// ejectionResetSuccesses is the number of consecutive successes after which earlier ejections no longer lengthen the next one.
	ejectionResetSuccesses = 20
)

type serverHealth struct {
	failures     int     // consecutive failures up to the last task
	successes    int     // consecutive successes up to the last task
	failureRate  float64 // moving average over its recent tasks, 0 to 1
	ejections    int     // since the last ejectionResetSuccesses consecutive successes
	suspect      bool    // ejected, and no task has succeeded since
	ejectedUntil time.Time
	probeUntil   time.Time
}

// Health decides which servers are ejected because their tasks fail.
type Health struct {
	options HealthOptions
	servers map[string]*serverHealth
}

// NewHealth returns a Health without reports.
func NewHealth(o HealthOptions) *Health {
	return &Health{options: o, servers: map[string]*serverHealth{}}
}

// Report records the result of a task on a server. pool names all servers of its pool. Results that arrive during an ejection
// are ignored: their tasks started before it and say nothing new.
func (h *Health) Report(server string, ok bool, pool []string, now time.Time) {
	s := h.server(server)
	if now.Before(s.ejectedUntil) {
		return
	}
	s.record(ok)
	if ok {
		s.suspect = false
		s.probeUntil = time.Time{}
		return
	}
	if s.suspect {
		h.eject(s, now)
		return
	}
	if s.failures >= h.options.FailureThreshold && h.worseThanPool(server, pool) && h.canEject(server, pool) {
		h.eject(s, now)
	}
}

func (s *serverHealth) record(ok bool) {
	if !ok {
		s.failures++
		s.successes = 0
		s.failureRate += (1 - s.failureRate) / failureRateWeight
		return
	}
	s.failures = 0
	s.successes++
	s.failureRate -= s.failureRate / failureRateWeight
	if s.successes >= ejectionResetSuccesses {
		s.ejections = 0
	}
}

func (h *Health) eject(s *serverHealth, now time.Time) {
	length := min(h.options.FirstEjection<<min(s.ejections, 10), h.options.MaxEjection)
	s.ejectedUntil = now.Add(length)
	s.probeUntil = time.Time{}
	s.suspect = true
	s.ejections++
}

// Started records that a task started on a server. The first task after an ejection is a probe: the server gets no other one
// until the probe has ended or ProbeTimeout has passed.
func (h *Health) Started(server string, now time.Time) {
	if s, ok := h.servers[server]; ok && s.suspect {
		s.probeUntil = now.Add(h.options.ProbeTimeout)
	}
}

// Inconclusive records that a task ended without saying anything about its server: the server refused it before the start, or the
// task was stopped. If it was the probe after an ejection, the next task may be the probe.
func (h *Health) Inconclusive(server string) {
	if s, ok := h.servers[server]; ok {
		s.probeUntil = time.Time{}
	}
}

// RetractFailure undoes the report of a failure on a server, because the same request failed on another server too and so is
// the likelier cause. The caller must not report the failure on the other server.
func (h *Health) RetractFailure(server string) {
	s := h.server(server)
	if s.failures == 0 {
		return
	}
	s.failures--
	s.failureRate = max(0, (s.failureRate-1.0/failureRateWeight)/(1-1.0/failureRateWeight))
}

// worseThanPool reports whether the server's failure rate is more than twice the median of the other servers'. If most servers
// fail, the cause is not this server, and ejecting it would not help.
func (h *Health) worseThanPool(server string, pool []string) bool {
	var others []float64
	for _, name := range pool {
		if name != server {
			others = append(others, h.server(name).failureRate)
		}
	}
	if len(others) == 0 {
		return false
	}
	slices.Sort(others)
	return others[len(others)/2]*2 < h.server(server).failureRate
}

// canEject reports whether one more server of the pool may be ejected. Servers without a success since their ejection count as ejected.
func (h *Health) canEject(server string, pool []string) bool {
	suspects := 0
	for _, name := range pool {
		if name != server && h.server(name).suspect {
			suspects++
		}
	}
	return (suspects+1)*h.options.MaxEjectedDivisor <= len(pool) && slices.Contains(pool, server)
}

// Ejected reports whether a server must get no task now: during an ejection, and while the probe after it runs.
func (h *Health) Ejected(server string, now time.Time) bool {
	s, ok := h.servers[server]
	return ok && s.suspect && (now.Before(s.ejectedUntil) || now.Before(s.probeUntil))
}

// EjectedServers returns the servers of a pool that must get no task now. It keeps to the bound of MaxEjectedDivisor also after
// servers have moved between pools, and then returns those with the most ejections, and among equals those whose ejection ends last.
func (h *Health) EjectedServers(pool []string, now time.Time) map[string]bool {
	var candidates []string
	for _, name := range pool {
		if h.Ejected(name, now) {
			candidates = append(candidates, name)
		}
	}
	slices.SortFunc(candidates, func(a, b string) int {
		if d := h.servers[b].ejections - h.servers[a].ejections; d != 0 {
			return d
		}
		return h.servers[b].ejectedUntil.Compare(h.servers[a].ejectedUntil)
	})
	ejected := map[string]bool{}
	for _, name := range candidates[:min(len(candidates), len(pool)/h.options.MaxEjectedDivisor)] {
		ejected[name] = true
	}
	return ejected
}

// Failures returns the number of consecutive failures up to the server's last task.
func (h *Health) Failures(server string) int {
	if s, ok := h.servers[server]; ok {
		return s.failures
	}
	return 0
}

// Retain drops the records of all servers that are not in the set, for example because they left the fleet.
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
