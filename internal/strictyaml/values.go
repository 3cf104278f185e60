package strictyaml

import (
	"net/netip"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/goccy/go-yaml/ast"
)

var (
	durationType = reflect.TypeFor[time.Duration]()
	addrPortType = reflect.TypeFor[netip.AddrPort]()
)

func (d *decoder) decodeValue(n ast.Node, path string, v reflect.Value) {
	switch n.(type) {
	case *ast.AnchorNode, *ast.AliasNode, *ast.TagNode:
		d.addFault(n, path, "uses an anchor, an alias or a tag, which are not supported")
		return
	case *ast.NullNode:
		d.decodeNull(n, path, v)
		return
	}
	switch {
	case v.Type() == durationType:
		d.decodeDuration(n, path, v)
		return
	case v.Type() == addrPortType:
		d.decodeAddrPort(n, path, v)
		return
	}
	switch v.Kind() {
	case reflect.Pointer:
		if v.IsNil() {
			v.Set(reflect.New(v.Type().Elem()))
		}
		d.decodeValue(n, path, v.Elem())
	case reflect.Struct:
		d.decodeStruct(n, path, v)
	case reflect.Map:
		d.decodeMapping(n, path, v)
	case reflect.Slice:
		d.decodeList(n, path, v)
	default:
		d.decodeScalar(n, path, v)
	}
}

// decodeNull accepts an empty section or list, and nothing else: a scalar without a value is most likely an unfinished edit.
func (d *decoder) decodeNull(n ast.Node, path string, v reflect.Value) {
	switch v.Kind() {
	case reflect.Map, reflect.Slice, reflect.Pointer:
		return
	case reflect.Struct:
		if v.NumField() == 0 {
			return
		}
	}
	d.addFault(n, path, "has no value")
}

// pairs returns the entries of a mapping, and reports false with a problem for any other node.
func (d *decoder) pairs(n ast.Node, path string) ([]*ast.MappingValueNode, bool) {
	switch m := n.(type) {
	case *ast.MappingNode:
		return m.Values, true
	case *ast.MappingValueNode:
		return []*ast.MappingValueNode{m}, true
	}
	d.addFault(n, path, "is not a mapping of names to values")
	return nil, false
}

// entries calls fn for each entry of a mapping, with its name and path, and reports names that occur twice.
func (d *decoder) entries(n ast.Node, path string, fn func(name, path string, pair *ast.MappingValueNode)) {
	pairs, ok := d.pairs(n, path)
	if !ok {
		return
	}
	seen := map[string]Position{}
	for _, pair := range pairs {
		name := pair.Key.GetToken().Value
		at := d.position(pair.Key.GetToken())
		if first, ok := seen[name]; ok {
			d.addProblem(at, "%s is declared twice, first at %s", joinPath(path, name), first)
			continue
		}
		seen[name] = at
		fn(name, joinPath(path, name), pair)
	}
}

// recordPosition records the position of a value: that of the value itself for a scalar, that of its name for anything else.
func (d *decoder) recordPosition(path string, pair *ast.MappingValueNode) {
	at := pair.Key.GetToken()
	if _, ok := pair.Value.(ast.ScalarNode); ok && pair.Value.Type() != ast.NullType {
		at = pair.Value.GetToken()
	}
	d.positions[path] = d.position(at)
}

// decodeStruct decodes into a struct. A struct without fields accepts any value, for fields that are read only to be refused.
func (d *decoder) decodeStruct(n ast.Node, path string, v reflect.Value) {
	if v.NumField() == 0 {
		return
	}
	fields := fieldsOf(v.Type())
	d.entries(n, path, func(name, path string, pair *ast.MappingValueNode) {
		index, ok := fields[name]
		if !ok {
			d.addProblem(d.position(pair.Key.GetToken()), "%s is not a known field%s", path, knownFields(name, fields))
			return
		}
		d.recordPosition(path, pair)
		d.decodeValue(pair.Value, path, v.Field(index))
	})
}

// fieldsOf returns the index of each field of a struct, by the field's name in a file.
func fieldsOf(t reflect.Type) map[string]int {
	fields := map[string]int{}
	for i := range t.NumField() {
		f := t.Field(i)
		tag, ok := f.Tag.Lookup("yaml")
		if !ok {
			tag = f.Tag.Get("json")
		}
		name, _, _ := strings.Cut(tag, ",")
		if name != "" && name != "-" {
			fields[name] = i
		}
	}
	return fields
}

