// Package declare reads the declarations of a fleet, which operators keep in version control, and computes the changes
// that make a configuration match them.
//
// Keys are not declared. They are secrets, and a hash in version control would stay in its history after a withdrawal, so
// keys are added and withdrawn by command only. The preset in force is not declared either: operators choose it by
// command, and an apply must not undo their choice.
package declare

import (
	"io/fs"
	"os"
	"path/filepath"
	"strings"

	"example.org/comfreyrouter/errkind"
	"example.org/comfreyrouter/fleet"
	"example.org/comfreyrouter/internal/strictyaml"
)

// Declarations are the merged contents of all files of a directory.
type Declarations struct {
	// Config has everything that is declared. Its version and keys are empty, and its preset in force is InForceAtStart.
	Config *fleet.Config
	// InForceAtStart is the preset that the first apply on an empty fleet puts in force.
	InForceAtStart string
}

// file is the content of one file. Any file may hold any of the sections.
type file struct {
	InForceAtStart string                         `yaml:"in_force_at_start"`
	Presets        map[string]fleet.Preset        `yaml:"presets"`
	Teams          map[string]fleet.Team          `yaml:"teams"`
	Queues         map[string]fleet.Queue         `yaml:"queues"`
	Pools          map[string]fleet.Pool          `yaml:"pools"`
	Services       map[string]fleet.Service       `yaml:"services"`
	Centres        map[string]fleet.DataCentre    `yaml:"data_centres"`
	Racks          map[string]fleet.Rack          `yaml:"racks"`
	Servers        map[string]fleet.BackendServer `yaml:"backend_servers"`
	EntryVMs       map[string]fleet.EntryVM       `yaml:"entry_vms"`
	Policy         fleet.Policy                   `yaml:"policy"`
	// Keys and InForce are read only to refuse them with a reason.
	Keys    notDeclared `yaml:"keys"`
	InForce notDeclared `yaml:"in_force"`
}

// notDeclared accepts any value and ignores it.
type notDeclared struct{}

// Load reads all .yaml and .yml files below dir, except hidden ones, and checks them together. The error has one line for
// each fault of any file, with file, line and column.
func Load(dir string) (*Declarations, error) { return LoadFS(os.DirFS(dir), dir) }

// LoadFS is Load for a file system. dir is put before the file names in messages.
func LoadFS(files fs.FS, dir string) (*Declarations, error) {
	names, err := yamlFiles(files)
	if err != nil {
		return nil, errkind.Wrap(errkind.InvalidConfig, err)
	}
	if len(names) == 0 {
		return nil, errkind.New(errkind.InvalidConfig, "%s: no .yaml file", dir)
	}
	l := newLoader(files, dir)
	for _, name := range names {
		if err := l.readFile(name); err != nil {
			return nil, errkind.Wrap(errkind.InvalidConfig, err)
		}
	}
	return l.finish()
}

func yamlFiles(files fs.FS) ([]string, error) {
	var names []string
	err := fs.WalkDir(files, ".", func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		hidden := path != "." && strings.HasPrefix(entry.Name(), ".")
		if hidden && entry.IsDir() {
			return fs.SkipDir
		}
		extension := filepath.Ext(path)
		if !hidden && !entry.IsDir() && (extension == ".yaml" || extension == ".yml") {
			names = append(names, path)
		}
		return nil
	})
	return names, err
}

type loader struct {
	files        fs.FS
	dir          string
	declarations *Declarations
	positions    strictyaml.Positions
	problems     strictyaml.Problems
	incomplete   bool // a file has faults that leave its content incomplete
}

func newLoader(files fs.FS, dir string) *loader {
	return &loader{
		files:        files,
		dir:          dir,
		declarations: &Declarations{Config: fleet.NewConfig()},
		positions:    strictyaml.Positions{"": {File: dir}},
	}
}

func (l *loader) readFile(name string) error {
	data, err := fs.ReadFile(l.files, name)
	if err != nil {
		return err
	}
	name = filepath.Join(l.dir, name)
	f := file{Policy: fleet.NewConfig().Policy}
	positions, problems := strictyaml.Decode(name, data, &f)
	l.problems = append(l.problems, problems...)
	if positions == nil {
		l.incomplete = true
		return nil
	}
	l.refuseUndeclarable(positions)
	l.merge(&f, positions)
	return nil
}

