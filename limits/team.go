package limits

import (
	"slices"
	"time"

	"example.org/comfreyrouter/fleet"
)

const (
	// idleBuckets is the number of half idle windows over which the peak need is kept. With 3 of them, the peak covers at least
	// one whole window.
	idleBuckets = 3
	// unusedReturnFactor is the number of idle windows after which an unused grant is returned although no other holder requests it.
	// The next holder that requests it then doesn't have to wait for the idle window.
	unusedReturnFactor = 10
	// headroomDivisor is the need divided by the headroom that is requested on top of it, so that slowly rising demand does not need
	// an append for each request.
	headroomDivisor = 8
)

// teamUse is a holder's grant of one team's limit and the use that the holder makes of it.
type teamUse struct {
	grant     fleet.Grant
	declared  int  // firm part that the configuration declares
	overLimit bool // the grants add up to more than the limit
	demand    fleet.Demand
	returning bool // a return of all but keep has been appended, but not confirmed
	keep      int
	running   int
	waiting   int
	// peaks holds the highest need in the current half idle window and in those before it, the newest first.
	peaks      [idleBuckets]int
	rotatedAt  time.Time
	slackSince time.Time // since when the grant is larger than the peak
}

func (t *teamUse) observe(s *fleet.State, name, self string) {
	t.grant = s.GrantOf(name, self)
	t.declared = s.Config.Teams[name].FirmPerEntryVM
	t.overLimit = s.Granted(name) > s.Config.Teams[name].Limit
	t.demand = s.DemandOfOthers(name, self)
}

// firm returns the part of the grant that does not expire with the lease and is not being returned.
func (t *teamUse) firm() int {
	if t.returning {
		return min(t.grant.Firm, t.keep)
	}
	return t.grant.Firm
}

// allowed returns how many tasks may run. A part that is being returned does not count: its append may have taken effect.
func (t *teamUse) allowed(leased bool) int {
	n := t.grant.Firm
	if leased {
		n = t.grant.Total()
	}
	if t.returning {
		n = min(n, t.keep)
	}
	return n
}

// startLimit returns the number of running tasks below which another one may start. It is 0 while the grants exceed the limit, and
// at most the fair share, or the firm part if that is larger, while another holder lacks its fair share.
func (t *teamUse) startLimit(leased bool) int {
	switch {
	case t.overLimit:
		return 0
	case t.demand.Contested:
		return min(t.allowed(leased), max(t.fairShare(), t.firm()))
	}
	return t.allowed(leased)
}

func (t *teamUse) need() int { return t.running + t.waiting }

func (t *teamUse) peak() int { return max(t.need(), slices.Max(t.peaks[:])) }

func (t *teamUse) fairShare() int { return t.demand.FairShare(t.peak()) }

// recordPeak records the need in peaks and updates slackSince.
func (t *teamUse) recordPeak(now time.Time, idle time.Duration) {
	half := idle / (idleBuckets - 1)
	if now.Sub(t.rotatedAt) >= half {
		copy(t.peaks[1:], t.peaks[:idleBuckets-1])
		t.peaks[0] = 0
		t.rotatedAt = now
	}
	t.peaks[0] = max(t.peaks[0], t.need())
	if t.peak() >= t.grant.Total() {
		t.slackSince = now
	}
}

// countToKeep returns how much of its grant the holder keeps, and true if it returns the rest. It returns at once what exceeds a
// lowered limit or the fair share. It returns what was unused for an idle window while another holder lacks its fair share or while
// the firm part exceeds the declared one, and otherwise what was unused for unusedReturnFactor idle windows.
func (t *teamUse) countToKeep(now time.Time, idle time.Duration) (int, bool) {
	keep := t.grant.Total()
	switch {
	case t.overLimit:
		keep = t.running
	case t.demand.Contested:
		keep = max(t.running, t.declared, min(t.fairShare(), t.peak()))
	case now.Sub(t.slackSince) >= unusedReturnFactor*idle:
		keep = max(t.peak(), t.declared)
	case t.grant.Firm > t.declared:
		keep = max(t.peak(), t.declared)
	}
	return keep, keep < t.grant.Total()
}

// countToRequest returns the total to request and whether to request it. The fold serves an open request as soon as others return
// grants, so a request is repeated only if the need has changed by more than the headroom.
func (t *teamUse) countToRequest() (int, bool) {
	if t.overLimit {
		return 0, false
	}
	need, total, want := t.need(), t.grant.Total(), t.grant.Want
	request := need + need/headroomDivisor
	if t.demand.Contested {
		request = need
	}
	switch {
	case want > total: // a request is open
		if need > want+want/headroomDivisor {
			return request, true
		}
		return t.peak(), t.peak() <= max(total, want-want/headroomDivisor-1)
	case need > total:
		return request, true
	}
	return 0, false
}
