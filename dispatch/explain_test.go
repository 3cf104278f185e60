package dispatch

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"example.org/comfreyrouter/evacuation"
	"example.org/comfreyrouter/jobs"
	"example.org/comfreyrouter/ledger"
)

// randomSubmission returns a job of one to three steps.
func randomSubmission(rng *rand.Rand, id string, wallMS int64) *jobs.Submission {
	var steps []jobs.Step
	for i := range 1 + rng.IntN(3) {
		s := jobs.Step{Count: 1 + rng.IntN(6), Need: jobs.Resources{CPU: 200 + rng.Int64N(2500), MemoryMB: 100}, EstimateMS: 300 + rng.Int64N(1500)}
		s.MaxPerServer, s.Gang = rng.IntN(3), rng.IntN(5) == 0
		if rng.IntN(5) == 0 {
			s.Label = "ssd"
		}
		if i > 0 && rng.IntN(2) == 0 {
			s.After = []int{i - 1}
		}
		steps = append(steps, s)
	}
	pool := rng.IntN(2)
	return &jobs.Submission{
		ID: id, Route: fmt.Sprintf("q%d", pool), Service: fmt.Sprintf("p%d", pool), Workspace: []string{"limited", "shared", "other"}[rng.IntN(3)], MaxAttempts: 3,
		SlackFactor: []float64{0.5, 1.6, 3}[rng.IntN(3)], TargetMS: rng.Int64N(800), ReceivedMS: wallMS, Spec: jobs.Spec{Steps: steps},
	}
}

// randomState returns a dispatcher after a pass in which nothing could start, and a job. After a pass that starts a task for which a server was reserved,
// jobs before it may start there.
func randomState(seed uint64) (*Core, *jobs.Submission) {
	rng := rand.New(rand.NewPCG(seed, 46))
	config := &jobs.Configuration{
		Version: 1, Services: map[string]jobs.Service{"p0": {Name: "p0"}, "p1": {Name: "p1"}}, Routes: []jobs.Route{{Name: "q0", Service: "p0"}, {Name: "q1", Service: "p1"}},
		Workspaces: []jobs.Workspace{{Name: "limited", Limit: jobs.Resources{CPU: 1000 + rng.Int64N(12000), MemoryMB: 10000}}, {Name: "shared", Weight: 1 + rng.Float64()*20}, {Name: "other", Weight: 5}},
	}
	if rng.IntN(10) == 0 {
		config.Routes[1].Policy = &jobs.Policy{}
	}
	now := time.Minute
	c := New(Params{Epoch: 1, Lease: testLease, MaxLease: testMaxLease, PredecessorsUntil: now}, ledger.New(), config, now, now.Milliseconds())
	now += admitAllPeriod + time.Second
	c.Advance(now, now.Milliseconds(), true)
	capacity := jobs.Resources{CPU: 2000 + 1000*rng.Int64N(6), MemoryMB: 8000}
	servers := rng.IntN(14)
	for i := range servers {
		info := jobs.Server{ID: fmt.Sprintf("s%02d", i), Service: fmt.Sprintf("p%d", i%2), Machine: fmt.Sprint("m", i), DataCentre: fmt.Sprint("z", i%3), Ready: rng.IntN(10) > 0, BornMS: 1, Capacity: capacity}
		if rng.IntN(2) == 0 {
			info.Labels = []string{"ssd"}
		}
		c.ServerListed(info)
		if rng.IntN(10) > 0 {
			c.ReportReceived(Renewal{Server: jobs.Server{ID: info.ID}}, now, jobs.Report{ClockMS: 1000, BornMS: 1})
		}
	}
	c.BatchStored(c.TakeBatch())
	for i := range rng.IntN(40) {
		c.AddJob(&ledger.Entry{Submission: randomSubmission(rng, fmt.Sprintf("%016x", i), now.Milliseconds()-rng.Int64N(4000))})
	}
	for range rng.IntN(4) {
		c.Schedule()
		c.BatchStored(c.TakeBatch())
		for _, o := range c.TakeOrders() {
			c.StartAnswered(o.Server, o.Start.Task.String(), o.Start.Attempt, jobs.Started)
		}
	}
	for i := range servers {
		s := c.servers[fmt.Sprintf("s%02d", i)]
		switch rng.IntN(12) {
		case 0:
			s.backoffUntil = now + minBackoff
		case 1:
			s.cordoned = true
		case 2:
			s.unresponsive = true
		case 3:
			s.consecutiveFailures = 1
		case 4:
			if j := c.jobs[fmt.Sprintf("%016x", 0)]; j != nil {
				s.reservedFor, s.reservedUntil = j.occurrences[0].steps[0].tasks[0], now+time.Minute
			}
		}
	}
	state := evacuation.State{}
	if rng.IntN(3) == 0 {
		state = state.Request("z1")
	}
	c.SetEvacuated(state, rng.IntN(20) == 0)
	for i := range rng.IntN(30) {
		c.Admit(randomSubmission(rng, fmt.Sprintf("a%015x", i), now.Milliseconds()))
	}
	c.admission.rejections["expired"] = rejection{}
	sub := randomSubmission(rng, "00000000000000ff", now.Milliseconds())
	if rng.IntN(4) == 0 {
		c.Admit(sub) // its caller retries
	}
	if rng.IntN(2) == 0 {
		now += time.Duration(rng.IntN(2300)) * time.Millisecond
		c.Advance(now, now.Milliseconds(), true)
	}
	for c.Schedule(); len(c.TakeOrders()) > 0; c.Schedule() {
	}
	sub.ReceivedMS = now.Milliseconds()
	return c, sub
}

