// Package settings reads the settings file of an entry VM's daemon. Settings hold what is specific to the VM, such as its name and the
// addresses on which it listens; everything that the whole fleet agrees on is in the declarations instead.
package settings

import (
	"encoding/hex"
	"net/netip"
	"os"
	"time"

	"github.com/rs/zerolog"

	"example.org/comfreyrouter/errkind"
	"example.org/comfreyrouter/internal/strictyaml"
)

// Settings are the settings of one entry VM. Each address is an IP address and a port.
type Settings struct {
	Name       string `yaml:"name"`
	DataCentre string `yaml:"data_centre"`

	CallerAddress   netip.AddrPort `yaml:"caller_address"`   // listens for callers' requests
	OperatorAddress netip.AddrPort `yaml:"operator_address"` // listens for operators
	PeerAddress     netip.AddrPort `yaml:"peer_address"`     // listens for other entry VMs

	// Peers are the peer addresses that are contacted first. The other entry VMs are learned from the log or from these peers.
	Peers           []netip.AddrPort `yaml:"peers"`
	PlatformAddress netip.AddrPort   `yaml:"platform_address"`

	LogLevel string `yaml:"log_level"` // debug, info, warn or error
	// OperatorTokenSHA256 is the SHA-256 of the operators' token in hexadecimal. If it is empty, the operator address
	// accepts calls without a token.
	OperatorTokenSHA256 string `yaml:"operator_token_sha256"`
	// DrainTimeout bounds how long a graceful shutdown waits for the VM's requests to finish.
	DrainTimeout time.Duration `yaml:"drain_timeout"`
	// StopDelay is how long a VM that shuts down gracefully accepts requests after it has become not ready, for the load balancer to
	// notice.
	StopDelay time.Duration `yaml:"stop_delay"`
	Limits    Limits        `yaml:"limits"`
}

// Limits bound the memory and the connections of one entry VM.
type Limits struct {
	MaxHeaderBytes int `yaml:"max_header_bytes"` // largest head of a request, in bytes
	MaxBodyBytes   int `yaml:"max_body_bytes"`   // largest request body, in bytes
	MaxAnswerBytes int `yaml:"max_answer_bytes"` // largest answer of a backend server, in bytes
	// MaxWaiting and MaxWaitingBytes bound the requests of all queues that wait on this VM, by number and by size in bytes.
	MaxWaiting      int `yaml:"max_waiting"`
	MaxWaitingBytes int `yaml:"max_waiting_bytes"`
	// MaxCallerConnections and MaxOperatorConnections bound the connections that are open at the same time.
	MaxCallerConnections   int `yaml:"max_caller_connections"`
	MaxOperatorConnections int `yaml:"max_operator_connections"`
	// ConnectionsPerBackendServer bounds this VM's connections to one backend server.
	ConnectionsPerBackendServer int `yaml:"connections_per_backend_server"`
	// ResultsKeptBytes bounds the answers that are kept for later queries, in bytes; the oldest are removed first.
	ResultsKeptBytes int `yaml:"results_kept_bytes"`
}

// Defaults of optional settings.
const (
	DefaultLogLevel     = "info"
	DefaultDrainTimeout = 60 * time.Second
	DefaultStopDelay    = 3 * time.Second
)

// DefaultLimits returns limits for a fleet of 6 to 9 small entry VMs. Waiting bodies and kept answers take at most
// 384 MiB together. A backend server accepts 64 connections, which leaves 7 for each of 9 entry VMs.
func DefaultLimits() Limits {
	return Limits{
		MaxHeaderBytes:              16 << 10,
		MaxBodyBytes:                1 << 20,
		MaxAnswerBytes:              4 << 20,
		MaxWaiting:                  4096,
		MaxWaitingBytes:             256 << 20,
		MaxCallerConnections:        4096,
		MaxOperatorConnections:      64,
		ConnectionsPerBackendServer: 7,
		ResultsKeptBytes:            128 << 20,
	}
}

// Load reads the settings file at path. The error of a faulty file has one line for each fault, with file, line and column.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errkind.Wrap(errkind.InvalidConfig, err)
	}
	return Parse(path, data)
}

