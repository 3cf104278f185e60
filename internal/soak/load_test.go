package soak

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// callTimeout is how long callers wait for an answer.
	callTimeout = 3 * time.Second
	// lossSlack is how long after its last byte a request may be cut off without having been read.
	lossSlack = 250 * time.Millisecond
	// contactTime is how long after a fault no bound holds, as the users' rules define being in touch.
	contactTime = 3 * time.Second
	// visibleTime is how long after its acceptance every node knows a job: visible_ms of the users' sites, and some delay.
	visibleTime = 3500 * time.Millisecond
	// maxTries is the number of tries of a call: one more than the retries of the users' clients.
	maxTries = 5
	clients  = 4
	// askers is the number of callers that only ask for the state of jobs, every askPause, and stay with their node whatever happens.
	askers   = 6
	askPause = 200 * time.Millisecond
	// noAnswer stands for the status of a call without an answer.
	noAnswer = 0
)

// demand says what callers ask for. Each pauses for minPause and up to spreadPause more before a job, whose tasks run for minRun and up to spreadRun more and
// use one to three times cpu.
type demand struct {
	minPause, spreadPause, minRun, spreadRun time.Duration
	cpu                                      int // thousandths of a core
}

var (
	shortTasks = demand{200 * time.Millisecond, 400 * time.Millisecond, 200 * time.Millisecond, time.Second, 500}
	// longTasks outlast the time in which a dispatcher takes a lease for over. They use less than half of the servers.
	longTasks = demand{400 * time.Millisecond, 600 * time.Millisecond, 2 * time.Second, 5 * time.Second, 250}
)

// submission is a job as its caller knows it.
type submission struct {
	id          string
	steps       []stepSpec
	longRunning bool
	acceptedAt  time.Time // zero if it wasn't accepted
	rejected    bool      // every try was rejected
	cancelled   bool      // its cancelling was asked for
	cancelledAt time.Time // when that was acknowledged
}

// load is what the callers have asked for.
type load struct {
	w      *world
	seed   uint64
	demand demand
	begun  time.Time
	stop   chan struct{}
	wg     sync.WaitGroup

	mu          sync.Mutex
	jobs        []*submission
	longRunning int        // number of long-running jobs
	rng         *rand.Rand // guarded by mu
}

// startLoad starts callers, which submit jobs until the load ends.
func startLoad(w *world, seed uint64, d demand) *load {
	l := &load{w: w, seed: seed, demand: d, begun: time.Now(), stop: make(chan struct{}), rng: rand.New(rand.NewPCG(seed, 2))}
	for i := range clients {
		l.wg.Go(func() { l.callUntilStopped(i) })
	}
	for i := range askers {
		l.wg.Go(func() { l.askUntilStopped(i) })
	}
	for i := range w.nodes {
		l.wg.Go(func() { l.useWithdrawnKeys(i) })
	}
	return l
}

func (l *load) end() {
	close(l.stop)
	l.wg.Wait()
}

func (l *load) callUntilStopped(i int) {
	c := newCaller(l.w, rand.New(rand.NewPCG(l.seed, uint64(10+i))))
	for k := 0; ; k++ {
		pause := l.demand.minPause + time.Duration(c.rng.Int64N(int64(l.demand.spreadPause)))
		select {
		case <-l.stop:
			return
		case <-time.After(pause):
		}
		s := &submission{id: fmt.Sprintf("%08x%04x%04x", uint32(l.seed), i, k), steps: drawSteps(c.rng, l.demand)}
		l.submit(c, s)
		if k%3 == 0 {
			l.checkVisible(c)
		}
	}
}

func (l *load) askUntilStopped(i int) {
	c := newCaller(l.w, rand.New(rand.NewPCG(l.seed, uint64(50+i))))
	for {
		select {
		case <-l.stop:
			return
		case <-time.After(askPause):
			l.checkVisible(c)
		}
	}
}

