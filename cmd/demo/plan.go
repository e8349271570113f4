package main

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"baobabstep/core/config"
	"baobabstep/io/platform"
	"baobabstep/standin/callers"
	"baobabstep/standin/fabric"
	"baobabstep/standin/local"
	"baobabstep/standin/targets"
)

// Sizes of the stand-ins' load and behaviour.
const (
	slots              = 2
	connections        = 2000
	serviceTimeMS      = 20
	pushIntervalMS     = 2000
	coldStartMS        = 2000
	reportLagMS        = 1000
	keepaliveMS        = 2000
	silenceMS          = 8000
	urgentTimeoutMS    = 2000
	ordinaryTimeoutMS  = 5000
	callerSockets      = 8
	rampShare          = 0.4
	vmLagMS            = 1000
	platformLatencyMS  = 2
	checkIntervalMS    = 200
	spareVMs           = 2
	urgentShareLive    = 0.7
	urgentShareBatch   = 0.1
	idempotentShare    = 0.5
	cancelledShare     = 0.01
	peerKey            = "000102030405060708090a0b0c0d0e0f"
	operatorKey        = "101112131415161718191a1b1c1d1e1f"
	firstNet, lastNet  = 100, 220
	joiningTargetsName = "joining"
)

// edgeDelayUS is the one-way latency to callers, centreDelayUS that between the
// data centres of a site, in microseconds.
const edgeDelayUS = 1000

var centreDelayUS = map[string]int{"tas-south": 1500, "pt-norte": 1000}

// plan lays out one run: addresses in a /16 of the loopback net of its own, so
// that two runs on one machine do not meet, and everybody's settings.
type plan struct {
	flags   flags
	logs    string
	net     int
	account config.Account
	export  config.Export
	vms     []fabric.VM
	spares  []fabric.VM
	targets targets.Settings
	callers callers.Settings
	fabric  fabric.Settings
	// joining are targets that are not in the first configuration.
	joining []targets.TargetSettings
}

func newPlan(f flags) (*plan, error) {
	p := &plan{flags: f, logs: f.Logs}
	if f.VMs < 1 || f.VMs > 64 || f.Seconds < 1 {
		return nil, errors.Newf("got --vms %d --seconds %d, want 1 to 64 VMs and at least 1 second", f.VMs, f.Seconds)
	}
	if err := p.chooseNet(); err != nil {
		return nil, err
	}
	if err := p.makeLogs(); err != nil {
		return nil, err
	}
	if err := p.readSite(); err != nil {
		return nil, err
	}
	p.layVMs()
	if err := p.layTargets(); err != nil {
		return nil, err
	}
	return p, p.layCallers()
}

func (p *plan) address(third, fourth, port int) netip.AddrPort {
	ip := netip.AddrFrom4([4]byte{127, byte(p.net), byte(third), byte(fourth)})
	return netip.AddrPortFrom(ip, uint16(port))
}

// Places in the net of a run. Targets and services keep the lower ones that
// the example accounts give them.
const (
	thirdEdge     = 180
	thirdFront    = 181
	thirdPlatform = 182
	thirdTargets  = 183
	thirdCallers  = 184
	thirdRelay    = 190
	thirdVM       = 200

	portData     = 7100
	portPeer     = 7200
	portMetrics  = 7300
	portOperator = 7400
	portEdge     = 7000
	portControl  = 7900
)

// chooseNet takes the first net, from one that depends on the process id, that
// no other run has.
func (p *plan) chooseNet() error {
	taken, listener, err := local.FreeNet(firstNet, lastNet-firstNet, os.Getpid(), p.address(thirdPlatform, 1, portControl))
	if err != nil {
		return err
	}
	p.net = taken
	return listener.Close()
}

func (p *plan) makeLogs() error {
	if p.logs == "" {
		dir, err := os.MkdirTemp("", "baobabstep-demo-")
		p.logs = dir
		return err
	}
	return os.MkdirAll(p.logs, 0o755)
}

