package fleettest

import (
	"context"
	"fmt"
	"time"

	"example.org/comfreyrouter/entry"
	"example.org/comfreyrouter/fleet"
	"example.org/comfreyrouter/internal/standin/backendserver"
	"example.org/comfreyrouter/internal/standin/platform"
)

// op is one operation of a scenario. A and B select objects, N selects a variant or an amount, and Length is the duration of a fault
// or the patience of a caller.
type op struct {
	Do      string
	A, B, N int
	Length  time.Duration
	Gap     time.Duration // pause after the operation
	Twice   bool
}

func (o op) String() string {
	return fmt.Sprintf("{%q, %d, %d, %d, %d, %d, %v}", o.Do, o.A, o.B, o.N, o.Length, o.Gap, o.Twice)
}

// operations maps the name of each operation to its implementation.
var operations = map[string]func(w *world, o op){
	"send":         func(w *world, o op) { w.send(o) },
	"burst":        func(w *world, o op) { w.burst(o) },
	"again":        func(w *world, o op) { w.resend(o) },
	"ask":          func(w *world, o op) { w.lookup(o) },
	"kill":         func(w *world, o op) { w.kill(o) },
	"stop":         func(w *world, o op) { w.stopVM(o) },
	"freeze":       func(w *world, o op) { w.freeze(o) },
	"cut":          func(w *world, o op) { w.cut(o) },
	"cut-platform": func(w *world, o op) { w.cutDataCentre(o) },
	"cut-log":      func(w *world, o op) { w.cutLog(o) },
	"outage":       func(w *world, o op) { w.outage(o) },
	"slow":         func(w *world, o op) { w.slowLog(o) },
	"lose":         func(w *world, o op) { w.platform(func(f *platform.Faults) { f.LoseAnswers += 1 + o.N%4 }) },
	"hold":         func(w *world, o op) { w.holdAppends(o) },
	"server":       func(w *world, o op) { w.background.Go(func() { w.restartServer(o.A%servers, o.Length) }) },
	"server-fault": func(w *world, o op) { w.serverFault(o) },
	"drain":        func(w *world, o op) { w.drain(o) },
	"limit":        func(w *world, o op) { w.setLimit(o) },
	"preset":       func(w *world, o op) { w.preset(o) },
	"give":         func(w *world, _ op) { w.background.Go(func() { w.configure(w.newKey()) }) },
	"withdraw":     func(w *world, o op) { w.withdraw(o) },
	"withdraw-at":  func(w *world, o op) { w.withdrawAt(o) },
}

// play starts the operations one after the other. Most of them continue in the background.
func (w *world) play(ops []op) {
	for _, o := range ops {
		operations[o.Do](w, o)
		if o.Twice {
			operations[o.Do](w, o)
		}
		time.Sleep(o.Gap)
	}
}

// Kinds of requests: repeatable, or run at most once under an id chosen by the caller or issued by an entry VM.
const (
	kindRepeatable = iota
	kindCallerID
	kindIssuedID
	kinds
)

// newRequest makes a request of a kind and registers it with the oracle. An issued id comes from v.
func (w *world) newRequest(v *vm, kind int, queue, key string, runMillis int) *request {
	r := &request{id: w.newID(), queue: queue, key: key, repeatable: kind == kindRepeatable, runMillis: runMillis}
	if kind == kindIssuedID {
		if ids, err := v.IssueIDs(context.Background(), key, queue, 1); err == nil {
			r.id, r.issued = ids[0], true
		}
	}
	if queue == "counter" {
		r.key = ""
	}
	r.order = "order-" + r.id
	w.oracle.mu.Lock()
	w.oracle.orders[r.order] = r
	w.oracle.mu.Unlock()
	w.mu.Lock()
	w.requests = append(w.requests, r)
	w.mu.Unlock()
	return r
}

func (r *request) request(timeLeft time.Duration) entry.Request {
	return entry.Request{Queue: r.queue, Key: r.key, ID: r.id, Repeatable: r.repeatable, TimeLeft: timeLeft, Body: r.body()}
}

// timesLeft are the deadlines of requests, and runTimes how long they run.
var (
	timesLeft = []time.Duration{time.Second, 5 * time.Second, 20 * time.Second, time.Minute}
	runTimes  = []int{10, 300, 2000, 15_000, 40_000}
)

