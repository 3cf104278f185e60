// Package scenario holds scripts that drive comfreyrouter and comfreyctl as separate processes, against the stand-ins of the platform and
// the backend servers. The scripts are in testdata; the commands that they share are in the test files.
package scenario
