package limits

import (
	"slices"
	"time"

	"example.org/comfreyrouter/fleet"
)

const (
	// idleBuckets is the number of half idle windows over which the peak use is kept, so that it covers at least one
	// whole window.
	idleBuckets = 3
	// quietFactor is how many idle windows a grant stays unused before it is given back although nobody asks for it. It
	// spares the next asker the idle window.
	quietFactor = 10
	// headroom is the part of the need, one in this number, that is asked for on top of it, so that a slowly rising demand does not
	// need an append for each request.
	headroom = 8
)

// teamUse is a holder's use of one team's limit.
type teamUse struct {
	grant    fleet.Grant
	declared int  // firm part that the configuration declares
	over     bool // the grants add up to more than the limit
	demand   fleet.Demand
	giving   bool // a give-back to keep is on its way to the log
	keep     int
	running  int
	waiting  int
	// peaks has the highest need in the current half idle window and those before it.
	peaks     [idleBuckets]int
	rotatedAt time.Time
	slackFrom time.Time // since when the grant is larger than the peak
}

func (t *teamUse) observe(s *fleet.State, name, self string) {
	t.grant = s.GrantOf(name, self)
	t.declared = s.Config.Teams[name].FirmPerEntryVM
	t.over = s.Granted(name) > s.Config.Teams[name].Limit
	t.demand = s.DemandOfOthers(name, self)
}

// firm returns the part of the grant that does not end with the lease and is not being given back.
func (t *teamUse) firm() int {
	if t.giving {
		return min(t.grant.Firm, t.keep)
	}
	return t.grant.Firm
}

// held returns how many tasks may run. What is being given back is not held any more: the append may have taken effect.
func (t *teamUse) held(leased bool) int {
	n := t.grant.Firm
	if leased {
		n = t.grant.Total()
	}
	if t.giving {
		n = min(n, t.keep)
	}
	return n
}

// startable returns up to how many running tasks another one may start: none above a lowered limit, and not above the fair
// share while another holder lacks its own.
func (t *teamUse) startable(leased bool) int {
	switch {
	case t.over:
		return 0
	case t.demand.Contested:
		return min(t.held(leased), max(t.fair(), t.firm()))
	}
	return t.held(leased)
}

func (t *teamUse) need() int { return t.running + t.waiting }

func (t *teamUse) peak() int { return max(t.need(), slices.Max(t.peaks[:])) }

func (t *teamUse) fair() int { return t.demand.FairShare(t.peak()) }

// note keeps the peaks of the need.
func (t *teamUse) note(now time.Time, idle time.Duration) {
	half := idle / (idleBuckets - 1)
	if now.Sub(t.rotatedAt) >= half {
		copy(t.peaks[1:], t.peaks[:idleBuckets-1])
		t.peaks[0] = 0
		t.rotatedAt = now
	}
	t.peaks[0] = max(t.peaks[0], t.need())
	if t.peak() >= t.grant.Total() {
		t.slackFrom = now
	}
}

// toKeep returns what the holder keeps of its grant, and true if it gives back the rest: at once what is above a lowered limit
// or above the fair share, and what has stayed unused for an idle window while others ask or for a long time.
func (t *teamUse) toKeep(now time.Time, idle time.Duration) (int, bool) {
	keep := t.grant.Total()
	switch {
	case t.over:
		keep = t.running
	case t.demand.Contested:
		keep = max(t.running, t.declared, min(t.fair(), t.peak()))
	case now.Sub(t.slackFrom) >= quietFactor*idle:
		keep = max(t.peak(), t.declared)
	case t.grant.Firm > t.declared:
		keep = max(t.peak(), t.declared)
	}
	return keep, keep < t.grant.Total()
}

// toAsk returns what to ask for and whether to ask. The fold serves an ask that stands as soon as others give back, so it
// is repeated only when the need has changed much.
func (t *teamUse) toAsk() (int, bool) {
	if t.over {
		return 0, false
	}
	need, total, want := t.need(), t.grant.Total(), t.grant.Want
	asked := need + need/headroom
	if t.demand.Contested {
		asked = need
	}
	switch {
	case want > total: // the ask stands
		if need > want+want/headroom {
			return asked, true
		}
		return t.peak(), t.peak() <= max(total, want-want/headroom-1)
	case need > total:
		return asked, true
	}
	return 0, false
}
