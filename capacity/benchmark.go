package capacity

import (
	"bufio"
	"io"
	"regexp"
	"strconv"
	"strings"

	"baobabstep"
)

// Result is one line of the output of "go test -bench".
type Result struct {
	// Package is the import path, Benchmark the name without parameters.
	Package   string
	Benchmark string
	// Parameters are the "key=value" parts of the name; a part that is only
	// a number has the key "n".
	Parameters map[string]string
	// Metrics are the measured values by unit, as "ns/op".
	Metrics map[string]float64
}

// procsSuffix is what the testing package appends to names.
var procsSuffix = regexp.MustCompile(`-\d+$`)

// ReadResults reads the output of "go test -bench". Lines of other kinds are
// passed over; an output without any result is an error with CodeInvalid.
func ReadResults(r io.Reader) (results []Result, machine string, err error) {
	var pkg string
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		line := lines.Text()
		switch {
		case strings.HasPrefix(line, "pkg: "):
			pkg = strings.TrimPrefix(line, "pkg: ")
		case strings.HasPrefix(line, "cpu: "):
			machine = strings.TrimPrefix(line, "cpu: ")
		case strings.HasPrefix(line, "Benchmark"):
			if result, ok := parseResult(pkg, line); ok {
				results = append(results, result)
			}
		}
	}
	if err := lines.Err(); err != nil {
		return nil, "", baobabstep.Errorf(baobabstep.CodeInvalid, "capacity.read", "%w", err)
	}
	if len(results) == 0 {
		return nil, "", baobabstep.Errorf(baobabstep.CodeInvalid, "capacity.read", "got no benchmark result")
	}
	return results, machine, nil
}

// parseResult reads a name, a count of rounds, and pairs of value and unit.
func parseResult(pkg, line string) (Result, bool) {
	fields := strings.Fields(line)
	if len(fields) < 4 || len(fields)%2 != 0 {
		return Result{}, false
	}
	parts := strings.Split(procsSuffix.ReplaceAllString(fields[0], ""), "/")
	result := Result{
		Package: pkg, Benchmark: parts[0],
		Parameters: make(map[string]string), Metrics: make(map[string]float64),
	}
	for _, part := range parts[1:] {
		key, value, ok := strings.Cut(part, "=")
		if !ok {
			key, value = "n", part
		}
		result.Parameters[key] = value
	}
	for i := 2; i < len(fields); i += 2 {
		value, err := strconv.ParseFloat(fields[i], 64)
		if err != nil {
			return Result{}, false
		}
		result.Metrics[fields[i+1]] = value
	}
	return result, true
}
