package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// butik is the queue of the cases: the slack factor and the target are those of a small site.
var butik = queue{name: "offert", prefix: "/puxa400/", service: "butik", attempts: 3, slack: 1.6, targetMS: 600}

// settle is how long the fleet is left alone before a case begins: a dispatcher has been elected and all workers have reported to it.
const settle = 4 * time.Second

// finish is finish_s: how long after the end of the traffic jobs are asked for.
const finish = 14 * time.Second

// deploy starts the platform, the workers of the service and the nodes.
func deploy(f *fleet, workers int, prepare func(i int, w *worker)) {
	f.configure([]queue{butik})
	storeAddress := f.startPlatform()
	for i := range workers {
		w := newWorker(f, "i-"+strconv.Itoa(100+i), "butik", "a", "r1-"+strconv.Itoa(i/4))
		if prepare != nil {
			prepare(i, w)
		}
		f.workers = append(f.workers, w)
		w.serve()
	}
	f.startNodes(3, storeAddress)
	time.Sleep(settle)
}

// crashesOf lets the worker of a job's task crash some seconds after each start of the task, as often as given, and start again 5 s later.
func crashesOf(f *fleet, task string, times int) {
	attempt := int64(0)
	for range times {
		w, a := f.workerOf(task, attempt, 20*time.Second)
		if w == nil {
			return
		}
		attempt = a
		time.Sleep(2 * time.Second)
		w.away(isCrashed, false)
		time.AfterFunc(5*time.Second, w.back)
	}
}

// crashedThrice: the worker of one of five lasting tasks crashes, and so do the next two that start it. The other four are at work on sound workers.
func crashedThrice(f *fleet, trouble bool) verdict {
	deploy(f, 8, nil)
	j := f.submit(butik, "serve", step{Count: 5, CPU: 5400, Mem: 17000, Estimate: 900, AntiAffinity: 1, Lasts: true, Misses: 1})
	if j.accepted.IsZero() {
		fail("the job wasn't accepted")
	}
	if trouble {
		crashesOf(f, j.id+".0.0.0", 3)
	}
	time.Sleep(15 * time.Second)
	phase := f.phase(j)
	f.mu.Lock()
	defer f.mu.Unlock()
	// A task was at work, on a sound worker, when an order ended it; within notice_ms before, orders had ended more others of its step than tolerable.
	ended := 0
	for _, stop := range f.stops {
		if stop.job == j.id && stop.worked > startup {
			ended++
		}
	}
	if ended > 1 {
		return verdict(fmt.Sprintf("%d tasks at work were ended by orders, beside one that had crashed, where 1 may be away; the job is shown as %q", ended, phase))
	}
	return ""
}

// suspects: jobs run on one worker, which crashes. They start again on another one, which crashes too. Then nothing happens any more, and jobs are handed in
// that never ran on a crashed worker. Only these count: a task under which two workers have crashed may be given up.
func suspects(f *fleet, trouble bool) verdict {
	deploy(f, 8, nil)
	var first *job
	for range 20 {
		j := f.submit(butik, "run_ms=6000", step{Count: 3, CPU: 1000, Mem: 1500, Estimate: 6000})
		if j.accepted.IsZero() {
			fail("a job wasn't accepted")
		}
		if first == nil {
			first = j
		}
	}
	if trouble {
		crashesOf(f, first.id+".0.0.0", 2)
	}
	// These come when all workers are back.
	time.Sleep(6 * time.Second)
	var handedIn []*job
	for range 5 {
		j := f.submit(butik, "run_ms=1000", step{Count: 1, CPU: 1000, Mem: 1500, Estimate: 1000})
		if j.accepted.IsZero() {
			fail("a job wasn't accepted")
		}
		handedIn = append(handedIn, j)
	}
	trafficEnd := time.Now()
	// finish_s after the end of the traffic, and the 3 s in which a job has nothing running.
	time.Sleep(time.Until(trafficEnd.Add(finish)))
	before, roomBefore := f.waiting(handedIn), f.roomFor(1000, 1500)
	time.Sleep(3 * time.Second)
	stuck := 0
	for id := range f.waiting(handedIn) {
		if before[id] && !f.ranSince(id, trafficEnd.Add(finish)) {
			stuck++
		}
	}
	for _, j := range handedIn {
		f.phase(j)
	}
	if f.roomFor(1000, 1500) && roomBefore && stuck > 0 {
		return verdict(fmt.Sprintf("%d of %d accepted jobs that never ran on a crashed worker have nothing running, %.0f s after the end of the traffic, beside workers with most of their room free",
			stuck, len(handedIn), time.Since(trafficEnd).Seconds()))
	}
	return ""
}

