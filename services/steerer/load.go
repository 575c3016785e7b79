package steerer

import "time"

const (
	// bucketDuration is the length of the time buckets in which requests are counted. A request without a visible answer counts
	// as answered after the bucket that follows its own. Callers acknowledge only every second packet, so a short answer may not
	// be visible; most requests take 5 to 30 ms, and 120 ms in a full queue.
	bucketDuration = 100 * time.Millisecond
	// waitingRequestWeight is the weight of a waiting request in open flows, which are idle most of the time.
	waitingRequestWeight = 2
)

// recentRequests estimates the requests that wait at a backend server: those forwarded in the current time bucket and in the
// previous one, less the answered ones.
type recentRequests struct {
	currentBucket     int64
	current, previous int
}

// rotate moves on to the bucket of the time now.
func (r *recentRequests) rotate(now time.Time) {
	bucket := now.UnixNano() / int64(bucketDuration)
	switch bucket {
	case r.currentBucket:
		return
	case r.currentBucket + 1:
		r.previous, r.current = r.current, 0
	default:
		r.previous, r.current = 0, 0
	}
	r.currentBucket = bucket
}

// recordRequestSent counts a forwarded request.
func (r *recentRequests) recordRequestSent(now time.Time) {
	r.rotate(now)
	r.current++
}

// recordRequestAnswered takes an answered request from the count, from the older bucket first.
func (r *recentRequests) recordRequestAnswered(now time.Time) {
	r.rotate(now)
	if r.previous > 0 {
		r.previous--
	} else if r.current > 0 {
		r.current--
	}
}

// waitingRequests returns the estimated number of waiting requests.
func (r *recentRequests) waitingRequests(now time.Time) int {
	r.rotate(now)
	return r.current + r.previous
}

// inProgressBuckets is the number of time buckets for which a request without a visible answer counts as in progress. A full
// queue of ten requests for two slots takes 0.2 s, and 0.4 s when the backend server has just started.
const inProgressBuckets = 4

// requestsInProgress counts the requests in progress at a backend server for admission control. Unlike recentRequests it takes an
// answered request from the bucket in which it was forwarded, so the count stays right when answers take longer than two buckets.
// Placement does not need this precision.
type requestsInProgress struct {
	newestBucket int64
	counts       [inProgressBuckets]int
}

// bucketOf clears the buckets that have expired and returns the count of the bucket of sentAt. The result is false when that
// bucket has expired too.
func (r *requestsInProgress) bucketOf(now, sentAt time.Time) (*int, bool) {
	current := now.UnixNano() / int64(bucketDuration)
	for ; r.newestBucket < current && current-r.newestBucket <= inProgressBuckets; r.newestBucket++ {
		r.counts[uint64(r.newestBucket+1)%inProgressBuckets] = 0
	}
	if r.newestBucket < current {
		r.newestBucket, r.counts = current, [inProgressBuckets]int{}
	}
	bucket := sentAt.UnixNano() / int64(bucketDuration)
	return &r.counts[uint64(bucket)%inProgressBuckets], current-bucket < inProgressBuckets
}

// recordRequestStarted counts a forwarded request.
func (r *requestsInProgress) recordRequestStarted(now time.Time) {
	count, _ := r.bucketOf(now, now)
	*count++
}

// recordRequestEnded takes an answered request, forwarded at sentAt, from the count.
func (r *requestsInProgress) recordRequestEnded(now, sentAt time.Time) {
	if count, ok := r.bucketOf(now, sentAt); ok && *count > 0 {
		*count--
	}
}

// inProgress returns the number of requests in progress.
func (r *requestsInProgress) inProgress(now time.Time) int {
	r.bucketOf(now, now)
	sum := 0
	for _, n := range r.counts {
		sum += n
	}
	return sum
}
