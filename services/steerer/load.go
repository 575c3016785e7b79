package steerer

import "time"

const (
	// loadBucket is the time after which a request without a visible answer begins to count as done. Callers acknowledge
	// only every second packet, so that a short answer is not seen; most work takes 5 to 30 ms, and a full queue 120 ms.
	bucketDuration = 100 * time.Millisecond
	// waitingWeight is how many open flows a waiting request weighs: a flow is idle most of the time.
	waitingRequestWeight = 2
)

// load estimates the requests that wait at a backend server: those sent in the current bucket of time and in the one
// before, less those that were answered.
type recentRequests struct {
	currentBucket     int64
	current, previous int
}

func (l *recentRequests) rotate(now time.Time) {
	bucket := now.UnixNano() / int64(bucketDuration)
	switch bucket {
	case l.currentBucket:
		return
	case l.currentBucket + 1:
		l.previous, l.current = l.current, 0
	default:
		l.previous, l.current = 0, 0
	}
	l.currentBucket = bucket
}

// sent counts a request.
func (l *recentRequests) requestSent(now time.Time) {
	l.rotate(now)
	l.current++
}

// done counts an answer.
func (l *recentRequests) requestAnswered(now time.Time) {
	l.rotate(now)
	if l.previous > 0 {
		l.previous--
	} else if l.current > 0 {
		l.current--
	}
}

// waiting returns the number of requests that wait.
func (l *recentRequests) waitingRequests(now time.Time) int {
	l.rotate(now)
	return l.current + l.previous
}

// progressBuckets is for how many times loadBucket a request without a visible answer counts as in progress: a full queue of ten requests
// for two slots takes 0.2 s, and 0.4 s when the backend server has just started.
const inProgressBuckets = 4

// progress counts the requests in progress at a backend server. Unlike load it ends each one by the time when it was sent, so that it
// holds while answers take longer than requests keep coming; placement needs no more than load.
type requestsInProgress struct {
	newestBucket int64
	counts       [inProgressBuckets]int
}

// bucketOf returns the bucket of a time, after the buckets that are too old were emptied.
func (p *requestsInProgress) bucketOf(now, sentAt time.Time) (*int, bool) {
	current := now.UnixNano() / int64(bucketDuration)
	for ; p.newestBucket < current && current-p.newestBucket <= inProgressBuckets; p.newestBucket++ {
		p.counts[(p.newestBucket+1)%inProgressBuckets] = 0
	}
	if p.newestBucket < current {
		p.newestBucket, p.counts = current, [inProgressBuckets]int{}
	}
	bucket := sentAt.UnixNano() / int64(bucketDuration)
	return &p.counts[bucket%inProgressBuckets], current-bucket < inProgressBuckets
}

// began counts a request.
func (p *requestsInProgress) requestStarted(now time.Time) {
	count, _ := p.bucketOf(now, now)
	*count++
}

// ended counts a request that was sent at the time no longer.
func (p *requestsInProgress) requestEnded(now, sentAt time.Time) {
	if count, ok := p.bucketOf(now, sentAt); ok && *count > 0 {
		*count--
	}
}

// inProgress returns the number of requests in progress.
func (p *requestsInProgress) inProgress(now time.Time) int {
	p.bucketOf(now, now)
	sum := 0
	for _, n := range p.counts {
		sum += n
	}
	return sum
}
