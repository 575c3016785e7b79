package steerer

import "time"

// recordLate records the requests that have no response after the share of the target latency at which overload begins, so that an overload
// shows before the first late responses arrive.
func (a *serviceAdmission) recordLate(now time.Time) {
	for ; a.checked < a.count; a.checked++ {
		r := &a.awaited[(a.oldest+a.checked)%awaitedRequests]
		due := r.sentAt.Add(a.LateAfter(r.route.class))
		if now.Before(due) {
			return
		}
		if r.unanswered() && a.RecordLate(due, r.route.class) {
			r.flow.admission.countedLate = true
		}
	}
}
