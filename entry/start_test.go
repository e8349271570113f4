package entry_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"baobabstep/platform/standin"
)

// Guards against a VM that keeps the content of an outdated replica of the store that it
// started from. The replica holds a route that has been removed since. The VM serves by it at
// once, and reads the newest content itself before any time limit applies to the outdated one.
func TestStartFromOutdatedReplica(t *testing.T) {
	t.Parallel()
	f := newFixture(t, 93, 1)
	f.target(1)
	f.eventually("a request is answered", func() bool { return f.request(1) == standin.Answered })
	f.store.SetReplicaLag(true)
	f.store.PutRoutes(5, nil)
	f.eventually("the route is dropped", func() bool { return f.request(2) == standin.Refused })
	f.vms = append(f.vms, f.startVM(2))
	f.eventually("the second VM has the newest routing table", func() bool {
		lines := f.vms[1].log.lines()
		return hasLine(lines, "routing table in force", "version", 5.0)
	})
	first := firstLine(f.vms[1].log.lines(), "routing table in force")
	qt.Assert(t, first["source"], qt.Equals, "copy")
	qt.Assert(t, first["version"], qt.Equals, 1.0)
}

// Guards against reads of the newest content by a VM that starts while another VM runs. The
// replicas of the store are up to date and the other VM confirms them, so only replicas are
// read.
func TestStartBesideAnotherVMReadsReplicasOnly(t *testing.T) {
	t.Parallel()
	f := newFixture(t, 94, 1)
	f.target(1)
	f.eventually("a request is answered", func() bool { return f.request(1) == standin.Answered })
	replicaReads := f.store.ReplicaReads()
	f.vms = append(f.vms, f.startVM(2))
	f.eventually("the second VM is ready", func() bool { return f.vms[1].node.Ready() == nil })
	f.eventually("the second VM can receive messages of the first", func() bool {
		return f.logged("fleet secret set", func(fields map[string]any) bool { return fields["vm"] == "vm-2" })
	})
	qt.Assert(t, f.store.ReplicaReads()-replicaReads, qt.Equals, 3) // routes, targets, secret
}

func firstLine(lines []logLine, message string) map[string]any {
	for _, l := range lines {
		if l.Message == message {
			return l.Fields
		}
	}
	return nil
}

func hasLine(lines []logLine, message, field string, value any) bool {
	for _, l := range lines {
		if l.Message == message && l.Fields[field] == value {
			return true
		}
	}
	return false
}