// submit submits a job, again after each try without an answer.
func (l *load) submit(c *caller, s *submission) {
	l.w.setSteps(s.id, s.steps)
	body, err := json.Marshal(map[string]any{"spec": "x", "pipeline": s.steps})
	if err != nil {
		panic(err) // plain values always encode
	}
	l.mu.Lock()
	l.jobs = append(l.jobs, s)
	l.mu.Unlock()
	rejections := 0
	for try := range maxTries {
		status, _ := c.call(http.MethodPost, s.id, body)
		l.mu.Lock()
		switch {
		case status/100 == 2:
			s.acceptedAt = time.Now()
		case status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable:
			rejections++
			s.rejected = rejections == try+1
		}
		settled := !s.acceptedAt.IsZero() || s.rejected
		l.mu.Unlock()
		if settled {
			return
		}
		c.changeNode()
	}
}

// checkVisible asks for the state of a job that was accepted a while ago.
func (l *load) checkVisible(c *caller) {
	l.mu.Lock()
	var s *submission
	if len(l.jobs) > 0 {
		s = l.jobs[c.rng.IntN(len(l.jobs))]
	}
	old := s != nil && !s.acceptedAt.IsZero() && time.Since(s.acceptedAt) > visibleTime
	l.mu.Unlock()
	if !old {
		return
	}
	asked, n := time.Now(), c.node()
	status, _ := c.call(http.MethodGet, s.id, nil)
	if status == http.StatusGone && l.w.unplanned.quietSince(asked.Add(-contactTime)) {
		l.w.violation("LOST %s was accepted, and %s says that there is no such job", s.id, n.name)
	}
}

// cancelSome cancels the newest job, or one before it.
func (l *load) cancelSome(back int) {
	l.mu.Lock()
	var s *submission
	if i := len(l.jobs) - 1 - back; i >= 0 && !l.jobs[i].acceptedAt.IsZero() {
		s = l.jobs[i]
	}
	l.mu.Unlock()
	if s != nil {
		l.cancel(s)
	}
}

func (l *load) cancel(s *submission) {
	l.mu.Lock()
	s.cancelled = true
	c := newCaller(l.w, rand.New(rand.NewPCG(l.seed, l.rng.Uint64())))
	l.mu.Unlock()
	for range maxTries {
		status, _ := c.call(http.MethodDelete, s.id, nil)
		if status/100 == 2 || status == http.StatusGone {
			l.mu.Lock()
			s.cancelledAt = time.Now()
			l.mu.Unlock()
			return
		}
		c.changeNode()
	}
}

// submitLongRunning submits a long-running job whose constraints follow from a number.
func (l *load) submitLongRunning(n int) {
	l.mu.Lock()
	c := newCaller(l.w, rand.New(rand.NewPCG(l.seed, l.rng.Uint64())))
	s := &submission{id: fmt.Sprintf("%08xffff%04x", uint32(l.seed), l.longRunning), longRunning: true}
	l.longRunning++
	l.mu.Unlock()
	step := stepSpec{Count: 1 + n%3, CPU: 500, MemoryMB: 100, LongRunning: true, AntiAffinity: n % 2}
	if n%4 < 2 {
		step.Affinity = racks[n%len(racks)]
	}
	s.steps = []stepSpec{step}
	l.submit(c, s)
}

// submitService submits a long-running job of two tasks on different servers, of which one may be away.
func (l *load) submitService(n int) {
	l.mu.Lock()
	c := newCaller(l.w, rand.New(rand.NewPCG(l.seed, l.rng.Uint64())))
	s := &submission{id: fmt.Sprintf("%08xffff%04x", uint32(l.seed), l.longRunning), longRunning: true}
	l.longRunning++
	l.mu.Unlock()
	s.steps = []stepSpec{{Count: 2, CPU: 500 + 100*(n%3), MemoryMB: 100, LongRunning: true, AntiAffinity: 1, Misses: 1}}
	l.submit(c, s)
}

// submissions returns a copy of all jobs.
func (l *load) submissions() []submission {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := make([]submission, 0, len(l.jobs))
	for _, s := range l.jobs {
		all = append(all, *s)
	}
	return all
}

