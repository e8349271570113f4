package entry

import (
	"math/rand/v2"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"baobabstep"
	"baobabstep/io/setting"
)

// newTestNode returns a VM of dc-0 that no goroutine runs.
func newTestNode(messages Messages, logger log.Interface, limits LogLimits) *Node {
	return New(Options{
		Settings:  &setting.Settings{Name: "vm-0", Region: "r", DataCentre: "dc-0", PeerAddress: peerAddress(0)},
		LogLimits: limits, Logger: logger, Messages: messages, Rand: rand.New(rand.NewPCG(1, 2)), Clock: fixedClock{},
	})
}

// newQuietNode returns one that writes no lines.
func newQuietNode(messages Messages) *Node {
	return newTestNode(messages, &log.Logger{Handler: discard.New(), Level: log.ErrorLevel}, noLines{})
}

// testTable leads benchService to fixtures.
func testTable() *baobabstep.RoutingTable {
	return &baobabstep.RoutingTable{Version: 1, Rules: []baobabstep.Rule{
		{Name: "rule", Address: benchService, Shares: []baobabstep.Share{{Service: "fixtures", Weight: 1}}},
	}}
}

type fixedClock struct{}

func (fixedClock) Now() time.Time { return benchEpoch }

// noLines are limits that let nothing through, allLines such that let all.
type (
	noLines  struct{}
	allLines struct{}
)

func (noLines) Wanted(time.Time, string) bool  { return false }
func (noLines) Dropped() map[string]uint64     { return nil }
func (allLines) Wanted(time.Time, string) bool { return true }
func (allLines) Dropped() map[string]uint64    { return nil }
