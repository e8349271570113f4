package process

import (
	"context"
	"errors"
	"testing"

	qt "github.com/frankban/quicktest"
)

// A VM ends in two ways: as planned, when its parts go on until it has drained,
// or because a part failed, when there is nothing left to drain with.
func TestPartsEnd(t *testing.T) {
	broken := errors.New("broken")
	for _, test := range []struct {
		name  string
		fails error
		wants []string
	}{
		{"as planned", nil, []string{"drain", "end"}},
		{"a part fails", broken, []string{"end"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			stop, ask := context.WithCancel(context.Background())
			defer ask()
			running, cancel := context.WithCancel(context.Background())
			var order []string
			parts := Parts{
				Functions: []func() error{
					func() error { <-running.Done(); return nil },
					func() error {
						if test.fails == nil {
							ask()
							<-running.Done()
						}
						return test.fails
					},
				},
				Drain: func() {
					order = append(order, "drain")
					qt.Check(t, running.Err(), qt.IsNil)
				},
				End: func() { order = append(order, "end"); cancel() },
			}
			qt.Check(t, parts.Run(stop), qt.Equals, test.fails)
			qt.Check(t, order, qt.DeepEquals, test.wants)
		})
	}
}
