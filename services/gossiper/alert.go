package gossiper

import (
	"time"

	"github.com/bluebelldyke/bluebelldyke/modules/packer"
)

// Fast detection of members that fail together, such as those of a rack. With one probe a second, a member of a zone of 60 is first probed
// after 1 s or more, and 20 failed ones are all known only after 13 s.
const (
	// alertTime is how long a daemon probes in each tick after a probe was late: that covers a zone of 60 members several times.
	alertTime = 2 * time.Second
	// alertProbeTimeout is when a probe without an answer fails while members fail: the direct probe takes 300 ms, the indirect one as long.
	alertProbeTimeout = 650 * time.Millisecond
	// minSuspicion is how long a member is suspect at least. Probes of suspect members carry the suspicion, so that a live one refutes it
	// with its answer.
	minSuspicion = 700 * time.Millisecond
	// confirmingProbes is the number of daemons of the zone that probe a member at once when they learn that it is suspect.
	confirmingProbes = 6
	// alertProbesPerSecond and alertBurst limit the further probes: without a limit, a loss of 20% of the datagrams made each daemon send 53
	// datagrams a second instead of 4. The burst covers three seconds of probes in each tick.
	alertProbesPerSecond = 0.5
	alertBurst           = 30
)

// raiseAlert makes this daemon probe in each tick for a while.
func (g *Gossiper) raiseAlert(now time.Time) {
	if g.cfg.FastDetection {
		g.alertUntil = now.Add(alertTime)
	}
}

// alertProbe probes one more member while members fail.
func (g *Gossiper) alertProbe(now time.Time) []Action {
	if !now.Before(g.alertUntil) {
		return nil
	}
	target, ok := g.nextTarget()
	if !ok || g.alertBudget.Take(now, 1) > 0 {
		return nil
	}
	return []Action{g.ping(now, target)}
}

// confirmSuspicion probes a member of the own zone that another daemon suspects, if this daemon is drawn for it.
func (g *Gossiper) confirmSuspicion(now time.Time, m packer.Member) []Action {
	if !g.cfg.FastDetection || m.State != packer.StateSuspect || m.AvailabilityZone != g.self.AvailabilityZone || g.cfg.Random.IntN(len(g.memberOrder)+1) >= confirmingProbes ||
		g.alertBudget.Take(now, 1) > 0 {
		return nil
	}
	return []Action{g.ping(now, m.Address)}
}

// recordConfirmed shortens the suspicion of a member that a probe of this daemon did not reach either.
func (g *Gossiper) recordConfirmed(now time.Time, m *member) {
	if !g.cfg.FastDetection {
		return
	}
	if deadline := m.suspectedAt.Add(minSuspicion); deadline.Before(m.deadline) {
		m.deadline = deadline
		if deadline.Before(g.nextExpiry) {
			g.nextExpiry = deadline
		}
	}
}
