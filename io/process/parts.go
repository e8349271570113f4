package process

import "context"

// Parts are the long-running functions of a VM. Each ends when the context that
// it was made with does, or with an error that ends the VM.
type Parts struct {
	// Functions are run at once, in their order.
	Functions []func() error
	// Drain is the planned stop; the functions go on until it returns.
	Drain func()
	// End ends the functions: their context, and the sockets that they read.
	End func()
}

// Run runs the parts until ctx ends, and then stops as planned, or until one
// returns, and then ends without. It returns once all have, with the first error.
func (p Parts) Run(ctx context.Context) error {
	ends := make(chan error)
	for _, part := range p.Functions {
		go func() { ends <- part() }()
	}
	left := len(p.Functions)
	var failed error
	select {
	case <-ctx.Done():
		p.Drain()
	case failed = <-ends:
		left--
	}
	p.End()
	for range left {
		if err := <-ends; failed == nil {
			failed = err
		}
	}
	return failed
}
