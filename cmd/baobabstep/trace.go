package main

import (
	"fmt"
	"io"
	"os"

	"baobabstep"
	"baobabstep/io/logs"
)

type trace struct {
	Flow  string   `arg:"" help:"The flow, as CALLER:PORT/SERVICE:PORT."`
	Files []string `arg:"" optional:"" help:"Logs of VMs; standard input if there are none." type:"path"`
}

// Run implements the command.
func (t trace) Run() error {
	lines, err := readLogs("trace", t.Files)
	if err != nil {
		return err
	}
	found := logs.Trace(lines, t.Flow)
	if len(found) == 0 {
		return baobabstep.Errorf(baobabstep.CodeNotFound, "trace", "no VM wrote of flow %q in %d lines", t.Flow, len(lines))
	}
	return logs.Print(os.Stdout, found)
}

// readLogs reads logs for a command, standard input if there are no files.
// Errors: CodeUsage.
func readLogs(command string, files []string) (lines []logs.Line, err error) {
	if len(files) == 0 {
		return readLog("standard input", os.Stdin)
	}
	for _, name := range files {
		file, err := os.Open(name)
		if err != nil {
			return nil, baobabstep.Errorf(baobabstep.CodeUsage, command, "%w", err)
		}
		some, err := readLog(name, file)
		file.Close()
		if err != nil {
			return nil, err
		}
		lines = append(lines, some...)
	}
	return lines, nil
}

// readLog reads one log, and says on standard error what was left out of it.
func readLog(name string, r io.Reader) ([]logs.Line, error) {
	lines, foreign, err := logs.Read(r)
	if foreign > 0 {
		fmt.Fprintf(os.Stderr, "%s: %d lines are no lines of a log\n", name, foreign)
	}
	return lines, err
}
