// Package scenario holds test scripts that run comfreyrouter and comfreyctl as separate processes, against stand-ins of the platform and the
// backend servers. The scripts are in testdata; their commands are implemented in the test files.
package scenario
