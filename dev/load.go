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

// Summary counts the outcomes of a load by what its callers were finally told, against what the backend servers ran.
type Summary struct {
	Requests, Done, NotRun, Unknown int
	// Doubled counts requests that may not be repeated and that started more than once.
	Doubled int
	// Lost counts requests whose caller was told something untrue: done with another answer than its own, or not run
	// although it ran.
	Lost int
	// FirstLost describes the first lost request, for finding its cause.
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

// StartCounter notes what the backend servers start. It is the truth that answers are compared with.
type StartCounter struct {
	mu     sync.Mutex
	starts map[string]int // by order
}

// NewStartCounter returns an empty ledger.
func NewStartCounter() *StartCounter { return &StartCounter{starts: map[string]int{}} }

// OnStart notes a start. A task that resumes from a checkpoint is no new start.
func (l *StartCounter) OnStart(_ string, t backend.Task) {
	var body backendserver.SleepTask
	if json.Unmarshal(t.Body, &body) != nil || t.Resume {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.starts[body.Order]++
}

func (l *StartCounter) started(order string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.starts[order]
}

// order is one request of the load.
type order struct {
	number     int
	id         string
	queue      string
	team       string
	repeatable bool
	twice      bool // sent through two entry VMs at once
	body       []byte
}

// told is what a caller was told.
type told struct {
	outcome errkind.Outcome
	kind    string // error kind; with one, the answer has no body of a task, also if the outcome is done
	whole   bool   // for done: the body is the one that belongs to the order
}

// Load sends requests to a cluster and compares what it was told with the ledger.
type Load struct {
	cluster *Cluster
	ledger  *StartCounter
	http    *http.Client
	rnd     *rand.Rand

	mu      sync.Mutex
	summary Summary
}

// Parameters of a load.
const (
	parallelCallers = 48
	callerDeadline  = 5 * time.Second
	repeats         = 6 // sends of one order before its outcome stays unknown
	repeatPause     = 200 * time.Millisecond
	issuedAhead     = 20 // ids asked for at one time
)

// NewLoad returns a load on a cluster whose backend servers report to the ledger.
func NewLoad(c *Cluster, l *StartCounter) *Load {
	transport := &http.Transport{MaxIdleConnsPerHost: parallelCallers}
	return &Load{cluster: c, ledger: l, http: &http.Client{Transport: transport}, rnd: rand.New(rand.NewPCG(1, 2))}
}

// Run sends n requests. On the way one backend server is killed, another preset is put in force and a key is withdrawn.
func (l *Load) Run(ctx context.Context, n int) (Summary, error) {
	orders := l.orders(ctx, n)
	disturbances := map[int]func(context.Context) error{
		n / 4:     l.killServer,
		n / 2:     func(ctx context.Context) error { return l.usePreset(ctx, "peak") },
		3 * n / 4: func(ctx context.Context) error { return l.withdrawKey(ctx, "key-riks") },
	}
	queue := make(chan order)
	var callers sync.WaitGroup
	for range parallelCallers {
		callers.Go(func() {
			for o := range queue {
				l.judge(o, l.call(ctx, o))
			}
		})
	}
	var failed error
	for i, o := range orders {
		if disturb, ok := disturbances[i]; ok && failed == nil {
			failed = disturb(ctx)
		}
		queue <- o
	}
	close(queue)
	callers.Wait()
	return l.summary, failed
}

// orders makes a mix of queues and teams: half may be repeated; of the others half carry issued ids, and one in three is sent twice.
func (l *Load) orders(ctx context.Context, n int) []order {
	queues := []string{"quote", "stock-check", "order", "public-price", "book-keeping"}
	teams := sorted(l.cluster.Keys)
	out := make([]order, n)
	for i := range out {
		o := order{
			number: i, queue: queues[i%len(queues)], team: teams[l.rnd.IntN(len(teams))],
			repeatable: l.rnd.IntN(2) == 0, id: ulid.Make().String(),
		}
		if o.queue == "public-price" {
			o.team = ""
		}
		o.twice = !o.repeatable && l.rnd.IntN(3) == 0
		body, err := json.Marshal(backendserver.SleepTask{Order: strconv.Itoa(i), RunMillis: 5 + l.rnd.IntN(40)})
		if err != nil {
			panic(err) // a struct of strings and numbers
		}
		o.body = body
		out[i] = o
	}
	l.issueIDs(ctx, out)
	return out
}

// issueIDs gives every second order that may not be repeated an issued id. Orders whose team gets none keep their ULIDs.
func (l *Load) issueIDs(ctx context.Context, orders []order) {
	ids := map[string][]string{}
	for i, o := range orders {
		if o.repeatable || o.team == "" || i%2 == 0 {
			continue
		}
		if len(ids[o.team]) == 0 {
			ids[o.team] = l.ask(ctx, o.team, i)
		}
		if len(ids[o.team]) > 0 {
			orders[i].id = ids[o.team][0]
			ids[o.team] = ids[o.team][1:]
		}
	}
}

func (l *Load) ask(ctx context.Context, team string, via int) []string {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost,
		"http://"+l.address(via)+"/v1/request-ids?count="+strconv.Itoa(issuedAhead), nil)
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

func (l *Load) address(via int) string {
	callers := l.cluster.CallerAddresses()
	return callers[via%len(callers)]
}

// call sends an order as a careful caller does: again with the same id until the outcome is known. Sent twice, it returns both
// answers.
func (l *Load) call(ctx context.Context, o order) []told {
	ways := 1
	if o.twice {
		ways = 2
	}
	answers := make([]told, ways)
	var group sync.WaitGroup
	for way := range ways {
		group.Go(func() { answers[way] = l.sendUntilKnown(ctx, o, o.number+way) })
	}
	group.Wait()
	return answers
}

func (l *Load) sendUntilKnown(ctx context.Context, o order, via int) told {
	last := told{outcome: errkind.Unknown}
	for attempt := range repeats {
		last = l.send(ctx, o, via+attempt)
		if last.outcome != errkind.Unknown || wait(ctx, repeatPause) != nil {
			return last
		}
	}
	return last
}

func (l *Load) send(ctx context.Context, o order, via int) told {
	unknown := told{outcome: errkind.Unknown}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+l.address(via)+"/v1/requests/"+o.queue, bytes.NewReader(o.body))
	if err != nil {
		return unknown
	}
	if o.team != "" {
		req.Header.Set(callerapi.HeaderKey, l.cluster.Keys[o.team])
	}
	req.Header.Set(callerapi.HeaderRequestID, o.id)
	req.Header.Set(callerapi.HeaderDeadline, strconv.FormatInt(callerDeadline.Milliseconds(), 10))
	req.Header.Set(callerapi.HeaderRepeatable, strconv.FormatBool(o.repeatable))
	resp, err := l.http.Do(req)
	if err != nil {
		return unknown
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return unknown
	}
	return told{
		outcome: errkind.Outcome(resp.Header.Get(callerapi.HeaderOutcome)),
		kind:    resp.Header.Get(callerapi.HeaderErrorKind),
		whole:   o.owns(body),
	}
}

// owns reports whether an answer is that of the order. The stand-ins answer with the body of the task; one that was checkpointed on the way has
// a shorter run time left, so only the order's number is compared.
func (o order) owns(answer []byte) bool {
	var task backendserver.SleepTask
	return json.Unmarshal(answer, &task) == nil && task.Order == strconv.Itoa(o.number)
}

// judge compares what the caller of an order was told with what ran.
func (l *Load) judge(o order, answers []told) {
	starts := l.ledger.started(strconv.Itoa(o.number))
	l.mu.Lock()
	defer l.mu.Unlock()
	l.summary.Requests++
	if !o.repeatable && starts > 1 {
		l.summary.Doubled++
	}
	for _, a := range answers {
		untrue := a.outcome == errkind.Done && a.kind == "" && !a.whole || a.outcome == errkind.NotRun && starts > 0 && !o.repeatable
		if untrue || a.outcome == "" {
			l.summary.Lost++
			if l.summary.FirstLost == "" {
				l.summary.FirstLost = fmt.Sprintf("%+v of %s, which started %d times, was told %+v", o.id, o.queue, starts, answers)
			}
			break
		}
	}
	switch best(answers) {
	case errkind.Done:
		l.summary.Done++
	case errkind.NotRun:
		l.summary.NotRun++
	default:
		l.summary.Unknown++
	}
}

// best returns the most that the caller knows from its answers.
func best(answers []told) errkind.Outcome {
	known := errkind.Unknown
	for _, a := range answers {
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
	for _, name := range sorted(l.cluster.workers) {
		if strings.HasPrefix(name, "quotes") {
			l.cluster.KillServer(name)
			return nil
		}
	}
	return errkind.New(errkind.NotFound, "no backend server to kill")
}

func (l *Load) usePreset(ctx context.Context, name string) error {
	return l.change(ctx, "/v1/presets/"+name+"/use", "dev-use-"+name)
}

func (l *Load) withdrawKey(ctx context.Context, id string) error {
	return l.change(ctx, "/v1/keys/"+id+"/withdraw", "dev-withdraw-"+id)
}

// change posts a change for the version in force.
func (l *Load) change(ctx context.Context, path, id string) error {
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
