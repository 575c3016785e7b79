package cmd_test

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"golang.org/x/sync/errgroup"

	"github.com/bluebelldyke/bluebelldyke/cmd"
)

const treeFile = "../custom/settings/ile-solaire.toml"

// run runs the command line and returns its exit code and output.
func run(ctx context.Context, args ...string) (code int, out, errOut string) {
	var o, e bytes.Buffer
	code = cmd.Run(ctx, args, &o, &e)
	return code, o.String(), e.String()
}

func ExampleRun() {
	code := cmd.Run(context.Background(), []string{"check", treeFile, "--place", "souillac", "--service", "recipecard"}, os.Stdout, os.Stderr)
	fmt.Println(code)
	// Output:
	// ../custom/settings/ile-solaire.toml: valid: 2 services, 18 backend servers
	//
	// KEY              VALUE         INHERITED FROM
	// slots            2             defaults
	// connections      2000          defaults
	// drain-time       30s           built-in
	// request-timeout  2s            places.souillac.services.recipecard
	// retry-budget     0.1           built-in
	// policy           least-loaded  built-in
	// slow-start       10s           built-in
	// health-interval  1s            built-in
	// health-timeout   500ms         built-in
	// token-lifetime   10s           built-in
	// weight           1             built-in
	// priority         0             built-in
	// target-latency   0s            built-in
	// 0
}

// TestCheckPlaceDocuments guards against place documents that check ignores, and values whose origin does not include the document.
func TestCheckPlaceDocuments(t *testing.T) {
	g := NewWithT(t)
	write := func(name, content string) string {
		file := filepath.Join(t.TempDir(), name)
		g.Expect(os.WriteFile(file, []byte(content), 0o600)).To(Succeed())
		return file
	}
	root := write("root.toml", "place-documents = [\"a\", \"b\"]\nseal-with = 1\ntoken-keys = [{ id = 1, secret = \""+
		strings.Repeat("ab", 32)+"\" }]\nservices.s.address = \"10.0.0.1:1\"\n")
	server := `.services.s.groups.g.backend-servers = [{ name = "x", address = "10.0.0.9:1" }]` + "\n"
	a, b := write("a.toml", "places.a.slots = 4\nplaces.a"+server), write("b.toml", "places.b"+strings.Replace(server, "services.s", "services.t", 1))
	code, out, _ := run(context.Background(), "check", root, "--place-document", a, "--place", "a", "--service", "s")
	g.Expect(code).To(BeZero())
	g.Expect(out).To(And(MatchRegexp(`slots +4 +places\.a \(settings-a\)`), ContainSubstring("settings-b: not given")))
	code, _, errOut := run(context.Background(), "check", root, "-d", a, "-d", b)
	g.Expect(code).To(Equal(2))
	g.Expect(errOut).To(And(ContainSubstring(`settings-b: service "t" is not declared`), ContainSubstring("10.0.0.9:1 is listed under service")))
	code, _, errOut = run(context.Background(), "check", treeFile, "-d", a)
	g.Expect(code).To(Equal(2))
	g.Expect(errOut).To(ContainSubstring(`defines place "a", which is not listed: add it to place-documents`))
}

// TestCheckEvacuation guards against a check that accepts a tree in which every place is evacuated by mistake, and against
// evacuated places that it does not show.
func TestCheckEvacuation(t *testing.T) {
	g := NewWithT(t)
	content, err := os.ReadFile(treeFile)
	g.Expect(err).NotTo(HaveOccurred())
	file := filepath.Join(t.TempDir(), "tree.toml")
	evacuate := func(root string, places ...string) {
		tree := root + string(content)
		for _, place := range places {
			tree += "\n[places." + place + "]\nevacuated = true\n"
		}
		g.Expect(os.WriteFile(file, []byte(tree), 0o600)).To(Succeed())
	}
	evacuate("", "souillac")
	code, out, _ := run(t.Context(), "check", file)
	g.Expect(code).To(BeZero())
	g.Expect(out).To(ContainSubstring("place souillac: evacuated\n"))
	_, out, _ = run(t.Context(), "check", file, "--output", "json")
	g.Expect(out).To(MatchRegexp(`"evacuated-places": \[\s+"souillac"\s+\]`))
	all := []string{"souillac", "mahebourg", "bel-ombre"}
	evacuate("", all...)
	code, _, errOut := run(t.Context(), "check", file)
	g.Expect(code).To(Equal(2))
	g.Expect(errOut).To(ContainSubstring("every place is evacuated"))
	evacuate("allow-full-evacuation = true\n", all...)
	code, _, _ = run(t.Context(), "check", file)
	g.Expect(code).To(BeZero())
}

