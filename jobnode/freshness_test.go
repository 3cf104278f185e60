package jobnode

import (
	"encoding/binary"
	"encoding/json"
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

// pagedLog is a store with one topic that returns one record at a time.
type pagedLog struct {
	records []platform.Record
	down    bool
}

func (l *pagedLog) put(key string, value []byte) {
	l.records = append(l.records, platform.Record{Key: key, Value: value, Offset: int64(len(l.records))})
}

// configure appends a configuration whose only workspace has the given keys.
func (l *pagedLog) configure(t *testing.T, keys ...string) {
	t.Helper()
	data, err := json.Marshal(map[string]any{"version": len(l.records) + 1, "tenants": []map[string]any{{"name": "w", "api_keys": keys, "weight": 50}}})
	require.NoError(t, err)
	l.put(platform.KeyConfiguration, data)
}

func (l *pagedLog) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case l.down:
		w.WriteHeader(http.StatusServiceUnavailable)
	case r.URL.Path == "/log-newest":
		newest := map[string]platform.Record{}
		for _, record := range l.records {
			newest[record.Key] = record
		}
		items := []map[string]any{}
		for _, record := range newest {
			if len(record.Value) > 0 {
				items = append(items, map[string]any{"key": record.Key, "value": record.Value, "offset": record.Offset})
			}
		}
		_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "end_offset": len(l.records)})
	default:
		var from int
		_ = json.Unmarshal([]byte(r.URL.Query().Get("from")), &from)
		out := binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, uint64(len(l.records))), 0)
		if from < len(l.records) {
			record := l.records[from]
			out = binary.BigEndian.AppendUint32(out, uint32(1+len(record.Key)+len(record.Value)))
			out = append(append(append(out, byte(len(record.Key))), record.Key...), record.Value...)
		}
		_, _ = w.Write(out)
	}
}

func newPagedLog(t *testing.T) (*pagedLog, *platform.StoreClient) {
	t.Helper()
	l := &pagedLog{}
	server := httptest.NewServer(l)
	t.Cleanup(server.Close)
	return l, platform.NewStoreClient(server.Listener.Addr().String())
}

// TestViewIsRecentOnceTheEndOfTheLogIsRead guards against a withdrawn key that a node accepts while it is behind on the operators' records: after an outage,
// after a second one while it catches up, and after a restart (review/12).
func TestViewIsRecentOnceTheEndOfTheLogIsRead(t *testing.T) {
	t.Parallel()
	const revokeWithin = revokeMargin + 2*time.Second
	log, store := newPagedLog(t)
	newFollower := func() *operatorFollower {
		return newOperatorFollower(store, Bounds{RevokeWithin: revokeWithin}, zerolog.Nop())
	}
	o, from := newFollower(), int64(-1)
	step := func() (caughtUp bool, err error) {
		from, caughtUp, err = o.step(t.Context(), from, 0, boottime.Now())
		return caughtUp, err
	}
	log.configure(t, "a")
	_, err := step()
	require.NoError(t, err)
	assert.False(t, o.view().fresh, "the newest records have been read, but not the log")
	caughtUp, err := step()
	require.NoError(t, err)
	assert.True(t, caughtUp)
	assert.True(t, o.view().fresh)

	log.configure(t, "a", "b")
	log.configure(t, "a", "b", "c")
	log.configure(t, "b", "c")
	time.Sleep(revokeWithin - revokeMargin) // the store is down
	for _, down := range []bool{false, true, false} {
		log.down = down
		_, err := step()
		assert.Equal(t, down, err != nil)
		assert.Contains(t, o.view().keys, "a")
		assert.False(t, o.view().fresh, "the withdrawal hasn't been read")
	}
	again, next := newFollower(), int64(-1) // another process
	next, _, err = again.step(t.Context(), next, 0, boottime.Now())
	require.NoError(t, err)
	assert.NotContains(t, again.view().keys, "a")
	_, _, err = again.step(t.Context(), next, 0, boottime.Now())
	require.NoError(t, err)
	assert.True(t, again.view().fresh)
	caughtUp, err = step()
	require.NoError(t, err)
	assert.True(t, caughtUp)
	assert.True(t, o.view().fresh)
	assert.NotContains(t, o.view().keys, "a")
}

// TestOlderRecordsOfOperatorsAreIgnored guards against a view that goes back to an older request when the log is read after the newest records.
func TestOlderRecordsOfOperatorsAreIgnored(t *testing.T) {
	o := newOperatorFollower(nil, Bounds{RevokeWithin: time.Second}, zerolog.Nop())
	key := platform.KeyEvacuationPrefix + "y"
	o.restore([]platform.Record{{Key: key, Value: []byte("{}"), Offset: 9}})
	o.applyRecords([]platform.Record{{Key: key, Offset: 5}})
	assert.True(t, o.evacuationView().State.Evacuated("y"))
	o.applyRecords([]platform.Record{{Key: key, Offset: 10}})
	assert.False(t, o.evacuationView().State.Evacuated("y"))
}

// TestRemovedWavesAreForgotten guards against machines that are sent to their upkeep for a wave whose removal was dropped from the log before it was read.
func TestRemovedWavesAreForgotten(t *testing.T) {
	o := newOperatorFollower(nil, Bounds{RevokeWithin: time.Second}, zerolog.Nop())
	wave := func(n string) platform.Record {
		return platform.Record{Key: platform.KeyWavePrefix + n, Value: []byte(`{"wave":` + n + `,"machines":["m"],"duration_s":10,"cap":1}`)}
	}
	o.restore([]platform.Record{wave("1"), wave("2")})
	require.Len(t, o.allWaves(), 2)
	o.restore([]platform.Record{wave("2")})
	require.Len(t, o.allWaves(), 1)
	assert.Equal(t, int64(2), o.allWaves()[0].Number)
}

// TestServerListIsCompleteAtTheEndOfTheLog guards against tasks on servers that have left: their machines are looked at once the list is complete, and the removal
// of an entry may have been dropped from the log before it was read.
func TestServerListIsCompleteAtTheEndOfTheLog(t *testing.T) {
	log, store := newPagedLog(t)
	entry := []byte(`{"service":"s","address":"10.0.0.1:80","phase":"ready","room":{"cpu":1},"host_machine":"m"}`)
	for _, id := range []string{"a", "b", "c"} {
		log.put(id, entry)
	}
	core := dispatch.New(dispatch.Params{Epoch: 1}, ledger.New(), &jobs.Configuration{}, boottime.Now(), 0)
	d := &dispatcher{store: store, core: core, node: &Node{}, log: zerolog.Nop()}
	list, from := newServerList(zerolog.Nop()), int64(-1)
	step := func() (caughtUp bool) {
		var err error
		from, caughtUp, err = d.stepServerList(t.Context(), list, from, false)
		require.NoError(t, err)
		return caughtUp
	}
	assert.False(t, step())
	assert.True(t, step())
	assert.Len(t, core.Servers(), 3)
	log.put("a", nil)
	log.put("b", nil)
	assert.False(t, step(), "one of two records")
	from = -1 // the history was dropped
	assert.False(t, step())
	assert.True(t, step())
	assert.Equal(t, map[string]bool{"c": true}, list.listed)
}
