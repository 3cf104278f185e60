package fleet

import "example.org/comfreyrouter/errkind"

// maxIssuers is the number of departed issuers whose outcomes are kept. At 79 replacements a day it covers three days.
const maxIssuers = 256

// Issuers holds, for each issuer that left after a graceful shutdown, the outcomes of the ids that may have run.
type Issuers struct {
	ByID map[string]map[string]errkind.Outcome `json:"by_id"`
	// Floors holds the number of each issuer's first id whose outcome it still knew when it left.
	Floors map[string]uint64 `json:"floors,omitempty"`
	Order  []string          `json:"order,omitempty"`
}

// Outcome returns the outcome of an id, with the given number, of an issuer that has left. It returns false if the issuer has
// not left or is no longer kept, and Unknown for an id whose outcome the issuer itself no longer knew when it left.
func (i *Issuers) Outcome(incarnation string, number uint64, id string) (errkind.Outcome, bool) {
	outcomes, ok := i.ByID[incarnation]
	if !ok {
		return "", false
	}
	if outcome, ok := outcomes[id]; ok {
		return outcome, true
	}
	if number < i.Floors[incarnation] {
		return errkind.Unknown, true
	}
	return errkind.NotRun, true
}

func (i *Issuers) add(incarnation string, outcomes map[string]errkind.Outcome, floor uint64) {
	if len(i.Order) >= maxIssuers {
		delete(i.ByID, i.Order[0])
		delete(i.Floors, i.Order[0])
		i.Order = i.Order[1:]
	}
	if outcomes == nil {
		outcomes = map[string]errkind.Outcome{}
	}
	if i.Floors == nil {
		i.Floors = map[string]uint64{}
	}
	i.ByID[incarnation] = outcomes
	i.Floors[incarnation] = floor
	i.Order = append(i.Order, incarnation)
}

// join adds the writer as a member and fences earlier incarnations of its VM. Incarnations are ULIDs, so a
// join that arrives after its successor's is recognised by its sort order and rejected.
func (s *State) join(writer string, seq uint64, c *Join) Result {
	if _, ok := s.Members[writer]; ok {
		return Result{}
	}
	if last := s.LastIncarnation[c.VM]; writer <= last {
		return reject(errkind.Fenced, "VM %q has already joined as %s", c.VM, last)
	}
	for id, m := range s.Members {
		if m.VM == c.VM {
			m.Fenced = true
			s.Members[id] = m
		}
	}
	s.LastIncarnation[c.VM] = writer
	s.Members[writer] = Member{
		VM:            c.VM,
		DataCentre:    c.DataCentre,
		PeerAddress:   c.PeerAddress,
		CallerAddress: c.CallerAddress,
		Fence:         s.Offset,
		LeaseSeq:      1,
		LastSeq:       seq,
	}
	s.grantFirm(writer)
	return Result{}
}

func (s *State) renew(writer string) Result {
	m := s.Members[writer]
	m.LeaseSeq++
	s.Members[writer] = m
	s.grantFirm(writer)
	return Result{}
}

// leave removes the writer. It runs no tasks any more, so its grants are freed at once.
func (s *State) leave(writer string, c *Leave) Result {
	s.Issuers.add(writer, c.Issued, c.IssuedFloor)
	s.removeMember(writer)
	return Result{}
}

func (s *State) fence(c *Fence) Result {
	m, ok := s.Members[c.Incarnation]
	if !ok {
		return Result{}
	}
	m.Fenced = true
	s.Members[c.Incarnation] = m
	return Result{}
}

// expire revokes the leased grants of a member. The check of the lease sequence makes renewal and expiry exclude each other:
// whichever comes first in the log wins.
func (s *State) expire(c *Expire) Result {
	m, ok := s.Members[c.Incarnation]
	if !ok {
		return Result{}
	}
	if m.LeaseSeq != c.LeaseSeq {
		return reject(errkind.VersionConflict, "the lease of %s was renewed", c.Incarnation)
	}
	m.LeaseSeq++
	s.Members[c.Incarnation] = m
	for team, holders := range s.Grants {
		g, ok := holders[c.Incarnation]
		if !ok {
			continue
		}
		g.Leased, g.Want = 0, 0
		s.setGrant(team, c.Incarnation, g)
		s.distribute(team)
	}
	return Result{}
}

// release frees all grants of a fenced incarnation and removes it.
func (s *State) release(c *Release) Result {
	m, ok := s.Members[c.Incarnation]
	if !ok {
		return Result{}
	}
	if !m.Fenced {
		return reject(errkind.VersionConflict, "incarnation %s is not fenced", c.Incarnation)
	}
	s.removeMember(c.Incarnation)
	return Result{}
}

func (s *State) removeMember(incarnation string) {
	s.NonMembers.set(incarnation, s.Members[incarnation].LastSeq)
	delete(s.Members, incarnation)
	for team := range s.Grants {
		s.setGrant(team, incarnation, Grant{})
		s.distribute(team)
	}
}
