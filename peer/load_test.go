package peer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"example.org/comfreyrouter/fleet"
	"example.org/comfreyrouter/internal/samplefleet"
)

func sampleConfig(t require.TestingT) *fleet.Config {
	state, err := samplefleet.State(samplefleet.Size{Servers: 40, Pools: 7, Teams: 5, EntryVMs: 3, DataCentres: 3, Regions: 1})
	require.NoError(t, err)
	return state.Config
}

// TestLoadRoundTrip guards against counts that are decoded for another server, pool or team than they were encoded for.
func TestLoadRoundTrip(t *testing.T) {
	config := sampleConfig(t)
	codec := NewLoadCodec(func() *fleet.Config { return config })
	counts := func(rt *rapid.T, name func(int) string, n int) map[string]int {
		out := map[string]int{}
		for _, i := range rapid.SliceOfDistinct(rapid.IntRange(0, n-1), rapid.ID[int]).Draw(rt, "indexes") {
			out[name(i)] = rapid.IntRange(0, 500).Draw(rt, "count")
		}
		return out
	}
	rapid.Check(t, func(rt *rapid.T) {
		s := Status{VM: "entry-0", Offset: 7, Outstanding: counts(rt, samplefleet.Server, 40)}
		s.Running = map[string]map[string]int{samplefleet.Pool(3): counts(rt, samplefleet.Team, 5), samplefleet.Pool(6): {}}
		s.Waiting = map[string]map[string]int{samplefleet.Pool(0): counts(rt, samplefleet.Team, 5)}
		got, ok := codec.Unpack(codec.Pack(s))
		if !ok || !assert.ObjectsAreEqual(s, got) {
			rt.Fatalf("sent %+v, got %+v", s, got)
		}
	})
}

// TestLoadOfAnotherConfiguration guards against decoding indexes of one configuration with the names of another, and against a panic on
// malformed input.
func TestLoadOfAnotherConfiguration(t *testing.T) {
	config := sampleConfig(t)
	next := config.Clone()
	next.Version++
	codec := NewLoadCodec(func() *fleet.Config { return config })
	packed := codec.Pack(Status{Outstanding: map[string]int{samplefleet.Server(1): 2}})
	_, ok := NewLoadCodec(func() *fleet.Config { return next }).Unpack(packed)
	assert.False(t, ok)
	rapid.Check(t, func(rt *rapid.T) {
		packed.Load = rapid.SliceOf(rapid.Byte()).Draw(rt, "garbage")
		codec.Unpack(packed)
	})
}

// TestLoadPacerRespectsTheRate guards against control traffic that grows with the size of the load, and against a load that is never sent.
func TestLoadPacerRespectsTheRate(t *testing.T) {
	config := sampleConfig(t)
	codec := NewLoadCodec(func() *fleet.Config { return config })
	busy := Status{Running: map[string]map[string]int{}}
	for pool := range 7 {
		busy.Running[samplefleet.Pool(pool)] = map[string]int{}
		for team := range 5 {
			busy.Running[samplefleet.Pool(pool)][samplefleet.Team(team)] = 1 << 30
		}
	}
	p := NewLoadPacer()
	now := time.Unix(0, 0)
	sent := 0
	const seconds = 600
	for range 20 * seconds {
		now = now.Add(50 * time.Millisecond)
		sent += len(p.AttachLoad("incarnation", busy, codec, now).Load)
	}
	size := len(codec.Pack(busy).Load)
	assert.LessOrEqual(t, sent, loadBytesPerSecond*seconds+loadBurstBytes+size)
	assert.Greater(t, sent, loadBytesPerSecond*seconds*9/10)
}
