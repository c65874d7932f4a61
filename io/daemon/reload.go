package daemon

import (
	"slices"
	"time"

	"papayaspoke/core/coordination/membership"
	"papayaspoke/io/settings"
)

// Reload takes up what may change while the daemon runs: the addresses to join
// through. Nothing in flight is touched. Anything else that differs is told in
// the log and takes effect at the next start. A reload that was asked for is
// logged even if nothing has changed.
func (d *Daemon) Reload(s settings.Settings, asked bool) {
	old := d.settings
	seeds := make([]string, 0, len(s.Peers()))
	for _, p := range s.Peers() {
		seeds = append(seeds, p.String())
	}
	d.ctl.post(func(now time.Time) {
		if slices.Equal(d.ctl.seeds, seeds) && !asked {
			return
		}
		d.log.Info("settings reloaded", "seeds", seeds, "asked", asked, "restart", old.NeedsRestart(s))
		d.ctl.seeds = seeds
		d.ctl.stepMembers(now, membership.Seeds{Peers: seeds})
	})
}
