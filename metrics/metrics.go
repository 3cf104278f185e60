// Package metrics holds the collectors of an entry VM. Labels take values from closed lists or from the configuration, so their
// number is bounded. docs/metrics.md is the catalogue; a test compares both.
package metrics

import (
	"fmt"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"example.org/comfreyrouter/errkind"
	"example.org/comfreyrouter/fleet"
	"example.org/comfreyrouter/internal/ingress"
	"example.org/comfreyrouter/logclient"
)

// description is one row of the catalogue.
type description struct {
	name, kind, labels, help string
}

// Row returns the line of the metric in the table of docs/metrics.md.
func (d description) Row() string {
	return fmt.Sprintf("| `%s` | %s | %s | %s |", d.name, d.kind, d.labels, d.help)
}

var (
	requests             = description{"comfreyrouter_requests_total", "counter", "outcome, class", "answered requests"}
	refusals             = description{"comfreyrouter_refusals_total", "counter", "kind", "requests that were refused or failed, by error kind"}
	retries              = description{"comfreyrouter_retries_total", "counter", "kind", "attempts that were repeated, by the error kind of the failed attempt"}
	startDelay           = description{"comfreyrouter_start_delay_seconds", "histogram", "class", "time from the arrival of a request to the start of its task"}
	waitingRequests      = description{"comfreyrouter_waiting_requests", "gauge", "", "requests that wait on this VM"}
	runningTasks         = description{"comfreyrouter_running_tasks", "gauge", "", "tasks that run for this VM"}
	logOffset            = description{"comfreyrouter_log_offset", "gauge", "", "offset of the last log record that was applied"}
	logReadAge           = description{"comfreyrouter_log_read_age_seconds", "gauge", "", "time since the log was last read to its end"}
	configVersion        = description{"comfreyrouter_config_version", "gauge", "", "version of the configuration in force"}
	viewFresh            = description{"comfreyrouter_view_fresh", "gauge", "", "1 if keys may be checked on this VM's view, otherwise 0"}
	leaseLeft            = description{"comfreyrouter_lease_left_seconds", "gauge", "", "time until the lease on grants ends"}
	recordsSinceSnapshot = description{"comfreyrouter_records_since_snapshot", "gauge", "", "records that were appended since the last snapshot"}
	logEvents            = description{"comfreyrouter_log_events_total", "counter", "event", "appends, reads, snapshots and their failures, by logclient.Event"}
	clientsRefused       = description{"comfreyrouter_clients_refused_total", "counter", "listener, limit", "clients beyond the limits that were refused or disconnected"}
	unavailableServers   = description{"comfreyrouter_unavailable_servers", "gauge", "", "backend servers that are not available, planned or not"}
)

func catalogue() []description {
	return []description{
		requests, refusals, retries, startDelay, waitingRequests, runningTasks, logOffset, logReadAge,
		configVersion, viewFresh, leaseLeft, recordsSinceSnapshot, logEvents, clientsRefused, unavailableServers,
	}
}

// Values of the label listener.
const (
	ListenerCallers   = "callers"
	ListenerOperators = "operators"
)

// Metrics holds the collectors of one entry VM.
type Metrics struct {
	registry   *prometheus.Registry
	requests   *prometheus.CounterVec
	refusals   *prometheus.CounterVec
	retries    *prometheus.CounterVec
	startDelay *prometheus.HistogramVec
	logEvents  *prometheus.CounterVec
	clients    *prometheus.CounterVec
}

// startDelayBuckets are dense up to 3.1 s, within which urgent work starts, and sparse beyond it, for overnight work.
var startDelayBuckets = []float64{0.005, 0.02, 0.1, 0.5, 1, 2, 3.1, 10, 60, 600}

// New returns the collectors. The counters of every error kind start at zero, so that a missing series never hides a refusal.
func New() *Metrics {
	m := &Metrics{
		registry:   prometheus.NewRegistry(),
		requests:   counter(requests, "outcome", "class"),
		refusals:   counter(refusals, "kind"),
		retries:    counter(retries, "kind"),
		startDelay: histogram(startDelay, startDelayBuckets, "class"),
		logEvents:  counter(logEvents, "event"),
		clients:    counter(clientsRefused, "listener", "limit"),
	}
	m.registry.MustRegister(m.requests, m.refusals, m.retries, m.startDelay, m.logEvents, m.clients,
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	for _, k := range errkind.All() {
		m.refusals.WithLabelValues(string(k))
		m.retries.WithLabelValues(string(k))
	}
	for _, r := range ingress.Reasons() {
		m.clients.WithLabelValues(ListenerCallers, r.String())
		m.clients.WithLabelValues(ListenerOperators, r.String())
	}
	return m
}

func counter(d description, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Name: d.name, Help: d.help}, labels)
}

func histogram(d description, buckets []float64, labels ...string) *prometheus.HistogramVec {
	return prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: d.name, Help: d.help, Buckets: buckets}, labels)
}

// Refused counts a request that was refused or failed.
func (m *Metrics) Refused(k errkind.Kind) { m.refusals.WithLabelValues(string(k)).Inc() }

// ClientsRefused counts clients of a listener that were refused because of a limit.
func (m *Metrics) ClientsRefused(listener, limit string, n int) {
	m.clients.WithLabelValues(listener, limit).Add(float64(n))
}

// Retried counts an attempt that is repeated after an error of kind k.
func (m *Metrics) Retried(k errkind.Kind) { m.retries.WithLabelValues(string(k)).Inc() }

// Finished counts an answered request.
func (m *Metrics) Finished(o errkind.Outcome, class fleet.Class) {
	m.requests.WithLabelValues(string(o), string(class)).Inc()
}

// StartDelay records the time from the arrival of a request to the start of its task.
func (m *Metrics) StartDelay(class fleet.Class, d time.Duration) {
	m.startDelay.WithLabelValues(string(class)).Observe(d.Seconds())
}

// LogEvent counts an event of the log client.
func (m *Metrics) LogEvent(e logclient.Event) { m.logEvents.WithLabelValues(string(e)).Inc() }

// Gauges holds the functions that return the values of the gauges. They are called at each scrape; a gauge without a function isn't served.
type Gauges struct {
	Waiting, Running, Offset, ReadAge, Version, ViewFresh, LeaseLeft, SinceSnapshot, Unavailable func() float64
}

// RegisterGauges registers the gauges. It must be called at most once: a second registration panics.
func (m *Metrics) RegisterGauges(g Gauges) {
	for d, fn := range map[description]func() float64{
		waitingRequests: g.Waiting, runningTasks: g.Running, logOffset: g.Offset, logReadAge: g.ReadAge, configVersion: g.Version,
		viewFresh: g.ViewFresh, leaseLeft: g.LeaseLeft, recordsSinceSnapshot: g.SinceSnapshot, unavailableServers: g.Unavailable,
	} {
		if fn != nil {
			m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: d.name, Help: d.help}, fn))
		}
	}
}

// Handler serves the metrics.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}
