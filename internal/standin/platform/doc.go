// Package platform is a stand-in for the platform: an append-only log with offsets and retention, a list of VMs that shows changes with a delay, and
// reboots. Faults can be injected by a method call or over HTTP. Tests and the development commands use it.
package platform
