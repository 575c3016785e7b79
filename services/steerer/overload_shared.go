package steerer

import (
	"net/netip"
	"time"

	"github.com/bluebelldyke/bluebelldyke/services/admitter"
)

// AdmissionReport is what a daemon reports about the delays of a service.
type AdmissionReport struct {
	Service string
	admitter.Report
}

// TakeAdmissionReports returns the reports that other daemons of the availability zone should get, nil while no service has long delays.
func (s *Steerer) TakeAdmissionReports(now time.Time) []AdmissionReport {
	if !s.config.Admission.Shared {
		return nil
	}
	var list []AdmissionReport
	for _, a := range s.admission.services {
		a.expireAwaited(now)
		if r, ok := a.TakeReport(now); ok {
			list = append(list, AdmissionReport{a.service, r})
		}
	}
	return list
}

// AddAdmissionReport applies the report of another daemon of the availability zone.
func (s *Steerer) AddAdmissionReport(now time.Time, from netip.AddrPort, r AdmissionReport) {
	if !s.config.Admission.Shared {
		return
	}
	for _, a := range s.admission.services {
		if a.service == r.Service {
			a.AddReport(now, from, r.Report)
		}
	}
}
