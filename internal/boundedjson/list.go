// Package boundedjson decodes JSON of clients that hold to no limit.
package boundedjson

import (
	"encoding/json"
	"errors"
)

// MaxValues is the largest number of values of a List.
const MaxValues = 64

// ErrTooMany is the error of a longer array.
var ErrTooMany = errors.New("an array has too many values")

// List is an array of at most MaxValues values. A longer one is refused before it is decoded: a value of three bytes, "{}" and a comma, may hold hundreds.
type List[T any] []T

// UnmarshalJSON decodes an array.
func (l *List[T]) UnmarshalJSON(data []byte) error {
	if values(data) > MaxValues {
		return ErrTooMany
	}
	return json.Unmarshal(data, (*[]T)(l))
}

// values returns the number of values of an array, which must be valid JSON; at least 1.
func values(data []byte) int {
	n, depth, quoted := 1, 0, false
	for i := 0; i < len(data); i++ {
		switch c := data[i]; {
		case quoted && c == '\\':
			i++
		case c == '"':
			quoted = !quoted
		case quoted:
		case c == '[', c == '{':
			depth++
		case c == ']', c == '}':
			depth--
		case c == ',' && depth == 1:
			n++
		}
	}
	return n
}
