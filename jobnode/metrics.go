package jobnode

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"example.org/comfreyrouter/autoscale"
)

// nodeMetrics holds the counters of a node.
type nodeMetrics struct {
	registry       *prometheus.Registry
	accepted       prometheus.Counter
	refused        *prometheus.CounterVec
	dispatchEvents *prometheus.CounterVec
	interference   *prometheus.GaugeVec
	poolUse        *prometheus.CounterVec
	clientsRefused *prometheus.CounterVec
}

func newMetrics() *nodeMetrics {
	m := &nodeMetrics{
		registry: prometheus.NewRegistry(),
		accepted: prometheus.NewCounter(prometheus.CounterOpts{Name: "comfreyrouter_jobs_accepted_total", Help: "Jobs accepted and stored."}),
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "comfreyrouter_jobs_refused_total", Help: "Calls that were refused, by error kind.",
		}, []string{"kind"}),
		dispatchEvents: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "comfreyrouter_dispatch_events_total", Help: "Events and decisions of this node's dispatcher, by event.",
		}, []string{"event"}),
		interference: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "comfreyrouter_interference_factor", Help: "Factor by which one task of the image beside slows down tasks of an image, while this node dispatches.",
		}, []string{"image", "beside"}),
		poolUse: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "comfreyrouter_pool_machine_seconds_total", Help: "Seconds of machines in pools that aren't spare while this node was the dispatcher, by service and state.",
		}, []string{"service", "state"}),
		clientsRefused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "comfreyrouter_clients_refused_total", Help: "Clients beyond the limits that were refused or disconnected, by listener and limit.",
		}, []string{"listener", "limit"}),
	}
	m.registry.MustRegister(m.accepted, m.refused, m.dispatchEvents, m.interference, m.poolUse, m.clientsRefused)
	return m
}

// add adds the event counts of a dispatcher.
func (m *nodeMetrics) add(events map[string]int) {
	for event, n := range events {
		m.dispatchEvents.WithLabelValues(event).Add(float64(n))
	}
}

// addPoolUse adds how long the machines of a service's pool were in each state.
func (m *nodeMetrics) addPoolUse(service string, use autoscale.Use) {
	for _, state := range autoscale.States() {
		m.poolUse.WithLabelValues(service, string(state)).Add(use[state].Seconds())
	}
}

func (m *nodeMetrics) handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}
