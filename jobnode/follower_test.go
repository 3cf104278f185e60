package jobnode

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"example.org/comfreyrouter/election"
	"example.org/comfreyrouter/internal/boottime"
	"example.org/comfreyrouter/jobs"
	"example.org/comfreyrouter/ledger"
	"example.org/comfreyrouter/platform"
)

// TestLatestRecordsAreNotASnapshot guards against a node that relies on the pages of latest records alone: a record that is replaced between the
// reads of two pages is in neither of them.
func TestLatestRecordsAreNotASnapshot(t *testing.T) {
	f := newFollower(nil, zerolog.Nop())
	submission := ledger.SubmissionRecord(jobs.Submission{ID: jobID, Route: "q"})
	f.restore([]platform.Record{{Key: submission.Key, Value: submission.Value, Offset: 7}})
	assert.False(t, f.fresh(), "the log may hold older records of other keys")
	assert.Zero(t, f.readWait())
	progress := ledger.ProgressRecord(jobID, ledger.Progress{Started: true})
	f.applyPage(platform.Page{Records: []platform.Record{{Key: progress.Key, Value: progress.Value, Offset: 6}}, Next: 8, End: 8}, boottime.Now())
	assert.True(t, f.fresh())
	phase, known, _ := f.phase(jobID)
	require.True(t, known)
	assert.Equal(t, jobs.Running, phase)
}

// TestOlderRecordsDoNotReplaceLatest guards against a state that goes backwards when the log is read after the latest records.
func TestOlderRecordsDoNotReplaceLatest(t *testing.T) {
	f := newFollower(nil, zerolog.Nop())
	newer := ledger.ProgressRecord(jobID, ledger.Progress{Started: true})
	older := ledger.ProgressRecord(jobID, ledger.Progress{})
	f.restore([]platform.Record{{Key: newer.Key, Value: newer.Value, Offset: 9}})
	f.applyPage(platform.Page{Records: []platform.Record{{Key: older.Key, Value: older.Value, Offset: 5}}, Next: 10, End: 10}, boottime.Now())
	assert.True(t, f.ledger.Jobs[jobID].Progress.Started)
}

// newTestElector returns an elector whose follower has read the record of its own node and that of the given dispatcher.
func newTestElector(t *testing.T, dispatcher ledger.Dispatcher) (*elector, *follower) {
	t.Helper()
	f := newFollower(nil, zerolog.Nop())
	o := newOperatorFollower(nil, Bounds{RevokeWithin: time.Second}, zerolog.Nop())
	o.config = &jobs.Configuration{}
	e := &elector{node: "b", incarnation: "b/2", follower: f, operators: o, presence: &presence{}}
	records := []ledger.Record{ledger.NodeRecord("b", ledger.Node{Incarnation: "b/2", Start: 2}), ledger.DispatcherRecord(dispatcher)}
	page := platform.Page{Next: 2, End: 2}
	for i, r := range records {
		page.Records = append(page.Records, platform.Record{Key: r.Key, Value: r.Value, Offset: int64(i)})
	}
	f.applyPage(page, boottime.Now())
	f.applyPage(platform.Page{Next: 2, End: 2}, boottime.Now())
	return e, f
}

// TestSilenceCountsOnlyWhileTheLedgerIsRead guards against a node that takes the dispatcher for gone because the node itself couldn't read the
// ledger.
func TestSilenceCountsOnlyWhileTheLedgerIsRead(t *testing.T) {
	e, f := newTestElector(t, ledger.Dispatcher{Epoch: 1, Node: "a", Incarnation: "a/1"})
	f.confirmedAt, f.heardAt = boottime.Now()-time.Minute, boottime.Now()-time.Minute
	_, claim := e.evaluate()
	assert.False(t, claim, "no read for a minute")
	f.applyPage(platform.Page{Next: 2, End: 2}, boottime.Now())
	_, claim = e.evaluate()
	assert.False(t, claim, "the first read after a gap")
	e.eligibleSince -= election.SilenceTimeout
	f.heardAt -= election.SilenceTimeout
	f.confirmedAt = boottime.Now() - election.SilenceTimeout/2
	_, claim = e.evaluate()
	assert.False(t, claim, "the second half of the silence was not read")
	assert.True(t, f.suspicious)
	f.applyPage(platform.Page{Next: 2, End: 2}, boottime.Now())
	_, claim = e.evaluate()
	assert.True(t, claim)
}

// TestPreviousIncarnationIsNotTheDispatcher guards against waiting for a dispatcher whose process is known to have ended.
func TestPreviousIncarnationIsNotTheDispatcher(t *testing.T) {
	e, _ := newTestElector(t, ledger.Dispatcher{Epoch: 1, Node: "b", Incarnation: "b/1", Start: 1})
	_, claim := e.evaluate()
	assert.True(t, claim)
}

// TestNodeClaimsOnlyOnceItsRecordIsRead guards against a dispatcher whose end no other node could detect: the start number of its process has to be
// in the ledger first.
func TestNodeClaimsOnlyOnceItsRecordIsRead(t *testing.T) {
	e, _ := newTestElector(t, ledger.Dispatcher{})
	_, claim := e.evaluate()
	assert.True(t, claim)
	e.incarnation = "b/3"
	_, claim = e.evaluate()
	assert.False(t, claim)
}

