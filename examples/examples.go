// Package examples embeds sample declarations for the dev command. New operators can copy them.
package examples

import "embed"

// Files holds one directory of declarations for each of the two associations, rutnat and tibas.
//
//go:embed rutnat tibas
var Files embed.FS
