package main

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

// The figures of the platform's store, as in the settings on the page DEPLOY.md.
const (
	answerTime   = 4 * time.Millisecond
	appendTime   = 4 * time.Millisecond
	readRate     = 80e6 // bytes per second of all reads
	recordBytes  = 262144
	requestBytes = 2097152
	newestItems  = 500
	newestBytes  = 1 << 20
	keptRepeats  = 5
)

// storeRecord is one record of a keyed topic.
type storeRecord struct {
	Key    string `json:"key"`
	Value  []byte `json:"value"`
	Offset int64  `json:"offset"`
}

// producer is the state of a named producer.
type producer struct {
	epoch, sequence int64
	answers         map[int64]int64 // first offset by sequence number
}

// topic is a keyed topic with one partition.
type topic struct {
	records   []storeRecord
	producers map[string]*producer
	grown     chan struct{} // closed and replaced at each append
}

// store is the platform's store: a log, in which the newest record of each key is retained.
type store struct {
	mu     sync.Mutex
	topics map[string]*topic
	append sync.Mutex // a partition carries out its appends one at a time
	reads  sync.Mutex // all reads share a rate
}

func newStore() *store { return &store{topics: map[string]*topic{}} }

// topic returns a topic and creates it if necessary. The lock must be held.
func (s *store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{producers: map[string]*producer{}, grown: make(chan struct{})}
		s.topics[name] = t
	}
	return t
}

func (t *topic) put(records []storeRecord) int64 {
	first := int64(len(t.records))
	for i, r := range records {
		r.Offset = first + int64(i)
		t.records = append(t.records, r)
	}
	close(t.grown)
	t.grown = make(chan struct{})
	return first
}

// write appends a record as the operator or a worker does.
func (s *store) write(name, key string, value any) {
	var data []byte
	if value != nil {
		data, _ = json.Marshal(value) // plain values always encode
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topic(name).put([]storeRecord{{Key: key, Value: data}})
}

// newest returns the newest value of a key.
func (s *store) newest(name, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range slices.Backward(s.topic(name).records) {
		if r.Key == key {
			return r.Value
		}
	}
	return nil
}

// door is the address at which one node reaches the store.
type door struct {
	store *store
	link  float64 // bytes per second of an answer; 0: as fast as it can
	mu    sync.Mutex
	shut  bool
}

// setShut sets whether the store rejects the node, with 503.
func (d *door) setShut(on bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.shut = on
}

func (d *door) isShut() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.shut
}