// waitingForLostWorker: lasting jobs with one task on each worker lose one of eight workers for good. Another job finds seven workers that are nearly idle.
func waitingForLostWorker(f *fleet, trouble bool) verdict {
	deploy(f, 8, nil)
	for range 33 {
		j := f.submit(butik, "serve", step{Count: 8, CPU: 300, Mem: 500, Estimate: 900, AntiAffinity: 1, Lasts: true})
		if j.accepted.IsZero() {
			fail("a lasting job wasn't accepted")
		}
	}
	time.Sleep(6 * time.Second)
	if trouble {
		f.workers[7].away(isCrashed, true)
	}
	time.Sleep(8 * time.Second)
	var handedIn []*job
	for range 5 {
		j := f.submit(butik, "run_ms=1000", step{Count: 2, CPU: 3500, Mem: 6500, Estimate: 1000})
		if j.accepted.IsZero() {
			fail("a job wasn't accepted")
		}
		handedIn = append(handedIn, j)
		time.Sleep(300 * time.Millisecond)
	}
	// finish_s after the end of the traffic, and the 3 s in which a task's turn has come and there is room.
	time.Sleep(finish)
	roomBefore := f.roomFor(3500, 6500)
	time.Sleep(3 * time.Second)
	stuck := 0
	for _, j := range handedIn {
		if phase := f.phase(j); phase != "complete" && !f.begun(j) {
			stuck++
		}
	}
	if f.roomFor(3500, 6500) && roomBefore && stuck > 0 {
		return verdict(fmt.Sprintf("%d of %d accepted jobs have nothing running 17 s after the end of the traffic, beside seven workers with over four fifths of their room free", stuck, len(handedIn)))
	}
	return ""
}

// pendingCount: the only worker with a label refuses all starts for some seconds. Jobs for it wait, and are not counted as pending.
func pendingCount(f *fleet, trouble bool) verdict {
	deploy(f, 12, func(i int, w *worker) {
		if i == 11 {
			w.kind = "b"
		}
	})
	shed := func(on bool) {
		w := f.workers[11]
		w.mu.Lock()
		w.shedding = on
		w.mu.Unlock()
		f.note("worker %s: refuses starts: %v", w.id, on)
	}
	if trouble {
		shed(true)
		time.AfterFunc(6500*time.Millisecond, func() { shed(false) })
	}
	var waiting []*job
	for range 4 {
		j := f.submit(butik, "run_ms=1000", step{Count: 1, CPU: 3500, Mem: 6500, Estimate: 1000, Selector: "b"})
		if j.accepted.IsZero() {
			fail("a job wasn't accepted")
		}
		waiting = append(waiting, j)
	}
	// visible_ms + 2 s after the acceptance, and the 2 s that the count may be old are part of it.
	time.Sleep(time.Until(waiting[len(waiting)-1].accepted.Add(5200 * time.Millisecond)))
	worst, count := "", 0
	for _, n := range f.nodes {
		notBegun := 0
		status, data, err := f.call(n, http.MethodGet, butik.prefix, nil)
		for _, j := range waiting {
			if !f.begun(j) {
				notBegun++
			}
		}
		var body struct {
			Pending int `json:"pending"`
		}
		_ = json.Unmarshal(data, &body)
		f.note("client: GET of the queue at %s -> %d pending %d %v; %d jobs haven't begun", n.name, status, body.Pending, errText(err), notBegun)
		if err == nil && status == http.StatusOK && 2*body.Pending < notBegun {
			worst, count = n.name, notBegun
		}
	}
	for _, j := range waiting {
		if phase := f.await(j, 15*time.Second); phase != "complete" {
			fail("job %s is %q at the end", j.id, phase)
		}
	}
	if worst != "" {
		return verdict(fmt.Sprintf("%s gives under half of the %d jobs as pending that haven't begun over 5 s after they were accepted", worst, count))
	}
	return ""
}

