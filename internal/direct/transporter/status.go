package transporter

import (
	"time"

	"github.com/bluebelldyke/bluebelldyke/services/steerer"
)

// Status describes what the Steerer knows about backend servers, and its admission control.
type Status struct {
	Servers   []steerer.ServerStatus
	Admission []steerer.ServiceAdmission
	// EndedFlows is the number of established flows that were reset because their backend server was lost.
	EndedFlows uint64
}

// Status returns the state for operators. It holds up packets for the time to copy the list of backend servers.
func (t *Transporter) Status() Status {
	status := Status{EndedFlows: t.counts.lostFlows()}
	t.guarded(readBoundary, func(now time.Time) {
		status.Servers, status.Admission = t.c.Steerer.ServerStates(now), t.c.Steerer.AdmissionServices()
	})
	return status
}
