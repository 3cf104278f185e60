package platform

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"example.org/comfreyrouter/logclient"
)

// vmVersion is the state of a VM since a point in time.
type vmVersion struct {
	since time.Time
	vm    logclient.VM
}

// SetVM adds or changes a VM. The list shows the change after Options.ListLag.
func (c *Core) SetVM(vm logclient.VM) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.vms[vm.Name] = append(c.vms[vm.Name], vmVersion{since: c.clock.Now(), vm: vm})
}

// SetListLag changes the delay after which changes show in the list of VMs.
func (c *Core) SetListLag(lag time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.options.ListLag = lag
}

// SetReboot changes the function that is called for each reboot.
func (c *Core) SetReboot(fn func(ctx context.Context, name string) error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.options.Reboot = fn
}

// VMs returns the list of VMs, sorted by name, as it was Options.ListLag ago.
func (c *Core) VMs(ctx context.Context, caller Caller) ([]logclient.VM, error) {
	if err := c.awaitReachable(ctx, caller); err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	cutoff := c.clock.Now().Add(-c.options.ListLag)
	list := []logclient.VM{}
	for _, name := range slices.Sorted(maps.Keys(c.vms)) {
		history := c.vms[name]
		for _, version := range slices.Backward(history) {
			if !version.since.After(cutoff) {
				list = append(list, version.vm)
				break
			}
		}
	}
	return list, nil
}

// Reboot calls Options.Reboot for a VM, at most once for each key; a repeated call succeeds without effect. Calls with an empty key are never
// treated as repeats.
func (c *Core) Reboot(ctx context.Context, caller Caller, name, key string) error {
	if err := c.awaitReachable(ctx, caller); err != nil {
		return err
	}
	c.mu.Lock()
	_, known := c.vms[name]
	reboot := c.options.Reboot
	executed := known && key != "" && c.reboots[key]
	if known {
		c.reboots[key] = true
	}
	c.mu.Unlock()
	if executed {
		return nil
	}
	if !known {
		return fmt.Errorf("platform: VM %q does not exist", name)
	}
	if reboot == nil {
		return nil
	}
	return reboot(ctx, name)
}
