package routing

import (
	"slices"
	"time"
)

// HealthOptions are the settings of outlier ejection.
type HealthOptions struct {
	Failures    int           // consecutive failures that eject a server
	Ejection    time.Duration // length of the first ejection; it doubles each time
	MaxEjection time.Duration
	// MaxFraction is the largest part of a pool that may be ejected at one time: one in this number. A correlated failure
	// therefore never empties a pool.
	MaxFraction int
}

// DefaultHealthOptions returns the default settings.
func DefaultHealthOptions() HealthOptions {
	return HealthOptions{Failures: 5, Ejection: 10 * time.Second, MaxEjection: 5 * time.Minute, MaxFraction: 3}
}

type serverHealth struct {
	failures     int
	ejections    int
	ejectedUntil time.Time
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

// Report notes the end of a task on a server. pool names all servers of its pool.
func (h *Health) Report(server string, ok bool, pool []string, now time.Time) {
	s := h.server(server)
	if ok {
		*s = serverHealth{}
		return
	}
	s.failures++
	if s.failures < h.options.Failures || now.Before(s.ejectedUntil) {
		return
	}
	if !h.mayEject(server, pool, now) {
		return
	}
	length := min(h.options.Ejection<<min(s.ejections, 10), h.options.MaxEjection)
	s.ejectedUntil = now.Add(length)
	s.ejections++
}

// mayEject reports whether one more server of the pool may be left out.
func (h *Health) mayEject(server string, pool []string, now time.Time) bool {
	ejected := 0
	for _, name := range pool {
		if name != server && h.Ejected(name, now) {
			ejected++
		}
	}
	return (ejected+1)*h.options.MaxFraction <= len(pool) && slices.Contains(pool, server)
}

// Ejected reports whether a server is left out now.
func (h *Health) Ejected(server string, now time.Time) bool {
	s, ok := h.servers[server]
	return ok && now.Before(s.ejectedUntil)
}

func (h *Health) server(name string) *serverHealth {
	s, ok := h.servers[name]
	if !ok {
		s = &serverHealth{}
		h.servers[name] = s
	}
	return s
}
