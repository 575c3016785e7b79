package deployment

import "time"

// With LongFlows, a flow lasts for up to a minute and carries some 16 KB/s to its caller.
const (
	requestsPerFlow     = 20
	requestPause        = 100 * time.Millisecond
	longRequestsPerFlow = 900
	longRequestPause    = 50 * time.Millisecond
	longAnswerPadding   = 800
)

func (d *Deployment) requestsPerFlow() int {
	if d.config.LongFlows {
		return longRequestsPerFlow
	}
	return requestsPerFlow
}

func (d *Deployment) requestPause() time.Duration {
	if d.config.RequestPause > 0 {
		return d.config.RequestPause
	}
	if d.config.LongFlows {
		return longRequestPause
	}
	return requestPause
}

func (d *Deployment) answerPadding() int {
	if d.config.LongFlows {
		return longAnswerPadding
	}
	return 0
}

// SetRequestPause sets the pause between two requests of a flow.
func (d *Deployment) SetRequestPause(pause time.Duration) {
	for _, c := range d.Callers {
		c.SetPause(pause)
	}
}
