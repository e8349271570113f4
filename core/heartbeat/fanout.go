package heartbeat

import (
	"time"

	"baobabstep"
)

// fanouts are the numbers of VMs, of the own data centre and of all others, that get a
// heartbeat in a round.
type fanouts struct{ near, far int }

const (
	// largeDataCentre is the number of other VMs in the own data centre at and above
	// which the fan-outs depend on the load. With fewer VMs, a turn at full fan-out
	// takes less than two seconds.
	largeDataCentre = 64
	// minNearFanout and minFarFanout are the fan-outs of a VM without load.
	minNearFanout, minFarFanout = 2, 2
	// requestsPerHeartbeat is the number of recent requests per heartbeat that a VM sends
	// in a round.
	requestsPerHeartbeat = 2.5
	// storeReaders is the number of VMs of a data centre, the first by rank, that always
	// use the full fan-outs. They may have to read the store, so that the others need to
	// detect their failure quickly.
	storeReaders = 4
	// fullFanoutPeriod is how long a VM uses the full fan-outs after its start, so that the
	// VMs of a starting fleet discover each other.
	fullFanoutPeriod = 8 * time.Second
)

// computeFanouts returns the fan-outs for the given loads. In a large data centre with
// little traffic, heartbeats at full fan-out would outnumber the requests.
func (t *PeerTable) computeFanouts(now time.Time, loads []baobabstep.TargetLoad) fanouts {
	full := fanouts{near: t.options.NearFanout, far: t.options.FarFanout}
	requests := 0.0
	for i := range loads {
		requests += loads[i].Requests
	}
	adaptive := fanouts{
		near: min(max(int(requests/requestsPerHeartbeat), minNearFanout), full.near),
		far:  min(max(int(requests/requestsPerHeartbeat), minFarFanout), full.far),
	}
	near, rank := 0, 0
	for _, p := range t.peers {
		if p.last == nil || p.last.DataCentre != t.options.DataCentre {
			continue
		}
		near++
		if p.last.From < t.options.Self && t.isLive(now, p) {
			rank++
		}
	}
	if near < largeDataCentre {
		adaptive = full
	}
	if now.Sub(t.started) < fullFanoutPeriod || rank < storeReaders {
		return full
	}
	return adaptive
}