func (w *world) send(o op) {
	v := w.vm(o.A)
	if v == nil {
		return
	}
	queue := []string{"quotes", "quotes", "sheets", "counter"}[o.N%4]
	w.mu.Lock()
	key := keyName(o.B % w.keyCount)
	w.mu.Unlock()
	r := w.newRequest(v, o.N%kinds, queue, key, runTimes[o.N/4%len(runTimes)])
	w.attempt(v, r, timesLeft[o.B%len(timesLeft)], o.Length)
}

// attempt sends a request to a VM in the background. Its caller disconnects after patience (at least 1 s) if it has no answer by then.
func (w *world) attempt(v *vm, r *request, timeLeft, patience time.Duration) {
	w.oracle.mu.Lock()
	r.attempts++
	w.oracle.mu.Unlock()
	w.background.Go(func() {
		sentAt := time.Now()
		ctx, cancel := context.WithTimeout(context.Background(), max(patience, time.Second))
		defer cancel()
		resp := v.Handle(ctx, r.request(timeLeft))
		answeredAt := time.Now()
		never := make(chan struct{})
		w.net.await(v.host, v.host, never) // a frozen VM answers only when it resumes
		if !v.killed.Load() {
			w.oracle.answered(r, resp, sentAt, sentAt.Add(timeLeft), answeredAt, v.name)
		}
	})
}

func (w *world) burst(o op) {
	for i := range 4 + o.N%8 {
		w.send(op{A: o.A + i*(o.B%2), B: o.B, N: o.N, Length: time.Minute})
	}
}

func (w *world) recentRequest(n int) *request {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.requests) == 0 {
		return nil
	}
	return w.requests[len(w.requests)-1-n%min(len(w.requests), 6)]
}

// resend sends a recent request again, with the same id, through any VM.
func (w *world) resend(o op) {
	if v, r := w.vm(o.A), w.recentRequest(o.N); v != nil && r != nil {
		w.attempt(v, r, timesLeft[o.B%len(timesLeft)], o.Length)
	}
}

// lookup queries a VM for the outcome of a recent request that is not repeatable.
func (w *world) lookup(o op) {
	v, r := w.vm(o.A), w.recentRequest(o.N)
	if v == nil || r == nil || r.repeatable {
		return
	}
	w.background.Go(func() {
		at := time.Now()
		resp := v.Lookup(context.Background(), r.key, r.id)
		if !v.killed.Load() && resp.Outcome != "pending" {
			w.oracle.answered(r, resp, at, time.Now(), time.Now(), v.name)
		}
	})
}

func (w *world) kill(o op) {
	i := o.A % w.count
	if v := w.vm(i); w.markDown(i, v) {
		w.background.Go(func() {
			v.kill()
			w.wait(o.Length)
			w.restore(i)
		})
	}
}

func (w *world) stopVM(o op) {
	i := o.A % w.count
	if v := w.vm(i); w.markDown(i, v) {
		w.background.Go(func() {
			_ = v.shutdown()
			w.wait(o.Length)
			w.restore(i)
		})
	}
}

// injectIsolation injects a fault that isolates the affected VMs from the platform, the log or other hosts, and tells the oracle when it
// begins and ends.
func (w *world) injectIsolation(d time.Duration, affected func(*vm) bool, on, off func()) {
	mark := func() {
		for _, v := range w.liveVMs() {
			if affected(v) {
				w.oracle.noteIsolated(v.name)
			}
		}
	}
	w.injectFault(d, func() {
		mark()
		on()
	}, func() {
		off()
		mark()
	})
}

func everyVM(*vm) bool { return true }

func (w *world) freeze(o op) {
	v := w.vm(o.A)
	if v == nil {
		return
	}
	w.injectIsolation(o.Length, func(other *vm) bool { return other == v }, func() {
		w.net.freeze(v.host, 1)
		w.cutPlatform(v.caller.Name, 1)
	}, func() {
		w.net.freeze(v.host, -1)
		w.cutPlatform(v.caller.Name, -1)
	})
}

func (w *world) cut(o op) {
	a, b := dataCentreOf(o.A), dataCentreOf(o.A+1+o.B%2)
	affected := func(v *vm) bool { return v.host.dataCentre == a || v.host.dataCentre == b }
	w.injectIsolation(o.Length, affected, func() { w.net.cut(a, b, 1) }, func() { w.net.cut(a, b, -1) })
}

func (w *world) cutDataCentre(o op) {
	dc := dataCentreOf(o.A)
	affected := func(v *vm) bool { return v.host.dataCentre == dc }
	w.injectIsolation(o.Length, affected, func() { w.cutPlatform(dc, 1) }, func() { w.cutPlatform(dc, -1) })
}

