package soak

import (
	"fmt"
	"strings"
	"time"
)

// Paths of the calls that a server may carry out late.
const (
	startPath = "/run-start"
	holdPath  = "/hold"
)

const (
	// lateOdds is one of how many calls to an incarnation that has ended is carried out by a later one.
	lateOdds = 3
	// A call is carried out at least minLate and up to spreadLate more after the server is back: the "seconds later" of the users' pages.
	minLate    = 300 * time.Millisecond
	spreadLate = 2 * time.Second
)

// latePaths are the paths of the calls that may be carried out late.
var latePaths = map[string]bool{startPath: true, holdPath: true}

// setLate sets latePaths to a list of kinds of calls, separated by commas.
func setLate(kinds string) error {
	latePaths = map[string]bool{}
	for kind := range strings.SplitSeq(kinds, ",") {
		switch kind {
		case "starts":
			latePaths[startPath] = true
		case "holds":
			latePaths[holdPath] = true
		case "":
		default:
			return fmt.Errorf("%q is neither starts nor holds", kind)
		}
	}
	return nil
}

// lateCall is a call that got no answer and is carried out by a later incarnation than the one that it has reached.
type lateCall struct {
	path       string
	order      order
	receivedAt time.Time
	after      time.Duration // since the start of the later incarnation
}

// maybeKeep draws whether a call to an incarnation that has ended is carried out by a later one. The lock must be held.
func (s *server) maybeKeep(path string, o order) {
	if !latePaths[path] || s.rng.IntN(lateOdds) > 0 {
		return
	}
	c := lateCall{path, o, time.Now(), minLate + time.Duration(s.rng.Int64N(int64(spreadLate)))}
	if s.up {
		go s.carryOutLate(c, s.born)
		return
	}
	s.kept = append(s.kept, c)
}

// carryOutLate carries out a call, without an answer, a while after the server is back. The incarnation that is up then takes it for a call to itself.
func (s *server) carryOutLate(c lateCall, back time.Time) {
	if !s.w.sleep(time.Until(back.Add(c.after))) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	result := "no effect: the server is down again"
	switch {
	case !s.up:
	case c.order.Fence < s.fence:
		result = "no effect: fence"
	default:
		s.fence = c.order.Fence
		result = s.applyLate(c)
		s.w.late.Add(1)
	}
	s.w.note("%s carries out %s of %v late: %s attempt %d, deadline_ms %d, ack_cursor %d: %s", s.id, c.path, c.receivedAt.Sub(s.w.begun), c.order.Task, c.order.Attempt,
		c.order.Deadline, c.order.AckCursor, result)
}

// applyLate carries out a call and returns what it has done. The lock must be held.
func (s *server) applyLate(c lateCall) string {
	s.advance()
	before, ends, reason := s.lease, len(s.ends), ""
	switch c.path {
	case startPath:
		reason = s.start(c.order)
	case holdPath:
		s.hold(c.order)
	}
	return fmt.Sprintf("reason %q, the lease on its clock %d goes from %d to %d, %d ends are forgotten", reason, s.clock(), before, s.lease, ends-len(s.ends))
}
