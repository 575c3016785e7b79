package catcher_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/bluebelldyke/bluebelldyke/modules/catcher"
)

func ExampleCatcher_RunErr() {
	c, _ := catcher.New(catcher.Config{})
	var documents []string
	err := c.RunErr("document", func() error { return fmt.Errorf("no document %s", documents[0]) })
	fmt.Println(catcher.IsErrPanic(err), c.RunErr("document", func() error { return nil }), c.Counts())
	// Output: true <nil> map[document:1]
}

// TestLogLimit guards against a line for each of many panics, and against a panic without its stack in the log.
func TestLogLimit(t *testing.T) {
	g := NewWithT(t)
	core, logs := observer.New(zap.InfoLevel)
	c, err := catcher.New(catcher.Config{Logger: zap.New(core)})
	g.Expect(err).NotTo(HaveOccurred())
	for i := range 1000 {
		g.Expect(c.Run("datagram", func() {
			_ = make([]int, i)[i]
		})).To(BeFalse())
	}
	g.Expect(c.Run("tick", func() { panic("queue") })).To(BeFalse())
	g.Expect(c.Counts()).To(Equal(map[string]uint64{"datagram": 1000, "tick": 1}))
	g.Expect(logs.All()).To(HaveLen(2))
	g.Expect(logs.All()[0].ContextMap()).To(HaveKeyWithValue("stack", ContainSubstring("TestLogLimit")))
}

// TestNil guards against a component without a Catcher that a panic ends.
func TestNil(t *testing.T) {
	var c *catcher.Catcher
	g := NewWithT(t)
	g.Expect(c.Run("datagram", func() { panic("x") })).To(BeFalse())
	g.Expect(c.Run("datagram", func() {})).To(BeTrue())
	g.Expect(c.Counts()).To(BeEmpty())
}

// BenchmarkRun measures what a Catcher costs each datagram; it must not allocate.
func BenchmarkRun(b *testing.B) {
	c, _ := catcher.New(catcher.Config{})
	n := 0
	b.ReportAllocs()
	for b.Loop() {
		c.Run("datagram", func() { n++ })
	}
}
