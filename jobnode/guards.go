package jobnode

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"

	"example.org/comfreyrouter/events"
	"example.org/comfreyrouter/internal/ingress"
	"example.org/comfreyrouter/platform"
)

const (
	// maxReadyConns and readyBudget bound the listener of the load balancer's checks and of the metrics, which no client reaches.
	maxReadyConns = 64
	readyBudget   = 1 << 20
)

// newGuards returns the bounds of the callers' and the readiness listener, and registers their metrics.
func (n *Node) newGuards() (callers, ready *ingress.Guard) {
	conns, budget := ingress.Size(n.settings.MemoryMB, ingress.Descriptors(n.settings.Descriptors))
	callers = ingress.NewGuard(ingress.Options{MaxConns: conns, Budget: budget, Group: n.operators.workspaceOf, OnRefused: n.logRefused("callers")})
	ready = ingress.NewGuard(ingress.Options{MaxConns: maxReadyConns, Budget: readyBudget, OnRefused: n.logRefused("ready")})
	n.metrics.registry.MustRegister(
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "comfreyrouter_caller_connections", Help: "Open connections of callers."},
			func() float64 { return float64(callers.Open()) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "comfreyrouter_caller_held_bytes", Help: "Memory of all unfinished requests of callers, in bytes."},
			func() float64 { return float64(callers.Held()) }),
	)
	return callers, ready
}

// logRefused returns a function that logs and counts refused clients of a listener.
func (n *Node) logRefused(listener string) func(ingress.Reason, int) {
	return func(reason ingress.Reason, count int) {
		n.metrics.clientsRefused.WithLabelValues(listener, reason.String()).Add(float64(count))
		events.Log(n.log, reason.Event(), listener, count)
	}
}

// shareMemory leaves half of the memory of the callers' requests to the dispatcher, until the returned function is called.
func (n *Node) shareMemory() (restore func()) {
	_, budget := ingress.Size(n.settings.MemoryMB, 0)
	n.callerGuard.SetBudget(budget / 2)
	return func() { n.callerGuard.SetBudget(budget) }
}

// workspaceOf returns the workspace of a call's key. A key that isn't known names none: with a new one for each connection, a client would never be the one
// that holds most.
func (o *operatorFollower) workspaceOf(r *http.Request) string {
	key := platform.CallerKey(r)
	o.mu.RLock()
	defer o.mu.RUnlock()
	return o.keys[key]
}
