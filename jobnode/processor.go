package jobnode

import (
	"runtime/debug"
	"runtime/metrics"
	"syscall"
	"time"

	"example.org/comfreyrouter/events"
)

// processorUse measures what a dispatcher uses the processor for, between two log lines. It isn't safe for concurrent use: the scheduler owns it.
type processorUse struct {
	since       time.Time
	process, gc time.Duration // processor time of this process at since
	passes      int
	passTime    time.Duration // of all passes
	longestPass time.Duration
}

func newProcessorUse() *processorUse {
	process, gc := processorTime()
	return &processorUse{since: time.Now(), process: process, gc: gc}
}

// processorTime returns the processor time that this process, and its garbage collector, have used since the start.
func processorTime() (process, gc time.Duration) {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err == nil {
		process = time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
	}
	sample := []metrics.Sample{{Name: "/cpu/classes/gc/total:cpu-seconds"}}
	metrics.Read(sample)
	if sample[0].Value.Kind() == metrics.KindFloat64 {
		gc = time.Duration(sample[0].Value.Float64() * float64(time.Second))
	}
	return process, gc
}

// addPass adds a scheduling pass that began at the given time, and returns its duration.
func (u *processorUse) addPass(began time.Time) time.Duration {
	took := time.Since(began)
	u.passes++
	u.passTime += took
	u.longestPass = max(u.longestPass, took)
	return took
}

// logProcessorUse logs the use since the last line, if stateLogInterval has passed.
func (d *dispatcher) logProcessorUse(u *processorUse) {
	if time.Since(u.since) < stateLogInterval {
		return
	}
	last := *u
	*u = *newProcessorUse()
	events.Log(d.log, events.ProcessorUse, u.since.Sub(last.since).Milliseconds(), (u.process - last.process).Milliseconds(), (u.gc - last.gc).Milliseconds(),
		last.passes, last.passTime.Milliseconds(), last.longestPass.Milliseconds())
}

const (
	// dispatchingGCPercent lets the heap of a dispatcher grow to five times what is live between collections. A dispatcher at a demand peak allocates
	// that much in a second or two, and it is one node of the fleet.
	dispatchingGCPercent = 400
	// heapLimitShare is the share of the VM's memory from which on garbage is collected more often all the same.
	heapLimitShare = 0.5
)

// limitHeap makes this process collect garbage more often from a share of the VM's memory on, until the returned function is called. Nothing changes if the
// memory of the VM isn't known.
func limitHeap(memoryMB int) (restore func()) {
	if memoryMB <= 0 {
		return func() {}
	}
	limit := debug.SetMemoryLimit(int64(heapLimitShare * float64(memoryMB) * (1 << 20)))
	return func() { debug.SetMemoryLimit(limit) }
}

// collectLessOften makes this process spend less time on garbage collection and more memory, until the returned function is called. Nothing changes if the
// memory of the VM isn't known.
func collectLessOften(memoryMB int) (restore func()) {
	if memoryMB <= 0 {
		return func() {}
	}
	limit := debug.SetMemoryLimit(int64(heapLimitShare * float64(memoryMB) * (1 << 20)))
	percent := debug.SetGCPercent(dispatchingGCPercent)
	return func() {
		debug.SetGCPercent(percent)
		debug.SetMemoryLimit(limit)
	}
}
