package dev

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/oklog/ulid/v2"

	"example.org/comfreyrouter/backend"
	"example.org/comfreyrouter/callerapi"
	"example.org/comfreyrouter/errkind"
	"example.org/comfreyrouter/internal/standin/backendserver"
	"example.org/comfreyrouter/operatorapi"
)

// Summary counts the requests of a load by the final outcome that their callers received, checked against the tasks that the backend servers
// started.
type Summary struct {
	Requests, Done, NotRun, Unknown int
	// Doubled counts requests that were not repeatable but started more than once.
	Doubled int
	// Lost counts requests whose caller received a wrong answer: done with the body of another request, not run although an unrepeatable request
	// had started, or no outcome at all.
	Lost int
	// FirstLost describes the first lost request, to help find the cause.
	FirstLost string
}

// String returns the summary in one line.
func (s Summary) String() string {
	return fmt.Sprintf("requests %d done %d not_run %d unknown %d doubled %d lost %d",
		s.Requests, s.Done, s.NotRun, s.Unknown, s.Doubled, s.Lost)
}

// Err returns an error if a request was doubled or lost.
func (s Summary) Err() error {
	if s.Doubled > 0 || s.Lost > 0 {
		return errkind.New(errkind.Internal, "%d requests were doubled and %d were lost, first: %s", s.Doubled, s.Lost, s.FirstLost)
	}
	return nil
}

// StartCounter counts the tasks that the backend servers start. The responses to callers are compared with these counts.
type StartCounter struct {
	mu     sync.Mutex
	starts map[string]int // by SleepTask.Order
}

// NewStartCounter returns a counter without starts.
func NewStartCounter() *StartCounter { return &StartCounter{starts: map[string]int{}} }

