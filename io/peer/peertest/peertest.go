// Package peertest holds the contract of [baobabstep.Peers] as a table of tests
// that any implementation can be run against.
package peertest

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"baobabstep"
)

// patience bounds the wait for a message. It is no part of the contract.
const patience = 20 * time.Second

// Peer is one end under test.
type Peer struct {
	baobabstep.Peers
	// VM is how the others reach this end.
	VM baobabstep.VM
}

// Start returns the end of the VM called name, at the given address if the
// VM has been there before (the zero VM: anywhere).
type Start func(t *testing.T, name string, before baobabstep.VM) Peer

// Test runs the contract. Each end that start returned is closed by the test.
func Test(t *testing.T, start Start) {
	for _, test := range contract {
		t.Run(test.name, func(t *testing.T) { test.run(t, start) })
	}
}

var contract = []struct {
	name string
	run  func(*testing.T, Start)
}{
	{"message arrives with topic and sender", func(t *testing.T, start Start) {
		a, b := pair(t, start)
		send(t, a, b, baobabstep.TopicAudit, "hello")
		m := Receive(t, b)
		qt.Assert(t, m.Topic, qt.Equals, baobabstep.TopicAudit)
		qt.Assert(t, string(m.Body), qt.Equals, "hello")
		qt.Assert(t, m.From, qt.Equals, a.VM.ID)
	}},
	{"sender cannot be forged", func(t *testing.T, start Start) {
		a, b := pair(t, start)
		m := baobabstep.PeerMessage{Topic: baobabstep.TopicMember, From: b.VM.ID, Body: []byte("x")}
		qt.Assert(t, a.Send(b.VM.ID, m), qt.IsNil)
		qt.Assert(t, Receive(t, b).From, qt.Equals, a.VM.ID)
	}},
	{"both directions", func(t *testing.T, start Start) {
		a, b := pair(t, start)
		send(t, a, b, baobabstep.TopicMember, "question")
		qt.Assert(t, string(Receive(t, b).Body), qt.Equals, "question")
		send(t, b, a, baobabstep.TopicMember, "answer")
		qt.Assert(t, string(Receive(t, a).Body), qt.Equals, "answer")
	}},
	{"empty body", func(t *testing.T, start Start) {
		a, b := pair(t, start)
		send(t, a, b, baobabstep.TopicMember, "")
		qt.Assert(t, Receive(t, b).Body, qt.HasLen, 0)
	}},
	{"order within a topic", func(t *testing.T, start Start) {
		a, b := pair(t, start)
		for i := range 50 {
			send(t, a, b, baobabstep.TopicMember, fmt.Sprint(i))
		}
		for i := range 50 {
			qt.Assert(t, string(Receive(t, b).Body), qt.Equals, fmt.Sprint(i))
		}
	}},
	{"unknown VM", func(t *testing.T, start Start) {
		a := start(t, "a", baobabstep.VM{})
		defer a.Close()
		err := a.Send(baobabstep.MakeVMID("nobody"), baobabstep.PeerMessage{Topic: baobabstep.TopicMember})
		qt.Assert(t, baobabstep.CodeOf(err), qt.Equals, baobabstep.CodePeerUnreachable)
	}},
	{"addresses are replaced", func(t *testing.T, start Start) {
		a, b := pair(t, start)
		a.SetPeers(nil)
		err := a.Send(b.VM.ID, baobabstep.PeerMessage{Topic: baobabstep.TopicMember})
		qt.Assert(t, baobabstep.CodeOf(err), qt.Equals, baobabstep.CodePeerUnreachable)
	}},
	{"send never blocks", func(t *testing.T, start Start) {
		a, b := pair(t, start)
		for range 20_000 { // nobody reads
			send(t, a, b, baobabstep.TopicMember, "news")
		}
		qt.Assert(t, string(Receive(t, b).Body), qt.Equals, "news")
	}},
	{"peer that returns", func(t *testing.T, start Start) {
		a, b := pair(t, start)
		send(t, a, b, baobabstep.TopicMember, "first life")
		Receive(t, b)
		qt.Assert(t, b.Close(), qt.IsNil)
		again := start(t, "b", b.VM)
		defer again.Close()
		m := eventually(t, a, again, "second life")
		qt.Assert(t, string(m.Body), qt.Equals, "second life")
	}},
	{"close", func(t *testing.T, start Start) {
		a, b := pair(t, start)
		send(t, a, b, baobabstep.TopicMember, "last words")
		Receive(t, b)
		qt.Assert(t, b.Close(), qt.IsNil)
		_, open := <-b.Messages()
		qt.Assert(t, open, qt.IsFalse)
		qt.Assert(t, b.Close(), qt.IsNil)
		err := b.Send(a.VM.ID, baobabstep.PeerMessage{Topic: baobabstep.TopicMember})
		qt.Assert(t, baobabstep.CodeOf(err), qt.Equals, baobabstep.CodePeerUnreachable)
	}},
}

// pair starts two ends that know each other.
func pair(t *testing.T, start Start) (a, b Peer) {
	t.Helper()
	a, b = start(t, "a", baobabstep.VM{}), start(t, "b", baobabstep.VM{})
	t.Cleanup(func() {
		_ = a.Close()
		_ = b.Close()
	})
	a.SetPeers([]baobabstep.VM{a.VM, b.VM})
	b.SetPeers([]baobabstep.VM{a.VM, b.VM})
	return a, b
}

func send(t *testing.T, from, to Peer, topic, body string) {
	t.Helper()
	qt.Assert(t, from.Send(to.VM.ID, baobabstep.PeerMessage{Topic: topic, Body: []byte(body)}), qt.IsNil)
}

// Receive returns the next message.
func Receive(t *testing.T, p baobabstep.Peers) baobabstep.PeerMessage {
	t.Helper()
	select {
	case m, open := <-p.Messages():
		qt.Assert(t, open, qt.IsTrue)
		return m
	case <-time.After(patience):
		t.Fatalf("got no message within %v", patience)
		return baobabstep.PeerMessage{}
	}
}

// eventually repeats a message until it arrives: delivery is not certain.
func eventually(t *testing.T, from, to Peer, body string) baobabstep.PeerMessage {
	t.Helper()
	deadline := time.After(patience)
	for {
		_ = from.Send(to.VM.ID, baobabstep.PeerMessage{Topic: baobabstep.TopicMember, Body: []byte(body)})
		select {
		case m := <-to.Messages():
			return m
		case <-time.After(20 * time.Millisecond):
		case <-deadline:
			t.Fatalf("got no message within %v", patience)
		}
	}
}
