package node

import (
	"math/rand/v2"
	"sync"

	"baobabstep"
)

const (
	// newsBytes bounds one message of target news.
	newsBytes = 1200
	// newsFanout is the number of VMs told in one round. With 1,200 bytes
	// every 500 ms to 3 VMs a VM sends at most 7.2 KB/s of target news.
	newsFanout = 3
)

// newsPartners draws distinct members other than this VM.
func (n *Node) newsPartners(v *baobabstep.View) []baobabstep.VMID {
	var partners []baobabstep.VMID
	for _, i := range n.newsDraw.perm(len(v.Members)) {
		id := v.Members[i].ID
		if id == v.Self {
			continue
		}
		partners = append(partners, id)
		if len(partners) == newsFanout {
			break
		}
	}
	return partners
}

// lockedRand makes random numbers usable by several goroutines.
type lockedRand struct {
	mu sync.Mutex
	r  *rand.Rand
}

func (l *lockedRand) uint64() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.r.Uint64()
}

func (l *lockedRand) perm(n int) []int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.r.Perm(n)
}
