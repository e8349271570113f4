// Command lab plays a case of the second review: it starts the store, the hosts and the
// clients as stand-ins and the VMs as processes of their own, and records what it sees.
//
// It exits with 1 if a rule was broken, with 0 if all held and with 2 if the case couldn't
// run.
package main

import (
	"flag"
	"fmt"
	"os"
)

// options say how a case is played.
type options struct {
	// trouble is unset for the same course without the disruption.
	trouble bool
	program string
}

var cases = map[string]func(*record, options) error{
	"full-host": playFullHost,
	"gone":      playGone,
	"rolling":   playRolling,
}

func main() {
	name := flag.String("case", "", "name of the case")
	program := flag.String("program", "target/baobabstepd", "program of a VM")
	out := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	play := cases[*name]
	if play == nil {
		fmt.Fprintf(os.Stderr, "got case %q, want a known one\n", *name)
		os.Exit(2)
	}
	r, err := newRecord(*out)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	if err := play(r, options{trouble: trouble, program: *program}); err != nil {
		r.notef("couldn't run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	broken := r.verdict()
	fmt.Printf("%s, trouble %v: %d broken\n", *name, trouble, broken)
	if broken > 0 {
		os.Exit(1)
	}
}
