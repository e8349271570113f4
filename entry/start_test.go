package entry_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"baobabstep/platform/standin"
)

// The only VM starts while copies of the store are behind: what it reads first says
// of a route and a target that they are there, though both have gone since. It
// serves by that at once, and comes to the newest by itself, soon enough that no
// bound holds it to what it could not know.
func TestStartFromAnOldCopy(t *testing.T) {
	t.Parallel()
	f := newFixture(t, 93, 1)
	f.target(1)
	f.until("a request is answered", func() bool { return f.request(1) == standin.Answered })
	f.store.SetReplicaLag(true)
	f.store.PutRoutes(5, nil)
	f.until("the route is dropped", func() bool { return f.request(2) == standin.Refused })
	f.vms = append(f.vms, f.startVM(2))
	f.until("the second VM holds the newest", func() bool {
		lines := f.vms[1].log.lines()
		return hasLine(lines, "routing table in force", "version", 5.0)
	})
	first := firstLine(f.vms[1].log.lines(), "routing table in force")
	qt.Assert(t, first["source"], qt.Equals, "copy")
	qt.Assert(t, first["version"], qt.Equals, 1.0)
}

// A VM starts beside one that runs. Copies of the store hold what is newest, and
// the other VM says so: the start costs readings of copies only.
func TestStartBesideAnotherVMReadsCopiesOnly(t *testing.T) {
	t.Parallel()
	f := newFixture(t, 94, 1)
	f.target(1)
	f.until("a request is answered", func() bool { return f.request(1) == standin.Answered })
	copies := f.store.ReplicaReads()
	f.vms = append(f.vms, f.startVM(2))
	f.until("the second VM is ready", func() bool { return f.vms[1].node.Ready() == nil })
	f.until("it can hear the first", func() bool {
		return f.logged("peers can be heard", func(fields map[string]any) bool { return fields["vm"] == "vm-2" })
	})
	qt.Assert(t, f.store.ReplicaReads()-copies, qt.Equals, 3) // routes, targets, secret
}

func firstLine(lines []line, message string) map[string]any {
	for _, l := range lines {
		if l.Message == message {
			return l.Fields
		}
	}
	return nil
}

func hasLine(lines []line, message, field string, value any) bool {
	for _, l := range lines {
		if l.Message == message && l.Fields[field] == value {
			return true
		}
	}
	return false
}