func (d *door) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	time.Sleep(answerTime)
	if d.isShut() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	switch r.Method + " " + r.URL.Path {
	case "POST /log-append":
		d.store.handleAppend(w, r, body)
	case "GET /log-read":
		d.handleRead(w, r)
	case "GET /log-newest":
		d.store.handleNewest(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // fails only if the node has disconnected
}

func number(r *http.Request, name string, otherwise int64) int64 {
	n, err := strconv.ParseInt(r.URL.Query().Get(name), 10, 64)
	if err != nil {
		return otherwise
	}
	return n
}

func (s *store) handleAppend(w http.ResponseWriter, r *http.Request, body []byte) {
	records, ok := decodeRecords(body)
	name := r.URL.Query().Get("topic")
	if !ok || len(body) > requestBytes || name == "keyed.op" || name == "keyed.servers" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.append.Lock()
	defer s.append.Unlock()
	time.Sleep(appendTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	var first int64
	if by := r.URL.Query().Get("producer"); by == "" {
		first = t.put(records)
	} else {
		var refusal map[string]any
		if first, refusal = t.putAs(by, number(r, "epoch", 0), number(r, "sequence", 0), records); refusal != nil {
			answer(w, http.StatusConflict, refusal)
			return
		}
	}
	answer(w, http.StatusOK, map[string]int64{"offset": first, "end_offset": int64(len(t.records))})
}

// putAs appends for a producer, and returns a refusal if its epoch or its sequence number isn't due.
func (t *topic) putAs(by string, epoch, sequence int64, records []storeRecord) (int64, map[string]any) {
	p := t.producers[by]
	if p == nil || epoch > p.epoch {
		p = &producer{epoch: epoch, sequence: sequence - 1, answers: map[int64]int64{}}
		t.producers[by] = p
	}
	if epoch < p.epoch {
		return 0, map[string]any{"reason": "fenced"}
	}
	if first, repeated := p.answers[sequence]; repeated {
		return first, nil
	}
	if sequence != p.sequence+1 {
		return 0, map[string]any{"reason": "seq", "sequence": p.sequence + 1}
	}
	first := t.put(records)
	p.sequence, p.answers[sequence] = sequence, first
	delete(p.answers, sequence-keptRepeats)
	return first, nil
}

func decodeRecords(data []byte) ([]storeRecord, bool) {
	var records []storeRecord
	for len(data) > 0 {
		if len(data) < 5 {
			return nil, false
		}
		n := int(binary.BigEndian.Uint32(data))
		data = data[4:]
		if n < 1 || n > recordBytes || n > len(data) || n < 1+int(data[0]) {
			return nil, false
		}
		k := int(data[0])
		records = append(records, storeRecord{Key: string(data[1 : 1+k]), Value: slices.Clone(data[1+k : n])})
		data = data[n:]
	}
	return records, true
}

// handleRead answers as soon as a record is available. A node that is rejected meanwhile gets no answer from its waiting read but a 503.
func (d *door) handleRead(w http.ResponseWriter, r *http.Request) {
	s, name, from := d.store, r.URL.Query().Get("topic"), number(r, "from", 0)
	timeout := time.NewTimer(time.Duration(number(r, "wait_ms", 0)) * time.Millisecond)
	defer timeout.Stop()
	for waiting := true; ; {
		s.mu.Lock()
		t := s.topic(name)
		body, some, grown := t.page(from, int(number(r, "max_kb", 1024))<<10), from < int64(len(t.records)), t.grown
		s.mu.Unlock()
		if !some && waiting {
			select {
			case <-grown:
			case <-timeout.C:
				waiting = false
			case <-r.Context().Done():
				return
			}
			continue
		}
		if d.isShut() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		s.reads.Lock()
		time.Sleep(time.Duration(float64(len(body)) / readRate * float64(time.Second)))
		s.reads.Unlock()
		d.send(w, body)
		return
	}
}

// send writes an answer at the rate of the link.
func (d *door) send(w http.ResponseWriter, body []byte) {
	const step = 10 * time.Millisecond
	for begun, sent := time.Now(), 0; d.link > 0 && sent < len(body); {
		time.Sleep(step)
		due := min(len(body), int(d.link*time.Since(begun).Seconds()))
		if _, err := w.Write(body[sent:due]); err != nil {
			return // the node has disconnected
		}
		w.(http.Flusher).Flush()
		sent = due
	}
	if d.link == 0 {
		_, _ = w.Write(body) // fails only if the node has disconnected
	}
}

// page returns the end, the first retained offset and the records from an offset on, whole ones of at most a number of bytes in all.
func (t *topic) page(from int64, most int) []byte {
	out := binary.BigEndian.AppendUint64(nil, uint64(len(t.records)))
	out = binary.BigEndian.AppendUint64(out, 0)
	size := 0
	for i := from; i < int64(len(t.records)); i++ {
		r := t.records[i]
		n := 1 + len(r.Key) + len(r.Value)
		if size += 4 + n; size > most && i > from {
			break
		}
		out = binary.BigEndian.AppendUint32(out, uint32(n))
		out = append(append(append(out, byte(len(r.Key))), r.Key...), r.Value...)
	}
	return out
}

func (s *store) handleNewest(w http.ResponseWriter, r *http.Request) {
	after := r.URL.Query().Get("after")
	s.mu.Lock()
	t := s.topic(r.URL.Query().Get("topic"))
	latest := map[string]storeRecord{}
	for _, rec := range t.records {
		latest[rec.Key] = rec
	}
	end := len(t.records)
	s.mu.Unlock()
	items := []storeRecord{}
	for key, rec := range latest {
		if key > after && len(rec.Value) > 0 {
			items = append(items, rec)
		}
	}
	slices.SortFunc(items, func(a, b storeRecord) int {
		if a.Key < b.Key {
			return -1
		}
		return 1
	})
	n, size := 0, 0
	for ; n < min(len(items), newestItems); n++ {
		if size += len(items[n].Value); size > newestBytes && n > 0 {
			break
		}
	}
	answer(w, http.StatusOK, map[string]any{"items": items[:n], "has_more": n < len(items), "end_offset": end})
}
