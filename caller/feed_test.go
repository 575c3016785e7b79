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

func opened(token string) framer.Datagram {
	return framer.Datagram{Kind: framer.KindOpened, Token: []byte(token)}
}

func reading(n uint64) framer.Datagram {
	return framer.Datagram{Kind: framer.KindReading, Seq: n, Payload: fmt.Appendf(nil, "r%d", n)}
}

func expectReadings(t *testing.T, feed *caller.Feed, from, to uint64) {
	t.Helper()
	g := NewWithT(t)
	for n := from; n <= to; n++ {
		r, err := feed.Next(within(t, 3*time.Second))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(r).To(Equal(caller.Reading{Number: n, Payload: fmt.Appendf(nil, "r%d", n)}))
	}
}

// TestFeedMoves guards against gaps, repeats and a closed old flow while a feed moves by hint.
func TestFeedMoves(t *testing.T) {
	g := NewWithT(t)
	opens := 0
	f := newFake(t, func(f *fakeService, d received) {
		switch {
		case d.Kind == framer.KindOpenFeed:
			if opens++; opens == 1 {
				f.reply(d, opened("one"))
				for _, n := range []uint64{7, 9, 8, 8, 11, 10} {
					f.reply(d, reading(n))
				}
				f.reply(d, framer.Datagram{Kind: framer.KindMove})
				f.reply(d, framer.Datagram{Kind: framer.KindMove})
				return
			}
			f.reply(d, opened("two"))
			f.reply(d, reading(11)) // a repeat
			f.reply(d, reading(12))
		case d.Kind == framer.KindFeed && string(d.Token) == "two" && d.Seq >= 12:
			f.reply(d, reading(d.Seq+1))
		}
	})
	c := newCaller(t, f, nil)
	feed, err := c.OpenFeed(within(t, time.Second), "oven 3")
	g.Expect(err).NotTo(HaveOccurred())
	expectReadings(t, feed, 7, 13)
	s := feed.Stats()
	g.Expect(s.Moves).To(Equal(1))
	g.Expect(s.Reopens).To(BeZero())
	g.Expect(s.Resent).To(Equal(2))
	list := f.got(framer.KindOpenFeed)
	g.Expect(list).To(HaveLen(2))
	g.Expect(list[1].Seq).To(BeEquivalentTo(11))
	g.Expect(list[1].CallID).NotTo(Equal(list[0].CallID))
	g.Eventually(func() int { return len(f.got(framer.KindCloseFeed)) }, "2s").Should(Equal(2))
	for _, d := range f.got(framer.KindCloseFeed) {
		g.Expect(string(d.Token)).To(Equal("one"))
	}
	g.Expect(feed.Close()).To(Succeed())
	g.Eventually(func() int { return len(f.got(framer.KindCloseFeed)) }, "2s").Should(Equal(3))
	_, err = feed.Next(context.Background())
	g.Expect(caller.IsErrClosed(err)).To(BeTrue())
}

// TestFeedReopens guards against a feed that stays silent after ended, after the loss of its backend server, or on a
// gap that its backend server never closes.
func TestFeedReopens(t *testing.T) {
	for _, how := range []string{"ended", "silent", "gap"} {
		t.Run(how, func(t *testing.T) {
			g := NewWithT(t)
			opens := 0
			f := newFake(t, func(f *fakeService, d received) {
				if d.Kind == framer.KindOpenFeed {
					opens++
					f.reply(d, opened(fmt.Sprint("token ", opens)))
					f.reply(d, reading(d.Seq+1))
					if how == "ended" && opens == 1 {
						f.reply(d, framer.Datagram{Kind: framer.KindEnded, Token: []byte("another")})
						f.reply(d, framer.Datagram{Kind: framer.KindEnded, Token: []byte("token 1")})
					}
				}
				if d.Kind == framer.KindFeed && how == "gap" && opens == 1 {
					f.reply(d, reading(3))
				}
			})
			c := newCaller(t, f, func(c *caller.Config) { c.Silence = 600 * time.Millisecond })
			feed, err := c.OpenFeed(within(t, time.Second), "oven 3")
			g.Expect(err).NotTo(HaveOccurred())
			expectReadings(t, feed, 1, 2)
			g.Expect(feed.Stats().Reopens).To(Equal(1))
			g.Expect(feed.Stats().Moves).To(BeZero())
			g.Expect(f.got(framer.KindOpenFeed)[1].Seq).To(BeEquivalentTo(1))
		})
	}
}

// TestFeedAcks guards against acknowledgements that are missing after 8 readings, and against unbounded memory when
// nobody takes the readings.
func TestFeedAcks(t *testing.T) {
	g := NewWithT(t)
	f := newFake(t, func(f *fakeService, d received) {
		if d.Kind == framer.KindOpenFeed {
			f.reply(d, opened("one"))
		}
		if d.Kind == framer.KindOpenFeed || d.Kind == framer.KindFeed {
			for n := d.Seq + 1; n <= d.Seq+8; n++ {
				f.reply(d, reading(n))
			}
		}
	})
	c := newCaller(t, f, nil)
	feed, err := c.OpenFeed(within(t, time.Second), "oven 3")
	g.Expect(err).NotTo(HaveOccurred())
	last := func() uint64 {
		list := f.got(framer.KindFeed)
		if len(list) == 0 {
			return 0
		}
		return list[len(list)-1].Seq
	}
	g.Eventually(last, "2s").Should(BeEquivalentTo(256))
	g.Consistently(last, "600ms").Should(BeEquivalentTo(256))
	expectReadings(t, feed, 1, 300)
	g.Expect(feed.Stats().Reopens).To(BeZero())
}

// TestOpenFeedFails guards against an opening that hangs when it is refused or nobody answers.
func TestOpenFeedFails(t *testing.T) {
	g := NewWithT(t)
	f := newFake(t, func(f *fakeService, d received) {
		if d.Kind == framer.KindOpenFeed && string(d.Payload) == "refused" {
			f.reply(d, framer.Datagram{Kind: framer.KindRefused, Cause: framer.CauseWrongService})
		}
	})
	c := newCaller(t, f, nil)
	_, err := c.OpenFeed(within(t, time.Second), "refused")
	g.Expect(caller.IsErrRefused(err)).To(BeTrue())
	_, err = c.OpenFeed(within(t, 100*time.Millisecond), "unanswered")
	g.Expect(err).To(MatchError(context.DeadlineExceeded))
	g.Expect(len(f.got(framer.KindOpenFeed))).To(BeNumerically(">=", 3))
}
