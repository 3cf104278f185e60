// Package evacuation decides whether tasks may start in a data centre while operators have asked that nothing more be sent to some data centres, and when
// the servers of one that was taken back get work again (docs/design/evacuation.md). It reads no clock and does no I/O.
package evacuation

import (
	"hash/fnv"
	"maps"
	"slices"
	"time"
)

// State says which data centres are evacuated, and when others were taken back. It isn't changed once it exists, so that it may be shared. The zero State
// has no evacuation.
type State struct {
	evacuated  map[string]bool
	returnedAt map[string]time.Duration
}

// Request returns the state after operators have requested the evacuation of a data centre. A repeated request changes nothing.
func (s State) Request(dataCentre string) State {
	if s.evacuated[dataCentre] {
		return s
	}
	next := s.clone()
	next.evacuated[dataCentre] = true
	delete(next.returnedAt, dataCentre)
	return next
}

// Withdraw returns the state after operators have taken back a data centre at a time. It changes nothing for one that isn't evacuated.
func (s State) Withdraw(dataCentre string, now time.Duration) State {
	if !s.evacuated[dataCentre] {
		return s
	}
	next := s.clone()
	delete(next.evacuated, dataCentre)
	next.returnedAt[dataCentre] = now
	return next
}

// Replace returns the state if exactly the given data centres are evacuated. The others are taken back at the given time.
func (s State) Replace(dataCentres []string, now time.Duration) State {
	for _, name := range s.DataCentres() {
		if !slices.Contains(dataCentres, name) {
			s = s.Withdraw(name, now)
		}
	}
	for _, name := range dataCentres {
		s = s.Request(name)
	}
	return s
}

func (s State) clone() State {
	next := State{map[string]bool{}, map[string]time.Duration{}}
	maps.Copy(next.evacuated, s.evacuated)
	maps.Copy(next.returnedAt, s.returnedAt)
	return next
}

// DataCentres returns the names of the evacuated data centres in ascending order.
func (s State) DataCentres() []string { return slices.Sorted(maps.Keys(s.evacuated)) }

// Evacuated reports whether a data centre is evacuated. One whose name isn't known, "", counts as evacuated while any is.
func (s State) Evacuated(dataCentre string) bool {
	return s.evacuated[dataCentre] || dataCentre == "" && len(s.evacuated) > 0
}

const (
	// minReturnPeriod is the shortest time over which the servers of a data centre that was taken back get work again: two heartbeats of their entries,
	// after which these say how long each server stays slow.
	minReturnPeriod = 3 * time.Second
	// maxReturnPeriod bounds that time whatever an entry says.
	maxReturnPeriod = 10 * time.Second
)

// Withheld reports whether a server gets no new work: its data centre is evacuated, or was taken back so recently that its turn hasn't come. The turns of
// the servers are spread evenly over the time for which they may be cold. warmUp is how long the server says that it stays slow.
func (s State) Withheld(dataCentre, server string, warmUp, now time.Duration) bool {
	if s.Evacuated(dataCentre) {
		return true
	}
	at, returning := s.returnedAt[dataCentre]
	if !returning {
		return false
	}
	period := min(max(warmUp, minReturnPeriod), maxReturnPeriod)
	return now-at < time.Duration(turn(server)*float64(period))
}

// turn returns a number from 0 to 1 that depends on the server's id only.
func turn(server string) float64 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(server)) // never fails
	return float64(h.Sum32()) / (1 << 32)
}

// Bound is the time within which a request has to take effect, counted from its acknowledgement. 0 means that none was agreed.
type Bound time.Duration

const (
	// orderMargin is the time that a start may take from the last check to its server: through a relay 0.7 s at most.
	orderMargin = time.Second
	// marginDivisor is the part of a short bound that is the margin instead.
	marginDivisor = 4
)

// MaxAge returns the greatest age of a view with which tasks may start, or 0 if there is no limit. A request that an older view doesn't show may be due.
func (b Bound) MaxAge() time.Duration {
	return time.Duration(b) - min(orderMargin, time.Duration(b)/marginDivisor)
}

// ReadWait returns how long a read of the operators' records may wait for a new one, at most the usual time. A view is then much younger than MaxAge when
// the next read ends.
func (b Bound) ReadWait(usual time.Duration) time.Duration {
	if b == 0 {
		return usual
	}
	return min(usual, time.Duration(b)/marginDivisor)
}

// View is what a node knows of the operators' requests.
type View struct {
	State       State
	ConfirmedAt time.Duration // the begin of the last successful read
}

// Outdated reports whether a request that a view doesn't show may be due.
func (b Bound) Outdated(v View, now time.Duration) bool {
	return b > 0 && now-v.ConfirmedAt >= b.MaxAge()
}

// Verdict says whether a start may be sent.
type Verdict int

// All verdicts.
const (
	MayStart Verdict = iota
	DataCentreEvacuated
	ViewOutdated // the node can't know whether the data centre is evacuated
)

// Decide returns whether a node with a view may send a start to a server of a data centre now.
func (b Bound) Decide(v View, dataCentre string, now time.Duration) Verdict {
	switch {
	case v.State.Evacuated(dataCentre):
		return DataCentreEvacuated
	case b.Outdated(v, now):
		return ViewOutdated
	}
	return MayStart
}
