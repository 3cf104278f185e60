package fairshare

import (
	"cmp"
	"slices"
	"time"
)

// PreemptAfter is how long an urgent request waits before overnight tasks are checkpointed for it. Urgent work should start within
// 3.1 s, so 2.1 s remain for the checkpoint and the start.
const PreemptAfter = time.Second

// RunningTask is an overnight task that this entry VM runs.
type RunningTask struct {
	ID      string
	Team    string
	Started time.Time
	// Checkpointing is set once the task was ordered to checkpoint. Its slot becomes free without a further order.
	Checkpointing bool
}

// UrgentLoad describes the overdue urgent requests of a pool, which have waited for PreemptAfter, and the slots that they could use.
type UrgentLoad struct {
	Overdue int // overdue requests on this entry VM
	// PeersOverdue holds the number of overdue requests on each peer, PeersOvernight the number of overnight tasks that each runs.
	PeersOverdue   []int
	PeersOvernight []int
	FreeSlots      int // free slots of the pool
}

// Preempt returns the ids of the overnight tasks to checkpoint so that overdue urgent requests can start. The VM frees slots for its
// own overdue requests first, and then for its part of the peers' overdue requests for which they run too few overnight tasks.
// It takes tasks from the team that is furthest above its share, and of those the newest first, because they lose the least work.
// usage holds the teams' Usage.Excess.
func Preempt(u UrgentLoad, tasks []RunningTask, usage map[string]float64, shares map[string]int) []string {
	var candidates []RunningTask
	checkpointing := 0
	for _, t := range tasks {
		if t.Checkpointing {
			checkpointing++
			continue
		}
		candidates = append(candidates, t)
	}
	need := min(u.slotsNeeded(len(tasks))-checkpointing-max(u.FreeSlots, 0), len(candidates))
	if need <= 0 {
		return nil
	}
	slices.SortFunc(candidates, func(a, b RunningTask) int {
		return cmp.Or(
			compareUsagePerShare(usage[b.Team], shares[b.Team], usage[a.Team], shares[a.Team]),
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

// slotsNeeded returns the number of slots that overdue requests need from a VM with the given number of overnight tasks.
func (u UrgentLoad) slotsNeeded(overnight int) int {
	uncovered := max(0, u.Overdue-overnight) // overdue requests on VMs with too few overnight tasks
	spare := max(0, overnight-u.Overdue)     // overnight tasks that no overdue request of their own VM needs
	ownSpare := spare
	for i, overdue := range u.PeersOverdue {
		uncovered += max(0, overdue-u.PeersOvernight[i])
		spare += max(0, u.PeersOvernight[i]-overdue)
	}
	if spare == 0 {
		return u.Overdue
	}
	// Because of the rounding up, each VM checkpoints at most one task too many.
	part := (uncovered*ownSpare + spare - 1) / spare
	return min(u.Overdue, overnight) + part
}

// Reserve returns the given percentage of the slots, rounded up, which overnight work must leave free.
func Reserve(slots, percent int) int { return (slots*percent + 99) / 100 }

// compareUsagePerShare compares two teams by usage per unit of share. A team without a share compares above every team with one.
func compareUsagePerShare(useA float64, shareA int, useB float64, shareB int) int {
	if shareA <= 0 || shareB <= 0 {
		return cmp.Compare(min(shareB, 1), min(shareA, 1))
	}
	return cmp.Compare(useA*float64(shareB), useB*float64(shareA))
}
