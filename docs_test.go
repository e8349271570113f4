package baobabstep

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// repositoryFiles returns the paths, relative to the repository's root, of
// files with the given ending. Folders of binaries and version control are
// skipped.
func repositoryFiles(t *testing.T, ending string) []string {
	t.Helper()
	var files []string
	err := filepath.WalkDir(".", func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() && (path == "bin" || path == ".git") {
			return filepath.SkipDir
		}
		if !entry.IsDir() && strings.HasSuffix(path, ending) {
			files = append(files, path)
		}
		return nil
	})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, files, qt.Not(qt.HasLen), 0)
	return files
}

// read returns a file's text.
func read(t *testing.T, path string) string {
	t.Helper()
	text, err := os.ReadFile(path)
	qt.Assert(t, err, qt.IsNil)
	return string(text)
}

var markdownLink = regexp.MustCompile(`\]\(([^)\s]+)\)`)

// A link to a page that was moved or renamed is broken. Links to other hosts
// are not checked.
func TestLinksResolve(t *testing.T) {
	for _, page := range repositoryFiles(t, ".md") {
		for _, link := range markdownLink.FindAllStringSubmatch(read(t, page), -1) {
			path, _, _ := strings.Cut(link[1], "#")
			if path == "" || strings.Contains(path, "://") {
				continue
			}
			_, err := os.Stat(filepath.Join(filepath.Dir(page), path))
			qt.Check(t, err, qt.IsNil, qt.Commentf("%s links to %s", page, link[1]))
		}
	}
}

// citedTest matches a package's folder and a test in it, as `core/flow.TestX`;
// bareTest matches a test without its package.
var (
	citedTest = regexp.MustCompile("`([a-z/]+)\\.((?:Test|Fuzz|Benchmark)\\w+)`")
	bareTest  = regexp.MustCompile("`((?:Test|Fuzz|Benchmark)[A-Z]\\w+)`")
)

// testFunctions returns the names of test functions as in `core/flow.TestX`.
func testFunctions(t *testing.T) map[string]bool {
	t.Helper()
	functions := make(map[string]bool)
	for _, path := range repositoryFiles(t, "_test.go") {
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		qt.Assert(t, err, qt.IsNil)
		for _, declaration := range file.Decls {
			if f, ok := declaration.(*ast.FuncDecl); ok && f.Recv == nil {
				functions[filepath.ToSlash(filepath.Dir(path))+"."+f.Name.Name] = true
				functions[f.Name.Name] = true
			}
		}
	}
	return functions
}

// A page cites a test that was renamed or deleted. PROOF.md has to give the
// package too, since test names repeat.
func TestCitedTestsExist(t *testing.T) {
	functions := testFunctions(t)
	for _, page := range repositoryFiles(t, ".md") {
		text := read(t, page)
		for _, cited := range citedTest.FindAllStringSubmatch(text, -1) {
			name := cited[1] + "." + cited[2]
			qt.Check(t, functions[name], qt.IsTrue, qt.Commentf("%s cites %s", page, name))
		}
		bare := bareTest.FindAllStringSubmatch(text, -1)
		for _, cited := range bare {
			qt.Check(t, functions[cited[1]], qt.IsTrue, qt.Commentf("%s cites %s", page, cited[1]))
		}
		if filepath.Base(page) == "PROOF.md" {
			qt.Check(t, bare, qt.HasLen, 0, qt.Commentf("%s has to give the package of each test", page))
		}
	}
}

// citedLog matches a log line's message as pages quote it; citedMetric matches
// a metric's name.
var (
	citedLog    = regexp.MustCompile(`"message": ?"([^"]+)"`)
	citedMetric = regexp.MustCompile(`\bbaobabstep_\w+`)
)

// A page names a log message or metric that the program does not have, so that
// an operator's search or alert never matches.
func TestCitedLogsAndMetricsExist(t *testing.T) {
	var code strings.Builder
	for _, path := range repositoryFiles(t, ".go") {
		if !strings.HasSuffix(path, "_test.go") {
			code.WriteString(read(t, path))
		}
	}
	// Tests of node and entry compare these pages with the code.
	metrics := read(t, "docs/METRICS.md") + read(t, "docs/METRICS-TOKEN.md")
	for _, page := range repositoryFiles(t, ".md") {
		text := read(t, page)
		for _, cited := range citedLog.FindAllStringSubmatch(text, -1) {
			// Decisions are logged by their kinds' names, given as the line
			// comments of the enum.
			written := strings.Contains(code.String(), `("`+cited[1]+`")`) || strings.Contains(code.String(), " // "+cited[1]+"\n")
			qt.Check(t, written, qt.IsTrue, qt.Commentf("%s cites the log line %q", page, cited[1]))
		}
		for _, metric := range citedMetric.FindAllString(text, -1) {
			qt.Check(t, metrics, qt.Contains, "| `"+metric+"` |", qt.Commentf("%s", page))
		}
	}
}
