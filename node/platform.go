package node

import (
	"context"
	"time"

	"baobabstep"
	"baobabstep/io/platform"
)

// readList feeds the platform's list of VMs to the membership until ctx ends.
// Only the VMs that read the platform anyway go on reading it; the others stop
// once they know a peer, which bounds the calls of the fleet.
func (n *Node) readList(ctx context.Context) error {
	ticker := time.NewTicker(listInterval)
	defer ticker.Stop()
	n.fleet.SetSeeds(n.clock.Now(), n.seeds())
	for {
		now := n.clock.Now()
		if n.needsList(now) {
			vms, err := n.options.Platform.VMs(ctx)
			if err == nil {
				n.fleet.SetSeeds(n.clock.Now(), vms)
			} else {
				n.log.WithError(err).Debug("platform's list of VMs")
			}
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// readConfig follows the platform's head key while this VM is a reader.
func (n *Node) readConfig(ctx context.Context) error {
	platform.NewReader(n.options.Platform, n.replica, n.clock, n.sendConfig).Run(ctx)
	return nil
}

// collectGarbage removes objects that no version in use names any more; it does
// so only while this VM reads the platform.
func (n *Node) collectGarbage(ctx context.Context) error {
	collector := platform.NewCollector(n.options.Platform, n.replica, n.self.Name, n.random(9), n.trail.CatchUp)
	collector.Run(ctx)
	return nil
}

func (n *Node) needsList(now time.Time) bool {
	if n.replica.Reader(now) {
		return true
	}
	v := n.view.Load()
	return v == nil || len(v.Members) < 2
}

// seeds returns the settings' seeds as VMs of which only the address is known.
func (n *Node) seeds() []baobabstep.VM {
	var vms []baobabstep.VM
	for _, address := range n.options.Settings.Seeds {
		vms = append(vms, baobabstep.VM{PeerAddress: address})
	}
	return vms
}
