package ledger

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"example.org/comfreyrouter/internal/testenv"
	"example.org/comfreyrouter/jobs"
)

func TestMain(m *testing.M) { testenv.Main(m) }

// replay returns the ledger that results from applying all records in order.
func replay(t require.TestingT, records []Record) *Ledger {
	l := New()
	for i, r := range records {
		_, _, err := l.Apply(r, int64(i))
		require.NoError(t, err)
	}
	return l
}

// randomRecords returns records such as nodes write, including repeated submissions and ends.
func randomRecords(rng *rand.Rand, n int) []Record {
	var records []Record
	for range n {
		id := fmt.Sprintf("%016x", rng.IntN(6))
		switch rng.IntN(7) {
		case 0, 1:
			records = append(records, SubmissionRecord(jobs.Submission{ID: id, Route: "q"}))
		case 2:
			records = append(records, CancelRecord(id))
		case 3:
			records = append(records, ProgressRecord(id, Progress{Started: true}))
		case 4:
			records = append(records, FinalStateRecords(id, FinalState{Phase: jobs.Complete, Route: "q"})...)
		case 5:
			records = append(records, ServerRecord(id, Server{Service: "s"}))
		case 6:
			records = append(records, ServerRemovedRecord(id))
		}
	}
	return records
}

// TestNewestRecordsGiveTheSameState guards against state that is lost when the store compacts its history: the newest record of each key
// must give callers the same answers as all records.
func TestNewestRecordsGiveTheSameState(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 2))
		records := randomRecords(rng, rapid.IntRange(1, 60).Draw(rt, "records"))
		newest := map[string]Record{}
		for _, r := range records {
			newest[r.Key] = r
		}
		var compacted []Record
		for _, r := range newest {
			if len(r.Value) > 0 {
				compacted = append(compacted, r)
			}
		}
		full, fromNewest := replay(rt, records), replay(rt, compacted)
		for id := range full.Jobs {
			require.Equal(rt, full.Known(id), fromNewest.Known(id), id)
			if full.Known(id) {
				require.Equal(rt, full.Jobs[id].Phase(), fromNewest.Jobs[id].Phase(), id)
			}
		}
		require.Equal(rt, full.Servers, fromNewest.Servers)
	})
}

// TestRepeatedSubmissionAfterTheEndIsIgnored guards against a job that runs again because an append without an answer took effect late.
func TestRepeatedSubmissionAfterTheEndIsIgnored(t *testing.T) {
	submission := SubmissionRecord(jobs.Submission{ID: "00000000000000aa", Route: "q"})
	l := replay(t, append(append([]Record{submission}, FinalStateRecords("00000000000000aa", FinalState{Phase: jobs.Complete})...), submission))
	assert.Nil(t, l.Jobs["00000000000000aa"].Submission)
	assert.Equal(t, jobs.Complete, l.Jobs["00000000000000aa"].Phase())
	assert.Zero(t, l.CountQueued("q"))
}

// TestFirstClaimOfAnEpochWins guards against two nodes that both consider themselves the dispatcher of the same epoch.
func TestFirstClaimOfAnEpochWins(t *testing.T) {
	l := replay(t, []Record{
		DispatcherRecord(Dispatcher{Epoch: 1, Node: "a", Incarnation: "a1"}),
		DispatcherRecord(Dispatcher{Epoch: 1, Node: "b", Incarnation: "b1"}),
		DispatcherRecord(Dispatcher{Epoch: 2, Node: "c", Incarnation: "c1"}),
		DispatcherRecord(Dispatcher{Epoch: 1, Node: "a", Incarnation: "a1"}),
	})
	assert.Equal(t, "c1", l.Dispatcher.Incarnation)
	assert.Equal(t, int64(2), l.DispatcherOffset)
}

// TestCancellationBeforeTheSubmissionCounts guards against a job that keeps running although a node that didn't know the job yet has confirmed
// its cancellation.
func TestCancellationBeforeTheSubmissionCounts(t *testing.T) {
	l := replay(t, []Record{CancelRecord("00000000000000aa"), SubmissionRecord(jobs.Submission{ID: "00000000000000aa", Route: "q"})})
	assert.Equal(t, jobs.Cancelled, l.Jobs["00000000000000aa"].Phase())
}

// TestMalformedRecordsAreReported guards against a malformed record of another writer that stops the replay or is silently accepted.
func TestMalformedRecordsAreReported(t *testing.T) {
	for _, r := range []Record{{"x", []byte("1")}, {"z/1", []byte("1")}, {"j/1", []byte("{")}, {"o", []byte("[]")}, {"s/1", []byte("0x")}} {
		_, _, err := New().Apply(r, 0)
		assert.Error(t, err, r.Key)
	}
}

// TestExpiredJobsAreRemoved guards against a ledger that grows without bound, and against removing a job that callers may still ask for.
func TestExpiredJobsAreRemoved(t *testing.T) {
	l := replay(t, append(FinalStateRecords("00000000000000aa", FinalState{Phase: jobs.Complete, EndedMS: 100}), FinalStateRecords("00000000000000ab", FinalState{Phase: jobs.Failed, EndedMS: 900})...))
	records := l.ExpiredJobRecords(500, 10)
	require.Len(t, records, 1)
	_, _, err := l.Apply(records[0], 99)
	require.NoError(t, err)
	assert.False(t, l.Known("00000000000000aa"))
	assert.True(t, l.Known("00000000000000ab"))
}

// TestLateSubmissionIsRemovedWithTheJob guards against a job that runs again after it has been forgotten: its submission was stored once more after its
// end, outlived the final state, and was a new job for the nodes that started later (review/3).
func TestLateSubmissionIsRemovedWithTheJob(t *testing.T) {
	sub := jobs.Submission{ID: "00000000000000aa"}
	for name, stored := range map[string][]Record{
		"log":            append(append([]Record{SubmissionRecord(sub)}, FinalStateRecords(sub.ID, FinalState{Phase: jobs.Complete, EndedMS: 100})...), SubmissionRecord(sub)),
		"newest records": {SubmissionRecord(sub), FinalStateRecords(sub.ID, FinalState{Phase: jobs.Complete, EndedMS: 100})[0]},
	} {
		t.Run(name, func(t *testing.T) {
			l := New()
			for i, r := range stored {
				_, _, err := l.Apply(r, int64(i))
				require.NoError(t, err)
			}
			assert.Equal(t, jobs.Complete, l.Jobs[sub.ID].Phase())
			assert.Equal(t, []Record{SubmissionRemovedRecord(sub.ID), JobRemovedRecord(sub.ID)}, l.ExpiredJobRecords(500, 10))
		})
	}
}
