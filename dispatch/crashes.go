package dispatch

import (
	"slices"
	"time"

	"example.org/comfreyrouter/jobs"
	"example.org/comfreyrouter/ledger"
)

// A task may crash each server that starts it, and ends the runs beside it with the server. A crash is therefore attributed to the runs that may have
// caused it, the more strongly the fewer these are. A task that may be the cause is started apart from others like it, so that its next crash either
// has one possible cause or clears it.

const (
	// startSurvival is how long after its start a run must be reported so that it hasn't crashed its server by starting. Reports come at least every
	// 0.2 s where runs end by themselves.
	startSurvival = 100 * time.Millisecond
	// maxCauseAge is the age from which on a run isn't the cause of a crash: a task that crashes servers does so after each start.
	maxCauseAge = 5 * time.Second
	// crashesToGiveUp is the number of crashed servers with which a task is given up if it is the only possible cause of one crash and the likely cause
	// of another one. Two are enough if it is the only possible cause of both and ends by itself.
	crashesToGiveUp = 3
	// maxCrashes is the number of crashed servers with which a task is given up in any case. The platform allows two starts after the third crash, and
	// crashes that nobody saw during a change of dispatcher may come on top.
	maxCrashes = 4
	// minCrashDelay and maxCrashDelay bound the delay before a long-running task starts again, which doubles with each crash from crashesToGiveUp on. The
	// first is the age at which a run is cleared, the second keeps the crashes of a task rare among those that a fleet has anyway.
	minCrashDelay = maxCauseAge
	maxCrashDelay = time.Minute
	// silenceRetention is how long the runs of a silent server are remembered. A crashed server is back after some seconds.
	silenceRetention = time.Minute
	// maxSilenceWait is how long a task may have to wait until it is known whether a silent server has crashed.
	maxSilenceWait = 10 * time.Second
	// reservationTimeout is how long a server is kept free for a task that has to start apart from others; most tasks end within a second or two.
	reservationTimeout = 3 * time.Second
	// maxIsolatedShare is the share of a pool's servers that may be kept from other work for such tasks at a time; one always may.
	maxIsolatedShare = 0.25
	// crashesToIsolate is the number of crashes of any kind after which a task starts exclusively. With the next one it is given up: maxCrashes.
	crashesToIsolate = maxCrashes - 1
	// likelyToIsolate is the number of crashes with likely evidence after which it does so. The next one gives the evidence that crashesToGiveUp asks for.
	likelyToIsolate = crashesToGiveUp - 1
)

// caution says apart from which runs a task has to be started.
type caution int

const (
	startAnywhere  caution = iota
	startApart             // no other run on the server may be one that hasn't survived its start
	startExclusive         // no other run on the server may be a possible cause of a crash
)

// lostRun is a run that was lost with its server, or may be.
type lostRun struct {
	task     string
	attempt  int64
	evidence ledger.CrashEvidence // what a crash of the server says about the task
}

// silentServer holds the runs of a server that has fallen silent: it may have crashed, or may be cut off.
type silentServer struct {
	machine string
	bornMS  int64
	at      time.Duration
	runs    []lostRun
}

// lostRuns returns the runs that may have caused the end of a server: those that hadn't survived their start and, in case there is none or the crash was
// a slow one, the other recent ones.
func (s *server) lostRuns() []lostRun {
	var recent []*run
	starting := 0
	for _, r := range s.runs {
		if !r.survived {
			starting++
		}
		if !r.survived || s.heardAt-r.sentAt <= maxCauseAge {
			recent = append(recent, r)
		}
	}
	lost := make([]lostRun, 0, len(recent))
	for _, r := range recent {
		evidence := ledger.CrashedBeside
		switch {
		case r.activeAt == 0:
			evidence = ledger.PossibleCause // its start has no answer, so it may not have run there
		case len(recent) == 1:
			evidence = ledger.OnlyCause
		case !r.survived && starting == 1:
			evidence = ledger.LikelyCause
		case !r.survived:
			evidence = ledger.PossibleCause
		}
		lost = append(lost, lostRun{r.task.id.String(), r.attempt, evidence})
	}
	return lost
}