// TestCheckAgainst guards against a comparison that ignores the file in force, or whose exit code or JSON form differs from those
// of the other queries.
func TestCheckAgainst(t *testing.T) {
	g := NewWithT(t)
	content, err := os.ReadFile(treeFile)
	g.Expect(err).NotTo(HaveOccurred())
	file := filepath.Join(t.TempDir(), "next.toml")
	g.Expect(os.WriteFile(file, append(content, "\n[places.souillac]\nevacuated = true\n"...), 0o600)).To(Succeed())
	code, out, _ := run(t.Context(), "check", file, "--against", treeFile)
	g.Expect(code).To(BeZero())
	g.Expect(out).To(MatchRegexp(`difference +places\.souillac +evacuated`))
	code, out, _ = run(t.Context(), "check", file, "--against", treeFile, "--output", "json")
	g.Expect(code).To(BeZero())
	g.Expect(out).To(ContainSubstring(`"path": "places.souillac"`))
	code, out, _ = run(t.Context(), "check", treeFile, "--against", treeFile)
	g.Expect(code).To(BeZero())
	g.Expect(out).To(ContainSubstring("no difference from"))
	code, _, errOut := run(t.Context(), "check", file, "--against", "absent.toml")
	g.Expect(code).To(Equal(2))
	g.Expect(errOut).To(ContainSubstring("absent.toml: cannot be read"))
}

// TestCheckAgainstNewPlaceDocument guards against a comparison that fails because the tree in force does not list a place document yet.
func TestCheckAgainstNewPlaceDocument(t *testing.T) {
	g := NewWithT(t)
	dir := t.TempDir()
	write := func(name, content string) string {
		path := filepath.Join(dir, name)
		g.Expect(os.WriteFile(path, []byte(content), 0o600)).To(Succeed())
		return path
	}
	rest := "seal-with = 1\ntoken-keys = [{ id = 1, secret = \"" + strings.Repeat("ab", 32) + "\" }]\nservices.s.address = \"10.0.0.1:1\"\n"
	inForce := write("in-force.toml", rest)
	next := write("next.toml", "place-documents = [\"a\"]\n"+rest)
	document := write("a.toml", `places.a.services.s.groups.g.backend-servers = [{ name = "x", address = "10.0.0.9:1" }]`)
	code, out, errOut := run(t.Context(), "check", next, "--place-document", document, "--against", inForce)
	g.Expect(errOut).To(BeEmpty())
	g.Expect(code).To(BeZero())
	g.Expect(out).To(MatchRegexp(`difference +places\.a\.services\.s\.groups\.g: x \(10\.0\.0\.9:1\) +added`))
}

// TestErrors guards against errors with a wrong exit code, with more than one line or without a remedy.
func TestErrors(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	invalidFile := filepath.Join(t.TempDir(), "broken.toml")
	if err := os.WriteFile(invalidFile, []byte("a = = 1"), 0o600); err != nil {
		t.Fatal(err)
	}
	tests := []struct {
		args []string
		code int
		want string
	}{
		{nil, 2, "no subcommand: use one of"},
		{[]string{"sevre"}, 2, `unknown subcommand "sevre": use one of`},
		{[]string{"--bogus"}, 2, "bogus: see bluebelldyke --help"},
		{[]string{"check", treeFile, "--bogus"}, 2, "bogus: see bluebelldyke check --help"},
		{[]string{"check", treeFile, "more"}, 2, "more: see bluebelldyke check --help"},
		{[]string{"check"}, 2, "no FILE: name the file"},
		{[]string{"check", "absent.toml"}, 2, "absent.toml: cannot be read: no such file or directory: name an existing file"},
		{[]string{"check", invalidFile}, 2, "broken.toml: line 1, column 5"},
		{[]string{"check", treeFile, "--place", "nowhere"}, 2, `place "nowhere": the settings tree has no such node: name`},
		{[]string{"check", treeFile, "--output", "yaml"}, 2, "use --output text or --output json"},
		{[]string{"serve", "--config", "absent.toml"}, 2, "name an existing file"},
		{[]string{"serve", "--config", invalidFile}, 2, "correct the TOML syntax"},
		{[]string{"status", "--address"}, 2, "see bluebelldyke status --help"},
		{[]string{"status", "--address", "here"}, 2, "write one such as 127.0.0.1:7402"},
		{[]string{"status", "--timeout", "fast"}, 2, `"fast": see --help`},
		{[]string{"status", "--address", listener.Addr().String(), "--timeout", "20ms"}, 1, "no daemon answers there: start it"},
		{[]string{"audit", "--newest", "0"}, 2, "use a number from 1 to 1000"},
	}
	for _, test := range tests {
		g := NewWithT(t)
		code, out, errOut := run(t.Context(), test.args...)
		g.Expect(code).To(Equal(test.code), "%v: %s", test.args, errOut)
		g.Expect(out).To(BeEmpty())
		g.Expect(errOut).To(ContainSubstring(test.want))
		g.Expect(strings.Count(errOut, "\n")).To(Equal(1), "%v: %s", test.args, errOut)
	}
}

