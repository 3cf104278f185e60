package jobnode

import (
	"encoding/json"
	"net/http"
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
)

// dispatcherRecord returns the newest record of the dispatcher role.
func (f *testFleet) dispatcherRecord() (d ledger.Dispatcher) {
	require.NoError(f.t, json.Unmarshal(f.store.Latest(platform.TopicJobs, ledger.DispatcherRecord(d).Key), &d))
	return d
}

// crashOnce lets the only server crash with the first task that starts on it, and restart after a while.
func (f *testFleet) crashOnce() {
	s, crashed := f.servers[0], false
	s.CrashedBy = func(string) bool {
		first := !crashed
		crashed = true
		return first
	}
	s.Downtime = 300 * time.Millisecond
	s.OnRestart = func() { f.store.Put(platform.TopicServers, s.ID, s.Registration("pool", f.addresses[0])) }
}

// TestDispatcherClaimsAHigherEpoch guards against a dispatcher that calls a restarted server with the token of the former incarnation's calls, that takes its
// own claim for that of another node, or whose successor uses a lower token.
func TestDispatcherClaimsAHigherEpoch(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t, 1)
	f.crashOnce()
	a := f.startNode("a")
	require.Equal(t, http.StatusOK, a.status(http.MethodPost, "/q/"+jobID, testKey, twoSteps))
	require.Eventually(t, func() bool { return a.phase(jobID) == `{"phase":"complete"}` }, waitTimeout, pollInterval)
	first := f.dispatcherRecord()
	assert.Equal(t, "a", first.Node)
	assert.Equal(t, int64(2), first.Epoch, "one restart")
	b := f.startNode("b")
	a.stop()
	const second = "00000000000000ab"
	require.Equal(t, http.StatusOK, b.status(http.MethodPost, "/q/"+second, testKey, twoSteps))
	require.Eventually(t, func() bool { return b.phase(second) == `{"phase":"complete"}` }, waitTimeout, pollInterval)
	assert.Equal(t, "b", f.dispatcherRecord().Node)
	assert.Equal(t, int64(3), f.dispatcherRecord().Epoch)
}

// TestAppendsFollowTheClaimOfAHigherEpoch guards against appends that the store takes for repeats of another node's claim of the same epoch, which came too late:
// they would be lost, though the store confirms them.
func TestAppendsFollowTheClaimOfAHigherEpoch(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t, 0)
	store := platform.NewStoreClient(f.address.String())
	role := ledger.Dispatcher{Epoch: 4, Node: "a", Incarnation: "a/1"}
	d := &dispatcher{
		node: &Node{settings: DefaultSettings()}, log: zerolog.Nop(), role: role, epoch: 4, claimed: 4, sequence: 1, follower: newFollower(nil, zerolog.Nop()), store: store,
		renewedAt: boottime.Now(), wake: make(chan struct{}, 1), cancel: func() {},
		core: dispatch.New(dispatch.Params{Epoch: 4}, ledger.New(), &jobs.Configuration{}, boottime.Now(), time.Now().UnixMilli()),
	}
	require.True(t, d.append(t.Context(), []ledger.Record{ledger.DispatcherRecord(d.roleRecord(5))}))
	claim := ledger.DispatcherRecord(ledger.Dispatcher{Epoch: 5, Node: "b", Incarnation: "b/1"})
	_, err := store.Append(t.Context(), platform.TopicJobs, []platform.Record{{Key: claim.Key, Value: claim.Value}}, &platform.Producer{Name: producerName, Epoch: 5, Sequence: claimSequence})
	require.NoError(t, err)
	d.beginEpoch(5)
	cancelled := ledger.CancelRecord(jobID)
	require.True(t, d.append(t.Context(), []ledger.Record{cancelled}))
	assert.Equal(t, cancelled.Value, f.store.Latest(platform.TopicJobs, cancelled.Key))
	state := ledger.New()
	for _, r := range []ledger.Record{ledger.DispatcherRecord(d.roleRecord(5)), claim} {
		_, _, err := state.Apply(r, 0)
		require.NoError(t, err)
	}
	assert.Equal(t, "a/1", state.Dispatcher.Incarnation)
}

// TestUnconfirmedEpochIsLost guards against a node that dispatches again, with the permissions of its former claim, because the claim of a higher epoch whose
// outcome it didn't learn has taken effect.
func TestUnconfirmedEpochIsLost(t *testing.T) {
	e, f := newTestElector(t, ledger.Dispatcher{Epoch: 3, Node: "b", Incarnation: "b/2"})
	e.lostEpoch = 4
	d, claim := e.evaluate()
	assert.True(t, e.isLost(d), "the claim hasn't taken effect")
	assert.False(t, claim)
	r := ledger.DispatcherRecord(ledger.Dispatcher{Epoch: 4, Node: "b", Incarnation: "b/2"})
	f.applyPage(platform.Page{Records: []platform.Record{{Key: r.Key, Value: r.Value, Offset: 2}}, Next: 3, End: 3}, boottime.Now())
	d, claim = e.evaluate()
	assert.Equal(t, int64(4), d.Epoch)
	assert.True(t, e.isLost(d), "it has taken effect late")
	assert.False(t, claim)
	other := ledger.DispatcherRecord(ledger.Dispatcher{Epoch: 5, Node: "a", Incarnation: "a/1"})
	f.applyPage(platform.Page{Records: []platform.Record{{Key: other.Key, Value: other.Value, Offset: 3}}, Next: 4, End: 4}, boottime.Now())
	d, _ = e.evaluate()
	assert.False(t, e.isLost(d))
}

// TestEpochIsClaimedOnceTheStoreAnswers guards against a dispatcher that stops, or calls a restarted server with a token that nobody has claimed, because the store is
// down when the server restarts.
func TestEpochIsClaimedOnceTheStoreAnswers(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t, 1)
	f.crashOnce()
	a := f.startNode("a")
	down := f.enableFault("/log-append", keyedstore.Unavailable)
	down.Store(false)
	require.Equal(t, http.StatusOK, a.status(http.MethodPost, "/q/"+jobID, testKey, twoSteps))
	down.Store(true)
	time.Sleep(time.Second)
	down.Store(false)
	require.Eventually(t, func() bool { return a.phase(jobID) == `{"phase":"complete"}` }, waitTimeout, pollInterval)
	assert.Equal(t, int64(2), f.dispatcherRecord().Epoch)
}
