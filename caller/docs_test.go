package caller_test

import (
	"encoding/hex"
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bluebelldyke/bluebelldyke/modules/framer"
)

// TestDocumentedDatagrams guards against examples on the protocol page that differ from the encoder's output.
func TestDocumentedDatagrams(t *testing.T) {
	g := NewWithT(t)
	page, err := os.ReadFile("../docs/callers.md")
	g.Expect(err).NotTo(HaveOccurred())
	var call [framer.CallIDSize]byte
	for i := range call {
		call[i] = byte(i)
	}
	want := []framer.Datagram{
		{Kind: framer.KindRequest, Deadline: time.UnixMilli(1_800_000_000_000), Payload: []byte("baguette")},
		{Kind: framer.KindAnswer, Seq: 1, PartCount: 4, Token: []byte("token"), Payload: []byte("flour")},
		{Kind: framer.KindFetch, Token: []byte("token"), Payload: []byte{0b1010}},
	}
	blocks := regexp.MustCompile("(?s)```hex\n(.*?)```").FindAllStringSubmatch(string(page), -1)
	g.Expect(blocks).To(HaveLen(len(want)))
	comment := regexp.MustCompile(`(?m) {3,}.*$`)
	for i, d := range want {
		d.ServiceID, d.CallID = framer.ServiceID(service), call
		b, err := framer.Append(nil, &d)
		g.Expect(err).NotTo(HaveOccurred())
		documented := strings.Join(strings.Fields(comment.ReplaceAllString(blocks[i][1], "")), "")
		g.Expect(documented).To(Equal(hex.EncodeToString(b)), "example %d", i)
	}
}
