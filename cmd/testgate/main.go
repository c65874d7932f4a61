// Command testgate reads the JSON output of go test on standard input and
// decides whether it passes. Tests listed in KNOWN-RED.txt may fail; they are
// printed. Any other failure, or a package that does not build, fails the
// gate.
package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"strings"
)

type event struct {
	Action  string
	Package string
	Test    string
	Output  string
}

type key struct{ pkg, test string }

func main() {
	known, err := readKnown("KNOWN-RED.txt")
	if err != nil {
		fmt.Fprintln(os.Stderr, "testgate:", err)
		os.Exit(2)
	}
	g := gate{known: known, output: make(map[key][]string)}
	sc := bufio.NewScanner(os.Stdin)
	sc.Buffer(make([]byte, 0, 1<<20), 1<<24)
	for sc.Scan() {
		g.line(sc.Bytes())
	}
	os.Exit(g.finish())
}

type gate struct {
	known                   map[string]bool
	output                  map[key][]string
	passed, failed, skipped int
	red                     []string
	broken                  map[string]bool
	failedTests             map[string]int
}

// readKnown returns the "package.Test" names that lines starting with
// "test: " list.
func readKnown(path string) (map[string]bool, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	known := make(map[string]bool)
	for _, l := range strings.Split(string(data), "\n") {
		if name, ok := strings.CutPrefix(l, "test: "); ok {
			known[strings.TrimSpace(name)] = true
		}
	}
	return known, nil
}

func (g *gate) line(b []byte) {
	var e event
	if json.Unmarshal(b, &e) != nil {
		fmt.Println(string(b))
		return
	}
	k := key{e.Package, e.Test}
	switch e.Action {
	case "output", "build-output":
		g.output[k] = append(g.output[k], e.Output)
	case "pass":
		if e.Test != "" {
			g.passed++
		}
		delete(g.output, k)
	case "skip":
		if e.Test != "" {
			g.skipped++
		}
		delete(g.output, k)
	case "fail":
		g.fail(e, k)
	}
}

func (g *gate) fail(e event, k key) {
	if g.failedTests == nil {
		g.failedTests = make(map[string]int)
		g.broken = make(map[string]bool)
	}
	if e.Test == "" {
		if g.failedTests[e.Package] == 0 {
			g.broken[e.Package] = true
			g.printPackage(e.Package)
		}
		return
	}
	g.failedTests[e.Package]++
	name := e.Package + "." + e.Test
	root, _, _ := strings.Cut(e.Test, "/")
	if g.known[name] || g.known[e.Package+"."+root] {
		g.red = append(g.red, name)
		return
	}
	g.failed++
	g.print(k)
}

// printPackage prints what the package's unfinished tests wrote, which is
// where the stacks of a hang end up.
func (g *gate) printPackage(pkg string) {
	for k := range g.output {
		if k.pkg == pkg {
			g.print(k)
		}
	}
}

func (g *gate) print(k key) {
	for _, l := range g.output[k] {
		fmt.Print(l)
	}
}

func (g *gate) finish() int {
	for k, lines := range g.output {
		if k.pkg == "" {
			for _, l := range lines {
				fmt.Print(l)
			}
		}
	}
	for _, name := range g.red {
		fmt.Println("known red:", name)
	}
	for pkg := range g.broken {
		fmt.Println("package failed without a failing test:", pkg)
	}
	fmt.Printf("%d passed, %d failed, %d skipped\n", g.passed, g.failed+len(g.broken), g.skipped)
	if g.failed+len(g.broken) > 0 || g.passed == 0 {
		return 1
	}
	return 0
}
