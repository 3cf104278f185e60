package capacity

import (
	"bytes"
	"encoding/gob"
	"encoding/json"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/stretchr/testify/require"

	"example.org/comfreyrouter/backend"
	"example.org/comfreyrouter/errkind"
	"example.org/comfreyrouter/fleet"
	"example.org/comfreyrouter/internal/samplefleet"
	"example.org/comfreyrouter/keys"
	"example.org/comfreyrouter/peer"
)

// sizes returns today's size, and a quarter, a half and all of the two-year plan.
func sizes() map[string]samplefleet.Size {
	return map[string]samplefleet.Size{
		"today":    samplefleet.Today,
		"plan-25%": samplefleet.Plan.Scale(25),
		"plan-50%": samplefleet.Plan.Scale(50),
		"plan":     samplefleet.Plan,
	}
}

func forSizes(b *testing.B, fn func(b *testing.B, size samplefleet.Size)) {
	for _, name := range []string{"today", "plan-25%", "plan-50%", "plan"} {
		b.Run(name, func(b *testing.B) { fn(b, sizes()[name]) })
	}
}

// logState is the replicated state of a fleet, with one entry VM as the member that appends records to the log.
type logState struct {
	state  *fleet.State
	offset uint64
	bytes  int
}

const incarnation = "01HZZZZZZZZZZZZZZZZZZZZZZZ"

func newLogState(tb testing.TB, size samplefleet.Size) *logState {
	state, err := samplefleet.State(size)
	require.NoError(tb, err)
	f := &logState{state: state, offset: 1}
	f.apply(tb, fleet.Command{Join: &fleet.Join{VM: "entry-0", DataCentre: "dc-0", PeerAddress: "10.0.0.1:7100"}})
	return f
}

// apply encodes a record, and decodes and applies it as the follower does.
func (f *logState) apply(tb testing.TB, commands ...fleet.Command) []fleet.Result {
	f.offset++
	data, err := json.Marshal(fleet.Batch{Writer: incarnation, Seq: f.offset, Commands: commands})
	require.NoError(tb, err)
	f.bytes = len(data)
	return f.applyRecord(tb, data)
}

func (f *logState) applyRecord(tb testing.TB, data []byte) []fleet.Result {
	var batch fleet.Batch
	require.NoError(tb, json.Unmarshal(data, &batch))
	return f.state.Apply(f.offset, batch)
}

// BenchmarkChange measures a record with one configuration change.
func BenchmarkChange(b *testing.B) {
	forSizes(b, func(b *testing.B, size samplefleet.Size) {
		f := newLogState(b, size)
		n := 0
		for b.Loop() {
			n++
			team := fleet.Object[fleet.Team]{Name: "team-00", Value: &fleet.Team{Share: 1 + n%5, Limit: 100}}
			r := f.apply(b, fleet.Command{Configure: &fleet.Configure{
				ID: fmt.Sprint(n), Expect: f.state.Config.Version, Changes: []fleet.Change{{Team: &team}},
			}})
			require.NoError(b, r[0].Err())
		}
		b.ReportMetric(float64(f.bytes), "bytes/record")
	})
}

// claimsPerRecord is the number of orders whose claims and outcomes share a record, at 400 orders a second over 9 entry VMs.
const claimsPerRecord = 10

// BenchmarkClaims measures a record of claims and outcomes, and reports its cost per order.
func BenchmarkClaims(b *testing.B) {
	forSizes(b, func(b *testing.B, size samplefleet.Size) {
		f := newLogState(b, size)
		for b.Loop() {
			commands := make([]fleet.Command, 0, 2*claimsPerRecord)
			for range claimsPerRecord {
				id := ulid.Make().String()
				commands = append(commands,
					fleet.Command{Claim: &fleet.MakeClaim{Team: "team-00", RequestID: id}},
					fleet.Command{Finish: &fleet.FinishClaim{Team: "team-00", RequestID: id, Outcome: errkind.Done}})
			}
			f.apply(b, commands...)
		}
		b.ReportMetric(float64(f.bytes)/claimsPerRecord, "bytes/order")
		b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/claimsPerRecord, "ns/order")
	})
}

// BenchmarkRequestGrants measures a record in which an entry VM requests grants for all teams.
func BenchmarkRequestGrants(b *testing.B) {
	forSizes(b, func(b *testing.B, size samplefleet.Size) {
		f := newLogState(b, size)
		n := 0
		for b.Loop() {
			n++
			wants := make([]fleet.TeamCount, size.Teams)
			for i := range wants {
				wants[i] = fleet.TeamCount{Team: samplefleet.Team(i), Count: (n + i) % 40}
			}
			f.apply(b, fleet.Command{RequestGrants: &fleet.RequestGrants{Wants: wants}})
		}
		b.ReportMetric(float64(f.bytes), "bytes/record")
	})
}

