package fleet

import (
	"encoding/json"
	"math/rand/v2"
	"testing"

	"github.com/oklog/ulid/v2"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// batchesPerRun is the number of batches in one random run.
const batchesPerRun = 80

// lowerMaxClaims lowers maxClaims for one test, so that the fold soon drops claims.
func lowerMaxClaims(t *testing.T) {
	before := maxClaims
	maxClaims = 4
	t.Cleanup(func() { maxClaims = before })
}

// roundTrip encodes a batch as JSON and decodes it again, as the log does.
func roundTrip(t require.TestingT, b Batch) Batch {
	data, err := json.Marshal(b)
	require.NoError(t, err)
	var read Batch
	require.NoError(t, json.Unmarshal(data, &read))
	return read
}

func toJSON(t require.TestingT, s any) string {
	data, err := json.Marshal(s)
	require.NoError(t, err)
	return string(data)
}

// restoreFromSnapshot encodes a state into snapshot parts and returns the state that is reassembled from them.
func restoreFromSnapshot(t require.TestingT, s *State) *State {
	data, err := s.Encode()
	require.NoError(t, err)
	var parts SnapshotAssembler
	var got *State
	for _, c := range SplitSnapshot("snap", s.Offset, data) {
		got, err = parts.Add(roundTrip(t, Batch{Commands: []Command{c}}).Commands[0].Snapshot)
		require.NoError(t, err)
	}
	require.NotNil(t, got)
	return got
}

// TestRandomCommands applies random batches. It guards against every violation that the oracle detects, against a late copy of a
// batch that changes the state, against a state that differs when it is restored from a snapshot, and against a copy of the state
// that shares data with its original.
func TestRandomCommands(t *testing.T) {
	lowerMaxClaims(t)
	rapid.Check(t, func(t *rapid.T) {
		g := &generator{t: t, state: NewState()}
		o := newOracle()
		log := []Batch{roundTrip(t, initialBatch())}
		g.state.Apply(1, log[0])
		o.checkInvariants(g.state)
		for range batchesPerRun {
			if g.intUpTo(5) == 0 {
				log = append(log, log[g.intUpTo(len(log)-1)])
				before := toJSON(t, g.state)
				g.state.Apply(uint64(len(log)), log[len(log)-1])
				g.state.Offset--
				require.Equal(t, before, toJSON(t, g.state), "a copy of a batch changed the state")
				g.state.Offset++
				continue
			}
			b := roundTrip(t, g.batch())
			log = append(log, b)
			results := g.state.Apply(uint64(len(log)), b)
			o.check(g.state, b, results)
			require.Empty(t, o.problems, "after %s", toJSON(t, b))
		}
		snapshotIndex := g.intUpTo(len(log))
		replayed := NewState()
		var copied *State
		var jsonAtCopy string
		for i, b := range log {
			if i == snapshotIndex {
				copied, jsonAtCopy = replayed.Copy(), toJSON(t, replayed)
				replayed = restoreFromSnapshot(t, replayed)
				for j, later := range log[i:] {
					copied.Copy().Apply(uint64(i+j+1), later) // must change only the copy of the copy
				}
			}
			replayed.Apply(uint64(i+1), b)
		}
		if copied != nil {
			require.Equal(t, jsonAtCopy, toJSON(t, copied), "modifying the state changed a copy of it")
		}
		require.Equal(t, toJSON(t, g.state), toJSON(t, replayed), "replay from a snapshot before batch %d differs from a full replay", snapshotIndex)
	})
}

// TestSnapshotAssemblerAcceptsPartsInAnyOrder guards against a snapshot that is reassembled wrongly when its parts arrive out of
// order or mixed with those of a snapshot that was never completed.
func TestSnapshotAssemblerAcceptsPartsInAnyOrder(t *testing.T) {
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
	require.Equal(t, toJSON(t, s), toJSON(t, got))
}
