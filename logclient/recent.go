package logclient

import "sync"

// recentRecords holds the latest records in their encoded form, without gaps, for peers that cannot read the log.
type recentRecords struct {
	maxBytes int

	mu      sync.Mutex
	records []Record
	bytes   int
	next    uint64 // offset after the last record
}

// recordOverhead is the memory used by a record besides its data, in bytes.
const recordOverhead = 48

func (r *recentRecords) add(record Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if record.Offset != r.next {
		r.records = nil
		r.bytes = 0
	}
	r.records = append(r.records, record)
	r.bytes += len(record.Data) + recordOverhead
	r.next = record.Offset + 1
	for r.bytes > r.maxBytes && len(r.records) > 0 {
		r.bytes -= len(r.records[0].Data) + recordOverhead
		r.records[0].Data = nil
		r.records = r.records[1:]
	}
}

// reset discards all records after a state with the given offset was installed.
func (r *recentRecords) reset(offset uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.records = nil
	r.bytes = 0
	r.next = offset + 1
}

// from returns records starting at an offset: at most limit, and at most maxBytes in total unless the first one is larger. It
// reports false if the record at the offset is no longer kept.
func (r *recentRecords) from(offset uint64, limit, maxBytes int) ([]Record, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	first := r.next - uint64(len(r.records))
	if offset < first {
		return nil, false
	}
	if offset >= r.next {
		return nil, true
	}
	var found []Record
	bytes := 0
	for _, record := range r.records[offset-first:] {
		bytes += len(record.Data)
		if len(found) >= limit || len(found) > 0 && bytes > maxBytes {
			break
		}
		found = append(found, record)
	}
	return found, true
}
