package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"example.org/comfreyrouter/internal/standin/keyedstore"
)

// Topics of the platform's store.
const (
	topicOperators = "keyed.op"
	topicServers   = "keyed.servers"
	topicJobs      = "keyed.jobs"
)

// serve starts an HTTP server on a free loopback port.
func serve(h http.Handler) (*http.Server, string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, "", err
	}
	s := &http.Server{Handler: h}
	go func() { _ = s.Serve(l) }() // ends with Close
	return s, l.Addr().String(), nil
}

// link is the way of one node to the platform's store. While it is cut, calls get no answer and have no effect.
type link struct {
	store *keyedstore.Store
	// late, if set, returns how long after its arrival an append is carried out without an answer; 0 carries it out and answers at once.
	late func(node string, r *http.Request, body []byte) time.Duration
	node string
	down *atomic.Bool // the store answers 503

	mu  sync.Mutex
	cut chan struct{} // closed when the cut ends; nil if there is none
}

func (l *link) setCut(on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case on && l.cut == nil:
		l.cut = make(chan struct{})
	case !on && l.cut != nil:
		close(l.cut)
		l.cut = nil
	}
}

// dropIfCut waits for the end of a cut and breaks the connection, if the link is cut.
func (l *link) dropIfCut(r *http.Request) {
	l.mu.Lock()
	cut := l.cut
	l.mu.Unlock()
	if cut == nil {
		return
	}
	select {
	case <-cut:
	case <-r.Context().Done():
	}
	panic(http.ErrAbortHandler)
}

// answer holds a response until it is known that it can be delivered.
type answer struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func (a *answer) Header() http.Header         { return a.header }
func (a *answer) WriteHeader(status int)      { a.status = status }
func (a *answer) Write(p []byte) (int, error) { return a.body.Write(p) }

// ServeHTTP passes a call to the store.
func (l *link) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	l.dropIfCut(r)
	if l.down.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if l.late != nil && r.Method == http.MethodPost {
		if delay := l.late(l.node, r, body); delay > 0 {
			copied := r.Clone(r.Context())
			copied.Body = io.NopCloser(bytes.NewReader(body))
			time.AfterFunc(delay, func() { l.store.ServeHTTP(&answer{header: http.Header{}}, copied) })
			<-r.Context().Done() // the caller gives up; nothing more comes on this connection
			panic(http.ErrAbortHandler)
		}
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	a := &answer{header: http.Header{}, status: http.StatusOK}
	l.store.ServeHTTP(a, r)
	l.dropIfCut(r)
	for k, v := range a.header {
		w.Header()[k] = v
	}
	w.WriteHeader(a.status)
	_, _ = w.Write(a.body.Bytes()) // fails only if the caller has gone
}

// dispatcherOf returns the epoch and the node of the dispatcher that the ledger shows.
func dispatcherOf(store *keyedstore.Store) (epoch int64, node string) {
	var d struct {
		Epoch int64  `json:"e"`
		Node  string `json:"n"`
	}
	if json.Unmarshal(store.Latest(topicJobs, "o"), &d) != nil {
		return 0, ""
	}
	return d.Epoch, d.Node
}

// machineList serves the platform's list of machines. No machine changes its pool or has its upkeep in these cases.
func (f *fleet) machineList(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet || !strings.HasPrefix(r.URL.Path, "/machines") {
		f.rec.add("the platform refuses %s %s", r.Method, r.URL.Path)
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	f.mu.Lock()
	gone := f.gone
	f.mu.Unlock()
	rows := []map[string]any{}
	for _, s := range f.servers {
		if s == gone {
			continue
		}
		s.mu.Lock()
		phase := "up"
		if !s.up {
			phase = "down"
		}
		s.mu.Unlock()
		rows = append(rows, map[string]any{
			"host_machine": s.machine, "pool": serviceName, "phase": phase, "zone": s.zone, "labels": s.labels(), "room": room(), "id": s.id,
		})
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"machines": rows, "next_token": nil}) // fails only if the caller has gone
}
