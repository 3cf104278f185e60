package platform

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"example.org/comfreyrouter/logclient"
)

// seenVM is the state of a VM from one time on.
type seenVM struct {
	at time.Time
	vm logclient.VM
}

// SetVM adds a VM or changes it. The list shows it after the lag.
func (c *Core) SetVM(vm logclient.VM) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.vms[vm.Name] = append(c.vms[vm.Name], seenVM{at: c.clock.Now(), vm: vm})
}

// SetListLag changes how far the list of VMs lags.
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

// VMs returns the list of VMs, sorted by name, as it was one lag ago.
func (c *Core) VMs(ctx context.Context, caller Caller) ([]logclient.VM, error) {
	if err := c.pass(ctx, caller); err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	seenBy := c.clock.Now().Add(-c.options.ListLag)
	list := []logclient.VM{}
	for _, name := range slices.Sorted(maps.Keys(c.vms)) {
		history := c.vms[name]
		for _, seen := range slices.Backward(history) {
			if !seen.at.After(seenBy) {
				list = append(list, seen.vm)
				break
			}
		}
	}
	return list, nil
}

// Reboot reboots a VM through the function of the options, once for each key. An empty key is never remembered.
func (c *Core) Reboot(ctx context.Context, caller Caller, name, key string) error {
	if err := c.pass(ctx, caller); err != nil {
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
