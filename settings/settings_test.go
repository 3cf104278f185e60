package settings

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"example.org/comfreyrouter/errkind"
)

const validSettings = `name: entry-1
data_centre: falun
caller_address: 10.0.0.1:7000
operator_address: 10.0.0.1:7001
peer_address: "[fd00::1]:7002"
peers: ["10.0.0.2:7002", "10.0.1.2:7002"]
platform_address: 10.0.9.1:80
limits:
  max_waiting: 100
`

// TestLeftOutFieldsKeepDefaults guards against defaults that are lost when a file leaves the setting out, or that override what the file
// sets.
func TestLeftOutFieldsKeepDefaults(t *testing.T) {
	s, err := Parse("entry.yaml", []byte(validSettings))
	require.NoError(t, err)
	require.Equal(t, 100, s.Limits.MaxWaiting)
	require.Equal(t, DefaultLimits().MaxBodyBytes, s.Limits.MaxBodyBytes)
	require.Equal(t, 60*time.Second, s.DrainTimeout)
	require.Len(t, s.Peers, 2)
}

// TestAllFaultsAreReportedWithTheirPositions guards against a check that reports only the first fault, or a fault without its position.
func TestAllFaultsAreReportedWithTheirPositions(t *testing.T) {
	const faultySettings = `name: entry-1
name: entry-2
data_center: falun
caller_address: entry.example.org:7000
operator_address: 10.0.0.1:7001
peer_address: 10.0.0.1:7001
peers: [seed.example.org:7002]
log_level: loud
operator_token_sha256: abc
drain_timeout: 30
limits:
  max_waiting: -1
  max_body_bytes: many
`
	_, err := Parse("entry.yaml", []byte(faultySettings))
	require.Equal(t, errkind.InvalidConfig, errkind.Of(err))
	for _, want := range []string{
		"entry.yaml:2:1: name is declared twice, first at entry.yaml:1:1",
		"entry.yaml:3:1: data_center is not a known field",
		`entry.yaml:4:17: caller_address is "entry.example.org:7000", but must be an IP number`,
		"entry.yaml:6:15: peer_address is the same as operator_address",
		`entry.yaml:7:9: peers.0 is "seed.example.org:7002"`,
		"entry.yaml:8:12: log_level must be",
		"entry.yaml:9:24: operator_token_sha256 is not",
		"entry.yaml:10:16: drain_timeout is 30, but must be a duration",
		"entry.yaml:12:16: limits.max_waiting must be above 0",
		`entry.yaml:13:19: limits.max_body_bytes is "many"`,
		"entry.yaml: data_centre is missing",
		"entry.yaml: platform_address is missing",
	} {
		require.ErrorContains(t, err, want)
	}
}

// TestSyntaxErrorHasItsPosition guards against a syntax error that is reported without its position, or hidden among the fields that are
// missing because of it.
func TestSyntaxErrorHasItsPosition(t *testing.T) {
	_, err := Parse("entry.yaml", []byte("name: [a\nother"))
	require.EqualError(t, err, "invalid_config: entry.yaml:2:1: ',' or ']' must be specified")
}