// readSite reads the example documents and moves their addresses to the net.
func (p *plan) readSite() error {
	dir := filepath.Join(p.flags.Root, "examples", p.flags.Site)
	export, err := platform.LoadExport(dir)
	if err != nil {
		return err
	}
	if len(export.Accounts) != 1 {
		return errors.Newf("%s: got %d accounts, want 1", dir, len(export.Accounts))
	}
	raw := string(export.Accounts[0])
	for _, first := range []string{"127.10.", "127.20."} {
		raw = strings.ReplaceAll(raw, `"`+first, fmt.Sprintf(`"127.%d.`, p.net))
	}
	export.Accounts[0] = json.RawMessage(raw)
	p.export = export
	return json.Unmarshal([]byte(raw), &p.account)
}

func values[T any](s *config.AccountService, name string) (T, error) {
	var v T
	err := json.Unmarshal(s.Values[name], &v)
	return v, errors.Wrapf(err, "service %s: %s", s.Name, name)
}

func (p *plan) dataCentres() []string {
	var names []string
	for i := range p.account.Services {
		list, _ := values[[]string](&p.account.Services[i], "data_centres")
		for _, dc := range list {
			if !slices.Contains(names, dc) {
				names = append(names, dc)
			}
		}
	}
	return names
}

func (p *plan) layVMs() {
	centres := p.dataCentres()
	p.fabric = fabric.Settings{
		Seed:            p.flags.Seed,
		ControlAddress:  p.address(thirdEdge, 1, portControl).String(),
		Edge:            p.address(thirdEdge, 1, portEdge),
		Fronts:          make(map[string]netip.AddrPort),
		CheckIntervalMS: checkIntervalMS,
		EdgeDelayUS:     edgeDelayUS,
		CentreDelayUS:   centreDelayUS[p.flags.Site],
	}
	for i, dc := range centres {
		p.fabric.Fronts[dc] = p.address(thirdFront, i+1, portEdge)
	}
	for i := range p.flags.VMs + spareVMs {
		c, n := i%len(centres), i/len(centres)+1
		vm := fabric.VM{
			Name:             fmt.Sprintf("%s-%d", centres[c], n),
			DataCentre:       centres[c],
			DataAddress:      p.address(thirdVM+c, n, portData),
			PeerAddress:      p.address(thirdVM+c, n, portPeer),
			MetricsAddress:   p.address(thirdVM+c, n, portMetrics),
			RelayDataAddress: p.address(thirdRelay+c, n, portData),
			RelayPeerAddress: p.address(thirdRelay+c, n, portPeer),
		}
		p.fabric.VMs = append(p.fabric.VMs, vm)
	}
	p.vms, p.spares = p.fabric.VMs[:p.flags.VMs], p.fabric.VMs[p.flags.VMs:]
}

// layTargets makes the targets of the account, and one more per service that
// can join later.
func (p *plan) layTargets() error {
	p.targets = targets.Settings{
		Seed:           p.flags.Seed,
		ControlAddress: p.address(thirdTargets, 1, portControl).String(),
		Fronts:         p.fabric.Fronts,
		VMDataCentres:  make(map[netip.Addr]string),
		ServiceTimeMS:  serviceTimeMS,
		PushIntervalMS: pushIntervalMS,
		ColdStartMS:    coldStartMS,
		ReportLagMS:    reportLagMS,
	}
	for _, vm := range p.fabric.VMs {
		p.targets.VMDataCentres[vm.DataAddress.Addr()] = vm.DataCentre
	}
	for i := range p.account.Services {
		s := &p.account.Services[i]
		list, err := values[[]config.TargetValue](s, "targets")
		if err != nil {
			return err
		}
		for _, t := range list {
			if err := p.addTarget(s, t, false); err != nil {
				return err
			}
		}
		spare := config.TargetValue{
			Name:       s.Name + "-" + joiningTargetsName,
			Address:    p.address(i+1, 200, 9000).String(),
			DataCentre: list[0].DataCentre,
		}
		if err := p.addTarget(s, spare, true); err != nil {
			return err
		}
	}
	return nil
}

