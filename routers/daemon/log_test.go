package daemon

import (
	"bytes"
	"context"
	"io"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rotisserie/eris"

	"github.com/bluebelldyke/bluebelldyke/modules/configurer"
)

// TestBlockedLog guards against a daemon that stops handling datagrams, or that does not end, because nothing reads its log.
func TestBlockedLog(t *testing.T) {
	g := NewWithT(t)
	reader, writer := io.Pipe()
	o, err := newLogOutput(configurer.Settings{Log: configurer.Log{Level: "debug", Format: "text"}}, writer)
	g.Expect(err).NotTo(HaveOccurred())
	began := time.Now()
	for range 10_000 {
		o.logger.Info("line")
	}
	o.end(t.Context(), nil)
	g.Expect(time.Since(began)).To(BeNumerically("<", 3*time.Second))
	g.Expect(reader.Close()).To(Succeed())
	g.Expect(o.group.Wait()).To(Succeed())
}

// TestLastLine guards against a daemon that ends without a log line that states the cause.
func TestLastLine(t *testing.T) {
	g := NewWithT(t)
	var out bytes.Buffer
	o, err := newLogOutput(configurer.Settings{Log: configurer.Log{Level: "error"}}, &out)
	g.Expect(err).NotTo(HaveOccurred())
	o.end(context.Background(), eris.New("no descriptors"))
	g.Expect(out.String()).To(And(ContainSubstring(`"daemon ends","cause":"failed"`), ContainSubstring("no descriptors")))
}