// submitAndSchedule submits a job and returns the verdict and the number of its tasks that start on each server, by step.
func submitAndSchedule(c *Core, sub *jobs.Submission) (v Explanation, starts []map[string]int) {
	verdict := c.Admit(sub)
	v.Accepted, v.Reason, v.RetryAfterMS = verdict.Accepted, string(verdict.Reason), verdict.Return.Milliseconds()
	c.AddJob(&ledger.Entry{Submission: sub})
	c.jobs[sub.ID].startMark = markStored
	c.Schedule()
	for range sub.Spec.Steps {
		starts = append(starts, map[string]int{})
	}
	for _, o := range c.TakeOrders() {
		if o.Start.Task.Job == sub.ID {
			starts[o.Start.Task.Step][o.Server.ID]++
		}
	}
	return v, starts
}

// jobsBefore counts the waiting jobs of a service that come before a job.
func jobsBefore(c *Core, j *job) int {
	n := 0
	for _, w := range c.jobs {
		if c.serviceOf(w) == c.serviceOf(j) && c.hasStartable(w) && compareCandidates(c.candidate(w), c.candidate(j)) < 0 {
			n++
		}
	}
	return n
}

// address names a visited object. A struct and its first field have the same pointer.
type address struct {
	pointer uintptr
	typ     reflect.Type
}

// dump describes all that can be reached from a dispatcher, with the addresses.
func dump(c *Core) string {
	var out strings.Builder
	dumpValue(&out, reflect.ValueOf(c), map[address]bool{})
	return out.String()
}

func dumpValue(out *strings.Builder, v reflect.Value, seen map[address]bool) {
	switch v.Kind() {
	case reflect.Pointer:
		fmt.Fprintf(out, "%x ", v.Pointer())
		if at := (address{v.Pointer(), v.Type()}); !v.IsNil() && !seen[at] {
			seen[at] = true
			dumpValue(out, v.Elem(), seen)
		}
	case reflect.Struct:
		for i := range v.NumField() {
			fmt.Fprint(out, v.Type().Field(i).Name, ":")
			dumpValue(out, v.Field(i), seen)
		}
	case reflect.Map:
		keys := v.MapKeys()
		slices.SortFunc(keys, func(a, b reflect.Value) int { return strings.Compare(fmt.Sprint(a), fmt.Sprint(b)) })
		for _, key := range keys {
			fmt.Fprint(out, key, "=")
			dumpValue(out, v.MapIndex(key), seen)
		}
	case reflect.Slice:
		fmt.Fprint(out, v.Len(), ":")
		for i := range v.Len() {
			dumpValue(out, v.Index(i), seen)
		}
	default:
		fmt.Fprint(out, v, " ")
	}
}

