package capacity

// Constants of the protocols, from the packages named.
const (
	// probersPerTarget and probesPerSecond: core/target, Options.Probers and
	// ProbeInterval.
	probersPerTarget = 3
	probesPerSecond  = 1
	// probeBytes is a health request and its report on the wire: io/wire.
	probeBytes = 2 * (headerBytes + 70)
	// headerBytes are IP and UDP headers of one datagram.
	headerBytes = 28
	// newsPerSecond and newsFanout: node, newsInterval and newsFanout.
	newsPerSecond = 2
	newsFanout    = 3
	// tableHistory is the number of slot tables kept, the present one
	// included, and slotBytes the size of one slot: core/place.
	tableHistory = 5
	slotCount    = 1 << 14
	slotBytes    = 4
	// flowTicksPerSecond: node, controlTick.
	flowTicksPerSecond = 10
	// repairBytes bounds copies made for idle flows, in bytes a second:
	// core/flow, Options.RepairBytesPerSecond.
	repairBytes = 2048
	// changesPerView is how many changes of the slot table one death or
	// planned restart makes: leaving it and coming back.
	changesPerView = 2
	// watchSeconds is how long one watch waits, listSeconds the time between
	// two readings of the list, readersPerDataCentre who does: io/platform,
	// node, core/config.
	watchSeconds         = 20
	listSeconds          = 5
	readersPerDataCentre = 2
	// readsPerChange are calls by which one reader fetches one change, and
	// callsPerAccept those of one accept: core/config.
	readsPerChange = 4
	callsPerAccept = 8
	// baseMemory is the heap and runtime of a VM without load, in bytes.
	baseMemory = 16 << 20
)

// Row is what one role costs one VM.
type Row struct {
	Role      string
	Mechanism string
	// StateBytes is what the role keeps in memory.
	StateBytes float64
	// MessagesPerSecond and BytesPerSecond are sent by the VM.
	MessagesPerSecond float64
	BytesPerSecond    float64
	// CPU is a share of one core.
	CPU float64
	// Data marks a role of the data path: its memory counts against the
	// budget, its processor time and bytes do not.
	Data bool
	// From names the slopes used.
	From []string
}

// Estimate returns one row for each role at a size.
func (m *Measured) Estimate(s Size) []Row {
	return []Row{
		m.membership(s), m.slotTables(s), m.prober(s), m.targetNews(s),
		m.configSpread(s), m.configInForce(s), m.reader(s), m.records(s), m.repair(s), m.holder(s),
	}
}

// Total sums what counts against the control budget.
func Total(rows []Row) Row {
	total := Row{Role: "in all", StateBytes: baseMemory}
	for _, r := range rows {
		total.StateBytes += r.StateBytes
		if r.Data {
			continue
		}
		total.MessagesPerSecond += r.MessagesPerSecond
		total.BytesPerSecond += r.BytesPerSecond
		total.CPU += r.CPU
	}
	return total
}

// PlatformCalls returns the calls a second of the whole fleet.
func (s Size) PlatformCalls() float64 {
	readers := s.DataCentres * readersPerDataCentre
	watches := readers / watchSeconds
	lists := readers / listSeconds
	changes := s.Changes / secondsPerDay * (readers*readsPerChange + callsPerAccept)
	starts := (s.Deaths + s.Restarts) / secondsPerDay
	return watches + lists + changes + starts
}

func (m *Measured) membership(s Size) Row {
	return Row{
		Role:              "member",
		Mechanism:         "probes inside the data centre, relays between data centres, bounded gossip, digests",
		StateBytes:        m.Slope(memberMemory).At(s.VMs) * s.VMs,
		MessagesPerSecond: m.Slope(memberMessages).At(s.VMs),
		BytesPerSecond:    m.Slope(memberBytes).At(s.VMs),
		CPU:               m.Slope(memberCPU).At(s.VMs) / 1e6,
		From:              []string{memberMemory, memberMessages, memberBytes, memberCPU},
	}
}

// slotTables are rebuilt for the data centre in which a VM came or went; only
// changes in the own region count.
func (m *Measured) slotTables(s Size) Row {
	changes := (s.Deaths + s.Restarts) * changesPerView / secondsPerDay / s.Regions
	inDataCentre := s.VMs / s.DataCentres
	// BenchmarkUpdateByOne takes a member out and in again.
	update := m.Slope(placeUpdate).At(inDataCentre) / 2 / 1e9
	return Row{
		Role:       "slot tables",
		Mechanism:  "16,384 slots a data centre, rebuilt where a VM came or went",
		StateBytes: tableHistory * slotCount * slotBytes * s.DataCentres / s.Regions,
		CPU:        changes * update,
		From:       []string{placeUpdate},
	}
}