// Parse decodes and checks the content of a settings file. The file name is used in messages only.
func Parse(file string, data []byte) (Settings, error) {
	s := Settings{LogLevel: DefaultLogLevel, DrainTimeout: DefaultDrainTimeout, StopDelay: DefaultStopDelay, Limits: DefaultLimits()}
	positions, problems := strictyaml.Decode(file, data, &s)
	if positions == nil {
		return Settings{}, errkind.Wrap(errkind.InvalidConfig, problems.Err())
	}
	c := &checker{positions: positions, problems: problems}
	c.checkRequired()
	c.checkAddresses(s)
	c.checkValues(s)
	c.checkLimits(s.Limits)
	if err := c.problems.Err(); err != nil {
		return Settings{}, errkind.Wrap(errkind.InvalidConfig, err)
	}
	return s, nil
}

type checker struct {
	positions strictyaml.Positions
	problems  strictyaml.Problems
}

func (c *checker) addProblem(path, message string) {
	c.problems = append(c.problems, strictyaml.Problem{Position: c.positions.At(path), Message: path + " " + message})
}

var requiredFields = []string{
	"name", "data_centre", "caller_address", "operator_address", "peer_address", "platform_address",
}

func (c *checker) checkRequired() {
	for _, field := range requiredFields {
		if !c.positions.Has(field) {
			c.addProblem(field, "is missing")
		}
	}
}

// checkAddresses checks that no two listeners share an address. Port 0 asks the operating system for a free port and may be used more than once.
func (c *checker) checkAddresses(s Settings) {
	listeners := []struct {
		field   string
		address netip.AddrPort
	}{
		{"caller_address", s.CallerAddress},
		{"operator_address", s.OperatorAddress},
		{"peer_address", s.PeerAddress},
	}
	fieldByAddress := map[netip.AddrPort]string{}
	for _, l := range listeners {
		if !l.address.IsValid() || l.address.Port() == 0 {
			continue
		}
		if other, ok := fieldByAddress[l.address]; ok {
			c.addProblem(l.field, "is the same as "+other)
			continue
		}
		fieldByAddress[l.address] = l.field
	}
}

func (c *checker) checkValues(s Settings) {
	if c.positions.Has("name") && s.Name == "" {
		c.addProblem("name", "is empty")
	}
	if c.positions.Has("data_centre") && s.DataCentre == "" {
		c.addProblem("data_centre", "is empty")
	}
	level, err := zerolog.ParseLevel(s.LogLevel)
	if err != nil || level < zerolog.DebugLevel || level > zerolog.ErrorLevel {
		c.addProblem("log_level", "must be debug, info, warn or error")
	}
	if s.OperatorTokenSHA256 != "" && !isSHA256(s.OperatorTokenSHA256) {
		c.addProblem("operator_token_sha256", "is not a SHA-256 in hexadecimal")
	}
	if s.DrainTimeout <= 0 {
		c.addProblem("drain_timeout", "must be above 0")
	}
	if s.StopDelay < 0 {
		c.addProblem("stop_delay", "must be 0 or more")
	}
}

// sha256Bytes is the length of a SHA-256 hash in bytes.
const sha256Bytes = 32

func isSHA256(text string) bool {
	sum, err := hex.DecodeString(text)
	return err == nil && len(sum) == sha256Bytes
}

func (c *checker) checkLimits(l Limits) {
	counts := []struct {
		field string
		value int
	}{
		{"max_header_bytes", l.MaxHeaderBytes},
		{"max_body_bytes", l.MaxBodyBytes},
		{"max_answer_bytes", l.MaxAnswerBytes},
		{"max_waiting", l.MaxWaiting},
		{"max_waiting_bytes", l.MaxWaitingBytes},
		{"max_caller_connections", l.MaxCallerConnections},
		{"max_operator_connections", l.MaxOperatorConnections},
		{"connections_per_backend_server", l.ConnectionsPerBackendServer},
		{"results_kept_bytes", l.ResultsKeptBytes},
	}
	for _, n := range counts {
		if n.value <= 0 {
			c.addProblem("limits."+n.field, "must be above 0")
		}
	}
	if l.MaxWaitingBytes < l.MaxBodyBytes {
		c.addProblem("limits.max_waiting_bytes", "is below limits.max_body_bytes, so the largest request could never wait")
	}
}
