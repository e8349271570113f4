package main

import (
	"math/rand/v2"
	"os"

	"github.com/apex/log"
	jsonlog "github.com/apex/log/handlers/json"

	"baobabstep"
	"baobabstep/io/packet"
	"baobabstep/io/peer"
	"baobabstep/io/platform"
	"baobabstep/io/process"
	"baobabstep/io/setting"
	"baobabstep/node"
)

// platformSeed keeps the platform client's random numbers apart from the VM's.
const platformSeed = 8

type balance struct {
	Settings string `required:"" help:"Settings file (JSON); docs/SETTINGS.md lists the fields." type:"existingfile"`
	Seed     uint64 `help:"Seed of the VM's random numbers; 0 draws one." default:"0"`
}

// Run implements the command.
func (b balance) Run() error {
	s, err := setting.Read(b.Settings)
	if err != nil {
		return err
	}
	logger := newLogger(s.LogLevel)
	stop, hurry := process.StopSignals(logger)
	if s.Policy == setting.PolicyToken {
		return baobabstep.Errorf(baobabstep.CodeUsage, "balance", "policy %q is served by baobabstepd", s.Policy)
	}
	n, err := b.build(s, logger)
	if err != nil {
		return err
	}
	return n.Run(stop, hurry)
}

// build opens the sockets and makes the VM.
func (b balance) build(s *setting.Settings, logger log.Interface) (*node.Node, error) {
	book := new(node.Book)
	sockets, err := packet.New(packet.Options{
		Listen: s.DataAddress, Shards: s.Shards, Keys: setting.Keys(s.PeerKeys), Book: book,
	})
	if err != nil {
		return nil, err
	}
	peers, err := peer.New(peer.Options{
		Self: s.VM(), Listen: s.PeerAddress, LocalIP: s.PeerAddress.Addr(),
		Keys: setting.Keys(s.PeerKeys), Logger: logger,
	})
	if err != nil {
		return nil, err
	}
	packets := make([]baobabstep.Packets, len(sockets))
	for i, socket := range sockets {
		packets[i] = socket
	}
	seed := b.Seed
	if seed == 0 {
		seed = rand.Uint64()
	}
	client := platform.NewClient(platform.Options{
		URL: s.PlatformURL, LocalAddress: s.PeerAddress.Addr().AsSlice(), Clock: process.Clock{},
		Rand: rand.New(rand.NewPCG(seed, platformSeed)),
	})
	return node.New(node.Options{
		Settings: s, Logger: logger, Clock: process.Clock{}, Platform: client,
		Peers: peers, Packets: packets, Book: book, Seed: seed,
	})
}

func newLogger(level string) log.Interface {
	logger := &log.Logger{Handler: jsonlog.New(os.Stderr), Level: log.MustParseLevel(level)}
	return logger
}
