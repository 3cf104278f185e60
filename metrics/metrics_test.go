package metrics

import (
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/assert"

	"example.org/comfreyrouter/errkind"
	"example.org/comfreyrouter/fleet"
	"example.org/comfreyrouter/internal/doctest"
	"example.org/comfreyrouter/logclient"
)

// TestCatalogueAgrees guards against a metric that is not documented for operators, and against a documented one that is never served.
func TestCatalogueAgrees(t *testing.T) {
	m := New()
	zero := func() float64 { return 0 }
	m.RegisterGauges(Gauges{zero, zero, zero, zero, zero, zero, zero, zero, zero})
	m.Finished(errkind.Done, fleet.Urgent)
	m.StartDelay(fleet.Urgent, 0)
	m.LogEvent(logclient.EventAppended)
	out := httptest.NewRecorder()
	m.Handler().ServeHTTP(out, httptest.NewRequest("GET", "/metrics", nil))
	var rows []string
	for _, d := range catalogue() {
		rows = append(rows, d.Row())
		assert.Contains(t, out.Body.String(), "\n"+d.name, "the metric is served")
	}
	doctest.TableAgrees(t, "../docs/metrics.md", rows)
	for _, k := range errkind.All() {
		assert.Contains(t, out.Body.String(), `comfreyrouter_refusals_total{kind="`+string(k)+`"}`)
	}
}
