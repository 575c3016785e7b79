package integration_test

import (
	"os/exec"
	"path/filepath"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// runSoak runs the soak with a fixed seed and fails the spec if a guarantee is broken.
func runSoak(arguments ...string) {
	command := exec.Command(filepath.Join(binaries, "soak"), append(arguments, "-binaries", binaries, "-report", GinkgoT().TempDir())...)
	out, err := command.CombinedOutput()
	AddReportEntry("soak", string(out))
	Expect(err).NotTo(HaveOccurred())
}

var _ = Describe("daemon processes", func() {
	// Guards against processes that end by themselves at a signal, a start beside the predecessor, incomplete settings or a valid or odd input.
	It("end only when they are told to", func() {
		runSoak("-ends", "-signals-after-output", "-seed", "1", "-length", "15s")
	})

	// Guards against resets with an old acknowledgement in other orders of moves, other faults and losses of backend servers.
	It("reset moved flows within the callers' window", func() {
		runSoak("-moves", "-seed", "3013", "-length", "30s")
	})

	// Guards against resets of open flows at loaded backend servers, whose answers are late and acknowledge the requests.
	It("reset no flows of loaded backend servers", func() {
		runSoak("-bursts", "-seed", "4002", "-length", "20s")
	})
})
