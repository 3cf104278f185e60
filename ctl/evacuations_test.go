package ctl

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"example.org/comfreyrouter/operatorapi"
)

// TestEvacuationsWarnOfTooLittleCapacity guards against a dry run that doesn't name its data centres to the fleet, and one whose answer hides that too few
// machines are left.
func TestEvacuationsWarnOfTooLittleCapacity(t *testing.T) {
	var asked operatorapi.EvacuationQuery
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		require.Equal(t, "/v1/jobs/evacuations", r.URL.Path)
		require.NoError(t, json.NewDecoder(r.Body).Decode(&asked))
		require.NoError(t, json.NewEncoder(w).Encode(operatorapi.Evacuations{
			DataCentres: []operatorapi.EvacuatedDataCentre{{Name: "a", Servers: 3, LongRunning: 2}, {Name: "b", InForce: true}},
			Services:    []operatorapi.RemainingCapacity{{Service: "quotes", Machines: 5, Left: 2, Needed: 2.5}, {Service: "off", Spare: true, Machines: 2, Left: 2}},
		}))
	}))
	t.Cleanup(server.Close)
	f := &fixture{t: t, server: server.Listener.Addr().String()}
	out := f.run(ExitOK, "evacuations", "-dry-run", "a")
	require.Equal(t, []string{"a"}, asked.DataCentres)
	require.Contains(t, out, "dry run: 3 servers, 0 short tasks, 2 long-running tasks")
	require.Contains(t, out, "in force, has no server")
	require.Contains(t, out, "2 of 5 machines left, 2.5 needed now, TOO FEW")
	require.NotContains(t, f.run(ExitOK, "evacuations"), "2 of 2 machines left, 0.0 needed now, TOO FEW")
	f.run(ExitUsage, "evacuations", "a")
	f.run(ExitUsage, "evacuations", "-dry-run")
}
