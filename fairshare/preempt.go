package fairshare

import (
	"cmp"
	"slices"
	"time"
)

// PreemptAfter is how long urgent work waits before overnight work is checkpointed for it. The target is a start within 3.1 s;
// this leaves 2.1 s for the checkpoint and the start.
const PreemptAfter = time.Second

// RunningTask is an overnight task that this entry VM runs.
type RunningTask struct {
	ID      string
	Team    string
	Started time.Time
	// Checkpointing is set once the task was told to checkpoint. Its slot becomes free without another one.
	Checkpointing bool
}

// UrgentLoad is what Preempt needs to know of urgent work that has waited for PreemptAfter.
type UrgentLoad struct {
	Overdue int // such requests on this entry VM
	// PeersOverdue has the number of such requests on each peer, and PeersOvernight the number of overnight tasks that each runs.
	PeersOverdue   []int
	PeersOvernight []int
	FreeSlots      int // free slots of the pool
}

// Preempt returns the ids of the overnight tasks to checkpoint, so that urgent work which has waited for PreemptAfter starts.
// The VM serves its own overdue requests from its own tasks first, and its part of the peers' requests that they cannot serve
// from theirs. Tasks come from the team that is furthest above its share, the newest first, because they lose the least.
func Preempt(u UrgentLoad, tasks []RunningTask, usage map[string]float64, shares map[string]int) []string {
	var candidates []RunningTask
	stopping := 0
	for _, t := range tasks {
		if t.Checkpointing {
			stopping++
			continue
		}
		candidates = append(candidates, t)
	}
	need := min(u.needed(len(tasks))-stopping-max(u.FreeSlots, 0), len(candidates))
	if need <= 0 {
		return nil
	}
	slices.SortFunc(candidates, func(a, b RunningTask) int {
		return cmp.Or(
			compareShare(usage[b.Team], shares[b.Team], usage[a.Team], shares[a.Team]),
			b.Started.Compare(a.Started),
			cmp.Compare(a.ID, b.ID),
		)
	})
	ids := make([]string, 0, need)
	for _, t := range candidates[:need] {
		ids = append(ids, t.ID)
	}
	return ids
}

// needed returns the number of slots that overdue work needs from a VM with the given number of overnight tasks.
func (u UrgentLoad) needed(overnight int) int {
	uncovered := max(0, u.Overdue-overnight)
	spare := max(0, overnight-u.Overdue)
	ownSpare := spare
	for i, overdue := range u.PeersOverdue {
		uncovered += max(0, overdue-u.PeersOvernight[i])
		spare += max(0, u.PeersOvernight[i]-overdue)
	}
	if spare == 0 {
		return u.Overdue
	}
	// Rounding up means that all VMs together checkpoint at most one task too many each.
	part := (uncovered*ownSpare + spare - 1) / spare
	return min(u.Overdue, overnight) + part
}

// Reserve returns the number of slots that overnight work leaves free, rounded up.
func Reserve(slots, percent int) int { return (slots*percent + 99) / 100 }

// compareShare orders two teams by use for each unit of share. A team without a share is above every other.
func compareShare(useA float64, shareA int, useB float64, shareB int) int {
	if shareA <= 0 || shareB <= 0 {
		return cmp.Compare(min(shareB, 1), min(shareA, 1))
	}
	return cmp.Compare(useA*float64(shareB), useB*float64(shareA))
}
