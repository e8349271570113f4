// Package soak runs the real programs of a fleet with token routing as processes
// of this machine, in front of the stand-in of the users' platform, injects
// faults from outside them and checks the promises of the pages from what
// callers and targets see.
//
// A run is a fleet (fleet.go), callers (load.go), faults with their moments
// (fault.go, plan.go) and a judge (judge.go). A seed fixes the faults and their
// moments, not the scheduling of the machine. It signals only processes that it
// started, by their ids.
package soak