// endPlanned reports whether a server was draining, or its machine was about to have its upkeep or to move, so that its end is no crash.
func (s *server) endPlanned() bool { return s.draining || s.cordoned || s.terminating }

// serverCrashed attributes the end of a server to its runs, unless the end was planned.
func (c *Core) serverCrashed(s *server) {
	lost := c.silent[s.info.ID].runs
	if len(s.runs) > 0 {
		lost = s.lostRuns()
	} else if c.silent[s.info.ID].bornMS > s.bornMS {
		return // they run on a later incarnation
	}
	c.forgetSilence(s.info.ID)
	if !s.endPlanned() {
		c.attributeCrash(lost)
	}
}

// serverSilent remembers the runs of a silent server until it is known whether it has crashed. They are stored, so that a new dispatcher knows of a crash
// that this one doesn't live to see.
func (c *Core) serverSilent(s *server) {
	lost := s.lostRuns()
	if _, known := c.silent[s.info.ID]; known || len(lost) == 0 || s.endPlanned() {
		return
	}
	c.silent[s.info.ID] = silentServer{s.info.Machine, s.bornMS, c.now, lost}
	for _, l := range lost {
		if t := c.findTask(l.task); t != nil && !t.step.spec.LongRunning {
			t.silentRuns = append(t.silentRuns, ledger.SilentRun{Server: s.info.ID, BornMS: s.bornMS, Attempt: l.attempt, Evidence: l.evidence})
			c.markDirty(t.step.occurrence.job)
		}
	}
	for id, other := range c.silent {
		if c.now-other.at > silenceRetention {
			c.forgetSilence(id)
		}
	}
}

// forgetSilence forgets the runs of a server that was silent. What is stored about them is replaced with the next progress of their jobs.
func (c *Core) forgetSilence(server string) {
	for _, l := range c.silent[server].runs {
		if t := c.findTask(l.task); t != nil {
			t.silentRuns = slices.DeleteFunc(t.silentRuns, func(r ledger.SilentRun) bool { return r.Server == server })
		}
	}
	delete(c.silent, server)
}

// storedSilentRuns returns the attempts at a task of which a successor has to find out whether they have crashed their server: those on silent servers,
// and the current one if an earlier one may have crashed its server.
func (t *task) storedSilentRuns() []ledger.SilentRun {
	r := t.run
	if r == nil || t.caution() == startAnywhere || slices.ContainsFunc(t.silentRuns, func(s ledger.SilentRun) bool { return s.Attempt == r.attempt }) {
		return t.silentRuns
	}
	evidence := ledger.LikelyCause
	if t.caution() == startExclusive {
		evidence = ledger.OnlyCause
	}
	return append(slices.Clone(t.silentRuns), ledger.SilentRun{Server: r.server.info.ID, BornMS: r.server.bornMS, Attempt: r.attempt, Evidence: evidence})
}

// restoreSilence takes over what a predecessor has stored about a task on silent servers.
func (c *Core) restoreSilence(t *task, servers map[string]ledger.Server) {
	for _, r := range t.silentRuns {
		s := c.silent[r.Server]
		known, recorded := servers[r.Server]
		if !recorded || known.Removed {
			continue // it has left
		}
		s.machine, s.bornMS, s.at = known.Machine, max(s.bornMS, r.BornMS), c.now
		s.runs = append(s.runs, lostRun{t.id.String(), r.Attempt, r.Evidence})
		c.silent[r.Server] = s
	}
}

// resolveSilence attributes the crash of a silent server that a newer server on the same machine, or with the same id, has replaced.
func (c *Core) resolveSilence(s *server) {
	for id, silent := range c.silent {
		if (id == s.info.ID || silent.machine != "" && silent.machine == s.info.Machine) && silent.bornMS < s.bornMS {
			c.forgetSilence(id)
			c.attributeCrash(silent.runs)
		}
	}
}

