package dispatch

import "time"

// Filler tasks are slowed down before a serving task on the same server exceeds its target response time, and sped up again in small steps.
const (
	initialFillerPace = 30 // percent; used while the response times of a serving task on the server aren't known
	fillerPaceStep    = 10 // percent
	// slowDownRatio and speedUpRatio are ratios of the response time to its target: above the first, filler tasks are slowed down; below the second,
	// they are sped up.
	slowDownRatio = 0.8
	speedUpRatio  = 0.55
	// paceInterval is the minimum time between two changes, so that a report shows the effect of the last one.
	paceInterval = 600 * time.Millisecond
)

// controlPace sets the pace of a server's filler tasks according to the response times of its serving tasks.
func (c *Core) controlPace(s *server) {
	worstRatio, hasServing, hasFiller, latencyUnknown := 0.0, false, false, false
	for _, r := range s.runs {
		spec := r.task.step.spec
		switch {
		case spec.Fills:
			hasFiller = true
		case spec.TargetMS > 0:
			hasServing = true
			latencyUnknown = latencyUnknown || r.latencyMS == 0
			worstRatio = max(worstRatio, r.latencyMS/float64(spec.TargetMS))
		}
	}
	if !hasFiller {
		return
	}
	if !latencyUnknown || worstRatio > slowDownRatio {
		c.adjustFillerPace(s, hasServing, worstRatio)
	}
	for _, r := range s.runs {
		if r.task.step.spec.Fills && r.state == runActive && r.pace != s.fillerPace {
			r.pace = s.fillerPace
			c.orders = append(c.orders, Order{Server: s.target(), Pace: &PaceOrder{r.task.id.String(), r.attempt, s.token, r.pace}})
		}
	}
}

func (c *Core) adjustFillerPace(s *server, hasServing bool, worstRatio float64) {
	if !hasServing {
		s.fillerPace = 100
		return
	}
	if c.now-s.paceChangedAt < paceInterval {
		return
	}
	next := s.fillerPace
	switch {
	case worstRatio > 1:
		next = 0
	case worstRatio > slowDownRatio:
		next = s.fillerPace / 2
	case worstRatio < speedUpRatio:
		next = min(s.fillerPace+fillerPaceStep, 100)
	}
	if next != s.fillerPace {
		s.fillerPace, s.paceChangedAt = next, c.now
	}
}

// PaceUnanswered records that a pace order got no answer, so that it is sent again.
func (c *Core) PaceUnanswered(server, key string, attempt int64) {
	if r := c.findRun(server, key, attempt); r != nil {
		r.pace = -1
	}
}
