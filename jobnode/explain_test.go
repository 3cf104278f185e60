package jobnode

import (
	"bytes"
	"encoding/json"
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"example.org/comfreyrouter/errkind"
	"example.org/comfreyrouter/operatorapi"
)

func (n *testNode) explain(t *testing.T, q operatorapi.ExplainQuery) (a operatorapi.ExplainAnswer, status int) {
	t.Helper()
	body, err := json.Marshal(q)
	require.NoError(t, err)
	req, err := http.NewRequest(http.MethodPost, "http://"+n.operators.String()+"/v1/jobs/explain", bytes.NewReader(body))
	require.NoError(t, err)
	req.Header.Set("Authorization", "Bearer "+testToken)
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	defer func() { require.NoError(t, resp.Body.Close()) }()
	require.NoError(t, json.NewDecoder(resp.Body).Decode(&a))
	return a, resp.StatusCode
}

// TestExplainOverTheOperatorsInterface guards against an explanation that sends the job, one that only the dispatcher's node gives, and one that takes an
// unknown key or path for a good one.
func TestExplainOverTheOperatorsInterface(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t, 2)
	f.relayed = true
	for _, n := range []*testNode{f.startNode("a"), f.startNode("b")} {
		query := operatorapi.ExplainQuery{Host: testHost, Path: "/q/00000000000000aa", Key: testKey, Body: []byte(twoSteps)}
		var a operatorapi.ExplainAnswer
		require.Eventually(t, func() bool {
			var status int
			a, status = n.explain(t, query)
			return status == http.StatusOK && a.Job != nil && len(a.Job.Steps[0].Starts) > 0
		}, waitTimeout, pollInterval)
		assert.Equal(t, "q", a.Queue)
		assert.True(t, a.Job.Accepted)
		assert.Equal(t, "pool", a.Job.Service)
		assert.Equal(t, "w", a.Job.Workspace)
		assert.Len(t, a.Job.Steps, 2)
		assert.False(t, a.Job.Steps[1].Ready)
		for _, refused := range []struct {
			change func(q *operatorapi.ExplainQuery)
			kind   errkind.Kind
		}{
			{func(q *operatorapi.ExplainQuery) { q.Key = "unknown" }, errkind.KeyUnknown},
			{func(q *operatorapi.ExplainQuery) { q.Key = "" }, errkind.KeyMissing},
			{func(q *operatorapi.ExplainQuery) { q.Path = "/nowhere/00000000000000aa" }, errkind.QueueUnknown},
			{func(q *operatorapi.ExplainQuery) { q.Body = []byte("{") }, errkind.BadRequest},
		} {
			q := query
			refused.change(&q)
			a, status := n.explain(t, q)
			assert.Equal(t, http.StatusOK, status)
			assert.Equal(t, string(refused.kind), a.Refused)
			assert.Nil(t, a.Job)
		}
		assert.Equal(t, http.StatusGone, n.status(http.MethodGet, query.Path, testKey, ""))
	}
	assert.Empty(t, f.starts())
}
