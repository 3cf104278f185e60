// Package keyedstore is a small stand-in of the users' platform's store for tests and trials: keyed topics of one partition with appends,
// reads, the newest record of each key, and producers with epochs. It keeps everything in memory.
package keyedstore

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Record is one record of a topic. A record without a value drops its key.
type Record struct {
	Key    string `json:"key"`
	Value  []byte `json:"value"`
	Offset int64  `json:"offset"`
}

// Fault is what happens to a call.
type Fault int

// The faults.
const (
	NoFault     Fault = iota
	Unavailable       // nothing is done, 503
	LoseAnswer        // it is done, and the connection breaks
	DropCall          // nothing is done, and the connection breaks
)

type producer struct {
	epoch, sequence int64
	offsets         map[int64]int64 // first offset of the newest appends, by sequence number
}

type topic struct {
	records   []Record
	first     int64 // offset of the first record that is kept
	producers map[string]*producer
	grown     chan struct{} // closed and replaced at each append
}

// Store is the stand-in. It is an HTTP handler.
type Store struct {
	mu     sync.Mutex
	topics map[string]*topic
	fault  func(r *http.Request) Fault
	mux    *http.ServeMux
}

// New returns an empty store.
func New() *Store {
	s := &Store{topics: map[string]*topic{}, mux: http.NewServeMux()}
	s.mux.HandleFunc("POST /log-append", s.append)
	s.mux.HandleFunc("GET /log-read", s.read)
	s.mux.HandleFunc("GET /log-newest", s.newest)
	return s
}

// SetFault sets what happens to each call; nil is no fault.
func (s *Store) SetFault(f func(r *http.Request) Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// ServeHTTP answers a call.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	fault := s.fault
	s.mu.Unlock()
	kind := NoFault
	if fault != nil {
		kind = fault(r)
	}
	switch kind {
	case Unavailable:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case DropCall:
		panic(http.ErrAbortHandler)
	case LoseAnswer:
		s.mux.ServeHTTP(discard{http.Header{}}, r)
		panic(http.ErrAbortHandler)
	case NoFault:
	}
	s.mux.ServeHTTP(w, r)
}

// discard is an answer that gets lost.
type discard struct{ header http.Header }

func (d discard) Header() http.Header         { return d.header }
func (d discard) Write(p []byte) (int, error) { return len(p), nil }
func (d discard) WriteHeader(int)             {}

func (s *Store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{producers: map[string]*producer{}, grown: make(chan struct{})}
		s.topics[name] = t
	}
	return t
}

// Put writes a record, as operators and backend servers do.
func (s *Store) Put(name, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topic(name).put([]Record{{Key: key, Value: value}})
}

// Latest returns the newest value of a key, or nil.
func (s *Store) Latest(name, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range slices.Backward(s.topic(name).records) {
		if r.Key == key {
			return r.Value
		}
	}
	return nil
}

// TruncateHistory drops the history of a topic. The newest record of each key stays.
func (s *Store) TruncateHistory(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	t.first = int64(len(t.records))
}

func (t *topic) put(records []Record) int64 {
	first := int64(len(t.records))
	for i, r := range records {
		r.Offset = first + int64(i)
		t.records = append(t.records, r)
	}
	close(t.grown)
	t.grown = make(chan struct{})
	return first
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // a client that has gone away notices
}

func (s *Store) append(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	records, ok := decode(body)
	if err != nil || !ok {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(q.Get("topic"))
	if name := q.Get("producer"); name != "" {
		epoch, _ := strconv.ParseInt(q.Get("epoch"), 10, 64)
		sequence, _ := strconv.ParseInt(q.Get("sequence"), 10, 64)
		t.produce(w, name, epoch, sequence, records)
		return
	}
	first := t.put(records)
	answer(w, http.StatusOK, map[string]int64{"offset": first, "end_offset": int64(len(t.records))})
}

// repeats is how many of a producer's appends may be repeated.
const repeats = 5

// produce appends in a producer's order.
func (t *topic) produce(w http.ResponseWriter, name string, epoch, sequence int64, records []Record) {
	p := t.producers[name]
	if p == nil || epoch > p.epoch {
		p = &producer{epoch: epoch, sequence: sequence - 1, offsets: map[int64]int64{}}
		t.producers[name] = p
	}
	offset, repeated := p.offsets[sequence]
	switch {
	case epoch < p.epoch:
		answer(w, http.StatusConflict, map[string]string{"reason": "fenced"})
		return
	case repeated:
	case sequence != p.sequence+1:
		answer(w, http.StatusConflict, map[string]any{"reason": "seq", "sequence": p.sequence + 1})
		return
	default:
		offset = t.put(records)
		p.sequence, p.offsets[sequence] = sequence, offset
		delete(p.offsets, sequence-repeats)
	}
	answer(w, http.StatusOK, map[string]int64{"offset": offset, "end_offset": int64(len(t.records))})
}

// decode reads records: a length of four bytes, the length of the key, the key, the value.
func decode(data []byte) ([]Record, bool) {
	var records []Record
	for len(data) > 0 {
		if len(data) < 5 {
			return nil, false
		}
		n := int(binary.BigEndian.Uint32(data))
		data = data[4:]
		if n < 1 || len(data) < n || n < 1+int(data[0]) {
			return nil, false
		}
		k := int(data[0])
		records = append(records, Record{Key: string(data[1 : 1+k]), Value: slices.Clone(data[1+k : n])})
		data = data[n:]
	}
	return records, true
}

func (s *Store) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.ParseInt(q.Get("from"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timeout := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timeout.Stop()
	for {
		s.mu.Lock()
		t := s.topic(q.Get("topic"))
		end, first, grown := int64(len(t.records)), t.first, t.grown
		var found []Record
		if from >= first && from < end {
			found = slices.Clone(t.records[from:])
		}
		s.mu.Unlock()
		if from < first {
			answer(w, http.StatusGone, map[string]int64{"start_offset": first})
			return
		}
		if len(found) == 0 {
			select {
			case <-grown:
				continue
			case <-timeout.C:
			case <-r.Context().Done():
				return
			}
		}
		_, _ = w.Write(encode(end, first, found)) // a client that has gone away notices
		return
	}
}

func encode(end, first int64, records []Record) []byte {
	out := binary.BigEndian.AppendUint64(nil, uint64(end))
	out = binary.BigEndian.AppendUint64(out, uint64(first))
	for _, r := range records {
		out = binary.BigEndian.AppendUint32(out, uint32(1+len(r.Key)+len(r.Value)))
		out = append(append(append(out, byte(len(r.Key))), r.Key...), r.Value...)
	}
	return out
}

// pageSize is the most records of a page.
const pageSize = 500

func (s *Store) newest(w http.ResponseWriter, r *http.Request) {
	after := r.URL.Query().Get("after")
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(r.URL.Query().Get("topic"))
	latest := map[string]Record{}
	for _, rec := range t.records {
		latest[rec.Key] = rec
	}
	items := []Record{}
	for key, rec := range latest {
		if key > after && len(rec.Value) > 0 {
			items = append(items, rec)
		}
	}
	slices.SortFunc(items, func(a, b Record) int {
		if a.Key < b.Key {
			return -1
		}
		return 1
	})
	more := len(items) > pageSize
	answer(w, http.StatusOK, map[string]any{"items": items[:min(len(items), pageSize)], "has_more": more, "end_offset": len(t.records)})
}