// caller is a client that keeps its connection to a node open and uses it until the node's process is gone.
type caller struct {
	w    *world
	rng  *rand.Rand
	http http.Client
	at   int
}

func newCaller(w *world, rng *rand.Rand) *caller {
	return &caller{w: w, rng: rng, http: http.Client{Timeout: callTimeout, Transport: &http.Transport{}}, at: rng.IntN(len(w.nodes))}
}

func (c *caller) node() *node { return c.w.nodes[c.at%len(c.w.nodes)] }

func (c *caller) changeNode() { c.at += 1 + c.rng.IntN(len(c.w.nodes)-1) }

// drawSteps draws the steps of a job.
func drawSteps(rng *rand.Rand, d demand) []stepSpec {
	var steps []stepSpec
	for i := range 1 + rng.IntN(2) {
		ms := d.minRun.Milliseconds() + int64(rng.IntN(int(d.spreadRun.Milliseconds())))
		s := stepSpec{Count: 1 + rng.IntN(5), CPU: d.cpu * (1 + rng.IntN(3)), MemoryMB: 100, EstimateMS: ms, runTime: time.Duration(ms) * time.Millisecond}
		if i > 0 {
			s.After = []int{i - 1}
		}
		switch rng.IntN(4) {
		case 0:
			s.Count, s.AntiAffinity = min(s.Count, 2), 1
		case 1:
			s.Selector = racks[rng.IntN(len(racks))]
		}
		steps = append(steps, s)
	}
	return steps
}

// call makes a call with the callers' key.
func (c *caller) call(method, id string, body []byte) (int, string) {
	return c.callWith(callerKey, method, id, body)
}

// callWith makes a call with a key and returns the status, which is noAnswer without an answer. It records an answer that planned work has cut off.
func (c *caller) callWith(key, method, id string, body []byte) (int, string) {
	n := c.node()
	req, err := http.NewRequest(method, "http://"+n.callers+queuePrefix+id, bytes.NewReader(body))
	if err != nil {
		return noAnswer, err.Error()
	}
	req.Host = callerHost
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Comfreyrouter-Deadline-Ms", fmt.Sprint(callTimeout.Milliseconds()))
	sent, connections := time.Now(), 0
	req = req.WithContext(httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{
		GetConn: func(string) {
			if connections++; connections > 1 { // the HTTP client repeats a call by itself if its open connection ends
				c.checkCutOff(n, method+" "+id, sent, errRepeated)
			}
		},
		GotConn: func(i httptrace.GotConnInfo) { c.w.usage.count(n, i.Reused) },
	}))
	resp, err := c.http.Do(req)
	if err == nil {
		var data []byte
		data, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close() // it has been read
		if err == nil {
			return resp.StatusCode, string(data)
		}
	}
	c.checkCutOff(n, method+" "+id, sent, err)
	return noAnswer, err.Error()
}

// errRepeated is the error of a call that the HTTP client repeats.
var errRepeated = errors.New("the connection has ended without an answer")

// checkCutOff records a violation if the stop of a node has cut off a call that the node had read.
func (c *caller) checkCutOff(n *node, call string, sent time.Time, err error) {
	if askedAt, stopping := n.stopping(); stopping && !errors.Is(err, os.ErrDeadlineExceeded) && time.Since(sent) > lossSlack && time.Since(sent) < callTimeout &&
		time.Since(askedAt) < grace && c.w.unplanned.quietSince(sent.Add(-contactTime)) {
		c.w.violation("LOST %s is cut off after %v by the stop of %s: %v", call, time.Since(sent), n.name, err)
	}
}

// usage counts the calls of all callers by their connections.
type usage struct{ onNew, onOpen, onOpenWhileStopping atomic.Int64 }

func (u *usage) count(n *node, reused bool) {
	if !reused {
		u.onNew.Add(1)
		return
	}
	u.onOpen.Add(1)
	if _, stopping := n.stopping(); stopping {
		u.onOpenWhileStopping.Add(1)
	}
}
