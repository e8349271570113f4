package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/alecthomas/kong"
	qt "github.com/frankban/quicktest"
)

// testedBlock matches a fenced block that says that its lines run without a
// fleet; wantedExit the comment at the end of a line that is meant to fail.
var (
	testedBlock = regexp.MustCompile("(?ms)^```sh tested\n(.*?)^```$")
	wantedExit  = regexp.MustCompile(`# exits with (\d+)$`)
)

// otherBlock matches a block of commands that need a fleet; citedLine one line of
// it up to what the shell makes of the rest, and word one argument.
var (
	otherBlock = regexp.MustCompile("(?ms)^```sh\n(.*?)^```$")
	citedLine  = regexp.MustCompile(`(?m)^bin/baobabstep ([^|&>#\n]*?)(?: \d?[|&>#].*)?$`)
	word       = regexp.MustCompile(`"[^"]*"|\S+`)
)

// testedPages are the pages whose blocks are run, from the repository's root.
var testedPages = []string{"README.md", "docs/*.md", "docs/design/*.md", "docs/operators/*.md"}

// A flag was renamed, or a settings file no longer passes: whoever types what a
// page says gets an error. Each line of a tested block is run by a shell in a
// folder that looks like a checkout after the build.
func TestCommandsInPagesRun(t *testing.T) {
	root, err := filepath.Abs("../..")
	qt.Assert(t, err, qt.IsNil)
	folder := t.TempDir()
	for _, name := range []string{"settings", "examples", "docs"} {
		qt.Assert(t, os.Symlink(filepath.Join(root, name), filepath.Join(folder, name)), qt.IsNil)
	}
	build, err := exec.Command("go", "build", "-o", filepath.Join(folder, "bin", "baobabstep"), ".").CombinedOutput()
	qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", build))

	for page, text := range readPages(t, root) {
		for _, block := range testedBlock.FindAllStringSubmatch(text, -1) {
			for line := range strings.Lines(block[1]) {
				runLine(t, folder, page, strings.TrimSpace(line))
			}
		}
	}
}

// readPages returns the texts of the tested pages by their names.
func readPages(t *testing.T, root string) map[string]string {
	t.Helper()
	texts := make(map[string]string)
	for _, pattern := range testedPages {
		pages, err := filepath.Glob(filepath.Join(root, pattern))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, pages, qt.Not(qt.HasLen), 0)
		for _, page := range pages {
			text, err := os.ReadFile(page)
			qt.Assert(t, err, qt.IsNil)
			texts[filepath.Base(page)] = string(text)
		}
	}
	return texts
}

// The commands that need a fleet cannot run here, but an operator must not be
// told of one, or of a flag, that the program does not have.
func TestCommandsInPagesParse(t *testing.T) {
	t.Chdir("../..")
	parsed := 0
	for page, text := range readPages(t, ".") {
		for _, block := range otherBlock.FindAllStringSubmatch(text, -1) {
			for _, line := range citedLine.FindAllStringSubmatch(block[1], -1) {
				args := word.FindAllString(line[1], -1)
				if slices.Contains(args, "vm2.json") || slices.Contains(args, "vm3.json") {
					continue // made by an earlier line of the page
				}
				parser, err := kong.New(new(commands))
				qt.Assert(t, err, qt.IsNil)
				_, err = parser.Parse(args)
				qt.Check(t, err, qt.IsNil, qt.Commentf("%s: %s", page, line[0]))
				parsed++
			}
		}
	}
	qt.Assert(t, parsed > 10, qt.IsTrue)
}

// Each command can tell what it is for.
func TestHelpOfEachCommand(t *testing.T) {
	parser, err := kong.New(new(commands))
	qt.Assert(t, err, qt.IsNil)
	for _, leaf := range parser.Model.Leaves(true) {
		qt.Check(t, leaf.Help, qt.Not(qt.Equals), "", qt.Commentf("%s", leaf.FullPath()))
		for _, flag := range leaf.Flags {
			qt.Check(t, flag.Help, qt.Not(qt.Equals), "", qt.Commentf("%s --%s", leaf.FullPath(), flag.Name))
		}
	}
}

// runLine checks that one line of a page exits as the page says.
func runLine(t *testing.T, folder, page, line string) {
	t.Run(page+"/"+line, func(t *testing.T) {
		want := 0
		if exit := wantedExit.FindStringSubmatch(line); exit != nil {
			want, _ = strconv.Atoi(exit[1])
		}
		shell := exec.CommandContext(t.Context(), "sh", "-c", line)
		shell.Dir = folder
		shell.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + folder}
		output, _ := shell.CombinedOutput()
		qt.Assert(t, shell.ProcessState.ExitCode(), qt.Equals, want, qt.Commentf("%s", output))
	})
}