func (p *plan) addTarget(s *config.AccountService, t config.TargetValue, joining bool) error {
	address, err := netip.ParseAddrPort(t.Address)
	if err != nil {
		return errors.Wrapf(err, "target %s", t.Name)
	}
	settings := targets.TargetSettings{
		Name: t.Name, Service: p.account.Name + "/" + s.Name, Address: address, DataCentre: t.DataCentre,
		Slots: slots, Connections: connections, Down: joining,
	}
	p.targets.Targets = append(p.targets.Targets, settings)
	if joining {
		p.joining = append(p.joining, settings)
	}
	return nil
}

// layCallers shares flows and requests out by the capacity of the services.
func (p *plan) layCallers() error {
	p.callers = callers.Settings{
		Seed:              p.flags.Seed,
		ControlAddress:    p.address(thirdCallers, 1, portControl).String(),
		Edge:              p.fabric.Edge,
		Host:              p.address(thirdCallers, 1, 0).Addr(),
		Sockets:           callerSockets,
		RampMS:            int(float64(p.flags.Seconds) * rampShare * 1000),
		KeepaliveMS:       keepaliveMS,
		SilenceMS:         silenceMS,
		UrgentTimeoutMS:   urgentTimeoutMS,
		OrdinaryTimeoutMS: ordinaryTimeoutMS,
	}
	total := len(p.targets.Targets) - len(p.joining)
	flowCount := p.flags.Flows
	if flowCount < 0 {
		flowCount = total * connections / 2
	}
	rate := p.flags.RequestsPerSecond
	if rate < 0 {
		rate = p.flags.Load * float64(total*slots) / (serviceTimeMS / 1000.0)
	}
	for i := range p.account.Services {
		s := &p.account.Services[i]
		list, err := values[[]config.TargetValue](s, "targets")
		if err != nil {
			return err
		}
		address, err := values[netip.AddrPort](s, "address")
		if err != nil {
			return err
		}
		share := float64(len(list)) / float64(total)
		urgent := urgentShareLive
		if s.Template == "batch" {
			urgent = urgentShareBatch
		}
		p.callers.Services = append(p.callers.Services, callers.ServiceSettings{
			Name: p.account.Name + "/" + s.Name, Address: address,
			Flows: int(float64(flowCount)*share + 0.5), RequestsPerSecond: rate * share,
			UrgentShare: urgent, IdempotentShare: idempotentShare, CancelledShare: cancelledShare,
		})
	}
	return nil
}

func (p *plan) platformAddress() string { return p.address(thirdPlatform, 1, portControl).String() }

// vmSettings is the settings file of a VM.
func (p *plan) vmSettings(vm *fabric.VM) map[string]any {
	return map[string]any{
		"name":                   vm.Name,
		"region":                 p.flags.Site,
		"data_centre":            vm.DataCentre,
		"rack":                   vm.Name,
		"data_address":           vm.DataAddress,
		"peer_address":           vm.PeerAddress,
		"advertise_data_address": vm.RelayDataAddress,
		"advertise_peer_address": vm.RelayPeerAddress,
		"metrics_address":        vm.MetricsAddress,
		"operator_address":       netip.AddrPortFrom(vm.DataAddress.Addr(), portOperator),
		"platform_url":           "http://" + p.platformAddress(),
		"seeds":                  p.seeds(vm),
		"peer_keys":              []string{peerKey},
		"operator_keys":          []map[string]string{{"id": "demo", "secret": operatorKey}},
		"policy":                 p.flags.Policy,
	}
}

// seeds are the relay addresses of the first VMs but the VM's own.
func (p *plan) seeds(self *fabric.VM) []netip.AddrPort {
	seeds := []netip.AddrPort{}
	for i := range p.vms {
		if vm := &p.vms[i]; vm.Name != self.Name && len(seeds) < 3 {
			seeds = append(seeds, vm.RelayPeerAddress)
		}
	}
	return seeds
}

// write puts a settings file into the folder of logs and returns its path.
func (p *plan) write(name string, settings any) (string, error) {
	raw, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return "", err
	}
	path := filepath.Join(p.logs, name+".json")
	return path, os.WriteFile(path, raw, 0o600)
}
