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

func fold(t require.TestingT, records []Record) *Ledger {
	l := New()
	for i, r := range records {
		_, _, err := l.Apply(r, int64(i))
		require.NoError(t, err)
	}
	return l
}

// draw returns records as nodes write them, submissions that come again and ends included.
func draw(rng *rand.Rand, n int) []Record {
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

// TestNewestRecordsGiveTheSameState guards against state that is lost when the store forgets its history: the newest record of each key
// has to show callers the same as all records.
func TestNewestRecordsGiveTheSameState(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 2))
		records := draw(rng, rapid.IntRange(1, 60).Draw(rt, "records"))
		newest := map[string]Record{}
		for _, r := range records {
			newest[r.Key] = r
		}
		var pages []Record
		for _, r := range newest {
			if len(r.Value) > 0 {
				pages = append(pages, r)
			}
		}
		whole, short := fold(rt, records), fold(rt, pages)
		for id := range whole.Jobs {
			require.Equal(rt, whole.Known(id), short.Known(id), id)
			if whole.Known(id) {
				require.Equal(rt, whole.Jobs[id].Phase(), short.Jobs[id].Phase(), id)
			}
		}
		require.Equal(rt, whole.Servers, short.Servers)
	})
}

// TestEndOutranksASubmissionThatComesAgain guards against a job that runs again because a lost append was carried out late.
func TestEndOutranksASubmissionThatComesAgain(t *testing.T) {
	submission := SubmissionRecord(jobs.Submission{ID: "00000000000000aa", Route: "q"})
	l := fold(t, append(append([]Record{submission}, FinalStateRecords("00000000000000aa", FinalState{Phase: jobs.Complete})...), submission))
	assert.Nil(t, l.Jobs["00000000000000aa"].Submission)
	assert.Equal(t, jobs.Complete, l.Jobs["00000000000000aa"].Phase())
	assert.Zero(t, l.CountQueued("q"))
}

// TestFirstClaimOfAnEpochWins guards against two nodes that both take themselves for the dispatcher of an epoch.
func TestFirstClaimOfAnEpochWins(t *testing.T) {
	l := fold(t, []Record{
		DispatcherRecord(Dispatcher{Epoch: 1, Node: "a", Incarnation: "a1"}),
		DispatcherRecord(Dispatcher{Epoch: 1, Node: "b", Incarnation: "b1"}),
		DispatcherRecord(Dispatcher{Epoch: 2, Node: "c", Incarnation: "c1"}),
		DispatcherRecord(Dispatcher{Epoch: 1, Node: "a", Incarnation: "a1"}),
	})
	assert.Equal(t, "c1", l.Dispatcher.Incarnation)
	assert.Equal(t, int64(2), l.DispatcherOffset)
}

// TestCancelBeforeTheSubmissionCounts guards against a job that runs on although its cancelling was answered by a node that didn't know
// the job yet.
func TestCancelBeforeTheSubmissionCounts(t *testing.T) {
	l := fold(t, []Record{CancelRecord("00000000000000aa"), SubmissionRecord(jobs.Submission{ID: "00000000000000aa", Route: "q"})})
	assert.Equal(t, jobs.Cancelled, l.Jobs["00000000000000aa"].Phase())
}

// TestMalformedRecordsAreReported guards against a record that another writer left and that stops the fold or is taken in silence.
func TestMalformedRecordsAreReported(t *testing.T) {
	for _, r := range []Record{{"x", []byte("1")}, {"z/1", []byte("1")}, {"j/1", []byte("{")}, {"o", []byte("[]")}, {"s/1", []byte("0x")}} {
		_, _, err := New().Apply(r, 0)
		assert.Error(t, err, r.Key)
	}
}

// TestOldJobsAreForgotten guards against a ledger that grows without end, and against forgetting a job that callers may still ask for.
func TestOldJobsAreForgotten(t *testing.T) {
	l := fold(t, append(FinalStateRecords("00000000000000aa", FinalState{Phase: jobs.Complete, EndedMS: 100}), FinalStateRecords("00000000000000ab", FinalState{Phase: jobs.Failed, EndedMS: 900})...))
	records := l.ExpiredJobRecords(500, 10)
	require.Len(t, records, 1)
	_, _, err := l.Apply(records[0], 99)
	require.NoError(t, err)
	assert.False(t, l.Known("00000000000000aa"))
	assert.True(t, l.Known("00000000000000ab"))
}
