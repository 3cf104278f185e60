package jobnode

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestTemplateRendersSettings guards against a template for the users' platform that renders settings which a node rejects, or assigns a bound to
// the wrong setting.
func TestTemplateRendersSettings(t *testing.T) {
	text, err := os.ReadFile("../deploy/settings.yaml.tmpl")
	require.NoError(t, err)
	values := map[string]string{
		"node_name|json": `"edge-1"`, "zone|json": `"z"`, "bind_addrs.frontend": "10.1.0.23:8340", "bind_addrs.readiness": "10.1.0.23:8343",
		"platform.address": "10.200.1.7:8344", "cloud_api.address": "10.200.0.82:8344", "limits.cpu_share": "0.4", "limits.memory_mb": "284", "limits.max_fds": "4100", "bounds.revoke_ms": "5000",
		"bounds.hold_max_ms": "6000", "bounds.grace_s": "6", "bounds.early_ms": "250", "bounds.lease_ms": "3000", "bounds.notice_ms": "4500",
		"bounds.maintenance_s": "2", "bounds.migrate_s": "1.5", "bounds.evacuate_ms": "5000", "cloud_api.duty_per_s": "64.0",
		"ip": "10.1.0.23", "internal_ports.0": "7000", "recommendation": "10.200.1.9:8344",
	}
	rendered := regexp.MustCompile(`\{\{[^}]*\}\}`).ReplaceAllStringFunc(string(text), func(placeholder string) string {
		if strings.HasPrefix(placeholder, "{{#") || strings.HasPrefix(placeholder, "{{/") {
			return "" // a section whose value is present
		}
		value, ok := values[strings.Trim(placeholder, "{}")]
		require.True(t, ok, placeholder)
		return value
	})
	path := filepath.Join(t.TempDir(), "settings.yaml")
	require.NoError(t, os.WriteFile(path, []byte(rendered), 0o600))
	s, err := LoadSettings(path)
	require.NoError(t, err)
	assert.Equal(t, "edge-1", s.Name)
	assert.InDelta(t, 0.4, s.Cores, 0)
	assert.Equal(t, 284, s.MemoryMB)
	assert.Equal(t, 4100, s.Descriptors)
	assert.InDelta(t, 64, s.MachineOrderRate, 0)
	assert.Equal(t, "10.200.1.9:8344", s.PolicyAddress.String())
	assert.Equal(t, "10.1.0.23:7000", s.PeerAddress.String())
	assert.Equal(t, 6*time.Second, s.Bounds.MaxLease)
	assert.Equal(t, 5*time.Second, s.Bounds.Evacuate)
	assert.Equal(t, 2*time.Second, s.Bounds.UpkeepDuration)
	assert.Equal(t, "10.200.0.82:8344", s.MachinesAddress.String())
}
