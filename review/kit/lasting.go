package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// The rule LOST for tasks that last: from lastingRestart after its last run, a task doesn't run for lostAfter, and these and the lastingCalm before them
// are calm.
const (
	lastingRestart = 6 * time.Second
	lastingCalm    = 4 * time.Second
	lostAfter      = 3 * time.Second
	lastingCPU     = 12000
	shortCPU       = 6000
)

// caseLasting loses the worker of one task of a lasting job for good, soon after the job has started. The tasks of the job are on the five workers of one
// rack, at most one on each. The four workers of the other rack run short tasks all the time, and have room for several lasting ones.
func caseLasting(f *fleet, trouble bool) ([]string, error) {
	const id = "00000000000000aa"
	f.rackSize = 5
	f.runTime = func(task string) time.Duration {
		if strings.HasPrefix(task, id) {
			return 0
		}
		return 900 * time.Millisecond
	}
	if err := f.start(); err != nil {
		return nil, err
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		f.shortJobs(stop)
	}()
	defer wg.Wait()
	defer close(stop)
	time.Sleep(3 * time.Second)
	more := map[string]any{"long_running": true, "anti_affinity": 1, "tolerable_misses": 1, "affinity": "r1-0"}
	if err := f.submit(id, step(5, lastingCPU, 0, more)); err != nil {
		return nil, err
	}
	if err := f.await("the lasting tasks run", 10*time.Second, func() bool { return len(f.running(id)) == 5 }); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	lost := f.running(id)[0]
	if trouble {
		f.loseForGood(f.serverOf(lost.server))
	}
	return f.watchLasting(id, lost.task), nil
}

// watchLasting watches a task of a lasting job for some time, and reports the spans for which it was away longer than the rule allows.
func (f *fleet) watchLasting(id, task string) []string {
	const watched = 40 * time.Second
	begin := time.Now()
	allowedUntil := begin.Add(max(lastingRestart, lastingCalm))
	var awaySince time.Time
	longest := time.Duration(0)
	for time.Since(begin) < watched {
		time.Sleep(100 * time.Millisecond)
		now := time.Now()
		runs := false
		for _, r := range f.running(id) {
			runs = runs || r.task == task
		}
		switch {
		case runs || f.serversWithRoom(id) < 2 || now.Before(allowedUntil):
			awaySince = time.Time{}
		case awaySince.IsZero():
			awaySince = now
		default:
			longest = max(longest, now.Sub(awaySince))
		}
	}
	f.rec.add("%d of 5 lasting tasks run; GET %s: %s", len(f.running(id)), id, f.phase(f.nodes[0], id))
	if longest < lostAfter {
		return nil
	}
	return []string{fmt.Sprintf("LOST: %s didn't run for %.1f s on end, from %.0f s after its last run on, with room for it on two workers or more",
		task, longest.Seconds(), allowedUntil.Sub(begin).Seconds())}
}

// running returns the runs of a job that are at work.
func (f *fleet) running(id string) []span {
	var found []span
	for _, sp := range f.allSpans() {
		if strings.HasPrefix(sp.task, id) && sp.how == "runs" {
			found = append(found, sp)
		}
	}
	return found
}

// serversWithRoom returns how many workers that run no task of a job have room for one of its first step.
func (f *fleet) serversWithRoom(id string) int {
	n := 0
	task := f.sizeOf(id + ".0.0.0")
	for _, s := range f.servers {
		s.mu.Lock()
		free := s.up && s.fits(task)
		for other := range s.active {
			free = free && !strings.HasPrefix(other, id)
		}
		s.mu.Unlock()
		if free {
			n++
		}
	}
	return n
}

// loseForGood ends a worker and its machine.
func (f *fleet) loseForGood(s *server) {
	f.mu.Lock()
	f.gone = s
	f.mu.Unlock()
	f.rec.add("server %s and its machine are lost for good", s.id)
	s.crash()
}

// shortJobs hands in jobs of four short tasks, one on each worker of a rack, until stop is closed.
func (f *fleet) shortJobs(stop chan struct{}) {
	spread := map[string]any{"anti_affinity": 1, "affinity": "r1-1"}
	accepted := 0
	for i := 1; ; i++ {
		select {
		case <-stop:
			f.rec.add("%d short jobs accepted", accepted)
			return
		case <-time.After(180 * time.Millisecond):
		}
		id, steps := fmt.Sprintf("%016x", 0xabc000+i), []map[string]any{step(4, shortCPU, 900, spread)}
		f.setSizes(id, steps)
		body, err := json.Marshal(map[string]any{"spec": "short", "pipeline": steps})
		if err != nil {
			f.rec.add("%v", err)
			return
		}
		if status, _ := f.call(f.nodes[i%len(f.nodes)], http.MethodPost, id, body); status == http.StatusOK {
			accepted++
		}
	}
}
