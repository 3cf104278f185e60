package fleet

import (
	"fmt"
	"slices"

	"example.org/comfreyrouter/errkind"
)

// Apply folds the batch at the given offset into s and returns one result for each command. Batches must be applied in offset
// order. A batch at or below s.Offset was applied before and is ignored. A copy of a batch at a later offset changes only the
// offset. Both give a nil result.
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
		return s.recordSnapshotPart(c.Snapshot)
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
		return s.requestGrants(writer, c.RequestGrants)
	case c.ReturnGrants != nil:
		return s.returnGrants(writer, c.ReturnGrants)
	case c.Claim != nil:
		return s.makeClaim(writer, c.Claim)
	case c.Close != nil:
		return s.closeClaim(writer, c.Close)
	case c.Finish != nil:
		return s.finishClaim(writer, c.Finish)
	case c.Health != nil:
		return s.reportHealth(c.Health)
	case c.Drain != nil:
		return s.startDrain(c.Drain)
	case c.Phase != nil:
		return s.advancePhase(c.Phase)
	case c.Move != nil:
		return s.startMove(c.Move)
	case c.Wave != nil:
		return s.setWave(c.Wave)
	}
	return reject(errkind.BadRequest, "the command is empty or of an unknown type")
}

// checkWriter rejects commands of incarnations that never joined, have left, or were fenced. A fenced VM that resumes after a
// pause can therefore change no members, grants, claims, VMs or waves. Configure, Join and Snapshot commands are not checked by it.
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

// setWave creates a wave or changes the state of an existing one, which keeps its set of maintained VMs.
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

// recordSnapshotPart records which parts of a snapshot are in the log, so that every VM knows the offset of the last complete one.
func (s *State) recordSnapshotPart(p *SnapshotPart) Result {
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
