package jobnode

import (
	"encoding/json"
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"example.org/comfreyrouter/errkind"
	"example.org/comfreyrouter/internal/standin/keyedstore"
	"example.org/comfreyrouter/operatorapi"
)

// query sends a query of an operator and decodes the answer. It returns the status.
func (n *testNode) query(t *testing.T, name, token string, into any) int {
	t.Helper()
	req, err := http.NewRequest(http.MethodGet, "http://"+n.operators.String()+"/v1/jobs/"+name, nil)
	require.NoError(t, err)
	req.Header.Set("Authorization", "Bearer "+token)
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	defer func() { require.NoError(t, resp.Body.Close()) }()
	require.NoError(t, json.NewDecoder(resp.Body).Decode(into))
	return resp.StatusCode
}

// Guards against a query that only the dispatcher's own node answers, or that is answered without the operators' token.
func TestEveryNodeAnswersQueriesOfOperators(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t, 2)
	f.relayed = true
	nodes := []*testNode{f.startNode("a"), f.startNode("b")}
	for _, n := range nodes {
		var status operatorapi.DispatcherStatus
		require.Eventually(t, func() bool { return n.query(t, "dispatcher", testToken, &status) == http.StatusOK }, waitTimeout, pollInterval)
		assert.Contains(t, []string{"a", "b"}, status.Node)
		var failure operatorapi.Failure
		assert.Equal(t, http.StatusUnauthorized, n.query(t, "dispatcher", "other", &failure))
		assert.Equal(t, http.StatusNotFound, n.query(t, "nothing", testToken, &failure))
	}
}

// Guards against an answer from the state of a dispatcher that may have been replaced.
func TestQueriesAreRefusedWithoutADispatcher(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t, 1)
	n := f.startNode("a")
	var status operatorapi.DispatcherStatus
	require.Eventually(t, func() bool { return n.query(t, "dispatcher", testToken, &status) == http.StatusOK }, waitTimeout, pollInterval)
	f.enableFault("/log", keyedstore.Unavailable)
	var failure operatorapi.Failure
	require.Eventually(t, func() bool { return n.query(t, "dispatcher", testToken, &failure) == http.StatusServiceUnavailable }, waitTimeout, pollInterval)
	assert.Equal(t, errkind.NoDispatcher, failure.Kind)
}
