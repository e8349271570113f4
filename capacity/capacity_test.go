package capacity

import (
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"baobabstep"
)

const output = `goos: linux
pkg: baobabstep/core/x
cpu: Some CPU
BenchmarkA/vms=1/news=2-12   	 10	 30 ns/op	 5.0 B/op
BenchmarkA/vms=2/news=2-12   	 10	 50 ns/op
BenchmarkA/vms=3/news=2-12   	 10	 70 ns/op
BenchmarkA/vms=3/news=2-12   	 10	 70 ns/op
BenchmarkA/vms=4/news=2-12   	 10	 90 ns/op
BenchmarkA/vms=4/news=9-12   	 10	 9000 ns/op
BenchmarkB/16-12             	 10	 7 ns/op
PASS
`

func TestReadResults(t *testing.T) {
	results, machine, err := ReadResults(strings.NewReader(output))
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, machine, qt.Equals, "Some CPU")
	qt.Assert(t, results, qt.HasLen, 7)
	qt.Check(t, results[0], qt.DeepEquals, Result{
		Package: "baobabstep/core/x", Benchmark: "BenchmarkA",
		Parameters: map[string]string{"vms": "1", "news": "2"},
		Metrics:    map[string]float64{"ns/op": 30, "B/op": 5},
	})
	qt.Check(t, results[6].Parameters["n"], qt.Equals, "16")

	_, _, err = ReadResults(strings.NewReader("FAIL\n"))
	qt.Assert(t, baobabstep.CodeOf(err), qt.Equals, baobabstep.CodeInvalid)
}

func TestFit(t *testing.T) {
	results, _, err := ReadResults(strings.NewReader(output))
	qt.Assert(t, err, qt.IsNil)
	question := func(benchmark, driver string) Question {
		return Question{
			Name: "a", Package: "baobabstep/core/x", Benchmark: benchmark, Metric: "ns/op",
			Driver: driver, Where: map[string]string{"news": "2"},
		}
	}

	t.Run("line", func(t *testing.T) {
		s, err := Fit(question("BenchmarkA", "vms"), results)
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, s.Points, qt.HasLen, 4)
		qt.Check(t, fmt.Sprintf("%.6f %.6f %.6f", s.At(0), s.At(100), s.Residual), qt.Equals, "10.000000 2010.000000 0.000000")
	})
	t.Run("too few sizes", func(t *testing.T) {
		_, err := Fit(question("BenchmarkA", "vms"), results[:2])
		qt.Assert(t, err, qt.ErrorMatches, ".*got 2 sizes, want at least 4.*")
	})
	t.Run("not measured", func(t *testing.T) {
		_, err := Fit(question("BenchmarkC", ""), results)
		qt.Assert(t, baobabstep.CodeOf(err), qt.Equals, baobabstep.CodeNotFound)
	})
}

// A budget that is not kept has to stand out in the table.
func TestTableNamesWhatDoesNotFit(t *testing.T) {
	m := &Measured{}
	for _, q := range Questions {
		m.Slopes = append(m.Slopes, &Slope{Question: q, Intercept: 1})
	}
	assertVerdicts(t, m, 0)
	m.Slope(memberBytes).Intercept = 30e3
	m.Slope(memberCPU).Intercept = 30e3
	assertVerdicts(t, m, 2)
}

func assertVerdicts(t *testing.T, m *Measured, want int) {
	t.Helper()
	var b strings.Builder
	qt.Assert(t, m.WriteTable(&b, Target), qt.IsNil)
	qt.Assert(t, strings.Count(b.String(), "DOES NOT FIT"), qt.Equals, want, qt.Commentf("%s", b.String()))
}
