package caller_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bluebelldyke/bluebelldyke/caller"
	"github.com/bluebelldyke/bluebelldyke/modules/framer"
)

func openedDatagram(token string) framer.Datagram {
	return framer.Datagram{Kind: framer.KindOpened, Token: []byte(token)}
}

func readingDatagram(n uint64) framer.Datagram {
	return framer.Datagram{Kind: framer.KindReading, Seq: n, Payload: fmt.Appendf(nil, "r%d", n)}
}

// expectReadings checks that the next readings of the feed have the numbers from and to, and those between, in order.
func expectReadings(t *testing.T, feed *caller.Feed, from, to uint64) {
	t.Helper()
	g := NewWithT(t)
	for n := from; n <= to; n++ {
		r, err := feed.Next(contextWithTimeout(t, 3*time.Second))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(r).To(Equal(caller.Reading{Number: n, Payload: fmt.Appendf(nil, "r%d", n)}))
	}
}

// TestFeedMoves guards against gaps and duplicates while a feed moves because of a move datagram. The replaced flow, and no
// other, is closed by the move.
func TestFeedMoves(t *testing.T) {
	g := NewWithT(t)
	opens := 0
	f := newFakeService(t, func(f *fakeService, d receivedDatagram) {
		switch {
		case d.Kind == framer.KindOpenFeed:
			if opens++; opens == 1 {
				f.reply(d, openedDatagram("one"))
				for _, n := range []uint64{7, 9, 8, 8, 11, 10} {
					f.reply(d, readingDatagram(n))
				}
				f.reply(d, framer.Datagram{Kind: framer.KindMove})
				f.reply(d, framer.Datagram{Kind: framer.KindMove})
				return
			}
			f.reply(d, openedDatagram("two"))
			f.reply(d, readingDatagram(11)) // a duplicate
			f.reply(d, readingDatagram(12))
		case d.Kind == framer.KindFeed && string(d.Token) == "two" && d.Seq >= 12:
			f.reply(d, readingDatagram(d.Seq+1))
		}
	})
	c := newCaller(t, f, func(c *caller.Config) { c.RetransmitDelay = time.Second }) // no open-feed datagram is retransmitted
	feed, err := c.OpenFeed(contextWithTimeout(t, time.Second), "oven 3")
	g.Expect(err).NotTo(HaveOccurred())
	expectReadings(t, feed, 7, 13)
	stats := feed.Stats()
	g.Expect(stats.Moves).To(Equal(1))
	g.Expect(stats.Reopens).To(BeZero())
	g.Expect(stats.Duplicates).To(Equal(2))
	openFeeds := f.receivedKind(framer.KindOpenFeed)
	g.Expect(openFeeds).To(HaveLen(2))
	g.Expect(openFeeds[1].Seq).To(BeEquivalentTo(11))
	g.Expect(openFeeds[1].CallID).NotTo(Equal(openFeeds[0].CallID))
	g.Eventually(func() int { return len(f.receivedKind(framer.KindCloseFeed)) }, "2s").Should(Equal(2))
	for _, d := range f.receivedKind(framer.KindCloseFeed) {
		g.Expect(string(d.Token)).To(Equal("one"))
	}
	g.Expect(feed.Close()).To(Succeed())
	g.Eventually(func() int { return len(f.receivedKind(framer.KindCloseFeed)) }, "2s").Should(Equal(3))
	_, err = feed.Next(context.Background())
	g.Expect(caller.IsErrClosed(err)).To(BeTrue())
}

// TestFeedReopens guards against a feed that delivers no more readings after an ended datagram, after the loss of its backend
// server, or after a gap that its backend server never fills.
func TestFeedReopens(t *testing.T) {
	for _, failure := range []string{"ended", "silent", "gap"} {
		t.Run(failure, func(t *testing.T) {
			g := NewWithT(t)
			opens := 0
			f := newFakeService(t, func(f *fakeService, d receivedDatagram) {
				if d.Kind == framer.KindOpenFeed {
					opens++
					f.reply(d, openedDatagram(fmt.Sprint("token ", opens)))
					f.reply(d, readingDatagram(d.Seq+1))
					if failure == "ended" && opens == 1 {
						f.reply(d, framer.Datagram{Kind: framer.KindEnded, Token: []byte("another")})
						f.reply(d, framer.Datagram{Kind: framer.KindEnded, Token: []byte("token 1")})
					}
				}
				if d.Kind == framer.KindFeed && failure == "gap" && opens == 1 {
					f.reply(d, readingDatagram(3))
				}
			})
			c := newCaller(t, f, func(c *caller.Config) { c.IdleTimeout = 600 * time.Millisecond })
			feed, err := c.OpenFeed(contextWithTimeout(t, time.Second), "oven 3")
			g.Expect(err).NotTo(HaveOccurred())
			expectReadings(t, feed, 1, 2)
			g.Expect(feed.Stats().Reopens).To(Equal(1))
			g.Expect(feed.Stats().Moves).To(BeZero())
			// The feed may have retransmitted its first opening packet too, if the answer was late.
			opened := f.receivedKind(framer.KindOpenFeed)
			g.Expect(opened[len(opened)-1].Seq).To(BeEquivalentTo(1))
		})
	}
}

// TestFeedAcks guards against missing acknowledgements after 8 readings, and against unbounded memory when Next is not called.
func TestFeedAcks(t *testing.T) {
	g := NewWithT(t)
	f := newFakeService(t, func(f *fakeService, d receivedDatagram) {
		if d.Kind == framer.KindOpenFeed {
			f.reply(d, openedDatagram("one"))
		}
		if d.Kind == framer.KindOpenFeed || d.Kind == framer.KindFeed {
			for n := d.Seq + 1; n <= d.Seq+8; n++ {
				f.reply(d, readingDatagram(n))
			}
		}
	})
	c := newCaller(t, f, nil)
	feed, err := c.OpenFeed(contextWithTimeout(t, time.Second), "oven 3")
	g.Expect(err).NotTo(HaveOccurred())
	lastAcked := func() uint64 {
		acks := f.receivedKind(framer.KindFeed)
		if len(acks) == 0 {
			return 0
		}
		return acks[len(acks)-1].Seq
	}
	g.Eventually(lastAcked, "2s").Should(BeEquivalentTo(256))
	g.Consistently(lastAcked, "600ms").Should(BeEquivalentTo(256))
	expectReadings(t, feed, 1, 300)
	g.Expect(feed.Stats().Reopens).To(BeZero())
}

// TestOpenFeedFails guards against an opening that never returns when it is refused or unanswered.
func TestOpenFeedFails(t *testing.T) {
	g := NewWithT(t)
	f := newFakeService(t, func(f *fakeService, d receivedDatagram) {
		if d.Kind == framer.KindOpenFeed && string(d.Payload) == "refused" {
			f.reply(d, framer.Datagram{Kind: framer.KindRefused, Cause: framer.CauseWrongService})
		}
	})
	c := newCaller(t, f, nil)
	_, err := c.OpenFeed(contextWithTimeout(t, time.Second), "refused")
	g.Expect(caller.IsErrRefused(err)).To(BeTrue())
	_, err = c.OpenFeed(contextWithTimeout(t, 100*time.Millisecond), "unanswered")
	g.Expect(err).To(MatchError(context.DeadlineExceeded))
	g.Expect(len(f.receivedKind(framer.KindOpenFeed))).To(BeNumerically(">=", 3))
}
