package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// testedBlock matches a fenced block that says that its lines run without a
// fleet; wantedExit the comment at the end of a line that is meant to fail.
var (
	testedBlock = regexp.MustCompile("(?ms)^```sh tested\n(.*?)^```$")
	wantedExit  = regexp.MustCompile(`# exits with (\d+)$`)
)

// testedPages are the pages whose blocks are run, from the repository's root.
var testedPages = []string{"README.md", "docs/*.md", "docs/operators/*.md"}

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

	ran := 0
	for _, pattern := range testedPages {
		pages, err := filepath.Glob(filepath.Join(root, pattern))
		qt.Assert(t, err, qt.IsNil)
		for _, page := range pages {
			text, err := os.ReadFile(page)
			qt.Assert(t, err, qt.IsNil)
			for _, block := range testedBlock.FindAllStringSubmatch(string(text), -1) {
				for line := range strings.Lines(block[1]) {
					runLine(t, folder, filepath.Base(page), strings.TrimSpace(line))
					ran++
				}
			}
		}
	}
	qt.Assert(t, ran > 0, qt.IsTrue)
}

// runLine checks that one line of a page exits as the page says.
func runLine(t *testing.T, folder, page, line string) {
	t.Run(page+"/"+line, func(t *testing.T) {
		want := 0
		if exit := wantedExit.FindStringSubmatch(line); exit != nil {
			want, _ = strconv.Atoi(exit[1])
		}
		command := exec.CommandContext(t.Context(), "sh", "-c", line)
		command.Dir = folder
		command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + folder}
		output, _ := command.CombinedOutput()
		qt.Assert(t, command.ProcessState.ExitCode(), qt.Equals, want, qt.Commentf("%s", output))
	})
}