func (w *world) cutLog(o op) {
	if v := w.vm(o.A); v != nil {
		affected := func(other *vm) bool { return other == v }
		w.injectIsolation(o.Length, affected, func() { w.cutPlatform(v.caller.Name, 1) }, func() { w.cutPlatform(v.caller.Name, -1) })
	}
}

func (w *world) outage(o op) {
	set := func(on bool) func() { return func() { w.platform(func(f *platform.Faults) { f.Outage = on }) } }
	w.injectIsolation(o.Length, everyVM, set(true), set(false))
}

func (w *world) slowLog(o op) {
	set := func(millis int) func() {
		return func() {
			w.platform(func(f *platform.Faults) { f.AppendDelayMillis, f.ReadDelayMillis = millis, millis/2 })
		}
	}
	w.injectIsolation(o.Length, everyVM, set(200+o.N%20*100), set(0))
}

func (w *world) holdAppends(o op) {
	w.platform(func(f *platform.Faults) { f.HoldAppends, f.HoldMillis = f.HoldAppends+1+o.N%3, 500*(1+o.B) })
}

func (w *world) serverFault(o op) {
	f := []backendserver.Faults{
		{Hang: true},
		{FailAll: true},
		{Truncate: true},
		{Cross: true},
		{Drop: true},
		{Corrupt: true},
		{Delay: time.Second},
		{Late: 3 * time.Second},
	}[o.N%8]
	w.mu.Lock()
	s := w.backends[o.A%servers]
	w.mu.Unlock()
	w.injectFault(o.Length, func() { s.SetFaults(f) }, func() { s.SetFaults(backendserver.Faults{}) })
}

// drain submits the start of a server's drain; the reconcilers then drain, reboot and undrain it.
func (w *world) drain(o op) {
	v, name := w.vm(o.A), serverName(o.B%servers)
	if v == nil {
		return
	}
	w.submit(v, func() fleet.Command {
		var epoch uint64
		v.store.View(func(s *fleet.State) { epoch = s.VMs[name].Epoch })
		return fleet.Command{Drain: &fleet.StartDrain{VM: name, Epoch: epoch}}
	}, nil)
}

// submit submits a command through a VM in the background, and calls then with its result unless the submission fails.
func (w *world) submit(v *vm, command func() fleet.Command, then func(fleet.Result)) {
	w.background.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		defer cancel()
		results, err := v.writer.Submit(ctx, command())
		if err == nil && then != nil {
			then(results[0])
		}
	})
}

func (w *world) setLimit(o op) {
	w.background.Go(func() {
		value := 1 + o.N%8
		tag := w.oracle.limitProposed(value)
		if !w.configure(limitChange(value, tag)) {
			w.oracle.limitRejected(tag)
		}
	})
}

// preset activates two presets concurrently through two VMs, both for the same expected version: at most one may succeed.
func (w *world) preset(o op) {
	expect := w.truth.Config().Version
	won := make(chan string, 2)
	for i, at := range []int{o.A, o.B} {
		v, name := w.vm(at), fmt.Sprintf("p%d", i)
		if v == nil {
			continue
		}
		c := fleet.Command{Configure: &fleet.Configure{ID: w.newID(), Expect: expect, Changes: []fleet.Change{{InForce: &name}}}}
		w.submit(v, func() fleet.Command { return c }, func(r fleet.Result) {
			if r.OK() {
				won <- name
			}
			if len(won) > 1 {
				w.oracle.violate("(f) two operators both activated a preset for version %d", expect)
			}
		})
	}
}

func (w *world) withdrawal(o op) (string, fleet.Command) {
	w.mu.Lock()
	key := keyName(o.B % w.keyCount)
	w.mu.Unlock()
	return key, fleet.Command{Configure: &fleet.Configure{ID: w.newID(), Changes: []fleet.Change{{WithdrawKey: &key}}}}
}

func (w *world) withdraw(o op) {
	if v := w.vm(o.A); v != nil {
		_, c := w.withdrawal(o)
		w.submit(v, func() fleet.Command { return c }, nil)
	}
}

// withdrawAt withdraws a key as the operator API does: at once at the VM that it is submitted to, then through the log.
func (w *world) withdrawAt(o op) {
	if v := w.vm(o.A); v != nil {
		key, c := w.withdrawal(o)
		v.Withdraw(key)
		w.submit(v, func() fleet.Command { return c }, nil)
	}
}
