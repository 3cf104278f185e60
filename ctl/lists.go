package ctl

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"

	"example.org/comfreyrouter/errkind"
	"example.org/comfreyrouter/operatorapi"
)

// print writes value as JSON, or header and rows as a table, depending on the output format.
func (s *session) print(value any, header []string, rows [][]string) error {
	if s.options.output == "json" {
		encoder := json.NewEncoder(s.terminal.Out)
		encoder.SetIndent("", "  ")
		return errkind.Wrap(errkind.Internal, encoder.Encode(value))
	}
	w := tabwriter.NewWriter(s.terminal.Out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, strings.Join(header, "\t"))
	for _, row := range rows {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	return errkind.Wrap(errkind.Internal, w.Flush())
}

// cells formats values as the cells of a table row.
func cells(values ...any) []string {
	row := make([]string, len(values))
	for i, v := range values {
		row[i] = fmt.Sprint(v)
	}
	return row
}

func rowsOf[T any](list []T, row func(T) []string) [][]string {
	rows := make([][]string, len(list))
	for i, v := range list {
		rows[i] = row(v)
	}
	return rows
}

// orDash returns text if set is true, and otherwise a dash, so that no cell is empty.
func orDash(set bool, text string) string {
	if set {
		return text
	}
	return "-"
}

func presetList(s *session, _ []string) error {
	var list []operatorapi.PresetInfo
	if err := s.get("/v1/presets", &list); err != nil {
		return err
	}
	return s.print(list, []string{"NAME", "IN FORCE", "DESCRIPTION"}, rowsOf(list, func(p operatorapi.PresetInfo) []string {
		return cells(p.Name, orDash(p.InForce, "yes"), p.Preset.Description)
	}))
}

func presetShow(s *session, args []string) error {
	var p operatorapi.PresetInfo
	if err := s.get(path("presets", args[0]), &p); err != nil {
		return err
	}
	rows := [][]string{
		cells("name", p.Name),
		cells("in force", p.InForce),
		cells("description", p.Preset.Description),
		cells("maintenance", p.Preset.Maintenance),
		cells("max drains", p.Preset.MaxDrains),
		cells("reserve percent", p.Preset.ReservePercent),
	}
	for _, pool := range slices.Sorted(maps.Keys(p.Preset.PoolSizes)) {
		rows = append(rows, cells("pool "+pool, p.Preset.PoolSizes[pool]))
	}
	return s.print(p, []string{"FIELD", "VALUE"}, rows)
}

func keyList(s *session, _ []string) error {
	var list []operatorapi.KeyInfo
	if err := s.get("/v1/keys", &list); err != nil {
		return err
	}
	return s.print(list, []string{"ID", "TEAM", "STATE"}, rowsOf(list, func(k operatorapi.KeyInfo) []string {
		state := "valid"
		if k.Withdrawn {
			state = "withdrawn"
		}
		return cells(k.ID, k.Team, state)
	}))
}

func teamList(s *session, _ []string) error {
	var list []operatorapi.TeamInfo
	if err := s.get("/v1/teams", &list); err != nil {
		return err
	}
	return s.print(list, []string{"NAME", "SHARE", "LIMIT", "FIRM PER ENTRY VM", "GRANTED"}, rowsOf(list, func(t operatorapi.TeamInfo) []string {
		return cells(t.Name, t.Team.Share, t.Team.Limit, t.Team.FirmPerEntryVM, t.Granted)
	}))
}

func poolList(s *session, _ []string) error {
	var list []operatorapi.PoolInfo
	if err := s.get("/v1/pools", &list); err != nil {
		return err
	}
	header := []string{"NAME", "VMS", "AVAILABLE", "WANTED", "MIN", "MAX UNAVAILABLE", "SPARE"}
	return s.print(list, header, rowsOf(list, func(p operatorapi.PoolInfo) []string {
		wanted := "-"
		if p.Wanted != nil {
			wanted = fmt.Sprint(*p.Wanted)
		}
		return cells(p.Name, p.VMs, p.Available, wanted, p.Pool.Min, p.Pool.MaxUnavailable, orDash(p.Pool.Spare, "yes"))
	}))
}

func vmList(s *session, _ []string) error {
	var list operatorapi.VMList
	if err := s.get("/v1/vms", &list); err != nil {
		return err
	}
	list.VMs = slices.DeleteFunc(list.VMs, func(v operatorapi.VMInfo) bool {
		return s.options.pool != "" && v.VM.Pool != s.options.pool
	})
	header := []string{"NAME", "POOL", "PHASE", "MOVES TO", "DOWN", "DATA CENTRE", "RACK", "ADDRESS"}
	return s.print(list, header, rowsOf(list.VMs, func(v operatorapi.VMInfo) []string {
		return cells(v.Name, v.VM.Pool, v.VM.Phase, cmp.Or(v.VM.MoveTo, "-"), orDash(v.VM.Down, "yes"), v.DataCentre, v.Rack, v.Address)
	}))
}

func waveStatus(s *session, _ []string) error {
	var list []operatorapi.WaveInfo
	if err := s.get("/v1/waves", &list); err != nil {
		return err
	}
	return s.print(list, []string{"NAME", "STATE", "MAINTAINED", "IN PROGRESS", "TOTAL", "POOLS"}, rowsOf(list, func(w operatorapi.WaveInfo) []string {
		pools := cmp.Or(strings.Join(w.Pools, ","), "all")
		return cells(w.Name, w.State, w.Maintained, w.InProgress, w.Total, pools)
	}))
}

func status(s *session, _ []string) error {
	var c operatorapi.ClusterStatus
	if err := s.get("/v1/status", &c); err != nil {
		return err
	}
	rows := [][]string{
		cells("answered by", c.Node.VM),
		cells("data centre", c.Node.DataCentre),
		cells("ready", c.Node.Ready),
		cells("log readable", c.Node.LogReadable),
		cells("view fresh", c.Node.ViewFresh),
		cells("log offset", c.Offset),
		cells("version", c.Version),
		cells("preset in force", cmp.Or(c.InForce, "-")),
	}
	for _, id := range slices.Sorted(maps.Keys(c.Members)) {
		m := c.Members[id]
		rows = append(rows, cells("member "+m.VM, fmt.Sprintf("%s in %s%s", id, m.DataCentre, fencedSuffix(m.Fenced))))
	}
	for _, p := range c.Node.Peers {
		rows = append(rows, cells("peer "+p.VM, fmt.Sprintf("offset %d, log readable %t, heard %d ms ago", p.Offset, p.LogReadable, p.HeardMillis)))
	}
	return s.print(c, []string{"FIELD", "VALUE"}, rows)
}

func fencedSuffix(is bool) string {
	if is {
		return ", fenced"
	}
	return ""
}