// TestExplainSaysWhatHappens guards against an explanation that differs from what then happens to the job, and one that changes anything.
func TestExplainSaysWhatHappens(t *testing.T) {
	rejected, started, held, waiting := 0, 0, 0, 0
	rules, classes := map[string]int{}, map[string]int{}
	for seed := range uint64(500) {
		c, sub := randomState(seed)
		before := dump(c)
		e := c.Explain(sub)
		require.True(t, before == dump(c), "seed %d: something has changed", seed)
		v, starts := submitAndSchedule(c, sub)
		require.Equal(t, [3]any{v.Accepted, v.Reason, v.RetryAfterMS}, [3]any{e.Accepted, e.Reason, e.RetryAfterMS}, "seed %d", seed)
		require.False(t, e.Cut)
		j := c.jobs[sub.ID]
		require.Equal(t, c.beyondShare[workspacePool{sub.Service, sub.Workspace}], e.BeyondShare, "seed %d", seed)
		if j.runCount == 0 {
			require.Equal(t, classNames[c.candidate(j).Class], e.Class, "seed %d", seed)
			require.Equal(t, jobsBefore(c, j), e.JobsBefore, "seed %d", seed)
			classes[e.Class]++
		}
		inService := 0
		for _, s := range c.servers {
			if s.info.Service == sub.Service {
				inService++
			}
		}
		for i, st := range e.Steps {
			require.Equal(t, starts[i], st.Starts, "seed %d, step %d, held %q", seed, i, e.Held)
			counted := st.Tried
			for rule, n := range st.Ruled {
				counted += n
				rules[rule] += n
			}
			require.Equal(t, inService, counted, "seed %d: each server of the service is counted once", seed)
			if len(st.Starts) > 0 {
				require.True(t, st.Ready && !st.AtLimit && st.Tried > 0, "seed %d", seed)
				started++
			}
		}
		if !e.Accepted {
			rejected++
		}
		if e.Held != "" {
			held++
		}
		if e.JobsBefore > 0 {
			waiting++
		}
	}
	t.Logf("%d rejected, %d steps started, %d held, %d behind waiting jobs, rules %v, classes of those that wait %v", rejected, started, held, waiting, rules, classes)
	assert.Greater(t, rejected, 20)
	assert.Greater(t, started, 100)
	assert.Greater(t, held, 20)
	assert.Greater(t, waiting, 100)
	for _, rule := range []string{"not listed or draining", "no recent report", "held back after failures", "unresponsive", "cordoned or released", "data centre evacuated or returning", "label", "no ticket", "no room", "kept for a suspect"} {
		assert.NotZero(t, rules[rule], rule)
	}
	assert.Zero(t, rules["other"])
}

// TestExplainIsBounded guards against an explanation that costs more than a bounded number of placements, and one that hides that it was cut.
func TestExplainIsBounded(t *testing.T) {
	c, _ := overloaded(0, 75)
	sub := &jobs.Submission{ID: newJob, Route: "qpool0", Service: "pool0", Workspace: "w", SlackFactor: 2, Spec: jobs.Spec{Steps: []jobs.Step{stepOf(20000, 100), stepOf(1, 100, 0)}}}
	e := c.Explain(sub)
	require.True(t, e.Cut)
	n := 0
	for _, tasks := range e.Steps[0].Starts {
		n += tasks
	}
	assert.Equal(t, maxExplainedTasks, n)
	assert.Equal(t, 20000, e.Steps[0].Tasks)
	assert.Empty(t, e.Steps[1].Starts)
	assert.Len(t, e.Steps[0].Servers, maxNamedServers)
	assert.Equal(t, 75, e.Steps[0].Tried)
}
