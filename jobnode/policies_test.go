package jobnode

import (
	"encoding/json"
	"net/http"
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"example.org/comfreyrouter/platform"
)

// policyService stands in for the policy service. It allows one server.
type policyService struct {
	mu            sync.Mutex
	allowed       string
	steps         []string
	concurrent    int
	maxConcurrent int
}

func (p *policyService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Step    string   `json:"step_id"`
		Servers []string `json:"workers"`
	}
	if r.URL.Path != "/advise" || json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	p.concurrent++
	p.maxConcurrent = max(p.maxConcurrent, p.concurrent)
	p.steps = append(p.steps, body.Step)
	first := len(p.steps) == 1
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		p.concurrent--
		p.mu.Unlock()
	}()
	if first {
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	rows := [][]string{}
	for _, s := range body.Servers {
		if s == p.allowed {
			rows = append(rows, []string{s, "t-" + body.Step})
		}
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"allowed": rows, "valid_ms": 3000}) // a client that has gone away notices the error itself
}

// TestTicketsAreFetched guards against jobs that never start because their queue has a policy, on the whole path from the configuration to the
// order, and against concurrent calls, which the service would make wait.
func TestTicketsAreFetched(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t, 2)
	service := &policyService{allowed: "s1"}
	f.policies = f.serve(service)
	for _, s := range f.servers {
		s.Ticket = func(step string) string { return "t-" + step }
	}
	config, err := json.Marshal(map[string]any{
		"version": 2,
		"routes": []map[string]any{{
			"name": "q", "host": testHost, "path_prefix": "/q/", "service": "pool", "max_attempts": 3, "slack_factor": 1.6, "target_latency_ms": 600,
			"recommendation": map[string]any{"decision_ms": 5, "period_ms": 1, "valid_ms": 3000},
		}},
		"services": []map[string]any{{"name": "pool"}},
		"tenants":  []map[string]any{{"name": "w", "api_keys": []string{testKey}, "weight": 50}},
	})
	require.NoError(t, err)
	f.store.Put(platform.TopicOperators, platform.KeyConfiguration, config)
	n := f.startNode("a")
	require.Equal(t, http.StatusOK, n.status(http.MethodPost, "/q/"+jobID, testKey, twoSteps))
	require.Eventually(t, func() bool { return n.phase(jobID) == `{"phase":"complete"}` }, waitTimeout, pollInterval)
	assert.Empty(t, f.servers[0].Starts())
	assert.Len(t, f.servers[1].Starts(), 5)
	assert.Zero(t, f.servers[1].Rejected()+f.servers[0].Rejected(), "no start without its ticket")
	service.mu.Lock()
	defer service.mu.Unlock()
	assert.Equal(t, 1, service.maxConcurrent)
	assert.Contains(t, service.steps, jobID+".0.1")
}
