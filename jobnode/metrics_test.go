package jobnode

import (
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"example.org/comfreyrouter/autoscale"
)

// TestMetricsAreDocumented guards against a metric of a node that operators can't look up.
func TestMetricsAreDocumented(t *testing.T) {
	m := newMetrics()
	m.refused.WithLabelValues("kind")
	m.add(map[string]int{"event": 1})
	m.addPoolUse("service", autoscale.Use{autoscale.Idle: 2 * time.Second})
	families, err := m.registry.Gather()
	require.NoError(t, err)
	doc, err := os.ReadFile("../docs/metrics.md")
	require.NoError(t, err)
	assert.Len(t, families, 4)
	for _, f := range families {
		assert.Contains(t, string(doc), "`"+f.GetName()+"`")
	}
	for _, state := range autoscale.States() {
		assert.Contains(t, string(doc), "`"+string(state)+"`")
	}
}
