package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"example.org/comfreyrouter/jobs"
)

// submitUnplaceable submits as many jobs as may be marked while they wait, with a task for which there is no place. They come before all others.
func (sim *simulation) submitUnplaceable(step jobs.Step) {
	step.LongRunning = true
	for i := range maxMarkedWaiting {
		sim.submitFor("unplaceable", unplaceableJob(i), step)
	}
}

func unplaceableJob(i int) string { return fmt.Sprintf("%016x", 0xdd000+i) }

// TestUnplaceableJobsDoNotBlockOthers guards against a service that starts no other job for as long as 32 jobs wait for a place that doesn't exist
// (review/7).
func TestUnplaceableJobsDoNotBlockOthers(t *testing.T) {
	spread := stepOf(3, 10)
	spread.MaxPerServer = 1
	labelled := stepOf(1, 10)
	labelled.Label = "none"
	for name, step := range map[string]jobs.Step{"a task for each of three servers": spread, "no server with the label": labelled, "too large": stepOf(1, 4001)} {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(81, 2)
			sim.submitUnplaceable(step)
			sim.run(time.Second)
			started := sim.starts
			sim.submit(newJob, stepOf(2, 1000))
			sim.run(300 * time.Millisecond)
			assert.Equal(t, started+2, sim.starts)
			sim.run(3 * time.Second)
			assert.Equal(t, jobs.Complete, sim.phase(newJob))
			assert.Empty(t, sim.violations)
		})
	}
}

// TestMarksOfJobsThatCouldStartAreBounded guards against a mark for each of many waiting jobs: a new dispatcher couldn't start any of them before all
// servers have answered it.
func TestMarksOfJobsThatCouldStartAreBounded(t *testing.T) {
	sim := newSimulation(82, 2)
	labelled := stepOf(1, 10)
	labelled.Label = "none"
	sim.submitUnplaceable(labelled)
	sim.run(time.Second)
	sim.storeDown = true
	for i := range 4 * maxMarkedWaiting {
		sim.submit(fmt.Sprintf("%016x", 0xee000+i), stepOf(1, 10))
	}
	sim.run(time.Second)
	underway := 0
	for _, j := range sim.core.jobs {
		if j.startMark != markNone && j.startMark != markStored {
			underway++
		}
	}
	require.Equal(t, maxMarkedWaiting, underway)
	sim.storeDown = false
	sim.run(4 * time.Second)
	for i := range 4 * maxMarkedWaiting {
		assert.Equal(t, jobs.Complete, sim.phase(fmt.Sprintf("%016x", 0xee000+i)))
	}
}
