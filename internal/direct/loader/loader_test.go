package loader_test

import (
	"net/netip"
	"os"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bluebelldyke/bluebelldyke/internal/direct/loader"
	"github.com/bluebelldyke/bluebelldyke/modules/configurer"
	"github.com/bluebelldyke/bluebelldyke/modules/inspector"
)

const example = "../../../custom/conf/direct.example.toml"

// readExample returns the content of the example file.
func readExample(t *testing.T) string {
	t.Helper()
	b, err := os.ReadFile(example)
	if err != nil {
		t.Fatal(err)
	}
	return string(b)
}

// TestExample guards against an example file that the daemon rejects.
func TestExample(t *testing.T) {
	g := NewWithT(t)
	s, err := loader.Load(example)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(s.EntryBind).To(Equal(netip.MustParseAddrPort("10.1.0.10:8172")))
	g.Expect(s.AvailabilityZones).To(Equal([]string{"souillac", "mahebourg", "bel-ombre"}))
	g.Expect(s.Peer.Seeds).To(HaveLen(3))
	g.Expect(s.LeavingBound).To(Equal(3 * time.Second))
}

// TestInvalidSettings guards against invalid settings that the loader accepts. Each error names the key.
func TestInvalidSettings(t *testing.T) {
	text := readExample(t)
	for edit, want := range map[[2]string]string{
		{`grace = "6s"`, `grace = "6"`}:                              "stop.grace",
		{`leaving = "3s"`, `leaving = "-1ms"`}:                       "bounds.leaving",
		{`# evacuation = "5s"`, `evacuation = "5"`}:                  "bounds.evacuation",
		{`# warm-up-slack = 5`, `warm-up-slack = 5`}:                 "bounds.warm-up-overage",
		{`# enabled = false`, `enabled = "yes"`}:                     "admission.enabled",
		{`# shared = false`, `shared = "yes"`}:                       "admission.shared",
		{`# cross-zone-margin = "0s"`, `cross-zone-margin = "-1ms"`}: "placement.cross-zone-margin",
		{`# probe = false`, `probes = true`}:                         "health.probes",
		{`bind = "10.1.0.10:8172"`, `bind = "entry"`}:                "entry.bind",
		{`url = "http://`, `url = "ftp://`}:                          "platform.url",
		{`# link-rate = 10000000`, `link-rate = 10`}:                 "peer.link-rate",
		{`# fast-detection = false`, `fast-detection = "on"`}:        "peer.fast-detection",
		{`# weak = false`, `weak = 1`}:                               "peer.weak",
		{`# [operator]`, "[operator]\nbind = \"10.1.0.10:7402\""}:    "operator.bind",
		{`"10.2.0.40:8166"`, `"seed"`}:                               "peer.seeds",
		{`name = `, `nam = `}:                                        "name",
		{`# level = "info"`, `level = "loud"`}:                       "log.level",
		{`# budget = 20`, `budget = 0`}:                              "log.budget",
		{`# bytes = 9000`, `bytes = "9 kB"`}:                         "log.bytes",
		{`availability-zone = "souillac"`, `# no zone`}:              "availability-zone",
	} {
		g := NewWithT(t)
		changed := strings.Replace(text, edit[0], edit[1], 1)
		g.Expect(changed).NotTo(Equal(text), edit[0])
		_, err := loader.Parse("direct.toml", []byte(changed))
		g.Expect(inspector.IsErrInvalid(err)).To(BeTrue(), "%v: %v", edit, err)
		g.Expect(err.Error()).To(ContainSubstring(want))
	}
	if _, err := loader.Load("nowhere.toml"); !configurer.IsErrUnreadable(err) {
		t.Error(err)
	}
}

// TestPlatformFigures guards against a daemon that does not start because the platform states a figure that it may state.
func TestPlatformFigures(t *testing.T) {
	text := readExample(t)
	for edit, want := range map[[2]string]loader.Adjustment{
		{`leaving = "3s"`, `leaving = "1ms"`}:                                                          {Key: "bounds.leaving", Stated: "1ms", Used: "1s"},
		{`leaving = "3s"`, `leaving = "800.5ms"`}:                                                      {Key: "bounds.leaving", Stated: "800.5ms", Used: "1s"},
		{`configuration = "3s"`, `configuration = "0ms"`}:                                              {Key: "bounds.configuration", Stated: "0s", Used: "1s"},
		{`# evacuation = "5s"`, `evacuation = "1ms"`}:                                                  {Key: "bounds.evacuation", Stated: "1ms", Used: "1s"},
		{`grace = "6s"`, `grace = "0s"`}:                                                               {Key: "stop.grace", Stated: "0s", Used: "100ms"},
		{`grace = "6s"`, `grace = "7200s"`}:                                                            {Key: "stop.grace", Stated: "2h0m0s", Used: "1h0m0s"},
		{`grace = "6s"`, `grace = "0.5s"`}:                                                             {},
		{`configuration = "3s"`, "configuration = \"3s\"\nwarm-up-overage = 250.5\nwarm-up-slack = 5"}: {Key: "bounds.warm-up-overage", Stated: "250.5", Used: "100"},
		{`configuration = "3s"`, "configuration = \"3s\"\nwarm-up-overage = 1\nwarm-up-slack = 0"}:     {Key: "bounds.warm-up-slack", Stated: "0", Used: "1"},
		{`name = "`, `name = "\u00e9\"é `}:                                                             {},
	} {
		g := NewWithT(t)
		changed := strings.Replace(text, edit[0], edit[1], 1)
		g.Expect(changed).NotTo(Equal(text), edit[0])
		s, err := loader.Parse("direct.toml", []byte(changed))
		g.Expect(err).NotTo(HaveOccurred(), edit[1])
		if want.Key == "" {
			g.Expect(s.Adjustments).To(BeEmpty(), edit[1])
		} else {
			g.Expect(s.Adjustments).To(Equal([]loader.Adjustment{want}))
		}
	}
}