func (m *Measured) prober(s Size) Row {
	probes := s.Hosts * probersPerTarget * probesPerSecond / s.VMs
	perProbe := (m.Slope(wireAppend).At(0) + m.Slope(wireDecode).At(0)) / 1e9
	// The benchmark's data centre has 164 VMs, as the target size.
	ownTargets := s.Hosts / s.DataCentres
	return Row{
		Role:              "prober",
		Mechanism:         "each target probed by 3 VMs of its data centre, by rendezvous",
		MessagesPerSecond: probes,
		BytesPerSecond:    probes * probeBytes / 2,
		CPU:               m.Slope(probeCPU).At(ownTargets)/1e9 + probes*perProbe,
		From:              []string{probeCPU, wireAppend, wireDecode},
	}
}

func (m *Measured) targetNews(s Size) Row {
	message := m.Slope(newsBytes).At(s.Hosts)
	return Row{
		Role:              "target news",
		Mechanism:         "at most 1,200 bytes to 3 VMs every 500 ms, changes first",
		MessagesPerSecond: newsPerSecond * newsFanout,
		BytesPerSecond:    newsPerSecond * newsFanout * message,
		// The benchmark makes one message and learns one.
		CPU:  newsPerSecond * newsFanout * m.Slope(newsCPU).At(s.Hosts) / 1e9,
		From: []string{newsCPU, newsBytes},
	}
}

// configSpread takes the benchmark's one change in 8 s as it is, which are
// 10,800 a day, and scales it to the changes of the size.
func (m *Measured) configSpread(s Size) Row {
	scale := s.Changes / (secondsPerDay / 8)
	return Row{
		Role:              "config spread",
		Mechanism:         "2 readers a data centre, push along a tree, comparison by version and digest",
		MessagesPerSecond: m.Slope(configMessages).At(s.VMs) * scale,
		BytesPerSecond:    m.Slope(configBytes).At(s.VMs) * scale,
		From:              []string{configMessages, configBytes},
	}
}

func (m *Measured) configInForce(s Size) Row {
	perChange := m.Slope(configChange).At(s.Addresses) + m.Slope(targetConfig).At(s.Hosts)
	return Row{
		Role:       "config in force",
		Mechanism:  "one account rendered anew for each change; targets taken over",
		StateBytes: m.Slope(configMemory).At(s.Addresses),
		CPU:        s.Changes / secondsPerDay * perChange / 1e9,
		From:       []string{configMemory, configChange, targetConfig},
	}
}

func (m *Measured) reader(s Size) Row {
	return Row{
		Role:              "platform reader",
		Mechanism:         "2 VMs a data centre, one waiting watch each; cost of a VM that reads",
		MessagesPerSecond: 1.0/watchSeconds + 1.0/listSeconds + s.Changes/secondsPerDay*readsPerChange,
	}
}

// records counts what VMs tell each other of a flow over its life, beyond the
// packets of caller and target; the two holders share it.
func (m *Measured) records(s Size) Row {
	flows := s.NewFlows / s.VMs
	return Row{
		Role:           "records of new flows",
		Mechanism:      "the copy rides on the open packet, the end on the close",
		BytesPerSecond: flows * m.Slope(flowBytes).At(s.VMs/s.Regions),
		From:           []string{flowBytes},
	}
}

func (m *Measured) repair(Size) Row {
	return Row{
		Role:           "copies for idle flows",
		Mechanism:      "budget of 2,048 bytes a second, oldest flows first",
		BytesPerSecond: repairBytes,
	}
}

// holder has two copies of each record, and looks at each record every 20
// ticks.
func (m *Measured) holder(s Size) Row {
	records := 2 * s.Flows / s.VMs
	return Row{
		Role:       "holder and second copy",
		Mechanism:  "sharded table; the second copy rides the open packet's way",
		StateBytes: records * m.Slope(flowRecord).At(records),
		CPU:        flowTicksPerSecond * m.Slope(flowTick).At(records) / 1e9,
		Data:       true,
		From:       []string{flowRecord, flowTick},
	}
}
