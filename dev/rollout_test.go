package dev

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"example.org/comfreyrouter/ctl"
	"example.org/comfreyrouter/operatorapi"
)

func startCluster(tb testing.TB) (*Cluster, *StartCounter) {
	counter := NewStartCounter()
	c, err := Start(context.Background(), Options{Logger: zerolog.Nop(), OnStart: counter.OnStart})
	require.NoError(tb, err)
	tb.Cleanup(func() { assert.NoError(tb, c.Close()) })
	return c, counter
}

// TestLoadIsNeitherDoubledNorLost sends a load over real sockets while a backend server is killed, a preset is changed and a key is withdrawn, and
// checks that no unrepeatable request starts twice and that every caller gets a true answer.
func TestLoadIsNeitherDoubledNorLost(t *testing.T) {
	c, counter := startCluster(t)
	summary, err := NewLoad(c, counter).Run(t.Context(), 300)
	require.NoError(t, err)
	require.NoError(t, summary.Err(), summary.String())
	assert.Equal(t, 300, summary.Requests)
	assert.Greater(t, summary.Done, 200, "most requests are served: %s", summary)
}

// BenchmarkRollOut measures the time from an operator's request to use a preset until every entry VM has applied it.
func BenchmarkRollOut(b *testing.B) {
	c, _ := startCluster(b)
	var clients []*ctl.Client
	for _, address := range c.OperatorAddresses() {
		client, err := ctl.NewClient(address, "")
		require.NoError(b, err)
		clients = append(clients, client)
	}
	presets := []string{"peak", "ordinary"}
	n := 0
	var total, longest time.Duration
	for b.Loop() {
		expect := version(b, clients[0])
		started := time.Now()
		use := operatorapi.UsePreset{Guard: operatorapi.Guard{ID: fmt.Sprint("roll-out-", n), Expect: &expect}}
		var accepted operatorapi.Accepted
		require.NoError(b, clients[0].Call(b.Context(), "POST", "/v1/presets/"+presets[n%2]+"/use", use, &accepted))
		for _, client := range clients {
			for version(b, client) < accepted.Version {
				require.NoError(b, sleep(b.Context(), time.Millisecond))
			}
		}
		took := time.Since(started)
		total += took
		longest = max(longest, took)
		n++
	}
	b.ReportMetric(float64(total.Milliseconds())/float64(n), "mean-ms")
	b.ReportMetric(float64(longest.Milliseconds()), "max-ms")
}

// version returns the version of the configuration that is active on an entry VM.
func version(b *testing.B, client *ctl.Client) uint64 {
	var status operatorapi.ClusterStatus
	require.NoError(b, client.Call(b.Context(), "GET", "/v1/status", nil, &status))
	return status.Version
}
