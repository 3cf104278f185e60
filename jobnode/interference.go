package jobnode

import (
	"fmt"
	"strings"

	"example.org/comfreyrouter/dispatch"
	"example.org/comfreyrouter/events"
	"example.org/comfreyrouter/interference"
)

// interference answers an operator's query for the pairs of images whose tasks slow each other down.
func (d *dispatcher) interference([]byte) (any, error) {
	var pairs []interference.Pair
	d.update(func(c *dispatch.Core) { pairs = c.Interference() })
	return pairs, nil
}

// reportInterference logs the pairs of images whose tasks slow each other down and sets their metric, if they have changed.
func (d *dispatcher) reportInterference() {
	var pairs []interference.Pair
	changed := false
	d.update(func(c *dispatch.Core) { pairs, changed = c.TakeInterferenceChange() })
	if !changed {
		return
	}
	list := make([]string, len(pairs))
	d.node.metrics.interference.Reset()
	for i, p := range pairs {
		list[i] = fmt.Sprintf("%s beside %s: %.2f", p.Image, p.Beside, p.Factor)
		d.node.metrics.interference.WithLabelValues(p.Image, p.Beside).Set(p.Factor)
	}
	events.Log(d.log, events.InterferenceChanged, strings.Join(list, ", "))
}
