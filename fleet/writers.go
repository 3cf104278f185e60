package fleet

// maxEnded is the number of writers outside the membership whose last sequence number is kept. At 79 replacements a day it
// covers 50 days; a record is not delayed in the network for so long.
const maxEnded = 4096

// NonMembers has the last batch sequence numbers of writers that left, were released, or never joined. Without it a copy of a
// batch that lands after its writer has left would be applied again.
type NonMembers struct {
	LastSeq map[string]uint64 `json:"last_seq"`
	Order   []string          `json:"order,omitempty"`
}

func (e *NonMembers) set(writer string, seq uint64) {
	if _, ok := e.LastSeq[writer]; !ok {
		if len(e.Order) >= maxEnded {
			delete(e.LastSeq, e.Order[0])
			e.Order = e.Order[1:]
		}
		e.Order = append(e.Order, writer)
	}
	e.LastSeq[writer] = seq
}

// LastSeq returns the last batch sequence number that was applied for a writer, or 0 for none.
func (s *State) LastSeq(writer string) uint64 {
	if m, ok := s.Members[writer]; ok {
		return m.LastSeq
	}
	return s.NonMembers.LastSeq[writer]
}

// advanceSeq notes a batch's sequence number. It reports false for a batch that was applied before. Batches without a writer
// are not numbered.
func (s *State) advanceSeq(writer string, seq uint64) bool {
	if writer == "" {
		return true
	}
	if seq <= s.LastSeq(writer) {
		return false
	}
	if m, ok := s.Members[writer]; ok {
		m.LastSeq = seq
		s.Members[writer] = m
		return true
	}
	s.NonMembers.set(writer, seq)
	return true
}
