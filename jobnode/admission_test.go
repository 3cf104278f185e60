package jobnode

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"example.org/comfreyrouter/dispatch"
	"example.org/comfreyrouter/internal/boottime"
	"example.org/comfreyrouter/internal/standin/keyedstore"
	"example.org/comfreyrouter/jobs"
	"example.org/comfreyrouter/ledger"
	"example.org/comfreyrouter/platform"
	"example.org/comfreyrouter/relay"
)

// TestRelayedJobsSurviveStoppingNodes guards against jobs that are lost or run twice when orders and records go through other nodes, also while the
// relaying node or the dispatcher stops.
func TestRelayedJobsSurviveStoppingNodes(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t, 4)
	f.relayed = true
	nodes := []*testNode{f.startNode("a"), f.startNode("b"), f.startNode("c")}
	var ids []string
	submit := func(n *testNode) {
		for range 5 {
			id := fmt.Sprintf("%016x", 0x900+len(ids))
			require.Equal(t, http.StatusOK, n.status(http.MethodPost, "/q/"+id, testKey, twoSteps))
			ids = append(ids, id)
		}
	}
	for _, n := range nodes {
		submit(n)
	}
	nodes[1].stop()
	submit(nodes[2])
	nodes[0].stop()
	submit(nodes[2])
	for _, id := range ids {
		require.Eventually(t, func() bool { return nodes[2].phase(id) == `{"phase":"complete"}` }, waitTimeout, pollInterval, id)
	}
	for task, n := range f.starts() {
		assert.Equal(t, 1, n, task)
	}
}

// TestUnconfirmedPutIsNotARefusal guards against telling a caller that a job was not accepted when the dispatcher has stored it and only its answer
// was lost.
func TestUnconfirmedPutIsNotARefusal(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t, 0)
	f.enableFault("/log-append", keyedstore.Unavailable)
	for outcome, want := range map[PutOutcome]error{PutRejected: platform.ErrNotWritten, PutUnconfirmed: platform.ErrUnconfirmed, PutStored: nil} {
		w := newWriter(platform.NewStoreClient(f.address.String()), func(context.Context, []ledger.Record) PutOutcome { return outcome }, zerolog.Nop())
		item := pendingWrite{ledger.CancelRecord(jobID), boottime.Now() + 100*time.Millisecond, make(chan error, 1)}
		w.append(t.Context(), []pendingWrite{item})
		assert.True(t, errors.Is(<-item.result, want), "outcome %d", outcome)
	}
}

// TestDispatcherStoresForNodesOnlyWhileItsAppendsSucceed guards against records that wait at a dispatcher which has lost its role or the store, or
// was suspended, and against telling a node that records are not stored when they may be.
func TestDispatcherStoresForNodesOnlyWhileItsAppendsSucceed(t *testing.T) {
	t.Parallel()
	records := []ledger.Record{ledger.CancelRecord(jobID)}
	d := &dispatcher{renewedAt: boottime.Now() - roleLease}
	assert.Equal(t, PutRejected, d.storeForNode(records), "it may have been replaced")
	d.renewedAt = boottime.Now()
	assert.Equal(t, PutUnconfirmed, d.storeForNode(records), "its append was not answered in time")
	waiting := make(chan PutOutcome, 1)
	d.takePuts()
	go func() { waiting <- d.storeForNode(records) }()
	require.Eventually(t, func() bool {
		d.mu.Lock()
		defer d.mu.Unlock()
		return len(d.puts) == 1
	}, waitTimeout, time.Millisecond)
	d.closePuts()
	assert.Equal(t, PutRejected, <-waiting, "it was never appended")
	assert.Equal(t, PutRejected, d.storeForNode(records))
	a := &AdmissionService{log: zerolog.Nop()}
	assert.Equal(t, PutRejected, a.put(records))
	_, ok := a.decide(&jobs.Submission{})
	assert.False(t, ok, "a node that isn't the dispatcher gives no verdict")
}

