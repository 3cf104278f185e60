package scenario

import (
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/rogpeppe/go-internal/testscript"

	"example.org/comfreyrouter/errkind"
	"example.org/comfreyrouter/internal/standin/backendserver"
)

const (
	loadCallers = 16
	// maxUnknownAnswers is the number of answers with outcome unknown after which a caller accepts that as the outcome.
	maxUnknownAnswers = 20
)

// load sends orders without a pause until it is ended. Its callers retry an order until they know its outcome, as callers should.
type load struct {
	fleet   *fleet
	prefix  string // of the names of its orders
	client  *http.Client
	stop    chan struct{}
	callers sync.WaitGroup
	once    sync.Once

	mu           sync.Mutex
	next         int
	done         map[string]order
	unknown      map[string]order
	faults       []string       // answers that no caller may get, and orders that got no outcome
	otherAnswers map[string]int // number of answers other than done, by text
}

// cmdLoad starts a load in the background, or ends it and checks that no connection broke and no order was lost or run twice: load start | load stop
// [cut=ok] [unknown=ok]. With cut=ok, connections may break; with unknown=ok, the outcome of an order may stay unknown.
func cmdLoad(ts *testscript.TestScript, _ bool, args []string) {
	f := fleetOf(ts)
	_, opts := options(args[1:])
	if args[0] == "start" {
		transport := &http.Transport{MaxIdleConnsPerHost: loadCallers}
		f.load = &load{
			fleet: f, prefix: ulid.Make().String(), client: &http.Client{Transport: transport}, stop: make(chan struct{}),
			done: map[string]order{}, unknown: map[string]order{}, otherAnswers: map[string]int{},
		}
		for i := range loadCallers {
			f.load.callers.Go(func() { f.load.runCaller(rand.New(rand.NewPCG(uint64(i), 1))) })
		}
		ts.Check(waitFor("an order is done", func() bool { f.load.mu.Lock(); defer f.load.mu.Unlock(); return len(f.load.done) > 0 }))
		return
	}
	f.load.end()
	ts.Check(f.load.check(opts))
	ts.Logf("%d orders done, %d unknown, other answers %v", len(f.load.done), len(f.load.unknown), f.load.otherAnswers)
}

func (l *load) end() {
	l.once.Do(func() { close(l.stop) })
	l.callers.Wait()
}

func (l *load) runCaller(rnd *rand.Rand) {
	for {
		select {
		case <-l.stop:
			return
		default:
			l.sendOrder(rnd)
		}
	}
}

// sendOrder sends one order until its outcome is known. Of four orders, one is repeatable; of the other three, one carries an
// issued id and two carry ULIDs.
func (l *load) sendOrder(rnd *rand.Rand) {
	l.mu.Lock()
	l.next++
	o := order{
		name: fmt.Sprintf("%s-%d", l.prefix, l.next), queue: []string{"quote", "order"}[l.next%2], team: "varmland",
		run: 5 + rnd.IntN(40), deadline: 60_000, once: l.next%4 != 0,
	}
	issued := l.next%4 == 1
	l.mu.Unlock()
	o.id = l.newID(rnd, issued)
	unknown := 0
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); {
		a := send(l.client, l.address(rnd), l.fleet.keys[o.team], o)
		l.recordAnswer(o, a)
		switch errkind.Outcome(a.outcome) {
		case errkind.Done:
			l.recordOutcome(l.done, o)
			return
		case errkind.NotRun:
			o.id = l.newID(rnd, false)
			continue
		}
		if unknown++; unknown == maxUnknownAnswers {
			l.recordOutcome(l.unknown, o)
			return
		}
		time.Sleep(pollInterval)
	}
	l.recordFault(o.name + " has no outcome")
}

func (l *load) newID(rnd *rand.Rand, issued bool) string {
	if issued {
		if id, err := issueID(l.client, l.address(rnd), l.fleet.keys["varmland"]); err == nil {
			return id
		}
	}
	return ulid.Make().String()
}

// address returns the address of a random entry VM that accepts connections, as a load balancer does.
func (l *load) address(rnd *rand.Rand) string {
	for {
		l.fleet.mu.Lock()
		names := slices.Sorted(maps.Keys(l.fleet.callers))
		address := l.fleet.callers[names[rnd.IntN(len(names))]]
		l.fleet.mu.Unlock()
		conn, err := net.Dial("tcp", address)
		if err == nil {
			_ = conn.Close()
			return address
		}
		time.Sleep(time.Millisecond)
	}
}

func (l *load) recordAnswer(o order, a answer) {
	if a.outcome == string(errkind.Done) {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.otherAnswers[a.text()]++
	if a.outcome == "wrong-body" || a.outcome == "" {
		l.faults = append(l.faults, o.name+": "+a.text()+": "+a.detail)
	}
	if a.outcome == broken && len(l.otherAnswers) < 10 {
		l.otherAnswers["broken: "+a.detail]++
	}
}

func (l *load) recordFault(text string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = append(l.faults, text)
}

func (l *load) recordOutcome(into map[string]order, o order) {
	l.mu.Lock()
	defer l.mu.Unlock()
	into[o.name] = o
}

// check compares the answers to the callers with the starts on the backend servers.
func (l *load) check(opts map[string]string) error {
	counts, err := l.fleet.countStarts()
	if err != nil {
		return err
	}
	faults := l.faults
	for name, o := range l.done {
		if n := counts[name]; n < 1 || o.once && n > 1 {
			faults = append(faults, fmt.Sprintf("%s is done and was started %d times", name, n))
		}
	}
	for name, o := range l.unknown {
		if n := counts[name]; o.once && n > 1 || opts["unknown"] != "ok" {
			faults = append(faults, fmt.Sprintf("%s is unknown and was started %d times", name, n))
		}
	}
	for text, n := range l.otherAnswers {
		if !strings.HasPrefix(text, string(errkind.NotRun)) && opts["cut"] != "ok" {
			faults = append(faults, fmt.Sprintf("%d callers got the answer %s", n, text))
		}
	}
	if len(faults) > 0 {
		return fmt.Errorf("%d orders done, %d unknown, other answers %v; faults: %s", len(l.done), len(l.unknown), l.otherAnswers, strings.Join(faults, "\n"))
	}
	return nil
}

// cmdOnePool checks that no backend server ran tasks of two queues (in two pools) at the same time or under one phase epoch: one-pool.
func cmdOnePool(ts *testscript.TestScript, _ bool, _ []string) {
	all, err := fleetOf(ts).starts()
	ts.Check(err)
	for server, starts := range all {
		queueOf := map[uint64]string{}
		ends := map[string]time.Time{} // latest end of the tasks of each queue
		for _, s := range starts {
			for queue, end := range ends {
				if queue != s.Queue && s.At.Before(end) {
					ts.Fatalf("%s started %s at %v, while %s ran until %v", server, s.Queue, s.At, queue, end)
				}
			}
			if q, ok := queueOf[s.Epoch]; ok && q != s.Queue {
				ts.Fatalf("%s ran %s and %s in epoch %d", server, q, s.Queue, s.Epoch)
			}
			var body backendserver.SleepTask
			ts.Check(json.Unmarshal(s.Body, &body))
			queueOf[s.Epoch] = s.Queue
			if end := s.At.Add(time.Duration(body.RunMillis) * time.Millisecond); end.After(ends[s.Queue]) {
				ends[s.Queue] = end
			}
		}
	}
}
