package declare

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"example.org/comfreyrouter/errkind"
	"example.org/comfreyrouter/fleet"
	"example.org/comfreyrouter/internal/testenv"
)

func TestMain(m *testing.M) { testenv.Main(m) }

// TestExamplesApplyToAnEmptyFleet guards against example declarations that no longer load, or that the fold refuses although Load accepts
// them.
func TestExamplesApplyToAnEmptyFleet(t *testing.T) {
	for _, name := range []string{"rutnat", "tibas"} {
		d, err := Load(filepath.Join("..", "examples", name))
		require.NoError(t, err)
		s := fleet.NewState()
		apply(t, s, d)
		require.Equal(t, "ordinary", s.Config.InForce)
		require.Len(t, s.VMs, 50)
		require.Empty(t, Diff(s.Config, d))
	}
}

func apply(t require.TestingT, s *fleet.State, d *Declarations) {
	c := fleet.Configure{ID: fmt.Sprint("change-", s.Offset), Expect: s.Config.Version, Changes: Diff(s.Config, d)}
	results := s.Apply(s.Offset+1, fleet.Batch{Writer: "w", Seq: s.Offset + 1, Commands: []fleet.Command{{Configure: &c}}})
	require.NoError(t, results[0].Err())
}

func writeFiles(t *testing.T, files map[string]string) string {
	dir := t.TempDir()
	for name, content := range files {
		require.NoError(t, os.WriteFile(filepath.Join(dir, name), []byte(content), 0o600))
	}
	return dir
}

// TestAllFaultsOfAllFilesAreReportedWithTheirPositions guards against a check that stops at the first fault, or that reports a fault
// without its position.
func TestAllFaultsOfAllFilesAreReportedWithTheirPositions(t *testing.T) {
	dir := writeFiles(t, map[string]string{
		"a.yaml": `in_force_at_start: ordinary
presets:
  ordinary: {pool_sizes: {glass: 1}}
pools:
  glass: {min: 2, max_unavailable: 1, color: green}
teams:
  dalarna: {share: -5, limit: 10}
data_centres: {falun: {max_unavailable: 1}}
racks: {f1: {data_centre: falun, max_unavailable: 1}}
backend_servers:
  vm-1: {address: "10.0.0.1:80", data_centre: falun, rack: f1, pool: glass, slots: 8, connections: 64}
  vm-2: {address: "vm-2.example.org:80", data_centre: falun, rack: f1, pool: glass, slots: 8, connections: 64}
`,
		"b.yaml": `keys: {k1: {team: dalarna, hash: abc}}
backend_servers:
  vm-1: {address: "10.0.0.3:80", data_centre: falun, rack: f1, pool: glass, slots: 8, connections: 64}
`,
	})
	_, err := Load(dir)
	require.Equal(t, errkind.InvalidConfig, errkind.Of(err))
	a, b := filepath.Join(dir, "a.yaml"), filepath.Join(dir, "b.yaml")
	for _, want := range []string{
		a + ":3:34: presets.ordinary.pool_sizes.glass is 1, which breaks the availability budget",
		a + ":5:39: pools.glass.color is not a known field",
		a + ":7:20: teams.dalarna.share is -5, but must be 0 or more",
		a + `:12:19: backend_servers.vm-2.address is "vm-2.example.org:80", but must be an IP number`,
		b + ":1:1: keys are secrets and are not declared",
		b + ":3:3: backend_servers.vm-1 is declared twice, first at " + a + ":11:3",
	} {
		require.ErrorContains(t, err, want)
	}
}

