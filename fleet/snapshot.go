package fleet

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"
	"maps"

	"github.com/samber/oops"
)

// SnapshotPartBytes is the maximum size of the data in one snapshot part, in bytes.
const SnapshotPartBytes = 256 << 10

// Copy returns a copy of s that can be encoded while s is modified further. Copy takes milliseconds and Encode hundreds of
// milliseconds, so callers copy the state under a lock and encode the copy without it.
func (s *State) Copy() *State {
	c := *s
	c.VMs = maps.Clone(s.VMs)
	c.Members = maps.Clone(s.Members)
	c.LastIncarnation = maps.Clone(s.LastIncarnation)
	c.NonMembers.LastSeq = maps.Clone(s.NonMembers.LastSeq)
	c.Grants = cloneNested(s.Grants)
	c.Waves = maps.Clone(s.Waves)
	for name, w := range c.Waves {
		w.Maintained = maps.Clone(w.Maintained)
		c.Waves[name] = w
	}
	c.Claims.ByID = maps.Clone(s.Claims.ByID)
	c.Issuers.ByID = maps.Clone(s.Issuers.ByID)
	c.Issuers.Floors = maps.Clone(s.Issuers.Floors)
	c.ConfigureResults.ByID = maps.Clone(s.ConfigureResults.ByID)
	c.SnapshotParts = cloneNested(s.SnapshotParts)
	return &c
}

func cloneNested[K1, K2 comparable, V any](m map[K1]map[K2]V) map[K1]map[K2]V {
	out := make(map[K1]map[K2]V, len(m))
	for k, inner := range m {
		out[k] = maps.Clone(inner)
	}
	return out
}

// Encode returns the state as gzipped JSON. Equal states give equal bytes.
func (s *State) Encode() ([]byte, error) {
	var buf bytes.Buffer
	zw := gzip.NewWriter(&buf)
	if err := json.NewEncoder(zw).Encode(s); err != nil {
		return nil, oops.Wrapf(err, "encode the state")
	}
	if err := zw.Close(); err != nil {
		return nil, oops.Wrapf(err, "compress the state")
	}
	return buf.Bytes(), nil
}

// DecodeState decodes a state that was encoded by Encode.
func DecodeState(data []byte) (*State, error) {
	zr, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, oops.Wrapf(err, "decompress the state")
	}
	raw, err := io.ReadAll(zr)
	if err != nil {
		return nil, oops.Wrapf(err, "decompress the state")
	}
	s := NewState()
	if err := json.Unmarshal(raw, s); err != nil {
		return nil, oops.Wrapf(err, "decode the state")
	}
	return s, nil
}

// SplitSnapshot returns the commands that write an encoded state of offset upTo to the log. Each command must go into a batch of its own.
func SplitSnapshot(id string, upTo uint64, data []byte) []Command {
	count := max(1, (len(data)+SnapshotPartBytes-1)/SnapshotPartBytes)
	parts := make([]Command, count)
	for i := range parts {
		from := i * SnapshotPartBytes
		to := min(len(data), from+SnapshotPartBytes)
		parts[i] = Command{Snapshot: &SnapshotPart{ID: id, UpTo: upTo, Index: i, Count: count, Data: data[from:to]}}
	}
	return parts
}

// SnapshotAssembler reassembles snapshots from their parts while the log is read from its start.
type SnapshotAssembler struct {
	parts map[string]map[int][]byte
}

// Add adds a part. It returns the decoded state when the part completes its snapshot, and nil until then.
func (a *SnapshotAssembler) Add(p *SnapshotPart) (*State, error) {
	if a.parts == nil {
		a.parts = map[string]map[int][]byte{}
	}
	seen := a.parts[p.ID]
	if seen == nil {
		seen = map[int][]byte{}
		a.parts[p.ID] = seen
	}
	seen[p.Index] = p.Data
	if len(seen) < p.Count {
		return nil, nil
	}
	delete(a.parts, p.ID)
	var data []byte
	for i := range p.Count {
		data = append(data, seen[i]...)
	}
	return DecodeState(data)
}
