package settings_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/bluebelldyke/bluebelldyke/models/settings"
)

// BenchmarkParse parses a document of about 1 MB, the largest value that the platform stores.
func BenchmarkParse(b *testing.B) {
	content := largeDocument(3000, 3)
	b.SetBytes(int64(len(content)))
	b.ReportAllocs()
	for b.Loop() {
		if _, err := settings.Parse("f", 1, content); err != nil {
			b.Fatal(err)
		}
	}
}

func largeDocument(services, servers int) []byte {
	var b strings.Builder
	b.WriteString("seal-with = 1\ntoken-keys = [{ id = 1, secret = \"" + strings.Repeat("a", 64) + "\" }]\n")
	for s := range services {
		fmt.Fprintf(&b, "services.s%d.address = \"10.%d.%d.1:7000\"\n", s, s>>8, s&255)
	}
	for s := range services {
		fmt.Fprintf(&b, "[places.p%d.services.s%d.groups.g]\nbackend-servers = [\n", s%9, s)
		for n := range servers {
			fmt.Fprintf(&b, "{ name = \"b%d\", address = \"11.%d.%d.%d:9000\" },\n", n, s>>8, s&255, n+1)
		}
		b.WriteString("]\n")
	}
	return []byte(b.String())
}
