package jobnode

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"example.org/comfreyrouter/dispatch"
	"example.org/comfreyrouter/internal/boottime"
	"example.org/comfreyrouter/jobs"
	"example.org/comfreyrouter/ledger"
	"example.org/comfreyrouter/platform"
)

// TestSlowLedgerReadsDelayNoJob guards against a dispatcher that learns of the jobs which it has stored for other nodes only by reading the ledger:
// while a third of the nodes caught up with it and used the store's read bandwidth, each job waited one to two seconds for its first start.
func TestSlowLedgerReadsDelayNoJob(t *testing.T) {
	t.Parallel()
	store := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(`{"offset":7}`)) }))
	defer store.Close()
	d := &dispatcher{
		node: &Node{settings: DefaultSettings()}, log: zerolog.Nop(), role: ledger.Dispatcher{Epoch: 2}, follower: newFollower(nil, zerolog.Nop()),
		store: platform.NewStoreClient(store.Listener.Addr().String()), renewedAt: boottime.Now(), wake: make(chan struct{}, 1),
		core: dispatch.New(dispatch.Params{Epoch: 2}, ledger.New(), &jobs.Configuration{}, boottime.Now(), time.Now().UnixMilli()),
	}
	go d.appendLoop(t.Context())
	job := jobs.Submission{
		ID: "00000000000000a1", Route: "q", Service: "pool", MaxAttempts: 3, SlackFactor: 2, TargetMS: 600, ReceivedMS: time.Now().UnixMilli(),
		Spec: jobs.Spec{Steps: []jobs.Step{{Count: 1, EstimateMS: 500}}},
	}
	waiting := func() (n int) {
		d.update(func(c *dispatch.Core) { n = c.Counts().OnTime })
		return n
	}
	require.Equal(t, PutStored, d.storeForNode([]ledger.Record{ledger.SubmissionRecord(job)}))
	assert.Equal(t, 1, waiting(), "the ledger hasn't been read")
	require.Equal(t, PutStored, d.storeForNode([]ledger.Record{ledger.SubmissionRecord(job), ledger.CancelRecord(job.ID)}))
	assert.Zero(t, waiting(), "cancelled before the ledger has been read")
	require.Equal(t, PutStored, d.storeForNode([]ledger.Record{ledger.SubmissionRecord(job)}))
	assert.Zero(t, waiting(), "a repeated submission starts nothing again")
}
