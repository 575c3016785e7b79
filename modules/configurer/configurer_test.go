package configurer_test

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bluebelldyke/bluebelldyke/modules/configurer"
	"github.com/bluebelldyke/bluebelldyke/modules/inspector"
)

const exampleFile = "../../custom/conf/app.example.toml"

func ExampleParse() {
	_, err := configurer.Parse("app.toml", []byte(`
availability-zone = "souillac"
[entry]
ip = "10.0.0.1:7000"
[peer]
bind = "0.0.0.0:7401"
key = "secret"
[platform]
url = "10.0.0.5"
[stop]
grace = 30
[operator]
port = 7402
`))
	fmt.Println(err)
	// Output:
	// app.toml: entry.ip: "10.0.0.1:7000" is not a concrete IP address: write an IP address without a port, such as "10.0.0.1"
	// app.toml: peer.advertise: missing, and bind names no single address: write the address at which other daemons reach this one
	// app.toml: peer.key: not 32 bytes in hex: write 64 hexadecimal digits
	// app.toml: platform.url: "10.0.0.5" is not an HTTP URL: write a URL such as "http://10.0.0.1:7400"
	// app.toml: operator.port: unknown key: remove it or use one of: bind
	// app.toml: stop.grace: wrong type or unit (30): write a string with a unit, such as "250ms" or "10s"
}

// TestExampleFile guards against an example file that is invalid, and against defaults that differ from those in its
// comments.
func TestExampleFile(t *testing.T) {
	g := NewWithT(t)
	s, err := configurer.Load(exampleFile)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(s.AvailabilityZone).To(Equal("souillac"))
	g.Expect(s.Peer.Seeds).To(HaveLen(2))
	g.Expect(s.Entry.Bind).To(Equal(configurer.EntryIP))
	g.Expect(s.Operator.Bind.String()).To(Equal("127.0.0.1:7402"))
	g.Expect(s.Stop.Grace).To(Equal(time.Minute))
	g.Expect(s.Log).To(Equal(configurer.Log{Level: "info", Format: "json"}))
}

// TestUnreadable guards against an error for an unreadable file that lacks the file name, the cause or the remedy.
func TestUnreadable(t *testing.T) {
	g := NewWithT(t)
	_, err := configurer.Load(filepath.Join(t.TempDir(), "absent.toml"))
	g.Expect(configurer.IsErrUnreadable(err)).To(BeTrue())
	g.Expect(err).To(MatchError(MatchRegexp(`absent.toml: cannot be read: no such file or directory: name an existing file`)))
}

// FuzzParse guards against panics and against errors other than an inspector.ErrInvalid, which lists problems by key
// path.
func FuzzParse(f *testing.F) {
	content, err := os.ReadFile(exampleFile)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(content)
	f.Add([]byte("availability-zone = 3\nentry = []\n[peer]\nseeds = [1]"))
	f.Add([]byte("["))
	f.Fuzz(func(t *testing.T, content []byte) {
		if _, err := configurer.Parse("f", content); err != nil && !inspector.IsErrInvalid(err) {
			t.Fatalf("error is not an inspector.ErrInvalid: %v", err)
		}
	})
}
