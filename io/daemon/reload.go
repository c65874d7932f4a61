package daemon

import (
	"slices"
	"time"

	"papayaspoke/core/coordination/membership"
	"papayaspoke/io/settings"
)

// Reload applies the settings that may change while the daemon runs, which are
// the seed addresses. It does not affect requests in flight. Other differences
// are logged and take effect at the next start. A reload that an operator has
// requested is logged even if nothing has changed.
func (d *Daemon) Reload(s settings.Settings, requested bool) {
	old := d.settings
	seeds := make([]string, 0, len(s.Peers()))
	for _, p := range s.Peers() {
		seeds = append(seeds, p.String())
	}
	d.ctl.post(func(now time.Time) {
		if slices.Equal(d.ctl.seeds, seeds) && !requested {
			return
		}
		d.log.Info("settings reloaded", "seeds", seeds, "asked", requested, "restart", old.NeedsRestart(s))
		d.ctl.seeds = seeds
		d.ctl.stepMembers(now, membership.Seeds{Peers: seeds})
	})
}
