package jobnode

import (
	"context"
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

// TestPagesAreNoSnapshot guards against a node that decides on the pages of the newest records alone: a record that was replaced between
// two pages is in neither state of them.
func TestPagesAreNoSnapshot(t *testing.T) {
	f := newFollower(nil, zerolog.Nop())
	submission := ledger.SubmissionRecord(jobs.Submission{ID: jobID, Route: "q"})
	f.restore([]platform.Record{{Key: submission.Key, Value: submission.Value, Offset: 7}})
	assert.False(t, f.fresh(), "the tail may hold older records of other keys")
	assert.Zero(t, f.wait())
	progress := ledger.ProgressRecord(jobID, ledger.Progress{Started: true})
	f.take(platform.Page{Records: []platform.Record{{Key: progress.Key, Value: progress.Value, Offset: 6}}, Next: 8, End: 8}, boottime.Now())
	assert.True(t, f.fresh())
	phase, known, _ := f.phase(jobID)
	require.True(t, known)
	assert.Equal(t, jobs.Running, phase)
}

// TestOlderRecordsDoNotReplacePages guards against state that goes back when the tail is read after the pages.
func TestOlderRecordsDoNotReplacePages(t *testing.T) {
	f := newFollower(nil, zerolog.Nop())
	newer := ledger.ProgressRecord(jobID, ledger.Progress{Started: true})
	older := ledger.ProgressRecord(jobID, ledger.Progress{})
	f.restore([]platform.Record{{Key: newer.Key, Value: newer.Value, Offset: 9}})
	f.take(platform.Page{Records: []platform.Record{{Key: older.Key, Value: older.Value, Offset: 5}}, Next: 10, End: 10}, boottime.Now())
	assert.True(t, f.ledger.Jobs[jobID].Progress.Started)
}

// electing returns an elector whose follower has read that the node is known and that another node dispatches.
func electing(t *testing.T, dispatcher ledger.Dispatcher) (*elector, *follower) {
	t.Helper()
	f := newFollower(nil, zerolog.Nop())
	o := newOperators(nil, time.Second, zerolog.Nop())
	o.config = &jobs.Configuration{}
	e := &elector{node: "b", life: "b/2", follower: f, operators: o, presence: &presence{}}
	records := []ledger.Record{ledger.NodeRecord("b", ledger.Node{Incarnation: "b/2", Start: 2}), ledger.DispatcherRecord(dispatcher)}
	page := platform.Page{Next: 2, End: 2}
	for i, r := range records {
		page.Records = append(page.Records, platform.Record{Key: r.Key, Value: r.Value, Offset: int64(i)})
	}
	f.take(page, boottime.Now())
	f.take(platform.Page{Next: 2, End: 2}, boottime.Now())
	return e, f
}

// TestSilenceCountsOnlyWhileTheLedgerIsRead guards against a node that takes the dispatcher for gone because it couldn't read itself.
func TestSilenceCountsOnlyWhileTheLedgerIsRead(t *testing.T) {
	e, f := electing(t, ledger.Dispatcher{Epoch: 1, Node: "a", Incarnation: "a/1"})
	f.confirmed, f.heard = boottime.Now()-time.Minute, boottime.Now()-time.Minute
	_, claim := e.look()
	assert.False(t, claim, "no read for a minute")
	f.take(platform.Page{Next: 2, End: 2}, boottime.Now())
	_, claim = e.look()
	assert.False(t, claim, "the first read after a gap")
	e.able -= election.SilenceTimeout
	f.heard -= election.SilenceTimeout
	f.confirmed = boottime.Now() - election.SilenceTimeout/2
	_, claim = e.look()
	assert.False(t, claim, "nothing was read of the second half of the silence")
	assert.True(t, f.urgent)
	f.take(platform.Page{Next: 2, End: 2}, boottime.Now())
	_, claim = e.look()
	assert.True(t, claim)
}

// TestAFormerLifeIsNoDispatcher guards against a wait for a dispatcher whose process is known to have ended.
func TestAFormerLifeIsNoDispatcher(t *testing.T) {
	e, _ := electing(t, ledger.Dispatcher{Epoch: 1, Node: "b", Incarnation: "b/1", Start: 1})
	_, claim := e.look()
	assert.True(t, claim)
}

// TestANodeClaimsOnlyOnceItIsKnown guards against a dispatcher of which nobody could tell that its process has ended: its number of the start
// has to be in the ledger first.
func TestANodeClaimsOnlyOnceItIsKnown(t *testing.T) {
	e, _ := electing(t, ledger.Dispatcher{})
	_, claim := e.look()
	assert.True(t, claim)
	e.life = "b/3"
	_, claim = e.look()
	assert.False(t, claim)
}

// TestFormersEndWhenTheySaySo guards against a wait of 12 s for servers that don't answer although the former dispatcher has stopped, and
// against a wait that begins anew with each change of the dispatcher.
func TestFormersEndWhenTheySaySo(t *testing.T) {
	_, f := electing(t, ledger.Dispatcher{Epoch: 1, Node: "a", Incarnation: "a/1", Start: 1})
	claimed := boottime.Now()
	f.claims[2] = claimed - 3*time.Second
	f.claims[3] = claimed
	open := newFormers([]ledger.Predecessor{{Epoch: 1, Node: "a", Incarnation: "a/1", Start: 1}}, claimed)
	assert.Equal(t, claimed-3*time.Second+tenure+graceOfOrders, open.until(f), "counted from the claim that followed it")
	f.ledger.Nodes["a"] = ledger.Node{Incarnation: "a/1", Start: 1, EndedEpoch: 1}
	assert.Less(t, open.until(f), claimed+time.Second)
	none := newFormers(nil, claimed)
	assert.Equal(t, claimed, none.until(f))
}

// TestWriterSaysNotDoneOnlyIfSo guards against a refusal after an append that may have happened.
func TestWriterSaysNotDoneOnlyIfSo(t *testing.T) {
	give := func(unknown bool) error {
		item := write{giveUp: boottime.Now() - 1, result: make(chan error, 1)}
		assert.Empty(t, waiting([]write{item}, unknown))
		return <-item.result
	}
	assert.ErrorIs(t, give(true), platform.ErrUnconfirmed)
	assert.ErrorIs(t, give(false), platform.ErrNotWritten)
	w := newWriter(nil, nil, zerolog.Nop())
	for range writeQueue {
		w.queue <- write{}
	}
	assert.ErrorIs(t, w.Put(context.Background(), ledger.CancelRecord(jobID)), platform.ErrNotWritten)
}

// TestLaggingNodeIsNotFresh guards against a node that answers that a job isn't known while it is still reading the records of the last
// seconds, as over a slow link.
func TestLaggingNodeIsNotFresh(t *testing.T) {
	f := newFollower(nil, zerolog.Nop())
	f.take(platform.Page{Next: 5, End: 5}, boottime.Now()-time.Minute)
	f.take(platform.Page{Next: 8, End: 20}, boottime.Now())
	assert.False(t, f.fresh())
	f.take(platform.Page{Next: 20, End: 20}, boottime.Now())
	assert.True(t, f.fresh())
}

// TestTenureCountsFromTheClaim guards against a node that was suspended between its claim and its first decision, and that then takes
// itself for the only dispatcher.
func TestTenureCountsFromTheClaim(t *testing.T) {
	d := &dispatcher{renewed: boottime.Now() - tenure - time.Second}
	assert.False(t, d.holdsPlace())
	assert.True(t, d.mayOrder(), "within its grace")
	d.renewed = boottime.Now() - tenure - graceOfOrders
	assert.False(t, d.mayOrder())
	f := newFollower(nil, zerolog.Nop())
	o := newOperators(nil, time.Second, zerolog.Nop())
	o.config = &jobs.Configuration{}
	claimed := boottime.Now() - time.Minute
	var got time.Duration
	e := &elector{node: "a", life: "a/1", follower: f, operators: o, claimed: claimed, run: func(_ context.Context, _ ledger.Dispatcher, at time.Duration) { got = at }}
	e.lead(context.Background(), ledger.Dispatcher{Epoch: 1})
	assert.Equal(t, claimed, got)
}