// TestFaultsAcrossDeclarations guards against declarations that pass the check although they can never be reached, and against faults of
// a missing field without a position: it is that of the enclosing object.
func TestFaultsAcrossDeclarations(t *testing.T) {
	for _, c := range []struct{ content, want string }{
		{"presets:\n  a: {}\n  b: {}\n", "a.yaml:1:1: in_force_at_start is missing"},
		{"in_force_at_start: c\npresets: {a: {}}\n", `a.yaml:1:20: in_force_at_start preset "c" does not exist`},
		{"presets: {a: {pool_sizes: {p: 1}}}\npools: {p: {min: 0}}\n", "a.yaml:1:15: presets.a.pool_sizes adds up to more VMs"},
		{"presets: {a: {}}\nracks:\n  f1: {max_unavailable: 1}\n", `a.yaml:3:3: racks.f1.data_centre data centre "" does not exist`},
		{"teams: {}\n", "no preset is declared"},
	} {
		_, err := Load(writeFiles(t, map[string]string{"a.yaml": c.content}))
		require.ErrorContains(t, err, c.want)
	}
	d, err := Load(writeFiles(t, map[string]string{"a.yaml": "presets: {only: {}}\n"}))
	require.NoError(t, err)
	require.Equal(t, "only", d.InForceAtStart)
}

// TestRenderNamesWhatChanges guards against a list of changes that an operator can't review before confirming it.
func TestRenderNamesWhatChanges(t *testing.T) {
	current := fleet.NewConfig()
	current.InForce = "ordinary"
	current.Teams["dalarna"] = fleet.Team{Share: 10, Limit: 50}
	current.Queues["quote"] = fleet.Queue{}
	wanted := &Declarations{Config: fleet.NewConfig()}
	wanted.Config.Teams["dalarna"] = fleet.Team{Share: 12, Limit: 50}
	wanted.Config.Services["s"] = fleet.Service{MaxUnavailable: 2}
	require.Equal(t, []string{
		"+ service s: max_unavailable=2",
		"~ team dalarna: share 10 -> 12",
		"- queue quote",
	}, Render(current, Diff(current, wanted)))
}

func drawConfig(t *rapid.T, label string) *Declarations {
	c := fleet.NewConfig()
	names := func(prefix string) []string {
		return rapid.SliceOfNDistinct(rapid.SampledFrom([]string{prefix + "1", prefix + "2", prefix + "3"}), 1, 3, rapid.ID).Draw(t, label+prefix)
	}
	size := rapid.IntRange(0, 5)
	for _, centre := range names("dc") {
		c.DataCentres[centre] = fleet.DataCentre{MaxUnavailable: 5}
		c.Racks["r-"+centre] = fleet.Rack{DataCentre: centre, MaxUnavailable: 5}
		c.EntryVMs["e-"+centre] = fleet.EntryVM{DataCentre: centre}
	}
	for _, pool := range names("p") {
		c.Services["s-"+pool] = fleet.Service{MaxUnavailable: 5}
		c.Pools[pool] = fleet.Pool{Service: "s-" + pool, MaxUnavailable: 5, Spare: rapid.Bool().Draw(t, "spare")}
		c.Queues["q-"+pool] = fleet.Queue{Pool: pool, Class: fleet.Urgent}
		for centre := range c.DataCentres {
			name := pool + "-" + centre
			c.Servers[name] = fleet.BackendServer{Address: "10.0.0." + pool[1:] + ":" + centre[2:], DataCentre: centre, Rack: "r-" + centre, Pool: pool, Slots: 8, Connections: 64}
		}
	}
	c.Teams["t"] = fleet.Team{Share: size.Draw(t, "share"), Limit: 10}
	// The preset in force must stay declared, or the change is refused as a whole.
	c.Presets["first"] = fleet.Preset{MaxDrains: size.Draw(t, "drains")}
	c.Policy.KeyFreshnessMillis = 1 + size.Draw(t, "fresh")
	c.InForce = "first"
	return &Declarations{Config: c, InForceAtStart: "first"}
}

// TestDiffAppliedToTheOldConfigGivesTheNew guards against an order of changes that the fold refuses, and against missing changes.
func TestDiffAppliedToTheOldConfigGivesTheNew(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := fleet.NewState()
		for _, label := range []string{"old", "new"} {
			d := drawConfig(t, label)
			apply(t, s, d)
			want := d.Config.Clone()
			want.Version = s.Config.Version
			require.Equal(t, want, s.Config)
		}
	})
}
