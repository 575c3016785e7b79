package reporter_test

import (
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/bluebelldyke/bluebelldyke/internal/direct/reporter"
	"github.com/bluebelldyke/bluebelldyke/services/inquirer"
)

// flowTable records the queries and the replies that reach a daemon.
type flowTable struct {
	mu      sync.Mutex
	queries []inquirer.Query
	replies map[netip.AddrPort]inquirer.Reply
	unable  bool
	holds   []time.Duration
}

func (f *flowTable) AnswerQuery(q *inquirer.Query) (inquirer.Reply, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.queries = append(f.queries, *q)
	r := inquirer.Reply{ID: q.ID, Memory: time.Minute, Members: 1<<64 - 1, Activity: inquirer.Activity{1<<64 - 1, 1<<64 - 1, 1<<64 - 1, 1}, Sightings: make([]inquirer.Sighting, len(q.Flows))}
	r.Sightings[0] = inquirer.Sighting{Seen: true, Idle: 1500 * time.Millisecond, Acknowledged: true, Acknowledgement: 1<<32 - 1}
	return r, !f.unable
}

func (f *flowTable) AddReply(from netip.AddrPort, r *inquirer.Reply) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.replies[from] = *r
}

func (f *flowTable) AddTakeover(_ netip.AddrPort, hold time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.holds = append(f.holds, hold)
}

// TestQueries guards against queries of the largest size that do not fit a datagram, and against replies that lose figures on the way.
func TestQueries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		z := newZone(3, 0)
		tables := make([]*flowTable, len(z.daemons))
		for i, d := range z.daemons {
			tables[i] = &flowTable{replies: map[netip.AddrPort]inquirer.Reply{}, unable: i == 2}
			d.Reporter = reporter.New(reporter.Config{Peers: d, Sink: d, Logger: zap.NewNop(), AvailabilityZone: "a", Flows: tables[i]})
			d.SetFollower(d.Follower)
		}
		query := inquirer.Query{ID: 1<<64 - 1}
		for i := range inquirer.MaxFlows {
			query.Flows = append(query.Flows, inquirer.Flow{Client: netip.MustParseAddrPort("[2001:db8::1]:1"), Route: netip.AddrPortFrom(netip.MustParseAddr("2001:db8::2"), uint16(i))})
		}
		z.daemons[0].SendQueries([]inquirer.Message{{To: z.daemons[1].address, Query: query}, {To: z.daemons[2].address, Query: query}})
		g.Expect(z.daemons[0].bytes).To(BeNumerically("<=", 2*1300))
		z.daemons[0].AnnounceTakeover(4 * time.Second)
		time.Sleep(time.Second)
		synctest.Wait()
		g.Expect(tables[1].queries).To(Equal([]inquirer.Query{query}))
		g.Expect(tables[2].holds).To(Equal([]time.Duration{4 * time.Second}))
		g.Expect(tables[0].replies).To(HaveLen(1), "the third daemon cannot answer")
		reply := tables[0].replies[z.daemons[1].address]
		g.Expect(reply.ID).To(Equal(query.ID))
		g.Expect(reply.Memory).To(Equal(time.Minute))
		g.Expect(reply.Members).To(Equal(uint64(1<<64 - 1)))
		g.Expect(reply.Activity).To(Equal(inquirer.Activity{1<<64 - 1, 1<<64 - 1, 1<<64 - 1, 1}))
		g.Expect(reply.Sightings).To(HaveLen(inquirer.MaxFlows))
		g.Expect(reply.Sightings[0]).To(Equal(inquirer.Sighting{Seen: true, Idle: 1500 * time.Millisecond, Acknowledged: true, Acknowledgement: 1<<32 - 1}))
		g.Expect(reply.Sightings[1]).To(Equal(inquirer.Sighting{}))
	})
}
