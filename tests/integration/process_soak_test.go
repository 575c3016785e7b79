package integration_test

import (
	"os/exec"
	"path/filepath"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("daemon processes", func() {
	// Guards against processes that end by themselves at a signal, a start beside the predecessor, incomplete settings or a valid or odd input.
	It("end only when they are told to", func() {
		command := exec.Command(filepath.Join(binaries, "soak"), "-binaries", binaries, "-ends", "-signals-after-output", "-seed", "1", "-length", "15s", "-report", GinkgoT().TempDir())
		out, err := command.CombinedOutput()
		AddReportEntry("soak", string(out))
		Expect(err).NotTo(HaveOccurred())
	})
})