// TestHelp guards against a subcommand without help or without an example.
func TestHelp(t *testing.T) {
	for _, name := range []string{"serve", "check", "status", "audit", "call"} {
		g := NewWithT(t)
		code, out, errOut := run(t.Context(), name, "--help")
		g.Expect(code).To(Equal(0))
		g.Expect(errOut).To(BeEmpty())
		g.Expect(out).To(And(ContainSubstring("Example:\n    bluebelldyke "+name), ContainSubstring("Exit codes: 0")))
	}
}

// TestServeAndQuery guards against queries that fail although the daemon runs, a daemon that ends because another process holds its operator
// address or that does not take the address when it is free, and a daemon that does not stop when it should.
func TestServeAndQuery(t *testing.T) {
	g := NewWithT(t)
	free, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	address := free.Addr().String()
	config := writeConfig(t, address)
	ctx, cancel := context.WithCancel(t.Context())
	var group errgroup.Group
	group.Go(func() error {
		if code, _, errOut := run(ctx, "serve", "--config", config); code != 0 {
			return fmt.Errorf("exit code %d: %s", code, errOut)
		}
		return nil
	})
	status := func(args ...string) string {
		_, out, _ := run(t.Context(), append([]string{"status", "--address", address}, args...)...)
		return out
	}
	for range 3 { // the holder of the address accepts no connection
		g.Expect(status("--timeout", "100ms")).To(BeEmpty())
	}
	g.Expect(free.Close()).To(Succeed())
	g.Eventually(status, 5*time.Second, 10*time.Millisecond).Should(ContainSubstring("availability zone  souillac"))
	g.Expect(status("--output", "json")).To(ContainSubstring(`"state": "starting"`))
	code, out, errOut := run(t.Context(), "audit", "--address", address, "--output", "json")
	g.Expect(code).To(Equal(0), errOut)
	g.Expect(out).To(HavePrefix("["))
	cancel()
	g.Expect(group.Wait()).To(Succeed())
}

// TestLateSettings guards against a daemon that ends because its settings file is incomplete at the moment of the start.
func TestLateSettings(t *testing.T) {
	g := NewWithT(t)
	config := writeConfig(t, "127.0.0.1:0")
	content, err := os.ReadFile(config)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(os.WriteFile(config, content[:len(content)/2], 0o600)).To(Succeed())
	time.AfterFunc(300*time.Millisecond, func() { _ = os.WriteFile(config, content, 0o600) })
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	code, _, errOut := run(ctx, "serve", "--config", config)
	g.Expect(code).To(Equal(0), errOut)
	g.Expect(ctx.Err()).To(HaveOccurred(), "it ran until it was stopped")
}

// TestServeStoppedInStart guards against a daemon that reports a failure because it is stopped before it has started.
func TestServeStoppedInStart(t *testing.T) {
	g := NewWithT(t)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	code, _, errOut := run(ctx, "serve", "--config", writeConfig(t, "127.0.0.1:0"))
	g.Expect(code).To(BeZero(), errOut)
}

func writeConfig(t *testing.T, operator string) string {
	file := filepath.Join(t.TempDir(), "app.toml")
	content := fmt.Sprintf(`
availability-zone = "souillac"
entry.ip = "127.0.0.1"
peer = { bind = "127.0.0.1:0", advertise = "127.0.0.1:7401", key = "%s" }
platform.url = "http://127.0.0.1:1"
metrics.bind = "127.0.0.1:0"
operator.bind = "%s"
`, strings.Repeat("ab", 32), operator)
	if err := os.WriteFile(file, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}
