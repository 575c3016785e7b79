package recorder

import (
	"fmt"
	"time"

	"go.uber.org/zap"

	"github.com/bluebelldyke/bluebelldyke/services/auditor"
	"github.com/bluebelldyke/bluebelldyke/services/steerer"
)

// MessageAdmission is the message of a change between the states overloaded and normal of a service. services/explainer matches it.
const MessageAdmission = "admission control"

// LogAdmission logs the services whose state of admission control has changed.
func (r *Recorder) LogAdmission(services []steerer.ServiceAdmission) {
	for i := range services {
		a := &services[i]
		if a.Overloaded == r.overloaded[a.Service] {
			continue
		}
		r.overloaded[a.Service] = a.Overloaded
		if r.c.Audit != nil {
			r.c.Audit.Record(admissionEntry(time.Now(), a))
		}
		state := "normal"
		if a.Overloaded {
			state = "overloaded"
		}
		r.c.Logger.Info(MessageAdmission, zap.String("service", a.Service), zap.String("state", state), zap.Float64("signal", a.Signal),
			zap.Duration("delay", a.Delay), zap.Float64("level", a.Level), zap.Int("waiting", a.Waiting))
	}
}

// AuditTrail records changes of the state of a daemon.
type AuditTrail interface{ Record(auditor.Entry) }

// admissionEntry returns the audit entry of a service whose state has changed.
func admissionEntry(now time.Time, a *steerer.ServiceAdmission) auditor.Entry {
	cause := "normal"
	if a.Overloaded {
		cause = fmt.Sprintf("overloaded: responses take %s, %.2f of the target latency", a.Delay.Round(time.Millisecond), a.Signal)
	}
	return auditor.Entry{Time: now, Document: "admission of " + a.Service, Source: "daemon", Outcome: auditor.Applied, Cause: cause}
}
