package transporter

import (
	"time"

	"github.com/bluebelldyke/bluebelldyke/models/directory"
	"github.com/bluebelldyke/bluebelldyke/services/steerer"
)

// reportSoon makes runTicks take findings without waiting for the next tick if the evidence has changed, or if due is set. The caller holds mu.
func (t *Transporter) reportSoon(due bool) {
	if (t.c.Steerer.TakeEvidenceChanged() || due) && t.c.ReportAtOnce {
		t.wakeTicks()
	}
}

// wakeTicks makes runTicks do the periodic work without waiting for the next tick.
func (t *Transporter) wakeTicks() {
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

// Reference returns what is needed to probe a backend server.
func (t *Transporter) Reference(id directory.ServerID) (r steerer.Reference, ok bool) {
	t.guarded(readBoundary, func(now time.Time) { r, ok = t.c.Steerer.Reference(now, id) })
	return r, ok
}
