// Package platform is a stand-in for the platform: an append-only log with offsets and retention, a lagging list of VMs, and
// reboots. Faults can be switched on by method or over HTTP. It is used by tests and by the development command.
package platform