// OnStart counts a start. A task that resumes from a checkpoint is not counted as a new start.
func (c *StartCounter) OnStart(_ string, t backend.Task) {
	var body backendserver.SleepTask
	if json.Unmarshal(t.Body, &body) != nil || t.Resume {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.starts[body.Order]++
}

func (c *StartCounter) started(order string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.starts[order]
}

// request is one request of the load.
type request struct {
	number     int
	id         string
	queue      string
	team       string
	repeatable bool
	sendTwice  bool // send through two entry VMs at the same time
	body       []byte
}

// response is the part of an entry VM's response that is checked.
type response struct {
	outcome errkind.Outcome
	kind    string // error kind; if set, the response has no task body, even if the outcome is done
	ownBody bool   // the body belongs to the request; checked if the outcome is done
}

// Load sends requests to a cluster and compares the responses with the starts on its backend servers.
type Load struct {
	cluster *Cluster
	counter *StartCounter
	http    *http.Client
	rnd     *rand.Rand

	mu      sync.Mutex
	summary Summary
}

// Parameters of a load.
const (
	callerCount    = 48
	callerDeadline = 5 * time.Second
	maxSends       = 6 // sends of one request before its outcome stays unknown
	resendInterval = 200 * time.Millisecond
	idBatchSize    = 20 // ids requested from an entry VM in one call
)

// NewLoad returns a load for a cluster whose backend servers report their starts to counter.
func NewLoad(c *Cluster, counter *StartCounter) *Load {
	transport := &http.Transport{MaxIdleConnsPerHost: callerCount}
	return &Load{cluster: c, counter: counter, http: &http.Client{Transport: transport}, rnd: rand.New(rand.NewPCG(1, 2))}
}

// Run sends n requests. Meanwhile it kills a backend server after a quarter of them, changes the preset after half, and withdraws a key after
// three quarters.
func (l *Load) Run(ctx context.Context, n int) (Summary, error) {
	requests := l.makeRequests(ctx, n)
	disturbances := map[int]func(context.Context) error{
		n / 4:     l.killServer,
		n / 2:     func(ctx context.Context) error { return l.usePreset(ctx, "peak") },
		3 * n / 4: func(ctx context.Context) error { return l.withdrawKey(ctx, "key-riks") },
	}
	pending := make(chan request)
	var callers sync.WaitGroup
	for range callerCount {
		callers.Go(func() {
			for r := range pending {
				l.recordOutcome(r, l.call(ctx, r))
			}
		})
	}
	var disturbErr error
	for i, r := range requests {
		if inject, ok := disturbances[i]; ok && disturbErr == nil {
			disturbErr = inject(ctx)
		}
		pending <- r
	}
	close(pending)
	callers.Wait()
	return l.summary, disturbErr
}

// makeRequests returns a mix of queues and teams. About half of the requests are repeatable; of the others about half carry issued ids, and one in
// three is sent twice.
func (l *Load) makeRequests(ctx context.Context, n int) []request {
	queues := []string{"quote", "stock-check", "order", "public-price", "book-keeping"}
	teams := sorted(l.cluster.Keys)
	out := make([]request, n)
	for i := range out {
		r := request{
			number: i, queue: queues[i%len(queues)], team: teams[l.rnd.IntN(len(teams))],
			repeatable: l.rnd.IntN(2) == 0, id: ulid.Make().String(),
		}
		if r.queue == "public-price" {
			r.team = ""
		}
		r.sendTwice = !r.repeatable && l.rnd.IntN(3) == 0
		body, err := json.Marshal(backendserver.SleepTask{Order: strconv.Itoa(i), RunMillis: 5 + l.rnd.IntN(40)})
		if err != nil {
			panic(err) // a struct of strings and numbers always encodes
		}
		r.body = body
		out[i] = r
	}
	l.assignIssuedIDs(ctx, out)
	return out
}

// assignIssuedIDs replaces the ids of unrepeatable requests with odd numbers by ids that an entry VM issued. Requests without a team, and those
// whose team gets no ids, keep their ULIDs.
func (l *Load) assignIssuedIDs(ctx context.Context, requests []request) {
	ids := map[string][]string{}
	for i, r := range requests {
		if r.repeatable || r.team == "" || i%2 == 0 {
			continue
		}
		if len(ids[r.team]) == 0 {
			ids[r.team] = l.requestIDs(ctx, r.team, i)
		}
		if len(ids[r.team]) > 0 {
			requests[i].id = ids[r.team][0]
			ids[r.team] = ids[r.team][1:]
		}
	}
}

// requestIDs asks an entry VM for ids of a team. It returns none if that fails.
func (l *Load) requestIDs(ctx context.Context, team string, entry int) []string {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost,
		"http://"+l.callerAddress(entry)+"/v1/request-ids?count="+strconv.Itoa(idBatchSize), nil)
	if err != nil {
		return nil
	}
	req.Header.Set(callerapi.HeaderKey, l.cluster.Keys[team])
	resp, err := l.http.Do(req)
	if err != nil {
		return nil
	}
	defer resp.Body.Close()
	var out struct {
		IDs []string `json:"ids"`
	}
	if json.NewDecoder(resp.Body).Decode(&out) != nil {
		return nil
	}
	return out.IDs
}

func (l *Load) callerAddress(entry int) string {
	callers := l.cluster.CallerAddresses()
	return callers[entry%len(callers)]
}

// call sends a request, and sends it again with the same id until the outcome is known, as callers should. For a request that is sent twice it
// returns both responses.
func (l *Load) call(ctx context.Context, r request) []response {
	sends := 1
	if r.sendTwice {
		sends = 2
	}
	responses := make([]response, sends)
	var group sync.WaitGroup
	for i := range sends {
		group.Go(func() { responses[i] = l.sendUntilKnown(ctx, r, r.number+i) })
	}
	group.Wait()
	return responses
}

func (l *Load) sendUntilKnown(ctx context.Context, r request, entry int) response {
	last := response{outcome: errkind.Unknown}
	for attempt := range maxSends {
		last = l.send(ctx, r, entry+attempt)
		if last.outcome != errkind.Unknown || sleep(ctx, resendInterval) != nil {
			return last
		}
	}
	return last
}

