package entry

import (
	"encoding/json"
	"net/netip"
	"os"
	"regexp"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	qt "github.com/frankban/quicktest"

	"baobabstep"
)

// failingTarget is the target for which sendRequests produces error answers.
const failingTarget = baobabstep.TargetID(1)

// sendRequests sends requests of callers for some seconds. Answers have 770 bytes, every
// second one of failingTarget 160.
func sendRequests(n *Node, from time.Time, seconds int) (now time.Time) {
	const perSecond, callers = 100, 40
	var out []baobabstep.OutgoingDatagram
	send := func(at time.Time, s baobabstep.Segment) baobabstep.OutgoingDatagram {
		out = out[:0]
		n.router.Handle(at, &s, &out)
		return out[0]
	}
	for i := range seconds * perSecond {
		now = from.Add(time.Duration(i) * time.Second / perSecond)
		caller := netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, 0, byte(i % callers)}), uint16(2000+i))
		key := baobabstep.FlowKey{Caller: caller, Service: benchService}
		placed := send(now, baobabstep.Segment{Kind: baobabstep.KindOpen, Flow: key, Seq: 10})
		size := uint32(770)
		if placed.Target == failingTarget && i%2 == 0 {
			size = 160
		}
		later := baobabstep.Segment{Kind: baobabstep.KindData, Flow: key, Token: placed.Token, Seq: 11, Acked: 500, Size: 200}
		send(now.Add(time.Millisecond), later)
		later.Kind, later.Seq, later.Acked, later.Size = baobabstep.KindClose, 211, 500+size, 0
		send(now.Add(6*time.Millisecond), later)
		if i%10 == 0 {
			n.router.Tick(now.Add(7*time.Millisecond), new([]baobabstep.OutgoingDatagram))
		}
	}
	return now
}

// Guards against a target that keeps getting flows while its health checks succeed but half of
// its answers are errors. Also checks that the log line cited by the operators' page for this
// case is written, with the fields that the page explains.
func TestOperationsPageOnFailingTargets(t *testing.T) {
	lines := memory.New()
	n := newTestNode(new(countingMessages), &log.Logger{Handler: lines, Level: log.InfoLevel}, keepAllLines{})
	n.router.SetTable(benchEpoch, testTable())
	var list []baobabstep.Registration
	for id := failingTarget; id <= 6; id++ {
		list = append(list, baobabstep.Registration{
			ID: id, Service: "fixtures", DataCentre: "dc-0", Slots: 2, Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 9, 0, byte(id)}), 80),
		})
	}
	n.router.SetRegistrations(benchEpoch, list)
	now := sendRequests(n, benchEpoch, 5)

	page, err := os.ReadFile("../docs/OPERATIONS.md")
	qt.Assert(t, err, qt.IsNil)
	cited := regexp.MustCompile(`(?m)^\{"fields":.*"message":"target_failing"\}$`).Find(page)
	var want struct {
		Fields map[string]any `json:"fields"`
	}
	qt.Assert(t, json.Unmarshal(cited, &want), qt.IsNil)
	var got *log.Entry
	for _, entry := range lines.Entries {
		if entry.Message == "target_failing" {
			got = entry
		}
	}
	qt.Assert(t, got, qt.IsNotNil)
	for field := range want.Fields {
		_, has := got.Fields[field]
		qt.Check(t, has, qt.IsTrue, qt.Commentf("field %s", field))
	}
	qt.Assert(t, got.Fields["target"], qt.Equals, "0000000001")
	qt.Assert(t, n.router.Stats().Failing, qt.Equals, 1)

	before := n.router.Stats().Outcomes["short"]
	qt.Assert(t, before > 0, qt.IsTrue)
	sendRequests(n, now, 1)
	qt.Assert(t, n.router.Stats().Outcomes["short"]-before <= 1, qt.IsTrue)
}