// TestPlacementSettings guards against a switch of placement that is ignored or rejected beside the other one.
func TestPlacementSettings(t *testing.T) {
	g := NewWithT(t)
	s, err := loader.Parse("direct.toml", []byte(readExample(t)))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(s.SpeedDigests || s.EvenTies || s.CrossZoneMargin > 0).To(BeFalse())
	text := strings.NewReplacer("# speed-digests = false", "speed-digests = true", "# even-ties = false", "even-ties = true",
		`# cross-zone-margin = "0s"`, `cross-zone-margin = "20ms"`).Replace(readExample(t))
	s, err = loader.Parse("direct.toml", []byte(text))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(s.SpeedDigests && s.EvenTies).To(BeTrue())
	g.Expect(s.CrossZoneMargin).To(Equal(20 * time.Millisecond))
	_, err = loader.Parse("direct.toml", []byte(strings.Replace(text, "even-ties", "even", 1)))
	g.Expect(inspector.IsErrInvalid(err)).To(BeTrue())
}

// TestNeedsRestart guards against a changed setting that is reported as in force although it needs a restart.
func TestNeedsRestart(t *testing.T) {
	g := NewWithT(t)
	a, err := loader.Load(example)
	g.Expect(err).NotTo(HaveOccurred())
	b := a
	b.Peer.Seeds, b.Log.Level = nil, "debug"
	g.Expect(b.NeedsRestart(&a)).To(BeFalse())
	b.GracePeriod++
	g.Expect(b.NeedsRestart(&a)).To(BeTrue())
}

// FuzzParse guards against a panic on any file, and against accepted settings without addresses or durations.
func FuzzParse(f *testing.F) {
	b, err := os.ReadFile(example)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Add([]byte("[peer]\nkey = 1"))
	f.Fuzz(func(t *testing.T, b []byte) {
		s, err := loader.Parse("direct.toml", b)
		if err == nil && (!s.EntryBind.IsValid() || !s.ReadinessBind.IsValid() || !s.Peer.Bind.IsValid() || s.GracePeriod <= 0 || s.LeavingBound <= 0) {
			t.Fatalf("%+v", s)
		}
	})
}

// TestStartSettings guards against a switch of the start that is ignored or rejected beside the other one.
func TestStartSettings(t *testing.T) {
	g := NewWithT(t)
	s, err := loader.Parse("direct.toml", []byte(readExample(t)))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(s.StartQueue || s.StartLimit).To(BeFalse())
	text := strings.NewReplacer("# queue = false", "queue = true", "# limit = false", "limit = true").Replace(readExample(t))
	s, err = loader.Parse("direct.toml", []byte(text))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(s.StartQueue && s.StartLimit).To(BeTrue())
	_, err = loader.Parse("direct.toml", []byte(strings.Replace(text, "limit = true", "limits = true", 1)))
	g.Expect(inspector.IsErrInvalid(err)).To(BeTrue())
}

// TestRenderedValues guards against a daemon that does not start because the platform states an odd name or seed, which a template cannot escape.
func TestRenderedValues(t *testing.T) {
	g := NewWithT(t)
	text := readExample(t)
	edit := func(from, to string) {
		t.Helper()
		changed := strings.Replace(text, from, to, 1)
		g.Expect(changed).NotTo(Equal(text), from)
		text = changed
	}
	edit(`name = "`, `name = "\\ud83d \ud83d\ude00 \uD800 \u00e9 `)
	edit(`availability-zones = `, "availability-zone-table = '''{\"sou\\\"illac \\ud83d\\ude00\": null, \"b\": \"r\"}'''\n# ")
	edit(`seeds = `, "seed-list = ''' [\"10.2.0.40:8166\", 7, \"seed\", \"[::1]:8166\", \"10.3.0.7:0\", null, \"10.3.0.7:8166\"]'''\n# ")
	s, err := loader.Parse("direct.toml", []byte(text))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(s.VMName).To(HavePrefix("\\ud83d 😀 \uFFFD é "))
	g.Expect(s.AvailabilityZones).To(Equal([]string{"b", "sou\"illac 😀"}))
	g.Expect(s.Peer.Seeds).To(Equal([]netip.AddrPort{netip.MustParseAddrPort("10.2.0.40:8166"), netip.MustParseAddrPort("10.3.0.7:8166")}))
	g.Expect(s.Adjustments).To(HaveLen(5))
	for list, adjusted := range map[string]int{"": 0, "[]": 0, "7": 1, "{": 1} {
		edit("seed-list = ", "seed-list = ''' "+list+"'''\n# ")
		s, err = loader.Parse("direct.toml", []byte(text))
		g.Expect(err).NotTo(HaveOccurred(), list)
		g.Expect(s.Peer.Seeds).To(BeEmpty())
		g.Expect(s.Adjustments).To(HaveLen(adjusted), list)
	}
	edit("availability-zone-table = ", "availability-zone-table = \"[]\" # ")
	_, err = loader.Parse("direct.toml", []byte(text))
	g.Expect(inspector.IsErrInvalid(err)).To(BeTrue())
}
