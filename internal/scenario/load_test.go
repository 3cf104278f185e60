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
	loadCallers = 8
	// longRun is the run time of every third order, in milliseconds. It is longer than two rounds of the reconciler, so that a server that is
	// not waited for still has work.
	longRun = 2500
	// giveUpAfter is the number of answers of outcome unknown after which a caller takes the outcome for unknown.
	giveUpAfter = 20
)

// load sends orders without a pause until it is ended. Its callers repeat an order until they know its outcome, as members do.
type load struct {
	fleet  *fleet
	prefix string // of the names of its orders
	client *http.Client
	stop   chan struct{}
	ended  sync.WaitGroup
	once   sync.Once

	mu      sync.Mutex
	next    int
	done    map[string]order
	unknown map[string]order
	faults  []string       // answers that no caller may get, and orders without an outcome
	told    map[string]int // answers other than done
}

// cmdLoad starts a load in the background, or ends it and checks that nothing was cut, lost or doubled: load start | load stop [cut=ok]
// [unknown=ok]. With cut=ok, connections may break; with unknown=ok, the outcome of an order may stay unknown.
func cmdLoad(ts *testscript.TestScript, _ bool, args []string) {
	f := fleetOf(ts)
	if args[0] == "start" {
		transport := &http.Transport{MaxIdleConnsPerHost: loadCallers}
		f.load = &load{
			fleet: f, prefix: ulid.Make().String(), client: &http.Client{Transport: transport}, stop: make(chan struct{}),
			done: map[string]order{}, unknown: map[string]order{}, told: map[string]int{},
		}
		for i := range loadCallers {
			f.load.ended.Go(func() { f.load.call(rand.New(rand.NewPCG(uint64(i), 1))) })
		}
		ts.Check(until("an order is done", func() bool { f.load.mu.Lock(); defer f.load.mu.Unlock(); return len(f.load.done) > 0 }))
		return
	}
	_, opts := options(args[1:])
	f.load.end()
	ts.Check(f.load.judge(opts))
	ts.Logf("%d orders done, %d unknown, told %v", len(f.load.done), len(f.load.unknown), f.load.told)
}

func (l *load) end() {
	l.once.Do(func() { close(l.stop) })
	l.ended.Wait()
}

func (l *load) call(rnd *rand.Rand) {
	for {
		select {
		case <-l.stop:
			return
		default:
			l.run(rnd)
		}
	}
}

// run sends one order until its outcome is known. Of four orders one may be repeated, two carry ULIDs, and one an issued id.
func (l *load) run(rnd *rand.Rand) {
	l.mu.Lock()
	l.next++
	o := order{
		name: fmt.Sprintf("%s-%d", l.prefix, l.next), queue: []string{"quote", "order"}[l.next%2], team: "varmland",
		run: 5 + rnd.IntN(40), deadline: 60_000, once: l.next%4 != 0,
	}
	if l.next%3 == 0 {
		o.run = longRun
	}
	issued := l.next%4 == 1
	l.mu.Unlock()
	o.id = l.newID(rnd, issued)
	unknown := 0
	for end := time.Now().Add(hang); time.Now().Before(end); {
		a := send(l.client, l.address(rnd), l.fleet.keys[o.team], o)
		l.note(o, a)
		switch errkind.Outcome(a.outcome) {
		case errkind.Done:
			l.finish(l.done, o)
			return
		case errkind.NotRun:
			o.id = l.newID(rnd, false)
			continue
		}
		if unknown++; unknown == giveUpAfter {
			l.finish(l.unknown, o)
			return
		}
		time.Sleep(poll)
	}
	l.fault(o.name + " has no outcome")
}

func (l *load) newID(rnd *rand.Rand, issued bool) string {
	if issued {
		if id, err := issue(l.client, l.address(rnd), l.fleet.keys["varmland"]); err == nil {
			return id
		}
	}
	return ulid.Make().String()
}

// address returns an entry VM that accepts connections, as a load balancer does.
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

func (l *load) note(o order, a answer) {
	if a.outcome == string(errkind.Done) {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.told[a.text()]++
	if a.outcome == "wrong-body" || a.outcome == "" {
		l.faults = append(l.faults, o.name+": "+a.text()+": "+a.detail)
	}
	if a.outcome == broken && len(l.told) < 10 {
		l.told["broken: "+a.detail]++
	}
}

func (l *load) fault(text string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = append(l.faults, text)
}

func (l *load) finish(into map[string]order, o order) {
	l.mu.Lock()
	defer l.mu.Unlock()
	into[o.name] = o
}

// judge compares what the callers were told with what ran.
func (l *load) judge(opts map[string]string) error {
	counts, err := l.fleet.startsOf()
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
	for text, n := range l.told {
		if !strings.HasPrefix(text, string(errkind.NotRun)) && opts["cut"] != "ok" {
			faults = append(faults, fmt.Sprintf("%d callers were told %s", n, text))
		}
	}
	if len(faults) > 0 {
		return fmt.Errorf("%d orders done, %d unknown, told %v; faults: %s", len(l.done), len(l.unknown), l.told, strings.Join(faults, "\n"))
	}
	return nil
}

// cmdOnePool checks that no backend server ran work of two pools at one time or under one phase epoch: one-pool.
func cmdOnePool(ts *testscript.TestScript, _ bool, _ []string) {
	all, err := fleetOf(ts).starts()
	ts.Check(err)
	for server, starts := range all {
		queueOf := map[uint64]string{}
		ends := map[string]time.Time{} // latest end of the work of each queue
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
