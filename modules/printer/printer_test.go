package printer_test

import (
	"fmt"
	"os"
	"os/exec"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/bluebelldyke/bluebelldyke/modules/printer"
)

// TestReaderGone guards against a process that ends because nothing reads its standard error any more.
func TestReaderGone(t *testing.T) {
	g := NewWithT(t)
	if os.Getenv("PRINTER_TEST") != "" {
		for range 3 {
			_, err := fmt.Fprintln(printer.Stderr, "line")
			g.Expect(err).To(HaveOccurred())
		}
		return
	}
	reader, writer, err := os.Pipe()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(reader.Close()).To(Succeed())
	c := exec.Command(os.Args[0], "-test.run=TestReaderGone")
	c.Env, c.Stderr = append(os.Environ(), "PRINTER_TEST=1"), writer
	g.Expect(c.Run()).To(Succeed())
}