// TestPredecessorsEndWhenTheyReportIt guards against waiting 12 s for servers that don't answer although the predecessor has stopped, and against a
// wait that starts again with each change of dispatcher.
func TestPredecessorsEndWhenTheyReportIt(t *testing.T) {
	_, f := newTestElector(t, ledger.Dispatcher{Epoch: 1, Node: "a", Incarnation: "a/1", Start: 1})
	claimed := boottime.Now()
	f.claimSeenAt[2] = claimed - 3*time.Second
	f.claimSeenAt[3] = claimed
	active := newPredecessors([]ledger.Predecessor{{Epoch: 1, Node: "a", Incarnation: "a/1", Start: 1}}, claimed)
	assert.Equal(t, claimed-3*time.Second+roleLease+orderGrace, active.ordersUntil(f), "counted from the claim of its successor")
	f.ledger.Nodes["a"] = ledger.Node{Incarnation: "a/1", Start: 1, EndedEpoch: 1}
	assert.Less(t, active.ordersUntil(f), claimed+time.Second)
	none := newPredecessors(nil, claimed)
	assert.Equal(t, claimed, none.ordersUntil(f))
}

// TestWriterReportsNotWrittenOnlyIfCertain guards against refusing a call after an append that may have succeeded.
func TestWriterReportsNotWrittenOnlyIfCertain(t *testing.T) {
	expire := func(unconfirmed bool) error {
		item := pendingWrite{deadline: boottime.Now() - 1, result: make(chan error, 1)}
		assert.Empty(t, expireWrites([]pendingWrite{item}, unconfirmed))
		return <-item.result
	}
	assert.ErrorIs(t, expire(true), platform.ErrUnconfirmed)
	assert.ErrorIs(t, expire(false), platform.ErrNotWritten)
	w := newWriter(nil, nil, zerolog.Nop())
	for range writeQueueSize {
		w.queue <- pendingWrite{}
	}
	assert.ErrorIs(t, w.Put(context.Background(), ledger.CancelRecord(jobID)), platform.ErrNotWritten)
}

// TestLaggingNodeIsNotFresh guards against a node that answers that a job isn't known while it is still reading the records of the last seconds,
// for example over a slow link.
func TestLaggingNodeIsNotFresh(t *testing.T) {
	f := newFollower(nil, zerolog.Nop())
	f.applyPage(platform.Page{Next: 5, End: 5}, boottime.Now()-time.Minute)
	f.applyPage(platform.Page{Next: 8, End: 20}, boottime.Now())
	assert.False(t, f.fresh())
	f.applyPage(platform.Page{Next: 20, End: 20}, boottime.Now())
	assert.True(t, f.fresh())
}

// TestRoleLeaseCountsFromTheClaim guards against a node that was suspended between its claim and its first decision, and that then takes itself for
// the only dispatcher.
func TestRoleLeaseCountsFromTheClaim(t *testing.T) {
	d := &dispatcher{renewedAt: boottime.Now() - roleLease - time.Second}
	assert.False(t, d.holdsRole())
	assert.True(t, d.canSendOrders(), "within the order grace")
	d.renewedAt = boottime.Now() - roleLease - orderGrace
	assert.False(t, d.canSendOrders())
	f := newFollower(nil, zerolog.Nop())
	o := newOperatorFollower(nil, Bounds{RevokeWithin: time.Second}, zerolog.Nop())
	o.config = &jobs.Configuration{}
	claimed := boottime.Now() - time.Minute
	var got time.Duration
	e := &elector{node: "a", incarnation: "a/1", follower: f, operators: o, claimedAt: claimed, run: func(_ context.Context, _ ledger.Dispatcher, at time.Duration) int64 {
		got = at
		return 1
	}}
	assert.Equal(t, int64(1), e.dispatch(context.Background(), ledger.Dispatcher{Epoch: 1}))
	assert.Equal(t, claimed, got)
}

// TestNodesFarBehindReadTheNewestRecords guards against nodes that read the whole log when they return from a partition: a third of the nodes used up
// the store's read bandwidth for seven seconds, and callers of all nodes saw the end of their jobs seconds late.
func TestNodesFarBehindReadTheNewestRecords(t *testing.T) {
	const left = 30_000
	var logReads, newestReads atomic.Int64
	done := ledger.FinalStateRecords(jobID, ledger.FinalState{Phase: jobs.Complete, Route: "q"})[0]
	store := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/log-newest" {
			newestReads.Add(1)
			_ = json.NewEncoder(w).Encode(map[string]any{"items": []map[string]any{{"key": done.Key, "value": done.Value, "offset": left}}, "end_offset": left + 1})
			return
		}
		logReads.Add(1)
		header := binary.BigEndian.AppendUint64(nil, left+1)
		_, _ = w.Write(binary.BigEndian.AppendUint64(header, 0))
	}))
	defer store.Close()
	f := newFollower(platform.NewStoreClient(store.Listener.Addr().String()), zerolog.Nop())
	gone := ledger.ServerRecord("gone", ledger.Server{Service: "pool"})
	f.applyPage(platform.Page{Records: []platform.Record{{Key: gone.Key, Value: gone.Value}}, Next: 1, End: 1}, boottime.Now())
	require.True(t, f.fresh())
	f.confirmedAt = boottime.Now() - time.Minute
	assert.Equal(t, firstPageKB, f.pageLimit())
	from, err := f.step(t.Context(), 1, boottime.Now())
	require.NoError(t, err)
	require.EqualValues(t, -1, from)
	assert.False(t, f.fresh(), "the state is old until the newest records have been read")
	from, err = f.step(t.Context(), from, boottime.Now())
	require.NoError(t, err)
	assert.EqualValues(t, left+1, from)
	_, err = f.step(t.Context(), from, boottime.Now())
	require.NoError(t, err)
	assert.True(t, f.fresh())
	phase, known, _ := f.phase(jobID)
	assert.True(t, known)
	assert.Equal(t, jobs.Complete, phase)
	assert.Empty(t, f.ledger.Servers, "removed in the records that weren't read")
	assert.EqualValues(t, 2, logReads.Load())
	assert.EqualValues(t, 1, newestReads.Load())
}