// powerCycle: an idle worker loses power and starts again under its id while a call to /hold waits on it. A job is handed in right after.
func powerCycle(f *fleet, trouble bool) verdict {
	deploy(f, 8, func(_ int, w *worker) { w.registerAfter = 0 })
	w := f.workers[0]
	// In its first life the worker ends some runs, and the system takes note of these ends.
	if phase := f.await(f.submit(butik, "run_ms=300", step{Count: 12, CPU: 3500, Mem: 6500, Estimate: 300}), 10*time.Second); phase != "complete" {
		fail("the first job is %q", phase)
	}
	time.Sleep(3 * time.Second)
	if trouble {
		f.mu.Lock()
		seen := f.holds[w.id]
		f.mu.Unlock()
		for {
			f.mu.Lock()
			last := f.holds[w.id]
			f.mu.Unlock()
			if last.After(seen) {
				break
			}
			time.Sleep(time.Millisecond)
		}
		w.away(isDark, false)
		w.mu.Lock()
		w.registerAfter = heartbeat / 2
		w.mu.Unlock()
		time.Sleep(time.Second)
		w.back()
	}
	j := f.submit(butik, "run_ms=300/2500", step{Count: 8, CPU: 3500, Mem: 6500, Estimate: 300}, step{Count: 8, CPU: 3500, Mem: 6500, Estimate: 2500})
	if phase := f.await(j, 20*time.Second); phase != "complete" {
		fail("job %s is %q at the end", j.id, phase)
	}
	time.Sleep(2 * time.Second)
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.overlaps)+f.repeated() > 0 {
		return verdict(fmt.Sprintf("%d times a task had two runs at once on workers that are up, for %d ms at most; %d tasks started after a run of them had ended as done and that was taken note of",
			len(f.overlaps), f.longest.Milliseconds(), f.repeated()))
	}
	return ""
}

// lostTogether: the machine of the dispatcher and a worker with a lasting task are lost for good at the same moment, as with a rack.
func lostTogether(f *fleet, trouble bool) verdict {
	deploy(f, 8, nil)
	j := f.submit(butik, "serve", step{Count: 5, CPU: 5400, Mem: 17000, Estimate: 900, AntiAffinity: 1, Lasts: true, Misses: 1})
	if j.accepted.IsZero() {
		fail("the job wasn't accepted")
	}
	task := j.id + ".0.0.0"
	w, attempt := f.workerOf(task, 0, 10*time.Second)
	if w == nil {
		fail("the job hasn't started")
	}
	time.Sleep(3 * time.Second)
	lostAt := time.Now()
	if trouble {
		f.killDispatcher()
		w.away(isDark, true)
	}
	again, _ := f.workerOf(task, attempt, 25*time.Second)
	if !trouble {
		return ""
	}
	if again == nil {
		return "a lasting task didn't start again for 25 s"
	}
	// 4 s without a disruption, and 3 s in which the task has nothing running.
	if took := time.Since(lostAt); took > 3*heartbeat+7*time.Second {
		return verdict(fmt.Sprintf("a lasting task had nothing running for %d ms, beside 7 workers with nine tenths of their room free", took.Milliseconds()))
	}
	return ""
}

// quotaAfterHandover: a worker that runs all that its tenant may have running is cut off and runs on, and the node that dispatches is killed. Another job
// of the tenant waits for its limit.
func quotaAfterHandover(f *fleet, trouble bool) verdict {
	f.limit = 64000
	deploy(f, 8, nil)
	full := f.submit(butik, "run_ms=12000", step{Count: 4, CPU: 16000, Mem: 6500, Estimate: 12000})
	first, _ := f.workerOf(full.id+".0.0.0", 0, 10*time.Second)
	if first == nil {
		fail("the job hasn't started")
	}
	time.Sleep(2 * time.Second)
	next := f.submit(butik, "run_ms=3000", step{Count: 4, CPU: 16000, Mem: 6500, Estimate: 3000})
	time.Sleep(time.Second)
	if trouble {
		first.cut(true)
		f.killDispatcher()
		time.AfterFunc(5500*time.Millisecond, func() { first.cut(false) })
	}
	for _, j := range []*job{full, next} {
		if phase := f.await(j, 40*time.Second); phase != "complete" {
			fail("job %s is %q at the end", j.id, phase)
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	// cap x (1 + quota_overage) and one task more.
	if allowed := f.limit*11/10 + 16000; f.most > allowed {
		return verdict(fmt.Sprintf("the tenant had %d thousandths of a core running; its cap is %d, and %d are allowed", f.most, f.limit, allowed))
	}
	return ""
}
