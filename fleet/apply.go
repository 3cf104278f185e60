package fleet

import (
	"fmt"
	"slices"

	"example.org/comfreyrouter/errkind"
)

// Apply folds the batch at the given offset into s and returns one result for each command. Batches must come in offset
// order; one at or below s.Offset has been applied already and is ignored with a nil result.
func (s *State) Apply(offset uint64, b Batch) []Result {
	if offset <= s.Offset {
		return nil
	}
	s.Offset = offset
	if !s.advanceSeq(b.Writer, b.Seq) {
		return nil
	}
	results := make([]Result, len(b.Commands))
	for i, c := range b.Commands {
		results[i] = s.applyCommand(b.Writer, b.Seq, c)
		if results[i].Version == 0 {
			results[i].Version = s.Config.Version
		}
	}
	return results
}

func (s *State) applyCommand(writer string, seq uint64, c Command) Result {
	switch {
	case c.Configure != nil:
		return s.configure(c.Configure)
	case c.Join != nil:
		return s.join(writer, seq, c.Join)
	case c.Snapshot != nil:
		return s.noteSnapshot(c.Snapshot)
	}
	if r := s.checkWriter(writer); !r.OK() {
		return r
	}
	switch {
	case c.Renew != nil:
		return s.renew(writer)
	case c.Leave != nil:
		return s.leave(writer, c.Leave)
	case c.Fence != nil:
		return s.fence(c.Fence)
	case c.Expire != nil:
		return s.expire(c.Expire)
	case c.Release != nil:
		return s.release(c.Release)
	case c.RequestGrants != nil:
		return s.ask(writer, c.RequestGrants)
	case c.ReturnGrants != nil:
		return s.giveBack(writer, c.ReturnGrants)
	case c.Claim != nil:
		return s.claim(writer, c.Claim)
	case c.Close != nil:
		return s.closeClaim(writer, c.Close)
	case c.Finish != nil:
		return s.finish(writer, c.Finish)
	case c.Health != nil:
		return s.health(c.Health)
	case c.Drain != nil:
		return s.drain(c.Drain)
	case c.Phase != nil:
		return s.advance(c.Phase)
	case c.Move != nil:
		return s.move(c.Move)
	case c.Wave != nil:
		return s.setWave(c.Wave)
	}
	return reject(errkind.BadRequest, "the command is empty or of an unknown type")
}

// checkWriter rejects commands of incarnations that never joined, left, or were fenced. A fenced VM that wakes up can
// therefore change nothing.
func (s *State) checkWriter(writer string) Result {
	m, ok := s.Members[writer]
	if !ok {
		return reject(errkind.Fenced, "incarnation %s is not a member", writer)
	}
	if m.Fenced {
		return reject(errkind.Fenced, "incarnation %s is fenced", writer)
	}
	return Result{}
}

func reject(k errkind.Kind, format string, args ...any) Result {
	return Result{Kind: k, Message: fmt.Sprintf(format, args...)}
}

// setWave creates a wave or changes its state. The set of maintained VMs is kept.
func (s *State) setWave(c *SetWave) Result {
	if c.Name == "" {
		return reject(errkind.InvalidConfig, "a wave needs a name")
	}
	for _, pool := range c.Pools {
		if _, ok := s.Config.Pools[pool]; !ok {
			return reject(errkind.InvalidConfig, "pool %q does not exist", pool)
		}
	}
	states := []WaveState{WavePlanned, WaveRunning, WavePaused, WaveDone}
	if !slices.Contains(states, c.State) {
		return reject(errkind.InvalidConfig, "wave state %q does not exist", c.State)
	}
	w, ok := s.Waves[c.Name]
	if !ok {
		if c.State != WavePlanned {
			return reject(errkind.NotFound, "wave %q does not exist", c.Name)
		}
		w = Wave{Pools: c.Pools, Maintained: map[string]bool{}}
	}
	w.State = c.State
	s.Waves[c.Name] = w
	return Result{}
}

// noteSnapshot counts the parts of a snapshot, so that every VM knows when the last complete one was written.
func (s *State) noteSnapshot(p *SnapshotPart) Result {
	if p.UpTo <= s.SnapshotOffset {
		return Result{}
	}
	if p.Index < 0 || p.Index >= p.Count {
		return reject(errkind.BadRequest, "part %d of %d does not exist", p.Index, p.Count)
	}
	if s.SnapshotParts == nil {
		s.SnapshotParts = map[string]map[int]bool{}
	}
	seen := s.SnapshotParts[p.ID]
	if seen == nil {
		seen = map[int]bool{}
		s.SnapshotParts[p.ID] = seen
	}
	seen[p.Index] = true
	if len(seen) >= p.Count {
		s.SnapshotOffset = p.UpTo
		s.SnapshotParts = nil
	}
	return Result{}
}
