package declare

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"example.org/comfreyrouter/fleet"
)

// Diff returns the changes that make current match the declarations, in an order in which they can be applied as one list:
// first everything that is added or changed, then deletions. Budgets change before backend servers are deleted, because a
// deletion is checked against the budgets, and pools, racks and data centres are deleted after the servers that refer to
// them. Keys are left unchanged, and so is the preset in force, except that a fleet without one gets InForceAtStart.
func Diff(current *fleet.Config, wanted *Declarations) []fleet.Change {
	w := wanted.Config
	d := &differ{}
	diffSection(d, current.DataCentres, w.DataCentres, func(o *fleet.Object[fleet.DataCentre]) fleet.Change { return fleet.Change{DataCentre: o} })
	diffSection(d, current.Racks, w.Racks, func(o *fleet.Object[fleet.Rack]) fleet.Change { return fleet.Change{Rack: o} })
	diffSection(d, current.Services, w.Services, func(o *fleet.Object[fleet.Service]) fleet.Change { return fleet.Change{Service: o} })
	diffSection(d, current.Pools, w.Pools, func(o *fleet.Object[fleet.Pool]) fleet.Change { return fleet.Change{Pool: o} })
	diffSection(d, current.Servers, w.Servers, func(o *fleet.Object[fleet.BackendServer]) fleet.Change { return fleet.Change{Server: o} })
	diffSection(d, current.EntryVMs, w.EntryVMs, func(o *fleet.Object[fleet.EntryVM]) fleet.Change { return fleet.Change{EntryVM: o} })
	diffSection(d, current.Teams, w.Teams, func(o *fleet.Object[fleet.Team]) fleet.Change { return fleet.Change{Team: o} })
	diffSection(d, current.Queues, w.Queues, func(o *fleet.Object[fleet.Queue]) fleet.Change { return fleet.Change{Queue: o} })
	diffSection(d, current.Presets, w.Presets, func(o *fleet.Object[fleet.Preset]) fleet.Change { return fleet.Change{Preset: o} })
	if current.Policy != w.Policy {
		policy := w.Policy
		d.sets = append(d.sets, fleet.Change{Policy: &policy})
	}
	if current.InForce == "" && wanted.InForceAtStart != "" {
		name := wanted.InForceAtStart
		d.sets = append(d.sets, fleet.Change{InForce: &name})
	}
	slices.Reverse(d.deletes)
	return append(d.sets, d.deletes...)
}

type differ struct{ sets, deletes []fleet.Change }

func diffSection[T any](d *differ, current, wanted map[string]T, change func(*fleet.Object[T]) fleet.Change) {
	for _, name := range slices.Sorted(maps.Keys(wanted)) {
		value := wanted[name]
		if old, ok := current[name]; ok && bytes.Equal(encode(old), encode(value)) {
			continue
		}
		d.sets = append(d.sets, change(&fleet.Object[T]{Name: name, Value: &value}))
	}
	for _, name := range slices.Sorted(maps.Keys(current)) {
		if _, ok := wanted[name]; !ok {
			d.deletes = append(d.deletes, change(&fleet.Object[T]{Name: name}))
		}
	}
}

// encode returns equal bytes for values with the same meaning, such as an empty and a nil map.
func encode(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err) // the configuration types hold only strings, numbers, booleans and maps of them
	}
	return data
}

// Render returns one line for each change: "+" adds, "-" deletes, "~" changes, with the old and the new value of each field.
func Render(current *fleet.Config, changes []fleet.Change) []string {
	lines := make([]string, len(changes))
	for i, c := range changes {
		lines[i] = renderChange(current, c)
	}
	return lines
}

func renderChange(current *fleet.Config, c fleet.Change) string {
	switch {
	case c.InForce != nil:
		return fmt.Sprintf("~ preset in force: %s -> %s", orNone(current.InForce), *c.InForce)
	case c.Policy != nil:
		return "~ policy: " + fieldChanges(current.Policy, *c.Policy)
	case c.WithdrawKey != nil:
		return "~ key " + *c.WithdrawKey + ": withdrawn"
	case c.AddKey != nil:
		return "+ key " + c.AddKey.Name
	case c.Preset != nil:
		return renderObject("preset", current.Presets, c.Preset)
	case c.Team != nil:
		return renderObject("team", current.Teams, c.Team)
	case c.Queue != nil:
		return renderObject("queue", current.Queues, c.Queue)
	case c.Pool != nil:
		return renderObject("pool", current.Pools, c.Pool)
	case c.Service != nil:
		return renderObject("service", current.Services, c.Service)
	case c.DataCentre != nil:
		return renderObject("data centre", current.DataCentres, c.DataCentre)
	case c.Rack != nil:
		return renderObject("rack", current.Racks, c.Rack)
	case c.Server != nil:
		return renderObject("backend server", current.Servers, c.Server)
	case c.EntryVM != nil:
		return renderObject("entry VM", current.EntryVMs, c.EntryVM)
	}
	return "~ unknown change"
}

func orNone(name string) string {
	if name == "" {
		return "(none)"
	}
	return name
}

func renderObject[T any](kind string, current map[string]T, o *fleet.Object[T]) string {
	old, exists := current[o.Name]
	switch {
	case o.Value == nil:
		return fmt.Sprintf("- %s %s", kind, o.Name)
	case exists:
		return fmt.Sprintf("~ %s %s: %s", kind, o.Name, fieldChanges(old, *o.Value))
	}
	return fmt.Sprintf("+ %s %s: %s", kind, o.Name, fieldValues(*o.Value))
}

func fields(v any) map[string]json.RawMessage {
	out := map[string]json.RawMessage{}
	if err := json.Unmarshal(encode(v), &out); err != nil {
		panic(err) // every configuration type encodes as an object
	}
	return out
}

func fieldValues(v any) string {
	values := fields(v)
	parts := make([]string, 0, len(values))
	for _, name := range slices.Sorted(maps.Keys(values)) {
		parts = append(parts, name+"="+unquote(values[name]))
	}
	return strings.Join(parts, " ")
}

func fieldChanges(before, after any) string {
	old, next := fields(before), fields(after)
	names := maps.Clone(old)
	maps.Copy(names, next)
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(names)) {
		if !bytes.Equal(old[name], next[name]) {
			parts = append(parts, fmt.Sprintf("%s %s -> %s", name, unquote(old[name]), unquote(next[name])))
		}
	}
	return strings.Join(parts, ", ")
}

func unquote(value json.RawMessage) string {
	if len(value) == 0 {
		return "(none)"
	}
	return strings.Trim(string(value), `"`)
}
