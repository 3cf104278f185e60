package main

import (
	"strings"
	"sync"
	"time"
)

// gangTimeout is gang_timeout_ms: a member that waits longer for the others ends alone.
const gangTimeout = 3 * time.Second

// member is one run of a gang.
type member struct {
	server *server
	run    *run
}

// gang is one run of all tasks of a step that work only together.
type gang struct {
	key     string
	saves   bool
	members []member
	began   time.Time // when all members were present; zero before
	worked  time.Duration
	over    bool
	mu      sync.Mutex
}

func (g *gang) progress() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.began.IsZero() {
		return g.worked
	}
	return g.worked + time.Since(g.began)
}

// gangs keeps the gangs of a fleet.
type gangs struct {
	fleet *fleet
	mu    sync.Mutex
	size  int    // number of tasks of a gang
	job   string // the job whose only step is a gang; empty: there is none
	saves bool   // it checkpoints its progress
	runs  map[string]*gang
	mixed int // number of runs whose members carried different checkpoints
	alone int // number of runs that ended alone
}

func newGangs(f *fleet) *gangs { return &gangs{fleet: f, runs: map[string]*gang{}} }

func (gs *gangs) isGang(task string) bool { return gs.job != "" && strings.HasPrefix(task, gs.job+".") }

// join adds a run to its gang. The server's lock must be held.
func (gs *gangs) join(s *server, r *run) *gang {
	gs.mu.Lock()
	defer gs.mu.Unlock()
	key := r.task[:strings.LastIndex(r.task, ".")] + " run " + time.Duration(r.attempt).String()
	g := gs.runs[key]
	if g == nil {
		g = &gang{key: key, saves: gs.saves}
		gs.runs[key] = g
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.members = append(g.members, member{s, r})
	if len(g.members) == gs.size {
		gs.assemble(g)
	}
	time.AfterFunc(gangTimeout, func() { gs.timeOut(g, member{s, r}) })
	return g
}

// assemble begins the work of a gang. Members that carry different checkpoints can't work together. The lock of the gang must be held.
func (gs *gangs) assemble(g *gang) {
	first := g.members[0].run
	for _, m := range g.members {
		if m.run.checkpnt != first.checkpnt {
			gs.mixed++
			gs.fleet.rec.add("the members of gang %s carry different checkpoints, %q and %q", g.key, first.checkpnt, m.run.checkpnt)
			return
		}
	}
	g.began, g.worked = time.Now(), first.worked
	gs.fleet.rec.add("gang %s is complete and works on from %s", g.key, g.worked)
	time.AfterFunc(first.total-g.worked, func() { gs.finish(g) })
}

// take ends a gang once, and returns its members. It returns none if it has ended before.
func (g *gang) take() []member {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.over {
		return nil
	}
	g.over = true
	return g.members
}

// finish ends all members of a gang as done.
func (gs *gangs) finish(g *gang) {
	for _, m := range g.take() {
		m.server.endRun(m.run, "done")
	}
}

// broken ends the other members of a gang after one has ended without success.
func (gs *gangs) broken(g *gang, except *run) {
	for _, m := range g.take() {
		if m.run != except {
			m.server.endRun(m.run, "broken")
		}
	}
}

// timeOut ends a member whose gang hasn't begun to work.
func (gs *gangs) timeOut(g *gang, m member) {
	g.mu.Lock()
	waits := g.began.IsZero() && !g.over
	g.mu.Unlock()
	if waits && m.server.endRun(m.run, "alone") {
		gs.mu.Lock()
		gs.alone++
		gs.mu.Unlock()
	}
}

// endRun ends a run of the server's present life. It reports whether the run was still there.
func (s *server) endRun(r *run, how string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.up || s.active[r.task] != r {
		return false
	}
	s.end(r, how)
	return true
}