// TestOnlyNewJobsAreMarkedAsPossiblyStarted guards against a resubmitted job that loses its progress, so that its tasks run twice.
func TestOnlyNewJobsAreMarkedAsPossiblyStarted(t *testing.T) {
	t.Parallel()
	f := newFollower(nil, zerolog.Nop())
	spec := jobs.Spec{Steps: []jobs.Step{{Count: 1}}}
	submit := func(id string) ledger.Record {
		return ledger.SubmissionRecord(jobs.Submission{ID: id, Spec: spec, MaxAttempts: 1})
	}
	const running, done, fresh = "00000000000000a1", "00000000000000a2", "00000000000000a3"
	for i, r := range append([]ledger.Record{submit(running), submit(done)}, ledger.FinalStateRecords(done, ledger.FinalState{Phase: jobs.Complete})...) {
		_, _, err := f.ledger.Apply(r, int64(i))
		require.NoError(t, err)
	}
	d := &dispatcher{follower: f, core: dispatch.New(dispatch.Params{Epoch: 1}, f.ledger, &jobs.Configuration{}, 0, 0)}
	for _, id := range []string{running, done, fresh} {
		d.core.Admit(&jobs.Submission{ID: id, Spec: spec})
	}
	marks := d.startMarks([]ledger.Record{submit(running), submit(done), submit(fresh), submit("00000000000000a4"), ledger.CancelRecord(fresh)})
	assert.Equal(t, []ledger.Record{ledger.ProgressRecord(fresh, ledger.Progress{MayHaveStarted: true})}, marks)
	f.ledger = ledger.New() // the job has reached the core, but its record has not been read back from the ledger yet
	assert.Empty(t, d.startMarks([]ledger.Record{submit(running)}))
}

// TestRelaysAreChosenBeforeLeasesAreRenewed guards against a new dispatcher that calls all servers directly, with a connection for each, because it
// has not chosen its relays yet: the dispatcher of 2,999 servers had 2,634 connections.
func TestRelaysAreChosenBeforeLeasesAreRenewed(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t, 6)
	var direct, all atomic.Int64
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		assert.NoError(t, relay.Serve(ctx, listener, renewalCounter{platform.NewServerClient(), &all}, nil, zerolog.Nop()))
	}()
	defer cancel()
	follower := newFollower(platform.NewStoreClient(f.address.String()), zerolog.Nop())
	now := time.Now().UnixMilli()
	follower.ledger.Nodes["relay"] = ledger.Node{Address: listener.Addr().String(), AtMS: now}
	l := ledger.New()
	for i, s := range f.servers {
		l.Servers[s.ID] = ledger.Server{Service: "pool", Address: f.addresses[i]}
	}
	d := &dispatcher{
		node: &Node{settings: DefaultSettings()}, log: zerolog.Nop(), cancel: cancel, follower: follower, renewing: map[string]chan struct{}{},
		servers: relay.NewClient(renewalCounter{platform.NewServerClient(), &direct}, zerolog.Nop()), renewedAt: boottime.Now(), wake: make(chan struct{}, 1),
		core: dispatch.New(dispatch.Params{Epoch: 99, Lease: time.Second}, l, &jobs.Configuration{}, boottime.Now(), now), role: ledger.Dispatcher{Epoch: 99},
	}
	defer d.servers.Close()
	d.node.settings.DirectServers = 0
	d.startRenewals(ctx)
	require.Eventually(t, func() bool { return all.Load() >= int64(len(f.servers)) }, waitTimeout, pollInterval)
	assert.Zero(t, direct.Load())
}

// renewalCounter counts the renewals that go through a server client.
type renewalCounter struct {
	relay.ServerClient
	renewals *atomic.Int64
}

func (c renewalCounter) Renew(ctx context.Context, server jobs.Server, r platform.Renewal) (jobs.Report, platform.RenewalResult) {
	c.renewals.Add(1)
	return c.ServerClient.Renew(ctx, server, r)
}
