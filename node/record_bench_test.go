package node

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"baobabstep"
	"baobabstep/core/flow"
	"baobabstep/core/target"
	"baobabstep/io/wire"
)

// recordFleet is a fleet of flow routers alone, with a target that accepts
// everything. It counts the bytes of datagrams that exist only for the records.
type recordFleet struct {
	b       *testing.B
	now     time.Time
	routers map[baobabstep.VMID]*flow.Router
	ids     []baobabstep.VMID
	rand    *rand.Rand
	key     wire.Key
	buffer  []byte
	bytes   int
	// accepted is the target's last acceptance.
	accepted baobabstep.Packet
}

func newRecordFleet(b *testing.B, vms int) *recordFleet {
	b.Helper()
	key, err := wire.NewKey(make([]byte, 16))
	if err != nil {
		b.Fatal(err)
	}
	f := &recordFleet{
		b: b, now: time.Unix(1e9, 0), routers: map[baobabstep.VMID]*flow.Router{},
		rand: rand.New(rand.NewPCG(1, 2)), key: key,
	}
	centres := []string{"hobart-a", "kingston-b", "glenorchy-c"}
	view := &baobabstep.View{Number: 1}
	for i := range vms {
		name := fmt.Sprintf("vm-%d", i)
		vm := baobabstep.VM{ID: baobabstep.MakeVMID(name), Name: name, DataCentre: centres[i%3], Rack: fmt.Sprint(i % 7), Incarnation: 1}
		view.Members = append(view.Members, vm)
		f.ids = append(f.ids, vm.ID)
	}
	c := recordConfig(centres)
	for _, vm := range view.Members {
		targets := target.New(f.now, target.Options{Self: vm.ID, DataCentre: vm.DataCentre, Rand: rand.New(rand.NewPCG(1, uint64(vm.ID)))})
		targets.SetConfig(f.now, c)
		r := flow.New(f.now, flow.Options{Self: vm.ID, DataCentre: vm.DataCentre, Chooser: targets, Rand: rand.New(rand.NewPCG(2, uint64(vm.ID)))})
		r.SetConfig(f.now, c)
		own := *view
		own.Self = vm.ID
		r.SetView(f.now, &own)
		f.routers[vm.ID] = r
	}
	f.now = f.now.Add(time.Minute) // the first view is an old one
	return f
}

func recordConfig(centres []string) *baobabstep.Config {
	service := baobabstep.Service{
		ID: baobabstep.MakeServiceID("a", "s"), Name: "a/s", Address: serviceAddress, DataCentres: centres, MaxEjectedShare: 0.5,
	}
	for i := range 15 {
		name := fmt.Sprintf("target-%d", i)
		service.Targets = append(service.Targets, baobabstep.Target{
			ID: baobabstep.MakeTargetID(name), Name: name, Service: service.ID, DataCentre: centres[i%3],
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 9, 0, byte(i + 1)}), 9000), Slots: 2, Connections: 1 << 30,
		})
	}
	c := &baobabstep.Config{Version: 1, Services: []baobabstep.Service{service}}
	c.Index()
	return c
}

// enter hands a packet to a random VM, as the fabric does, and follows what it
// causes.
func (f *recordFleet) enter(p baobabstep.Packet) {
	f.handle(f.ids[f.rand.IntN(len(f.ids))], &p)
}

func (f *recordFleet) handle(vm baobabstep.VMID, p *baobabstep.Packet) {
	var out baobabstep.Outbox
	f.routers[vm].Handle(f.now, p, &out)
	for i := range out {
		f.deliver(&out[i])
	}
}

func (f *recordFleet) deliver(s *baobabstep.OutgoingPacket) {
	switch s.Dest {
	case baobabstep.DestVM:
		f.count(&s.Packet)
		f.handle(s.VM, &s.Packet)
	case baobabstep.DestTarget:
		if s.Packet.Kind == baobabstep.KindOpen {
			back := s.Packet
			back.Kind, back.FromTarget, back.Route = baobabstep.KindOpened, true, baobabstep.Route{}
			f.accepted = back
			f.enter(back)
		}
	default:
	}
}

func (f *recordFleet) count(p *baobabstep.Packet) {
	if p.Kind == baobabstep.KindClose {
		return // It goes on to the target.
	}
	switch p.Route.Purpose {
	case baobabstep.PurposeLearn, baobabstep.PurposeForget, baobabstep.PurposeStored:
		var err error
		if f.buffer, err = wire.Append(f.buffer[:0], p, f.key); err != nil {
			f.b.Fatal(err)
		}
		f.bytes += len(f.buffer)
	default:
	}
}

// pushAfter is the time from the acceptance of a flow to the target's first push.
const pushAfter = 1500 * time.Millisecond

// push sends data of the target that accepted the flow last.
func (f *recordFleet) push(key baobabstep.FlowKey) {
	p := f.accepted
	if p.Flow != key {
		f.b.Fatalf("flow %v was not accepted", key)
	}
	p.Kind = baobabstep.KindData
	f.enter(p)
}

// BenchmarkRecordBytes measures the bytes that VMs send each other for one flow
// over its life, beyond the packets of caller and target: an open, a push before
// the caller's first data, three data packets, a close.
func BenchmarkRecordBytes(b *testing.B) {
	for _, vms := range []int{9, 40, 164, 460} {
		b.Run(fmt.Sprintf("vms=%d", vms), func(b *testing.B) {
			f := newRecordFleet(b, vms)
			n := uint64(0)
			for b.Loop() {
				n++
				p := openPacket(n)
				f.enter(p)
				f.now = f.now.Add(pushAfter)
				f.push(p.Flow)
				p.Kind = baobabstep.KindData
				for range 3 {
					f.enter(p)
				}
				p.Kind = baobabstep.KindClose
				f.enter(p)
			}
			b.ReportMetric(float64(f.bytes)/float64(n), "B/flow")
		})
	}
}
