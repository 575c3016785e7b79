package main

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bluebelldyke/bluebelldyke/tests/harness/deployment"
)

// TestStable guards against faults that excuse resets for longer than they disturb, or by another daemon.
func TestStable(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1_800_000_000, 0)
	paused, other := &deployment.Daemon{}, &deployment.Daemon{}
	s := disturbances{daemons: map[*deployment.Daemon]time.Time{paused: now}}
	g.Expect(s.isStable(now, other)).To(BeTrue())
	g.Expect(s.isStable(now.Add(stableTime-1), paused)).To(BeFalse())
	g.Expect(s.isStable(now.Add(stableTime), paused)).To(BeTrue())
	s.recordFault(now, "pause", nil)
	g.Expect(s.isStable(now, other)).To(BeTrue())
	s.recordFault(now, "compact", nil)
	g.Expect(s.isStable(now.Add(watchGap+stableTime-1), other)).To(BeFalse())
	g.Expect(s.isStable(now.Add(watchGap+stableTime), other)).To(BeTrue())
}
