package scheduler_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/bluebelldyke/bluebelldyke/models/settings"
	"github.com/bluebelldyke/bluebelldyke/services/scheduler"
)

// TestSettingsPolicies guards against a policy that the settings validator accepts and the scheduler does not know, and
// against a default in the settings that differs from the scheduler's.
func TestSettingsPolicies(t *testing.T) {
	g := NewWithT(t)
	for _, name := range settings.Policies {
		_, err := scheduler.ParsePolicy(name)
		g.Expect(err).NotTo(HaveOccurred())
	}
	g.Expect(scheduler.ParsePolicy(settings.Defaults().Policy)).To(Equal(scheduler.DefaultPolicy()))
}
