package fairshare

import (
	"maps"
	"math"
	"slices"
)

// UnlimitedAllotment is the allotment of an entry VM whose peers leave it all free slots.
const UnlimitedAllotment = math.MaxInt

// Demand is what one entry VM has of one pool, by team.
type Demand struct {
	Running map[string]int
	Waiting map[string]int
}

// Allot returns how many slots of a pool this entry VM may hold. It divides the slots by share among the teams' demand in the
// whole fleet, and each team's part among the entry VMs by their demand. A VM above its allotment leaves the slots that become
// free to peers that are below theirs and have work waiting; a slot passes to them with the next heartbeat. Every VM computes
// the division from the same heartbeats, so no central queue is needed. Without a peer that is short the VM may hold any
// number: an unused share is lent.
func Allot(slots int, shares map[string]int, own Demand, peers []Demand) int {
	demand := TotalDemand(append(slices.Clone(peers), own)...)
	parts := Divide(slots, shares, demand)
	short := false
	for _, p := range peers {
		if total(p.Waiting) > 0 && part(p, parts, demand) >= float64(total(p.Running))+1-rounding {
			short = true
		}
	}
	if !short {
		return UnlimitedAllotment
	}
	return int(math.Ceil(part(own, parts, demand) - rounding))
}

// rounding absorbs the error of sums of fractions.
const rounding = 1e-9

func part(d Demand, parts map[string]float64, demand map[string]int) float64 {
	sum := 0.0
	byTeam := d.byTeam()
	// In a fixed order, so that the rounding of the sum is the same on every call.
	for _, team := range slices.Sorted(maps.Keys(byTeam)) {
		if demand[team] > 0 {
			sum += parts[team] * float64(byTeam[team]) / float64(demand[team])
		}
	}
	return sum
}

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

// TotalDemand returns the running and waiting requests of each team on all the entry VMs.
func TotalDemand(demands ...Demand) map[string]int {
	sum := map[string]int{}
	for _, d := range demands {
		for team, n := range d.byTeam() {
			sum[team] += n
		}
	}
	return sum
}

func total(m map[string]int) int {
	sum := 0
	for _, n := range m {
		sum += n
	}
	return sum
}

// Divide returns each team's part of the slots: by share, but no more than its demand, and what one team leaves goes to the
// others by share (weighted max-min fairness). Teams without a share get what the others leave.
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
	left := fill(parts, weighted, float64(slots), demand, func(t string) float64 { return float64(shares[t]) })
	fill(parts, rest, left, demand, func(string) float64 { return 1 })
	return parts
}

// fill gives the slots to the teams in the order in which their demand is met, and returns what is left.
func fill(parts map[string]float64, teams []string, slots float64, demand map[string]int, share func(string) float64) float64 {
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
