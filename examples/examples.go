// Package examples embeds sample declarations, for the dev command and for new operators to copy.
package examples

import "embed"

// Files holds a directory of declarations for each of the two associations: rutnat and tibas.
//
//go:embed rutnat tibas
var Files embed.FS
