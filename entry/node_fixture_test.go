package entry

import (
	"math/rand/v2"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"baobabstep"
	"baobabstep/io/setting"
)

// newTestNode returns a VM of dc-0 without running it.
func newTestNode(messages MessageConn, logger log.Interface, limits LogLimiter) *Node {
	return New(Options{
		Settings:   &setting.Settings{Name: "vm-0", Region: "r", DataCentre: "dc-0", PeerAddress: peerAddress(0)},
		LogLimiter: limits, Logger: logger, Messages: messages, Rand: rand.New(rand.NewPCG(1, 2)), Clock: fixedClock{},
	})
}

// newQuietNode returns a test node that logs nothing.
func newQuietNode(messages MessageConn) *Node {
	return newTestNode(messages, &log.Logger{Handler: discard.New(), Level: log.ErrorLevel}, dropAllLines{})
}

// testTable routes benchService to fixtures.
func testTable() *baobabstep.RoutingTable {
	return &baobabstep.RoutingTable{Version: 1, Rules: []baobabstep.Rule{
		{Name: "rule", Address: benchService, Shares: []baobabstep.Share{{Service: "fixtures", Weight: 1}}},
	}}
}

type fixedClock struct{}

func (fixedClock) Now() time.Time { return benchEpoch }

// dropAllLines and keepAllLines are log limits that allow no lines and all lines.
type (
	dropAllLines struct{}
	keepAllLines struct{}
)

func (dropAllLines) Wanted(time.Time, string) bool { return false }
func (dropAllLines) Dropped() map[string]uint64    { return nil }
func (keepAllLines) Wanted(time.Time, string) bool { return true }
func (keepAllLines) Dropped() map[string]uint64    { return nil }
