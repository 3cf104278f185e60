// Package samplefleet builds configurations of a given size for measurements and tests.
package samplefleet

import (
	"fmt"

	"example.org/comfreyrouter/errkind"
	"example.org/comfreyrouter/fleet"
	"example.org/comfreyrouter/keys"
)

// Size holds the numbers of objects in a fleet.
type Size struct {
	Servers     int
	Pools       int
	Teams       int
	EntryVMs    int
	DataCentres int
	Regions     int
}

// Sizes of the fleet today and in the two-year plan.
var (
	Today = Size{Servers: 50, Pools: 6, Teams: 6, EntryVMs: 6, DataCentres: 3, Regions: 1}
	Plan  = Size{Servers: 600, Pools: 247, Teams: 62, EntryVMs: 9, DataCentres: 5, Regions: 2}
)

// Scale returns s with every number except Regions scaled to the given percentage, but at least 1.
func (s Size) Scale(percent int) Size {
	scale := func(n int) int { return max(1, n*percent/100) }
	return Size{scale(s.Servers), scale(s.Pools), scale(s.Teams), scale(s.EntryVMs), scale(s.DataCentres), s.Regions}
}

const (
	serversPerRack = 4
	slots          = 8
	connections    = 64
)

// Key returns the secret key of a team in a sample fleet.
func Key(team string) string { return "key-of-" + team }

// Pool, Team, Server and EntryVM return the names of sample objects.
func Pool(i int) string       { return fmt.Sprintf("pool-%03d", i) }
func Team(i int) string       { return fmt.Sprintf("team-%02d", i) }
func Server(i int) string     { return fmt.Sprintf("server-%03d", i) }
func EntryVM(i int) string    { return fmt.Sprintf("entry-%d", i) }
func dataCentre(i int) string { return fmt.Sprintf("dc-%d", i) }

// Changes returns the changes that create a fleet of the given size. Pool 0 is the spare pool. Every pool has an urgent and an overnight queue.
func Changes(s Size) []fleet.Change {
	var out []fleet.Change
	for i := range s.DataCentres {
		out = append(out, fleet.Change{DataCentre: object(dataCentre(i), fleet.DataCentre{
			Region: fmt.Sprintf("region-%d", i%s.Regions), MaxUnavailable: s.Servers,
		})})
	}
	for i := range s.Pools {
		out = append(out, poolChanges(s, i)...)
	}
	for i := range s.Teams {
		team := Team(i)
		out = append(out,
			fleet.Change{Team: object(team, fleet.Team{Share: 1 + i%4, Limit: s.Servers * slots / 4})},
			fleet.Change{AddKey: object("key-"+team, fleet.Key{Team: team, Hash: keys.Hash(Key(team))})})
	}
	for i := range s.Servers {
		out = append(out, serverChanges(s, i)...)
	}
	for i := range s.EntryVMs {
		out = append(out, fleet.Change{EntryVM: object(EntryVM(i), fleet.EntryVM{DataCentre: dataCentre(i % s.DataCentres)})})
	}
	ordinary := "ordinary"
	return append(out,
		fleet.Change{Preset: object(ordinary, fleet.Preset{Maintenance: true, MaxDrains: max(1, s.Servers/100), ReservePercent: 10})},
		fleet.Change{Preset: object("peak", fleet.Preset{ReservePercent: 25})},
		fleet.Change{InForce: &ordinary})
}

func poolChanges(s Size, i int) []fleet.Change {
	perPool := s.Servers / s.Pools
	pool := fleet.Pool{Min: perPool / 2, MaxUnavailable: max(1, perPool/4), Spare: i == 0}
	return []fleet.Change{
		{Pool: object(Pool(i), pool)},
		{Queue: object("quote-"+Pool(i), fleet.Queue{Pool: Pool(i), Class: fleet.Urgent, RunMillis: 200})},
		{Queue: object("sheets-"+Pool(i), fleet.Queue{Pool: Pool(i), Class: fleet.Overnight, RunMillis: 60_000})},
	}
}

func serverChanges(s Size, i int) []fleet.Change {
	// Racks are assigned to the data centres in turn, so that all servers of a rack are in one data centre.
	rack := i / serversPerRack
	dc := dataCentre(rack % s.DataCentres)
	var out []fleet.Change
	rackName := fmt.Sprintf("rack-%03d", rack)
	if i%serversPerRack == 0 {
		out = append(out, fleet.Change{Rack: object(rackName, fleet.Rack{DataCentre: dc, MaxUnavailable: serversPerRack})})
	}
	return append(out, fleet.Change{Server: object(Server(i), fleet.BackendServer{
		Address:      fmt.Sprintf("10.%d.%d.%d:80", i/62500, i/250%250, 1+i%250),
		DataCentre:   dc,
		Rack:         rackName,
		Pool:         Pool(i % s.Pools),
		Slots:        slots,
		Connections:  connections,
		Accelerators: i % 3,
	})})
}

func object[T any](name string, v T) *fleet.Object[T] {
	return &fleet.Object[T]{Name: name, Value: &v}
}

// State returns the state after the changes for a size were applied at offset 1.
func State(s Size) (*fleet.State, error) {
	state := fleet.NewState()
	batch := fleet.Batch{Writer: "setup", Seq: 1, Commands: []fleet.Command{{Configure: &fleet.Configure{ID: "setup", Changes: Changes(s)}}}}
	r := state.Apply(1, batch)[0]
	if !r.OK() {
		return nil, errkind.New(r.Kind, "build the sample fleet: %s", r.Message)
	}
	return state, nil
}
