package steerer

import "time"

const (
	// loadBucket is the time after which a request without a visible answer begins to count as done. Callers acknowledge
	// only every second packet, so that a short answer is not seen; most work takes 5 to 30 ms, and a full queue 120 ms.
	loadBucket = 100 * time.Millisecond
	// waitingWeight is how many open flows a waiting request weighs: a flow is idle most of the time.
	waitingWeight = 2
)

// load estimates the requests that wait at a backend server: those sent in the current bucket of time and in the one
// before, less those that were answered.
type load struct {
	bucket            int64
	current, previous int
}

func (l *load) advance(now time.Time) {
	bucket := now.UnixNano() / int64(loadBucket)
	switch bucket {
	case l.bucket:
		return
	case l.bucket + 1:
		l.previous, l.current = l.current, 0
	default:
		l.previous, l.current = 0, 0
	}
	l.bucket = bucket
}

// sent counts a request.
func (l *load) sent(now time.Time) {
	l.advance(now)
	l.current++
}

// done counts an answer.
func (l *load) done(now time.Time) {
	l.advance(now)
	if l.previous > 0 {
		l.previous--
	} else if l.current > 0 {
		l.current--
	}
}

// waiting returns the number of requests that wait.
func (l *load) waiting(now time.Time) int {
	l.advance(now)
	return l.current + l.previous
}

// progressBuckets is for how many times loadBucket a request without a visible answer counts as in progress: a full queue of ten requests
// for two slots takes 0.2 s, and 0.4 s when the backend server has just started.
const progressBuckets = 4

// progress counts the requests in progress at a backend server. Unlike load it ends each one by the time when it was sent, so that it
// holds while answers take longer than requests keep coming; placement needs no more than load.
type progress struct {
	last   int64
	counts [progressBuckets]int
}

// bucketOf returns the bucket of a time, after the buckets that are too old were emptied.
func (p *progress) bucketOf(now, at time.Time) (*int, bool) {
	current := now.UnixNano() / int64(loadBucket)
	for ; p.last < current && current-p.last <= progressBuckets; p.last++ {
		p.counts[(p.last+1)%progressBuckets] = 0
	}
	if p.last < current {
		p.last, p.counts = current, [progressBuckets]int{}
	}
	b := at.UnixNano() / int64(loadBucket)
	return &p.counts[b%progressBuckets], current-b < progressBuckets
}

// began counts a request.
func (p *progress) began(now time.Time) {
	count, _ := p.bucketOf(now, now)
	*count++
}

// ended counts a request that was sent at the time no longer.
func (p *progress) ended(now, sent time.Time) {
	if count, ok := p.bucketOf(now, sent); ok && *count > 0 {
		*count--
	}
}

// inProgress returns the number of requests in progress.
func (p *progress) inProgress(now time.Time) int {
	p.bucketOf(now, now)
	sum := 0
	for _, n := range p.counts {
		sum += n
	}
	return sum
}
