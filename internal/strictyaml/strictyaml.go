// Package strictyaml decodes YAML files strictly. It reports all faults of a file in one run, each with file, line and
// column, and records the position of each value, so that later checks can report it too. The decoder of the YAML
// library stops at the first fault, so this package walks the library's syntax tree instead.
package strictyaml

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"reflect"
	"slices"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"
)

// Position is a location in a file. Line and Column count from 1; both are 0 for the file as a whole.
type Position struct {
	File   string
	Line   int
	Column int
}

// String returns "file:line:column".
func (p Position) String() string {
	if p.Line == 0 {
		return p.File
	}
	return fmt.Sprintf("%s:%d:%d", p.File, p.Line, p.Column)
}

// Problem is one fault of a file.
type Problem struct {
	Position Position
	Message  string
}

// String returns the position and the message.
func (p Problem) String() string { return p.Position.String() + ": " + p.Message }

// Problems are the faults of one or more files.
type Problems []Problem

// Error returns one line for each problem.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}

// Err returns the problems as an error in order of their positions, or nil if there are none.
func (p Problems) Err() error {
	if len(p) == 0 {
		return nil
	}
	slices.SortStableFunc(p, func(a, b Problem) int {
		return cmp.Or(
			cmp.Compare(a.Position.File, b.Position.File),
			cmp.Compare(a.Position.Line, b.Position.Line),
			cmp.Compare(a.Position.Column, b.Position.Column),
			cmp.Compare(a.Message, b.Message),
		)
	})
	return p
}

// Positions maps the path of each value, for example "teams.varmland.share", to its position. The path "" is the whole file.
type Positions map[string]Position

// At returns the position of path, or that of the closest enclosing value that the file has.
func (p Positions) At(path string) Position {
	for {
		if position, ok := p[path]; ok {
			return position
		}
		cut := strings.LastIndexByte(path, '.')
		if cut < 0 {
			return p[""]
		}
		path = path[:cut]
	}
}

// Has reports whether the file has a value at path.
func (p Positions) Has(path string) bool {
	_, ok := p[path]
	return ok
}

// Decode decodes data into out, a pointer to a struct. Fields are named by their yaml tag or else their json tag. Fields
// that the file does not name keep their values. Unknown fields, duplicate names, wrong types, anchors, aliases and
// tags are problems. Decoding continues after a problem. The positions are nil if the file is not YAML at all, because checks
// of its content would only add noise.
func Decode(file string, data []byte, out any) (Positions, Problems) {
	d := &decoder{file: file, positions: Positions{"": {File: file}}}
	body := d.parse(data)
	if len(d.problems) > 0 {
		return nil, d.problems
	}
	if body != nil {
		d.decodeValue(body, "", reflect.ValueOf(out).Elem())
	}
	return d.positions, d.problems
}

type decoder struct {
	file      string
	positions Positions
	problems  Problems
}

// parse returns the body of the file's only document, or nil for an empty or malformed file.
func (d *decoder) parse(data []byte) ast.Node {
	if len(bytes.TrimSpace(data)) == 0 {
		return nil
	}
	tree, err := parser.ParseBytes(data, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		d.syntaxError(err)
		return nil
	}
	if len(tree.Docs) > 1 {
		d.addProblem(Position{File: d.file}, "has %d documents, but must have one", len(tree.Docs))
		return nil
	}
	if len(tree.Docs) == 0 || tree.Docs[0].Body == nil {
		return nil
	}
	return tree.Docs[0].Body
}

func (d *decoder) syntaxError(err error) {
	var at yaml.Error
	if errors.As(err, &at) && at.GetToken() != nil {
		d.addProblem(d.position(at.GetToken()), "%s", at.GetMessage())
		return
	}
	d.addProblem(Position{File: d.file}, "%s", err)
}

func (d *decoder) position(t *token.Token) Position {
	if t == nil || t.Position == nil {
		return Position{File: d.file}
	}
	return Position{File: d.file, Line: t.Position.Line, Column: t.Position.Column}
}

func (d *decoder) addProblem(at Position, format string, args ...any) {
	d.problems = append(d.problems, Problem{Position: at, Message: fmt.Sprintf(format, args...)})
}

// addFault adds a problem at the start of a node. The message begins with the path of the value.
func (d *decoder) addFault(n ast.Node, path, format string, args ...any) {
	message := fmt.Sprintf(format, args...)
	if path != "" {
		message = path + " " + message
	}
	d.addProblem(d.position(n.GetToken()), "%s", message)
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
