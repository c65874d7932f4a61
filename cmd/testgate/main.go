// Command testgate reads the JSON output of go test on standard input and
// exits with status 0 if the tests pass. Tests that KNOWN-RED.txt lists may
// fail; they are printed. A listed subtest may fail its test, as long as no other
// subtest fails. Any other failing test, a package that fails or does
// not build, or a run in which no test passed gives a status other than 0.
package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"strings"
)

// event is one event of go test -json; encoding/json matches its fields by
// name.
type event struct {
	Action  string
	Package string
	Test    string
	Output  string
}

// testKey identifies a test; test is empty for the package itself.
type testKey struct{ pkg, test string }

func main() {
	known, err := readKnown("KNOWN-RED.txt")
	if err != nil {
		fmt.Fprintln(os.Stderr, "testgate:", err)
		os.Exit(2)
	}
	g := newGate(known)
	sc := bufio.NewScanner(os.Stdin)
	sc.Buffer(make([]byte, 0, 1<<20), 1<<24)
	for sc.Scan() {
		g.addLine(sc.Bytes())
	}
	os.Exit(g.summarize())
}

// gate collects the results of a test run.
type gate struct {
	// known holds the "package.Test" names that may fail.
	known map[string]bool
	// output holds what tests and packages have printed that have not passed
	// or been skipped.
	output                  map[testKey][]string
	passed, failed, skipped int
	knownFailed             []string
	// failedBelow and knownBelow count the failed subtests of a test, by its
	// "package.Test" name, and those of them that are listed.
	failedBelow, knownBelow map[string]int
	brokenPackages          map[string]bool
	failedTests             map[string]int
}

// readKnown returns the "package.Test" names in a file; each is the first word of
// a line that starts with "test: ".
func newGate(known map[string]bool) *gate {
	return &gate{
		known: known, output: make(map[testKey][]string),
		failedTests: make(map[string]int), brokenPackages: make(map[string]bool),
		failedBelow: make(map[string]int), knownBelow: make(map[string]int),
	}
}

func readKnown(path string) (map[string]bool, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	known := make(map[string]bool)
	for _, l := range strings.Split(string(data), "\n") {
		if entry, ok := strings.CutPrefix(l, "test: "); ok {
			name, _, _ := strings.Cut(entry, " ")
			known[name] = true
		}
	}
	return known, nil
}

// addLine records one line of the input. A line that is not JSON is printed as
// it is.
func (g *gate) addLine(b []byte) {
	var e event
	if json.Unmarshal(b, &e) != nil {
		fmt.Println(string(b))
		return
	}
	k := testKey{e.Package, e.Test}
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
		g.addFailure(e, k)
	}
}

// addFailure records that a test or a package failed. A package that fails
// although none of its tests did has not been built or ended early.
func (g *gate) addFailure(e event, k testKey) {
	if e.Test == "" {
		if g.failedTests[e.Package] == 0 {
			g.brokenPackages[e.Package] = true
			g.printPackageOutput(e.Package)
		}
		return
	}
	g.failedTests[e.Package]++
	test, _, isSubtest := strings.Cut(e.Test, "/")
	name, parent := e.Package+"."+e.Test, e.Package+"."+test
	known := g.known[name] || g.known[parent]
	if isSubtest {
		g.failedBelow[parent]++
		if known {
			g.knownBelow[parent]++
		}
	} else if n := g.failedBelow[parent]; n > 0 && n == g.knownBelow[parent] {
		known = true
	}
	if known {
		g.knownFailed = append(g.knownFailed, name)
		return
	}
	g.failed++
	g.printOutput(k)
}

// printPackageOutput prints the output of the package and of its unfinished
// tests, which includes the goroutine stacks after a timeout.
func (g *gate) printPackageOutput(pkg string) {
	for k := range g.output {
		if k.pkg == pkg {
			g.printOutput(k)
		}
	}
}

// printOutput prints the output of one test or package.
func (g *gate) printOutput(k testKey) {
	for _, l := range g.output[k] {
		fmt.Print(l)
	}
}

// summarize prints build output, failures and counts, and returns the exit
// status.
func (g *gate) summarize() int {
	for k, lines := range g.output {
		if k.pkg == "" {
			for _, l := range lines {
				fmt.Print(l)
			}
		}
	}
	for _, name := range g.knownFailed {
		fmt.Println("known red:", name)
	}
	for pkg := range g.brokenPackages {
		fmt.Println("package failed without a failing test:", pkg)
	}
	fmt.Printf("%d passed, %d failed, %d skipped\n", g.passed, g.failed+len(g.brokenPackages), g.skipped)
	if g.failed+len(g.brokenPackages) > 0 || g.passed == 0 {
		return 1
	}
	return 0
}
