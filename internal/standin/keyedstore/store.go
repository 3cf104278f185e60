// Package keyedstore is a small in-memory stand-in for the store of the users' platform, for tests and trials: keyed topics of one partition with
// appends, reads, the newest record of each key, and producers that are fenced by epochs.
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

// Record is one record of a topic. A record without a value deletes its key.
type Record struct {
	Key    string `json:"key"`
	Value  []byte `json:"value"`
	Offset int64  `json:"offset"`
}

// Fault is a way in which a call fails.
type Fault int

// The faults of calls.
const (
	NoFault     Fault = iota
	Unavailable       // the call has no effect and gets status 503
	LoseAnswer        // the call takes effect and the connection breaks
	DropCall          // the call has no effect and the connection breaks
)

// producer is the state of one named producer of a topic.
type producer struct {
	epoch, sequence int64
	offsets         map[int64]int64 // first offset of each of the last keptAppends appends, by sequence number
}

type topic struct {
	records   []Record
	first     int64 // offset of the first record that reads return; earlier ones are gone
	producers map[string]*producer
	appended  chan struct{} // closed and replaced at each append
}

// Store is an in-memory store. It implements http.Handler.
type Store struct {
	mu     sync.Mutex
	topics map[string]*topic
	fault  func(r *http.Request) Fault
	mux    *http.ServeMux
}

// New returns an empty store.
func New() *Store {
	s := &Store{topics: map[string]*topic{}, mux: http.NewServeMux()}
	s.mux.HandleFunc("POST /log-append", s.handleAppend)
	s.mux.HandleFunc("GET /log-read", s.handleRead)
	s.mux.HandleFunc("GET /log-newest", s.handleNewest)
	return s
}

// SetFault sets the function that chooses the fault of each call. With nil, no call fails.
func (s *Store) SetFault(f func(r *http.Request) Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// ServeHTTP serves a call, or fails it with the chosen fault.
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
		s.mux.ServeHTTP(discardWriter{http.Header{}}, r)
		panic(http.ErrAbortHandler)
	case NoFault:
	}
	s.mux.ServeHTTP(w, r)
}

// discardWriter discards the response to a call whose answer is lost.
type discardWriter struct{ header http.Header }

func (d discardWriter) Header() http.Header         { return d.header }
func (d discardWriter) Write(p []byte) (int, error) { return len(p), nil }
func (d discardWriter) WriteHeader(int)             {}

// topic returns a topic and creates it if necessary. The lock must be held.
func (s *Store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{producers: map[string]*producer{}, appended: make(chan struct{})}
		s.topics[name] = t
	}
	return t
}

// Put appends a record without a producer, as operators and backend servers do.
func (s *Store) Put(name, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topic(name).put([]Record{{Key: key, Value: value}})
}

// Latest returns the newest value of a key, or nil if there is none.
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

// TruncateHistory makes all current records of a topic unreadable by offset. The newest record of each key can still be listed.
func (s *Store) TruncateHistory(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	t.first = int64(len(t.records))
}

// put appends records, wakes waiting reads and returns the offset of the first record.
func (t *topic) put(records []Record) int64 {
	first := int64(len(t.records))
	for i, r := range records {
		r.Offset = first + int64(i)
		t.records = append(t.records, r)
	}
	close(t.appended)
	t.appended = make(chan struct{})
	return first
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // fails only if the client has disconnected
}

func (s *Store) handleAppend(w http.ResponseWriter, r *http.Request) {
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
		t.appendAs(w, name, epoch, sequence, records)
		return
	}
	first := t.put(records)
	writeJSON(w, http.StatusOK, map[string]int64{"offset": first, "end_offset": int64(len(t.records))})
}

// keptAppends is the number of a producer's last appends whose repeats are recognised and answered without effect.
const keptAppends = 5

// appendAs appends records for a producer. It refuses an outdated epoch and a sequence number that is out of order.
func (t *topic) appendAs(w http.ResponseWriter, name string, epoch, sequence int64, records []Record) {
	p := t.producers[name]
	if p == nil || epoch > p.epoch {
		p = &producer{epoch: epoch, sequence: sequence - 1, offsets: map[int64]int64{}}
		t.producers[name] = p
	}
	offset, repeated := p.offsets[sequence]
	switch {
	case epoch < p.epoch:
		writeJSON(w, http.StatusConflict, map[string]string{"reason": "fenced"})
		return
	case repeated:
	case sequence != p.sequence+1:
		writeJSON(w, http.StatusConflict, map[string]any{"reason": "seq", "sequence": p.sequence + 1})
		return
	default:
		offset = t.put(records)
		p.sequence, p.offsets[sequence] = sequence, offset
		delete(p.offsets, sequence-keptAppends)
	}
	writeJSON(w, http.StatusOK, map[string]int64{"offset": offset, "end_offset": int64(len(t.records))})
}

// decode reads records, each made of the length of the rest (4 bytes, big-endian), the length of the key (1 byte), the key and the value.
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

func (s *Store) handleRead(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.ParseInt(q.Get("from"), 10, 64)
	waitMillis, _ := strconv.Atoi(q.Get("wait_ms"))
	timeout := time.NewTimer(time.Duration(waitMillis) * time.Millisecond)
	defer timeout.Stop()
	for {
		s.mu.Lock()
		t := s.topic(q.Get("topic"))
		end, first, appended := int64(len(t.records)), t.first, t.appended
		var records []Record
		if from >= first && from < end {
			records = firstPage(t.records[from:], q.Get("max_kb"))
		}
		s.mu.Unlock()
		if from < first {
			writeJSON(w, http.StatusGone, map[string]int64{"start_offset": first})
			return
		}
		if len(records) == 0 {
			select {
			case <-appended:
				continue
			case <-timeout.C:
			case <-r.Context().Done():
				return
			}
		}
		_, _ = w.Write(encode(end, first, records)) // fails only if the client has disconnected
		return
	}
}

// defaultPageKB is the size of a page of records, in KiB, if a read names none.
const defaultPageKB = 1024

// firstPage returns a copy of the first records that fit into a page of a size in KiB, at least one.
func firstPage(records []Record, maxKB string) []Record {
	limit, err := strconv.Atoi(maxKB)
	if err != nil {
		limit = defaultPageKB
	}
	n, size := 1, len(records[0].Key)+len(records[0].Value)
	for ; n < len(records); n++ {
		if size += len(records[n].Key) + len(records[n].Value); size > limit<<10 {
			break
		}
	}
	return slices.Clone(records[:n])
}

// encode returns the body of a read: the end offset, the first kept offset (8 bytes each, big-endian) and the records in the format of decode.
func encode(end, first int64, records []Record) []byte {
	out := binary.BigEndian.AppendUint64(nil, uint64(end))
	out = binary.BigEndian.AppendUint64(out, uint64(first))
	for _, r := range records {
		out = binary.BigEndian.AppendUint32(out, uint32(1+len(r.Key)+len(r.Value)))
		out = append(append(append(out, byte(len(r.Key))), r.Key...), r.Value...)
	}
	return out
}

// pageSize is the largest number of records in a page of newest records.
const pageSize = 500

func (s *Store) handleNewest(w http.ResponseWriter, r *http.Request) {
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
	writeJSON(w, http.StatusOK, map[string]any{"items": items[:min(len(items), pageSize)], "has_more": more, "end_offset": len(t.records)})
}