func knownFields(name string, fields map[string]int) string {
	names := make([]string, 0, len(fields))
	for f := range fields {
		names = append(names, f)
	}
	slices.Sort(names)
	return "; known fields are " + strings.Join(names, ", ")
}

func (d *decoder) decodeMapping(n ast.Node, path string, v reflect.Value) {
	if v.IsNil() {
		v.Set(reflect.MakeMap(v.Type()))
	}
	d.entries(n, path, func(name, path string, pair *ast.MappingValueNode) {
		d.recordPosition(path, pair)
		if name == "" {
			d.addProblem(d.position(pair.Key.GetToken()), "%s has an empty name", path)
			return
		}
		element := reflect.New(v.Type().Elem()).Elem()
		d.decodeValue(pair.Value, path, element)
		v.SetMapIndex(reflect.ValueOf(name), element)
	})
}

func (d *decoder) decodeList(n ast.Node, path string, v reflect.Value) {
	sequence, ok := n.(*ast.SequenceNode)
	if !ok {
		d.addFault(n, path, "is not a list")
		return
	}
	v.Set(reflect.MakeSlice(v.Type(), 0, len(sequence.Values)))
	for i, item := range sequence.Values {
		itemPath := joinPath(path, strconv.Itoa(i))
		d.positions[itemPath] = d.position(item.GetToken())
		element := reflect.New(v.Type().Elem()).Elem()
		d.decodeValue(item, itemPath, element)
		v.Set(reflect.Append(v, element))
	}
}

func (d *decoder) text(n ast.Node, path, want string) (string, bool) {
	switch s := n.(type) {
	case *ast.StringNode:
		return s.Value, true
	case *ast.LiteralNode:
		return s.Value.Value, true
	}
	d.addFault(n, path, "is %s, but must be %s", n.GetToken().Value, want)
	return "", false
}

func (d *decoder) decodeDuration(n ast.Node, path string, v reflect.Value) {
	const want = "a duration with a unit, for example 30s"
	text, ok := d.text(n, path, want)
	if !ok {
		return
	}
	parsed, err := time.ParseDuration(text)
	if err != nil {
		d.addFault(n, path, "is %q, but must be %s", text, want)
		return
	}
	v.SetInt(int64(parsed))
}

func (d *decoder) decodeAddrPort(n ast.Node, path string, v reflect.Value) {
	const want = "an IP number and a port; host names are not looked up"
	text, ok := d.text(n, path, want)
	if !ok {
		return
	}
	parsed, err := netip.ParseAddrPort(text)
	if err != nil {
		d.addFault(n, path, "is %q, but must be %s", text, want)
		return
	}
	v.Set(reflect.ValueOf(parsed))
}

func (d *decoder) decodeScalar(n ast.Node, path string, v reflect.Value) {
	switch v.Kind() {
	case reflect.String:
		if text, ok := d.text(n, path, "a text"); ok {
			v.SetString(text)
		}
	case reflect.Bool:
		b, ok := n.(*ast.BoolNode)
		if !ok {
			d.addFault(n, path, "is %q, but must be true or false", n.GetToken().Value)
			return
		}
		v.SetBool(b.Value)
	case reflect.Int, reflect.Int64:
		d.decodeInteger(n, path, v)
	case reflect.Float64:
		d.decodeNumber(n, path, v)
	default:
		d.addFault(n, path, "has a type that files cannot hold: %s", v.Type())
	}
}

func (d *decoder) decodeInteger(n ast.Node, path string, v reflect.Value) {
	node, ok := n.(*ast.IntegerNode)
	if !ok {
		d.addFault(n, path, "is %q, but must be a whole number", n.GetToken().Value)
		return
	}
	switch i := node.Value.(type) {
	case int64:
		v.SetInt(i)
	case uint64:
		if i > 1<<62 {
			d.addFault(n, path, "is %d, which is too large", i)
			return
		}
		v.SetInt(int64(i))
	}
}

func (d *decoder) decodeNumber(n ast.Node, path string, v reflect.Value) {
	switch node := n.(type) {
	case *ast.FloatNode:
		v.SetFloat(node.Value)
	case *ast.IntegerNode:
		f, err := strconv.ParseFloat(node.GetToken().Value, 64)
		if err != nil {
			d.addFault(n, path, "is %q, but must be a number", n.GetToken().Value)
			return
		}
		v.SetFloat(f)
	default:
		d.addFault(n, path, "is %q, but must be a number", n.GetToken().Value)
	}
}