func (l *Load) send(ctx context.Context, r request, entry int) response {
	unknown := response{outcome: errkind.Unknown}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+l.callerAddress(entry)+"/v1/requests/"+r.queue, bytes.NewReader(r.body))
	if err != nil {
		return unknown
	}
	if r.team != "" {
		req.Header.Set(callerapi.HeaderKey, l.cluster.Keys[r.team])
	}
	req.Header.Set(callerapi.HeaderRequestID, r.id)
	req.Header.Set(callerapi.HeaderDeadline, strconv.FormatInt(callerDeadline.Milliseconds(), 10))
	req.Header.Set(callerapi.HeaderRepeatable, strconv.FormatBool(r.repeatable))
	resp, err := l.http.Do(req)
	if err != nil {
		return unknown
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return unknown
	}
	return response{
		outcome: errkind.Outcome(resp.Header.Get(callerapi.HeaderOutcome)),
		kind:    resp.Header.Get(callerapi.HeaderErrorKind),
		ownBody: r.matches(body),
	}
}

// matches reports whether a response body belongs to the request. The stand-ins return the body of the task, but a task that was checkpointed has a
// shorter run time in it, so only the request's number is compared.
func (r request) matches(body []byte) bool {
	var task backendserver.SleepTask
	return json.Unmarshal(body, &task) == nil && task.Order == strconv.Itoa(r.number)
}

// recordOutcome compares the responses to a request with the number of its starts, and adds the result to the summary.
func (l *Load) recordOutcome(r request, responses []response) {
	starts := l.counter.started(strconv.Itoa(r.number))
	l.mu.Lock()
	defer l.mu.Unlock()
	l.summary.Requests++
	if !r.repeatable && starts > 1 {
		l.summary.Doubled++
	}
	for _, a := range responses {
		wrong := a.outcome == errkind.Done && a.kind == "" && !a.ownBody || a.outcome == errkind.NotRun && starts > 0 && !r.repeatable
		if wrong || a.outcome == "" {
			l.summary.Lost++
			if l.summary.FirstLost == "" {
				l.summary.FirstLost = fmt.Sprintf("request %+v of queue %s started %d times and got the responses %+v", r.id, r.queue, starts, responses)
			}
			break
		}
	}
	switch bestOutcome(responses) {
	case errkind.Done:
		l.summary.Done++
	case errkind.NotRun:
		l.summary.NotRun++
	default:
		l.summary.Unknown++
	}
}

// bestOutcome returns the most definite outcome of the responses: done, or else not run, or else unknown.
func bestOutcome(responses []response) errkind.Outcome {
	known := errkind.Unknown
	for _, a := range responses {
		if a.outcome == errkind.Done {
			return errkind.Done
		}
		if a.outcome == errkind.NotRun {
			known = errkind.NotRun
		}
	}
	return known
}

func (l *Load) killServer(context.Context) error {
	for _, name := range sorted(l.cluster.servers) {
		if strings.HasPrefix(name, "quotes") {
			l.cluster.KillServer(name)
			return nil
		}
	}
	return errkind.New(errkind.NotFound, "no backend server to kill")
}

func (l *Load) usePreset(ctx context.Context, name string) error {
	return l.postChange(ctx, "/v1/presets/"+name+"/use", "dev-use-"+name)
}

func (l *Load) withdrawKey(ctx context.Context, id string) error {
	return l.postChange(ctx, "/v1/keys/"+id+"/withdraw", "dev-withdraw-"+id)
}

// postChange sends a change that expects the active version of the configuration.
func (l *Load) postChange(ctx context.Context, path, id string) error {
	client, err := l.cluster.Client()
	if err != nil {
		return err
	}
	current, err := l.cluster.Config(ctx)
	if err != nil {
		return err
	}
	guard := operatorapi.Guard{ID: id, Expect: &current.Version, By: "dev"}
	var accepted operatorapi.Accepted
	return client.Call(ctx, http.MethodPost, path, operatorapi.UsePreset{Guard: guard}, &accepted)
}