// BenchmarkDrain measures the start and the end of a drain, with all disruption budgets checked.
func BenchmarkDrain(b *testing.B) {
	forSizes(b, func(b *testing.B, size samplefleet.Size) {
		f := newLogState(b, size)
		for b.Loop() {
			vm := samplefleet.Server(0)
			r := f.apply(b, fleet.Command{Drain: &fleet.StartDrain{VM: vm, Epoch: f.state.VMs[vm].Epoch}})
			require.NoError(b, r[0].Err())
			r = f.apply(b, fleet.Command{Phase: &fleet.AdvancePhase{VM: vm, Epoch: f.state.VMs[vm].Epoch, To: fleet.Serving}})
			require.NoError(b, r[0].Err())
		}
	})
}

// heapInUse returns the bytes of allocated heap objects after a garbage collection.
func heapInUse() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// maxClaims is the number of claims that the state keeps.
const maxClaims = 100_000

// BenchmarkState measures the memory of the state with all claims, and the size of its snapshot and the time to copy and encode it.
func BenchmarkState(b *testing.B) {
	forSizes(b, func(b *testing.B, size samplefleet.Size) {
		for b.Loop() {
			before := heapInUse()
			f := newLogState(b, size)
			config := heapInUse()
			for range maxClaims / claimsPerRecord {
				commands := make([]fleet.Command, claimsPerRecord)
				for i := range commands {
					commands[i].Claim = &fleet.MakeClaim{Team: "team-00", RequestID: ulid.Make().String()}
				}
				f.apply(b, commands...)
			}
			all := heapInUse()
			started := time.Now()
			f.state.Copy()
			copied := time.Since(started)
			started = time.Now()
			data, err := f.state.Encode()
			require.NoError(b, err)
			b.ReportMetric(float64(config-before)/1e6, "config-MB")
			b.ReportMetric(float64(all-config)/1e6, "claims-MB")
			b.ReportMetric(float64(len(data))/1e6, "snapshot-MB")
			b.ReportMetric(time.Since(started).Seconds()*1e3, "encode-ms")
			b.ReportMetric(copied.Seconds()*1e3, "copy-ms")
			runtime.KeepAlive(f)
		}
	})
}

// fullLoadStatus returns the heartbeat of an entry VM that runs its share of the tasks of a fully loaded fleet.
func fullLoadStatus(size samplefleet.Size) peer.Status {
	s := peer.Status{
		Incarnation: incarnation, VM: "entry-0", DataCentre: "dc-0", PeerAddress: "10.0.0.1:7100", Offset: 123456,
		Running: map[string]map[string]int{}, Waiting: map[string]map[string]int{}, Outstanding: map[string]int{},
	}
	for i := 0; i < size.Servers*8; i += size.EntryVMs {
		server := i % size.Servers
		s.Outstanding[samplefleet.Server(server)]++
		pool := samplefleet.Pool(server % size.Pools)
		if s.Running[pool] == nil {
			s.Running[pool] = map[string]int{}
		}
		s.Running[pool][samplefleet.Team((i/7)%size.Teams)]++
	}
	return s
}

// heartbeatBytes returns the size of a heartbeat without a load, on a connection that has already sent the gob types.
func heartbeatBytes(b *testing.B, s peer.Status) int {
	var buf bytes.Buffer
	enc := gob.NewEncoder(&buf)
	require.NoError(b, enc.Encode(s.WithoutLoad()))
	buf.Reset()
	require.NoError(b, enc.Encode(s.WithoutLoad()))
	return buf.Len()
}

// BenchmarkHeartbeat measures encoding and decoding one heartbeat at full load.
func BenchmarkHeartbeat(b *testing.B) {
	forSizes(b, func(b *testing.B, size samplefleet.Size) {
		state, err := samplefleet.State(size)
		require.NoError(b, err)
		codec := peer.NewLoadCodec(func() *fleet.Config { return state.Config })
		s := fullLoadStatus(size)
		light := heartbeatBytes(b, s)
		var buf bytes.Buffer
		enc, dec := gob.NewEncoder(&buf), gob.NewDecoder(&buf)
		bytesEach := 0
		for b.Loop() {
			require.NoError(b, enc.Encode(codec.Pack(s)))
			bytesEach = buf.Len()
			var got peer.Status
			require.NoError(b, dec.Decode(&got))
			_, ok := codec.Unpack(got)
			require.True(b, ok)
		}
		b.ReportMetric(float64(bytesEach), "bytes/status")
		b.ReportMetric(float64(light), "bytes/heartbeat")
	})
}

// BenchmarkServerStatus measures encoding and decoding the status of one backend server that runs eight tasks.
func BenchmarkServerStatus(b *testing.B) {
	st := backend.Status{Name: "server-000", ClockMillis: 1 << 40, Slots: 8, PoolEpoch: 1 << 20, RunningCount: 8}
	for b.Loop() {
		data, err := json.Marshal(st)
		require.NoError(b, err)
		var got backend.Status
		require.NoError(b, json.Unmarshal(data, &got))
		b.ReportMetric(float64(len(data)), "bytes/status")
	}
}

// BenchmarkAuthenticate measures the authentication of a key.
func BenchmarkAuthenticate(b *testing.B) {
	forSizes(b, func(b *testing.B, size samplefleet.Size) {
		state, err := samplefleet.State(size)
		require.NoError(b, err)
		none := func(string) bool { return false }
		for b.Loop() {
			_, err := keys.Authenticate(state.Config, none, samplefleet.Key("team-00"))
			require.NoError(b, err)
		}
	})
}
