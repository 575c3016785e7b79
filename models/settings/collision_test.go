package settings

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/bluebelldyke/bluebelldyke/modules/inspector"
)

// TestServiceIDCollision guards against two services with the same id, whose tokens could not be distinguished. No names
// with colliding hashes are known, so the test replaces the hash function.
func TestServiceIDCollision(t *testing.T) {
	report := inspector.NewReport("f")
	p := newParser(func(string) uint64 { return 7 })
	p.readRoot(inspector.Parse(report, []byte("[services]\na.address = \"10.0.0.1:1\"\nb.address = \"10.0.0.2:1\"")))
	NewWithT(t).Expect(report.Err()).To(MatchError(ContainSubstring(
		`services.b: service id 0000000000000007 is also that of service "a": rename one of the two services`)))
}