func (l *loader) addProblem(at strictyaml.Position, message string) {
	l.problems = append(l.problems, strictyaml.Problem{Position: at, Message: message})
}

func (l *loader) refuseUndeclarable(positions strictyaml.Positions) {
	if positions.Has("keys") {
		l.addProblem(positions.At("keys"), "keys are secrets and are not declared; use comfreyctl key give and key withdraw")
	}
	if positions.Has("in_force") {
		l.addProblem(positions.At("in_force"), "the preset in force is not declared; use comfreyctl preset use, or in_force_at_start for a new fleet")
	}
}

func (l *loader) merge(f *file, positions strictyaml.Positions) {
	c := l.declarations.Config
	mergeSection(l, "presets", c.Presets, f.Presets, positions)
	mergeSection(l, "teams", c.Teams, f.Teams, positions)
	mergeSection(l, "queues", c.Queues, f.Queues, positions)
	mergeSection(l, "pools", c.Pools, f.Pools, positions)
	mergeSection(l, "services", c.Services, f.Services, positions)
	mergeSection(l, "data_centres", c.DataCentres, f.Centres, positions)
	mergeSection(l, "racks", c.Racks, f.Racks, positions)
	mergeSection(l, "backend_servers", c.Servers, f.Servers, positions)
	mergeSection(l, "entry_vms", c.EntryVMs, f.EntryVMs, positions)
	if positions.Has("policy") && l.checkFirst("policy", positions) {
		c.Policy = f.Policy
	}
	if positions.Has("in_force_at_start") && l.checkFirst("in_force_at_start", positions) {
		l.declarations.InForceAtStart = f.InForceAtStart
	}
	for path, position := range positions {
		if !l.positions.Has(path) {
			l.positions[path] = position
		}
	}
}

// checkFirst reports whether path is declared for the first time, and otherwise adds a problem with both positions.
func (l *loader) checkFirst(path string, positions strictyaml.Positions) bool {
	if !l.positions.Has(path) {
		return true
	}
	l.addProblem(positions.At(path), path+" is declared twice, first at "+l.positions.At(path).String())
	return false
}

func mergeSection[T any](l *loader, section string, into, from map[string]T, positions strictyaml.Positions) {
	for name, value := range from {
		if l.checkFirst(section+"."+name, positions) {
			into[name] = value
		}
	}
}

// finish checks the declarations of all files together. It skips the check if the content of a file is incomplete, because
// everything that refers to the missing part would be reported as missing.
func (l *loader) finish() (*Declarations, error) {
	if !l.incomplete {
		l.chooseInitialPreset()
		l.validate()
		l.checkPresetSizes()
	}
	if err := l.problems.Err(); err != nil {
		return nil, errkind.Wrap(errkind.InvalidConfig, err)
	}
	return l.declarations, nil
}

// chooseInitialPreset sets the preset that is in force at the start: the declared one or the only one.
func (l *loader) chooseInitialPreset() {
	d := l.declarations
	switch {
	case len(d.Config.Presets) == 0:
		l.addProblem(l.positions.At(""), "no preset is declared")
	case d.InForceAtStart == "" && len(d.Config.Presets) > 1:
		l.addProblem(l.positions.At("presets"), "in_force_at_start is missing: there are several presets")
	case d.InForceAtStart == "":
		for name := range d.Config.Presets {
			d.InForceAtStart = name
		}
	}
	d.Config.InForce = d.InForceAtStart
}

func (l *loader) validate() {
	for _, p := range l.declarations.Config.Validate() {
		path := p.Path
		if path == "in_force" {
			path = "in_force_at_start"
		}
		l.addProblem(l.positions.At(path), path+" "+p.Message)
	}
}

// checkPresetSizes refuses presets that need more VMs than are declared. The fold accepts them, because VMs may be declared
// later, but as declared such a preset could never be reached.
func (l *loader) checkPresetSizes() {
	c := l.declarations.Config
	for name, preset := range c.Presets {
		sum := 0
		for _, size := range preset.PoolSizes {
			sum += size
		}
		if sum > len(c.Servers) {
			path := "presets." + name + ".pool_sizes"
			l.addProblem(l.positions.At(path), path+" adds up to more VMs than the declared backend servers")
		}
	}
}
