package daemon

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"golang.org/x/sync/errgroup"

	"github.com/bluebelldyke/bluebelldyke/models/settings"
	"github.com/bluebelldyke/bluebelldyke/models/view"
	"github.com/bluebelldyke/bluebelldyke/services/scheduler"
)

// TestLateQuery guards against a query that the decision goroutine runs after its timeout and that writes into a result in use (-race).
func TestLateQuery(t *testing.T) {
	g := NewWithT(t)
	d := &decider{rings: newRings(), scheduler: scheduler.New(scheduler.Config{}), current: view.New(&settings.Tree{Services: []settings.Service{{Name: "a"}}}, nil)}
	s := &status{decider: d}
	var group errgroup.Group
	group.Go(func() error {
		time.Sleep(queryTimeout)
		query := <-d.queries.Items()
		query(time.Now())
		return nil
	})
	for end := time.Now().Add(queryTimeout + 100*time.Millisecond); time.Now().Before(end); {
		g.Expect(s.imbalance()).To(Equal(1.0))
	}
	g.Expect(group.Wait()).To(Succeed())
}
