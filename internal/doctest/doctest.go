// Package doctest compares tables in the documentation with the code. Only tests use it.
package doctest

import (
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TableAgrees fails the test unless the body rows of the tables in a Markdown file are exactly the wanted rows, in any order.
func TableAgrees(t *testing.T, path string, want []string) {
	t.Helper()
	text, err := os.ReadFile(path)
	require.NoError(t, err)
	var rows []string
	lines := strings.Split(string(text), "\n")
	for i, line := range lines {
		if !strings.HasPrefix(line, "|") || isSeparator(line) || (i+1 < len(lines) && isSeparator(lines[i+1])) {
			continue
		}
		rows = append(rows, line)
	}
	require.ElementsMatch(t, want, rows, "the table in %s does not agree with the code", path)
}

// isSeparator reports whether a line separates the head of a table from its body.
func isSeparator(line string) bool { return strings.HasPrefix(line, "|---") }
