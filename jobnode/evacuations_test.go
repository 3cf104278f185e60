package jobnode

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"example.org/comfreyrouter/dispatch"
	"example.org/comfreyrouter/evacuation"
	"example.org/comfreyrouter/internal/boottime"
	"example.org/comfreyrouter/internal/standin/keyedstore"
	"example.org/comfreyrouter/jobs"
	"example.org/comfreyrouter/operatorapi"
	"example.org/comfreyrouter/platform"
	"example.org/comfreyrouter/relay"
)

// TestEvacuatedDataCentreGetsNoStart guards against starts in an evacuated data centre, with a relay or without, by a dispatcher or its successor, and
// against jobs that stay behind after it is taken back.
func TestEvacuatedDataCentreGetsNoStart(t *testing.T) {
	for name, relayed := range map[string]bool{"direct": false, "relayed": true} {
		t.Run(name, func(t *testing.T) {
			f := newTestFleet(t, 2)
			f.relayed = relayed
			first, second := f.startNode("a"), f.startNode("b")
			key := platform.KeyEvacuationPrefix + "z"
			f.store.Put(platform.TopicOperators, key, []byte("{}"))
			time.Sleep(500 * time.Millisecond) // far below any agreed bound
			require.Equal(t, http.StatusOK, second.status(http.MethodPost, "/q/"+jobID, testKey, twoSteps))
			first.stop()
			time.Sleep(3 * time.Second) // a successor dispatches
			assert.Empty(t, f.starts())
			f.store.Put(platform.TopicOperators, key, nil)
			require.Eventually(t, func() bool { return second.phase(jobID) == `{"phase":"complete"}` }, waitTimeout, pollInterval)
		})
	}
}

// countingServers is a ServerClient that counts starts.
type countingServers struct {
	relay.ServerClient
	starts int
}

func (s *countingServers) Start(context.Context, jobs.Server, jobs.Order) jobs.StartResult {
	s.starts++
	return jobs.Started
}

// TestEachNodeChecksItsOwnView guards against a start that a node sends although it has read of an evacuation, or although it hasn't read for so long that
// it may have missed one, whoever has decided the start and however long ago.
func TestEachNodeChecksItsOwnView(t *testing.T) {
	o := newOperatorFollower(nil, Bounds{RevokeWithin: time.Second, Evacuate: 5 * time.Second}, zerolog.Nop())
	servers := &countingServers{}
	guard := startGuard{servers, o}
	start := func(dataCentre string) jobs.StartResult {
		return guard.Start(t.Context(), jobs.Server{DataCentre: dataCentre}, jobs.Order{})
	}
	assert.Equal(t, jobs.StartViewOutdated, start("z"), "it has never read")
	request := platform.Record{Key: platform.KeyEvacuationPrefix + "z", Value: []byte("not read")}
	o.applyRecords([]platform.Record{request, {Key: platform.KeyEvacuationPrefix, Value: []byte("{}")}})
	o.confirm(0, boottime.Now())
	assert.Equal(t, jobs.StartEvacuated, start("z"))
	assert.Equal(t, jobs.Started, start("y"))
	o.confirm(0, boottime.Now()-4*time.Second)
	assert.Equal(t, jobs.StartViewOutdated, start("y"))
	assert.Equal(t, 1, servers.starts)
	assert.Equal(t, 10*time.Second, upToDateAt(10*time.Second, time.Second, 12*time.Second, false))
	assert.Equal(t, 11*time.Second, upToDateAt(10*time.Second, time.Second, 12*time.Second, true), "the store had waited")
	assert.Equal(t, 10*time.Second, upToDateAt(10*time.Second, time.Second, 10500*time.Millisecond, true), "the store can't have waited")
}

// TestStartsResumeSoonAfterAnOutage guards against tasks that start only a second after the store is back, because the first read waits for a new record.
func TestStartsResumeSoonAfterAnOutage(t *testing.T) {
	f := newTestFleet(t, 0)
	waits := make(chan string, 100)
	f.store.SetFault(func(r *http.Request) keyedstore.Fault {
		if r.URL.Path == "/log-newest" {
			return keyedstore.NoFault
		}
		wait := r.URL.Query().Get("wait_ms")
		waits <- wait
		if wait == "0" && len(waits) == 1 {
			return keyedstore.NoFault
		}
		return keyedstore.Unavailable
	})
	o := newOperatorFollower(platform.NewStoreClient(f.address.String()), Bounds{RevokeWithin: time.Second, Evacuate: 5 * time.Second}, zerolog.Nop())
	go func() { assert.NoError(t, o.Run(t.Context())) }()
	assert.Eventually(t, func() bool { return len(waits) >= 3 }, waitTimeout, pollInterval)
	assert.Equal(t, "0", <-waits, "the log hasn't been read yet")
	assert.Equal(t, "900", <-waits)
	assert.Equal(t, "0", <-waits, "after a failed read")
}

// TestWithdrawalsThatWereNotReadCount guards against a data centre that stays evacuated after the store has lost its history, and one that is taken back
// because of a record that replays.
func TestWithdrawalsThatWereNotReadCount(t *testing.T) {
	o := newOperatorFollower(nil, Bounds{RevokeWithin: time.Second}, zerolog.Nop())
	record := func(name, value string) platform.Record {
		return platform.Record{Key: platform.KeyEvacuationPrefix + name, Value: []byte(value)}
	}
	o.applyRecords([]platform.Record{record("a", "{}"), record("b", "{}"), record("c", "{}"), record("c", "")})
	assert.Equal(t, []string{"a", "b"}, o.evacuationView().State.DataCentres())
	newest := []platform.Record{record("b", "{}"), record("d", "{}")}
	o.restore(newest)
	state := o.evacuationView().State
	assert.Equal(t, []string{"b", "d"}, state.DataCentres())
	assert.Equal(t, state, state.Withdraw("a", time.Hour))
	assert.Equal(t, evacuation.MayStart, o.evacuate.Decide(o.evacuationView(), "a", time.Hour), "no bound is configured")
}

// TestOperatorsSeeWhatAnEvacuationLeaves guards against an answer that hides a data centre, or machines that stay, and against a dry run that changes anything.
func TestOperatorsSeeWhatAnEvacuationLeaves(t *testing.T) {
	f := newTestFleet(t, 2)
	n := f.startNode("a")
	f.store.Put(platform.TopicOperators, platform.KeyEvacuationPrefix+"y", []byte("{}"))
	var seen operatorapi.Evacuations
	require.Eventually(t, func() bool {
		return n.query(t, "evacuations", testToken, &seen) == http.StatusOK && len(seen.DataCentres) == 1
	}, waitTimeout, pollInterval)
	assert.Equal(t, operatorapi.EvacuatedDataCentre{Name: "y", InForce: true}, seen.DataCentres[0], "without servers")
	config := &jobs.Configuration{Services: map[string]jobs.Service{"off": {Spare: true}}}
	capacity := jobs.Resources{CPU: 1000}
	machines := []jobs.Machine{{Pool: "a", DataCentre: "y", Capacity: capacity}, {Pool: "a", DataCentre: "z", Capacity: capacity}, {Pool: "off", DataCentre: "y", Capacity: capacity}}
	need := map[string]dispatch.Demand{"a": {Need: jobs.Resources{CPU: 1500}}}
	left := remainingCapacity(machines, evacuation.State{}.Request("y"), need, config)
	assert.Equal(t, []operatorapi.RemainingCapacity{{Service: "a", Machines: 2, Left: 1, Needed: 1.5}, {Service: "off", Spare: true, Machines: 1}}, left)
}