// resolveSilentMachines attributes the crash of silent servers whose machine has left the fleet. An upkeep or a move, which a predecessor may have
// ordered, is no crash.
func (c *Core) resolveSilentMachines(machines map[string]jobs.Machine) {
	for id, silent := range c.silent {
		if silent.machine == "" {
			continue
		}
		m, found := machines[silent.machine]
		switch {
		case !found:
			c.forgetSilence(id)
			c.attributeCrash(silent.runs)
		case m.Phase == jobs.MachineInUpkeep || m.Phase == jobs.MachineMoving:
			c.forgetSilence(id)
		}
	}
}

// attributeCrash records a crash with the tasks that may have caused it.
func (c *Core) attributeCrash(lost []lostRun) {
	for _, l := range lost {
		if t := c.findTask(l.task); t != nil && !t.done {
			c.recordCrash(t, ledger.Crash{Attempt: l.attempt, Evidence: l.evidence})
		}
	}
}

// recordCrash records a crash with a task. The task doesn't start again before that is stored, so that the next dispatcher knows of it too.
func (c *Core) recordCrash(t *task, crash ledger.Crash) {
	if slices.ContainsFunc(t.crashes, func(o ledger.Crash) bool { return o.Attempt == crash.Attempt }) {
		return
	}
	t.crashes = append(t.crashes, crash)
	t.crashUnstored = true
	c.unstoredCrashes = append(c.unstoredCrashes, t)
	c.count("crash_" + crash.Evidence.String())
	j := t.step.occurrence.job
	j.crashes++
	c.markDirty(j)
	if t.step.spec.LongRunning {
		c.delayRestart(t)
		return
	}
	if t.crashesServers() && !j.failed {
		c.count("task_given_up")
		j.failed = true
		c.stopRuns(j)
		c.finishIfEnded(j)
	}
}

// delayRestart delays the next start of a long-running task under which servers have crashed repeatedly. The task isn't given up: that would end the tasks of
// its job that are serving.
func (c *Core) delayRestart(t *task) {
	if n := len(t.crashes); n > maxCrashes {
		t.crashes = slices.Clone(t.crashes[n-maxCrashes:])
	}
	if len(t.crashes) >= crashesToGiveUp {
		t.crashDelay = min(max(2*t.crashDelay, minCrashDelay), maxCrashDelay)
		t.notBefore = max(t.notBefore, c.now+t.crashDelay)
	}
}

// crashesServers reports whether a task is given up because servers have crashed under it.
func (t *task) crashesServers() bool {
	n, likely, only := len(t.crashes), t.countCrashes(ledger.LikelyCause), t.countCrashes(ledger.OnlyCause)
	if t.step.spec.LongRunning {
		return false
	}
	return n >= maxCrashes || only > 1 || n >= crashesToGiveUp && likely > 1 && only > 0
}

// countCrashes returns the number of crashes with at least the given evidence against a task.
func (t *task) countCrashes(evidence ledger.CrashEvidence) int {
	n := 0
	for _, crash := range t.crashes {
		if crash.Evidence >= evidence {
			n++
		}
	}
	return n
}

// mayStart reports whether what is known of crashes allows another start of a task: the last crash is stored, and if recently silent servers had
// crashed, it would not have been started too often.
func (c *Core) mayStart(t *task) bool {
	silent := 0
	for _, r := range t.silentRuns {
		if c.now-c.silent[r.Server].at < maxSilenceWait {
			silent++
		}
	}
	return !t.crashUnstored && (silent == 0 || len(t.crashes)+silent < crashesToGiveUp)
}

// clearLongRunning forgets the crashes of a long-running task that has outlived the age at which it may cause one.
func (c *Core) clearLongRunning(r *run) {
	if t := r.task; len(t.crashes) > 0 && t.step.spec.LongRunning && c.now-r.sentAt > maxCauseAge {
		t.crashes, t.crashDelay = nil, 0
		c.markDirty(t.step.occurrence.job)
	}
}

