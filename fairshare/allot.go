package fairshare

import (
	"maps"
	"math"
	"slices"
)

// UnlimitedAllotment is the allotment of an entry VM while none of its peers is short of slots.
const UnlimitedAllotment = math.MaxInt

// Demand is the number of running and waiting requests of one entry VM in one pool, by team.
type Demand struct {
	Running map[string]int
	Waiting map[string]int
}

// Allot returns how many slots of a pool this entry VM may hold. It divides the slots among the teams by share, bounded by their
// demand in the whole fleet, and each team's part among the entry VMs in proportion to their demand. A VM above its allotment
// leaves slots that become free to peers that are below theirs and have work waiting. They learn of the slots with the next heartbeat.
// Every VM computes the division from the same heartbeats, so no central queue is needed. While no peer is short of slots, the
// VM may hold any number, so that unused shares are lent.
func Allot(slots int, shares map[string]int, own Demand, peers []Demand) int {
	demand := TotalDemand(append(slices.Clone(peers), own)...)
	parts := Divide(slots, shares, demand)
	peerShort := false
	for _, p := range peers {
		if sumCounts(p.Waiting) > 0 && vmPart(p, parts, demand) >= float64(sumCounts(p.Running))+1-roundingTolerance {
			peerShort = true
		}
	}
	if !peerShort {
		return UnlimitedAllotment
	}
	return int(math.Ceil(vmPart(own, parts, demand) - roundingTolerance))
}

// roundingTolerance absorbs rounding errors in sums of fractions.
const roundingTolerance = 1e-9

// vmPart returns the slots that a VM with demand d gets of the teams' parts.
func vmPart(d Demand, parts map[string]float64, demand map[string]int) float64 {
	sum := 0.0
	byTeam := d.byTeam()
	// The order is fixed because the rounding of the sum depends on it.
	for _, team := range slices.Sorted(maps.Keys(byTeam)) {
		if demand[team] > 0 {
			sum += parts[team] * float64(byTeam[team]) / float64(demand[team])
		}
	}
	return sum
}

// byTeam returns the running and waiting requests by team.
func (d Demand) byTeam() map[string]int {
	sum := maps.Clone(d.Running)
	if sum == nil {
		sum = map[string]int{}
	}
	for team, n := range d.Waiting {
		sum[team] += n
	}
	return sum
}

// TotalDemand returns the running and waiting requests of each team, summed over the entry VMs.
func TotalDemand(demands ...Demand) map[string]int {
	sum := map[string]int{}
	for _, d := range demands {
		for team, n := range d.byTeam() {
			sum[team] += n
		}
	}
	return sum
}

func sumCounts(m map[string]int) int {
	sum := 0
	for _, n := range m {
		sum += n
	}
	return sum
}

// Divide returns each team's part of the slots by weighted max-min fairness: slots are divided by share, no team gets more than its
// demand, and what a team does not need goes to the others by share. Teams without a share divide equally what is left.
func Divide(slots int, shares, demand map[string]int) map[string]float64 {
	parts := map[string]float64{}
	var weighted, rest []string
	for _, team := range slices.Sorted(maps.Keys(demand)) {
		if shares[team] > 0 {
			weighted = append(weighted, team)
		} else {
			rest = append(rest, team)
		}
	}
	left := divideByShare(parts, weighted, float64(slots), demand, func(t string) float64 { return float64(shares[t]) })
	divideByShare(parts, rest, left, demand, func(string) float64 { return 1 })
	return parts
}

// divideByShare divides the slots among the teams and returns what is left. It visits the teams in the order in which their demand is
// met as their parts grow, which is by demand per unit of share.
func divideByShare(parts map[string]float64, teams []string, slots float64, demand map[string]int, share func(string) float64) float64 {
	shares := 0.0
	for _, t := range teams {
		shares += share(t)
	}
	slices.SortStableFunc(teams, func(a, b string) int {
		left, right := float64(demand[a])*share(b), float64(demand[b])*share(a)
		switch {
		case left < right:
			return -1
		case left > right:
			return 1
		}
		return 0
	})
	for _, t := range teams {
		parts[t] = min(float64(demand[t]), slots*share(t)/shares)
		slots -= parts[t]
		shares -= share(t)
	}
	return max(slots, 0)
}
