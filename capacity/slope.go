package capacity

import (
	"cmp"
	"math"
	"slices"
	"strconv"

	"gonum.org/v1/gonum/stat"

	"baobabstep"
)

// Question names one quantity to be taken from benchmark results.
type Question struct {
	// Name identifies the quantity in files and tables.
	Name string `json:"name"`
	// Package and Benchmark name the benchmark, Metric its unit.
	Package   string `json:"package"`
	Benchmark string `json:"benchmark"`
	Metric    string `json:"metric"`
	// Driver is the parameter that the quantity depends on; empty for a
	// quantity that depends on none.
	Driver string `json:"driver,omitempty"`
	// Where fixes other parameters.
	Where map[string]string `json:"where,omitempty"`
}

// Point is one measurement.
type Point struct {
	Driver float64 `json:"driver"`
	Value  float64 `json:"value"`
}

// Slope is a measured quantity as a straight line of its driver.
type Slope struct {
	Question
	Points    []Point `json:"points"`
	Intercept float64 `json:"intercept"`
	PerUnit   float64 `json:"per_unit"`
	// Residual is the largest distance of a point from the line, as a share
	// of the largest value.
	Residual float64 `json:"residual"`
}

// At returns the line's value for a driver. The line is not trusted below the
// smallest measured value, so the result is never less than zero.
func (s *Slope) At(driver float64) float64 {
	return max(0, s.Intercept+s.PerUnit*driver)
}

// minSizes is the number of sizes that a slope needs.
const minSizes = 4

// Fit answers a question from results. It fails with CodeNotFound if there is
// no result, or with CodeInvalid if a driver was measured at too few sizes.
func Fit(q Question, results []Result) (*Slope, error) {
	s := &Slope{Question: q}
	for i := range results {
		if point, ok := q.point(&results[i]); ok {
			s.Points = append(s.Points, point)
		}
	}
	if len(s.Points) == 0 {
		return nil, baobabstep.Errorf(baobabstep.CodeNotFound, "capacity.fit", "%s: got no result of %s.%s in %s", q.Name, q.Package, q.Benchmark, q.Metric)
	}
	s.Points = medians(s.Points)
	if q.Driver == "" {
		s.Intercept = s.Points[0].Value
		return s, nil
	}
	if len(s.Points) < minSizes {
		return nil, baobabstep.Errorf(baobabstep.CodeInvalid, "capacity.fit", "%s: got %d sizes, want at least %d", q.Name, len(s.Points), minSizes)
	}
	s.fitLine()
	return s, nil
}

// point returns the result as a point if it answers the question.
func (q *Question) point(r *Result) (Point, bool) {
	value, measured := r.Metrics[q.Metric]
	if !measured || r.Package != q.Package || r.Benchmark != q.Benchmark {
		return Point{}, false
	}
	for key, want := range q.Where {
		if r.Parameters[key] != want {
			return Point{}, false
		}
	}
	if q.Driver == "" {
		return Point{Value: value}, true
	}
	driver, err := strconv.ParseFloat(r.Parameters[q.Driver], 64)
	return Point{Driver: driver, Value: value}, err == nil
}

// medians joins the points of repeated runs at one size.
func medians(points []Point) []Point {
	bySize := make(map[float64][]float64)
	for _, p := range points {
		bySize[p.Driver] = append(bySize[p.Driver], p.Value)
	}
	joined := make([]Point, 0, len(bySize))
	for driver, values := range bySize {
		slices.Sort(values)
		joined = append(joined, Point{Driver: driver, Value: stat.Quantile(0.5, stat.Empirical, values, nil)})
	}
	slices.SortFunc(joined, func(a, b Point) int { return cmp.Compare(a.Driver, b.Driver) })
	return joined
}

func (s *Slope) fitLine() {
	x := make([]float64, len(s.Points))
	y := make([]float64, len(s.Points))
	largest := 0.0
	for i, p := range s.Points {
		x[i], y[i] = p.Driver, p.Value
		largest = max(largest, math.Abs(p.Value))
	}
	s.Intercept, s.PerUnit = stat.LinearRegression(x, y, nil, false)
	for _, p := range s.Points {
		if largest > 0 {
			s.Residual = max(s.Residual, math.Abs(p.Value-s.Intercept-s.PerUnit*p.Driver)/largest)
		}
	}
}