// caution returns how a task has to be started.
func (t *task) caution() caution {
	switch {
	case len(t.crashes)+len(t.silentRuns) >= crashesToIsolate || t.countCrashes(ledger.LikelyCause) >= likelyToIsolate:
		return startExclusive
	case len(t.crashes)+len(t.silentRuns) > 1 || t.countCrashes(ledger.PossibleCause) > 0:
		return startApart
	}
	return startAnywhere
}

// mayCauseCrash reports whether a run would be a possible cause if its server crashed now, as far as a task with the given caution is concerned.
func (r *run) mayCauseCrash(level caution, now time.Duration) bool {
	if level == startExclusive {
		return !r.survived || now-r.sentAt <= maxCauseAge
	}
	return !r.survived
}

// onTrial reports whether a server runs a task that was started apart from others and may still crash it.
func (c *Core) onTrial(s *server) bool {
	return s.trial != nil && s.trial.task.run == s.trial && s.trial.mayCauseCrash(s.trial.task.caution(), c.now)
}

// isolated reports whether a server is kept from other work for seconds, for a task that starts exclusively or has to wait for a server of its own.
func (c *Core) isolated(s *server) bool {
	return c.reservation(s) != nil || c.onTrial(s) && s.trial.task.caution() == startExclusive
}

// mayIsolate reports whether another server of a pool may be kept from other work for a task, or one is reserved for it already. Tasks that don't start
// exclusively keep a server from other work for some tenths of a second only.
func (c *Core) mayIsolate(t *task, pool []*server) bool {
	if t.caution() != startExclusive {
		return true
	}
	n := 0
	for _, s := range pool {
		if c.reservation(s) == t {
			return true
		}
		if c.isolated(s) {
			n++
		}
	}
	return n < maxIsolated(pool)
}

func maxIsolated(pool []*server) int { return max(1, int(maxIsolatedShare*float64(len(pool)))) }

// acceptsTask reports whether a task may start on a server in view of the crashes that it, or a task there, may cause.
func (c *Core) acceptsTask(s *server, t *task) bool {
	if c.onTrial(s) {
		return false
	}
	if other := c.reservation(s); other != nil && other != t {
		return false
	}
	return t.caution() == startAnywhere || s.blockingRuns(t.caution(), c.now) == 0
}

// blockingRuns returns the number of runs on a server beside which a task with the given caution mustn't start.
func (s *server) blockingRuns(level caution, now time.Duration) int {
	n := 0
	for _, r := range s.runs {
		if r.mayCauseCrash(level, now) {
			n++
		}
	}
	return n
}

// reservation returns the task for which a server is kept free, or nil if there is none or it can't start any more.
func (c *Core) reservation(s *server) *task {
	t := s.reservedFor
	if t == nil || c.now >= s.reservedUntil || !c.startable(t) {
		return nil
	}
	if j := t.step.occurrence.job; j.cancelled || j.failed {
		return nil
	}
	return t
}

// reserveServer keeps a server free of new work until a task can start there apart from others. The server has to be one on which the task may start as
// soon as the short tasks there have ended.
func (c *Core) reserveServer(t *task, pool []*server) {
	if !c.withinLimit(t) {
		return
	}
	var best *server
	isolated, fewest := 0, 0
	for _, s := range pool {
		if c.reservation(s) == t {
			return
		}
		if c.isolated(s) {
			isolated++
			continue
		}
		if !c.mayRunOnceIdle(t, s) {
			continue
		}
		if n := s.blockingRuns(t.caution(), c.now); best == nil || n < fewest {
			best, fewest = s, n
		}
	}
	if best == nil || isolated >= maxIsolated(pool) {
		return
	}
	best.reservedFor, best.reservedUntil = t, c.now+reservationTimeout
	c.reportProblem(best, "server_reserved")
}

// mayRunOnceIdle reports whether a task may run on a server once the runs there that end by themselves have ended. Long-running ones stay.
func (c *Core) mayRunOnceIdle(t *task, s *server) bool {
	spec := t.step.spec
	if !c.permitted(t, s) || !spec.Allocation().Fits(s.info.Capacity.Sub(longRunningUsage(s))) {
		return false
	}
	return !spec.LongRunning || t.step.remainingPlaces(s) > 0
}
