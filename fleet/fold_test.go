package fleet

import (
	"encoding/json"
	"math/rand/v2"
	"testing"

	"github.com/oklog/ulid/v2"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// steps is the number of batches of one random run.
const steps = 80

// keepFewClaims makes the fold drop claims after a few.
func keepFewClaims(t *testing.T) {
	before := maxClaims
	maxClaims = 4
	t.Cleanup(func() { maxClaims = before })
}

// wire passes a batch through JSON, as the log does.
func wire(t require.TestingT, b Batch) Batch {
	data, err := json.Marshal(b)
	require.NoError(t, err)
	var read Batch
	require.NoError(t, json.Unmarshal(data, &read))
	return read
}

func encoded(t require.TestingT, s any) string {
	data, err := json.Marshal(s)
	require.NoError(t, err)
	return string(data)
}

// restored passes a state through a snapshot in the log.
func restored(t require.TestingT, s *State) *State {
	data, err := s.Encode()
	require.NoError(t, err)
	var parts SnapshotAssembler
	var got *State
	for _, c := range SplitSnapshot("snap", s.Offset, data) {
		got, err = parts.Add(wire(t, Batch{Commands: []Command{c}}).Commands[0].Snapshot)
		require.NoError(t, err)
	}
	require.NotNil(t, got)
	return got
}

// Guards against every violation that the oracle knows, against a late copy of a batch that changes something, and against
// a snapshot that loses or adds something.
func TestRandomCommands(t *testing.T) {
	keepFewClaims(t)
	rapid.Check(t, func(t *rapid.T) {
		g := &generator{t: t, state: NewState()}
		o := newOracle()
		log := []Batch{wire(t, firstBatch())}
		g.state.Apply(1, log[0])
		o.always(g.state)
		for range steps {
			if g.upTo(5) == 0 {
				log = append(log, log[g.upTo(len(log)-1)])
				before := encoded(t, g.state)
				g.state.Apply(uint64(len(log)), log[len(log)-1])
				g.state.Offset--
				require.Equal(t, before, encoded(t, g.state), "a copy of a batch changed the state")
				g.state.Offset++
				continue
			}
			b := wire(t, g.batch())
			log = append(log, b)
			results := g.state.Apply(uint64(len(log)), b)
			o.check(g.state, b, results)
			require.Empty(t, o.problems, "after %s", encoded(t, b))
		}
		from := g.upTo(len(log))
		again := NewState()
		var copied *State
		var atCopy string
		for i, b := range log {
			if i == from {
				copied, atCopy = again.Copy(), encoded(t, again)
				again = restored(t, again)
				for j, later := range log[i:] {
					copied.Copy().Apply(uint64(i+j+1), later) // changes the copy of the copy only
				}
			}
			again.Apply(uint64(i+1), b)
		}
		if copied != nil {
			require.Equal(t, atCopy, encoded(t, copied), "a change of the state changed a copy")
		}
		require.Equal(t, encoded(t, g.state), encoded(t, again), "a snapshot at %d and the tail differ from the whole", from)
	})
}

// Guards against a snapshot of several parts that is put together wrongly when parts come twice, out of order, or mixed with
// those of a snapshot that was never finished.
func TestAssemblerTakesPartsInAnyOrder(t *testing.T) {
	s := NewState()
	random := rand.New(rand.NewPCG(1, 2))
	for i := range 30_000 {
		id := ulid.ULID{5: 1, 6: byte(i >> 8), 7: byte(i), 8: byte(random.Uint32()), 9: byte(random.Uint32()), 10: byte(random.Uint32())}
		s.Claims.add(claimKey("a", id.String()), id.String(), Claim{Claimant: "w"})
	}
	s.Offset = 9
	data, err := s.Encode()
	require.NoError(t, err)
	parts := SplitSnapshot("whole", 9, data)
	require.Greater(t, len(parts), 1)
	var a SnapshotAssembler
	_, err = a.Add(SplitSnapshot("unfinished", 3, data)[0].Snapshot)
	require.NoError(t, err)
	order := append(random.Perm(len(parts)), 0)
	var got *State
	for i, at := range order[:len(parts)] {
		got, err = a.Add(parts[at].Snapshot)
		require.NoError(t, err)
		require.Equal(t, i == len(parts)-1, got != nil)
	}
	require.Equal(t, encoded(t, s), encoded(t, got))
}
