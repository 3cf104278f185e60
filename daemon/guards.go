package daemon

import (
	"net/http"

	"example.org/comfreyrouter/callerapi"
	"example.org/comfreyrouter/errkind"
	"example.org/comfreyrouter/events"
	"example.org/comfreyrouter/internal/ingress"
	"example.org/comfreyrouter/metrics"
)

// operatorBudget bounds the memory of all unfinished calls of operators: a few of the largest.
const operatorBudget = 48 << 20

// callerGuard returns the bounds of the callers' listener. Connections leave a third of the descriptors to those to other VMs and to backend servers.
func (d *daemon) callerGuard(m *metrics.Metrics) *ingress.Guard {
	l := d.Settings.Limits
	conns, _ := ingress.Size(0, ingress.Descriptors(0))
	if conns == 0 || l.MaxCallerConnections < conns {
		conns = l.MaxCallerConnections
	}
	return ingress.NewGuard(ingress.Options{
		MaxConns: conns, Budget: int64(l.MaxWaitingBytes), CompleteBodyCost: 1, HeaderBytes: l.MaxHeaderBytes, OnRefused: d.logRefused(m, metrics.ListenerCallers),
		Group: func(r *http.Request) string { return r.Header.Get(callerapi.HeaderKey) },
		RefusalHeaders: http.Header{
			callerapi.HeaderOutcome: {string(errkind.NotRun)}, callerapi.HeaderErrorKind: {string(errkind.QueueFull)},
		},
	})
}

// operatorGuard returns the bounds of the operators' listener.
func (d *daemon) operatorGuard(m *metrics.Metrics) *ingress.Guard {
	return ingress.NewGuard(ingress.Options{
		MaxConns: d.Settings.Limits.MaxOperatorConnections, Budget: operatorBudget, HeaderBytes: d.Settings.Limits.MaxHeaderBytes,
		OnRefused: d.logRefused(m, metrics.ListenerOperators),
	})
}

// logRefused returns a function that logs and counts refused clients of a listener.
func (d *daemon) logRefused(m *metrics.Metrics, listener string) func(ingress.Reason, int) {
	return func(reason ingress.Reason, count int) {
		m.ClientsRefused(listener, reason.String(), count)
		events.Log(d.Logger, reason.Event(), listener, count)
	}
}
