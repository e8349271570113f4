package node

import (
	"context"
	"crypto/rand"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"baobabstep"
	"baobabstep/core/target"
	"baobabstep/io/operator"
)

const (
	operatorHeaderTimeout = 5 * time.Second
	operatorCloseTimeout  = time.Second
)

var _ operator.Node = (*Node)(nil)

// serveOperators runs the operators' interface until ctx ends.
func (n *Node) serveOperators(ctx context.Context) error {
	address := n.options.Settings.OperatorAddress
	if !address.IsValid() {
		<-ctx.Done()
		return nil
	}
	handler, err := n.operatorHandler()
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return baobabstep.Errorf(baobabstep.CodeSettings, "node.operators", "operator_address: %v", err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: operatorHeaderTimeout}
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(listener) }()
	select {
	case <-ctx.Done():
	case err := <-ended:
		return err
	}
	shutdown, cancel := context.WithTimeout(context.Background(), operatorCloseTimeout)
	defer cancel()
	if server.Shutdown(shutdown) != nil {
		server.Close()
	}
	if err := <-ended; !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

func (n *Node) operatorHandler() (http.Handler, error) {
	o := operator.Options{
		VM:       n.self.Name,
		Platform: n.options.Platform,
		Replica:  n.replica,
		Trail:    n.trail,
		Node:     n,
		Clock:    n.clock,
	}
	for _, key := range n.options.Settings.OperatorKeys {
		o.Keys = append(o.Keys, operator.Key{ID: key.ID, Operator: key.Operator, Secret: key.Secret})
	}
	if _, err := rand.Read(o.FlowSecret[:]); err != nil {
		return nil, baobabstep.Errorf(baobabstep.CodeInternal, "node.operators", "random numbers: %w", err)
	}
	return operator.NewServer(o)
}

// Status implements [operator.Node].
func (n *Node) Status(now time.Time) operator.NodeStatus {
	status := operator.NodeStatus{VM: n.self.Name, Region: n.self.Region, DataCentre: n.self.DataCentre}
	centres := map[string]*operator.DataCentreStatus{}
	centre := func(name string) *operator.DataCentreStatus {
		c := centres[name]
		if c == nil {
			c = &operator.DataCentreStatus{DataCentre: name, VMs: map[string]int{}, Targets: map[string]int{}}
			centres[name] = c
		}
		return c
	}
	for _, vm := range n.fleet.All(now) {
		centre(vm.DataCentre).VMs[stateName(vm)]++
	}
	services := map[baobabstep.ServiceID]*serviceLoad{}
	for _, t := range n.targets.States(now) {
		c := centre(t.DataCentre)
		c.Targets[usability(&t)]++
		c.Flows += t.Load
		load := services[t.Service]
		if load == nil {
			load = new(serviceLoad)
			services[t.Service] = load
		}
		load.add(&t)
	}
	for _, c := range centres {
		status.DataCentres = append(status.DataCentres, *c)
	}
	status.Services = n.serviceStatus(services)
	return status
}

// stateName returns a VM's state as operators read it.
func stateName(vm baobabstep.VM) string {
	if vm.Joining && vm.State == baobabstep.VMAlive {
		return "joining"
	}
	return strings.ToLower(strings.TrimPrefix(vm.State.String(), "VM"))
}

func usability(t *target.State) string {
	switch {
	case t.Usable:
		return "usable"
	case t.Reason != "":
		return t.Reason
	}
	return "not usable"
}

// serviceLoad sums the load of a service's usable targets.
type serviceLoad struct {
	targets, usable, flows, requests, highest, sum int
}

func (l *serviceLoad) add(t *target.State) {
	l.targets++
	l.flows += t.Load
	l.requests += t.Slots
	if t.Usable {
		l.usable++
		l.sum += t.Load
		l.highest = max(l.highest, t.Load)
	}
}

// imbalance is the load of the fullest target over the mean, less 1.
func (l *serviceLoad) imbalance() float64 {
	if l.sum == 0 {
		return 0
	}
	return float64(l.highest*l.usable)/float64(l.sum) - 1
}

func (n *Node) serviceStatus(loads map[baobabstep.ServiceID]*serviceLoad) []operator.ServiceStatus {
	c := n.config.Load()
	if c == nil {
		return nil
	}
	var all []operator.ServiceStatus
	for i := range c.Services {
		s := &c.Services[i]
		load := loads[s.ID]
		if load == nil {
			load = new(serviceLoad)
		}
		all = append(all, operator.ServiceStatus{
			Service: s.Name, Targets: load.targets, Flows: load.flows,
			Requests: load.requests, Imbalance: load.imbalance(),
		})
	}
	return all
}

// Explain implements [operator.Node]. A VM without the record names the VM that
// should have it.
func (n *Node) Explain(_ context.Context, q operator.ExplainQuery) (operator.Explanation, error) {
	const op = "node.explain"
	caller, err := netip.ParseAddrPort(q.Caller)
	if err != nil {
		return operator.Explanation{}, baobabstep.Errorf(baobabstep.CodeInvalid, op, "caller: %v", err)
	}
	service, err := netip.ParseAddrPort(q.Service)
	if err != nil {
		return operator.Explanation{}, baobabstep.Errorf(baobabstep.CodeInvalid, op, "service: %v", err)
	}
	key := baobabstep.FlowKey{Caller: caller, Service: service, Number: q.Number}
	if found, ok := n.explainRequest(key); ok {
		return found, nil
	}
	return n.explainFlow(key)
}

func (n *Node) explainRequest(key baobabstep.FlowKey) (operator.Explanation, bool) {
	found, ok := n.work.Explain(key)
	if !ok {
		return operator.Explanation{}, false
	}
	e := operator.Explanation{
		Flow: key.String(), State: "request " + found.State, Target: n.targetName(found.Target),
		Holder: n.self.Name, Version: n.configNumber(),
		Why: []string{
			fmt.Sprintf("class %s, idempotent %v, attempt %d", found.Class, found.Idempotent, found.Attempt),
			fmt.Sprintf("result %d %v", uint16(found.Code), found.Code),
		},
	}
	if found.Owner != 0 {
		e.Holder = n.vmName(found.Owner)
	}
	if s := n.serviceOf(key); s != nil {
		e.Service = s.Name
	}
	return e, true
}

func (n *Node) explainFlow(key baobabstep.FlowKey) (operator.Explanation, error) {
	found, ok := n.flows.Explain(key)
	if !ok {
		return operator.Explanation{}, baobabstep.Errorf(baobabstep.CodeNotFound, "node.explain",
			"VM %s has no record; its holder would be %s, the second copy %s", n.self.Name, n.vmName(found.Holder), n.vmName(found.Second))
	}
	e := operator.Explanation{
		Flow: key.String(), Target: n.targetName(found.Target), Holder: n.vmName(found.Holder),
		Version: found.Version, State: "flow " + found.State.String(),
		Why: []string{
			fmt.Sprintf("this VM is %s; second copy at %s, confirmed %v", found.Role, n.vmName(found.Second), found.Copied),
			fmt.Sprintf("open for %v; caller silent for %v, target for %v", found.Age, found.CallerIdle, found.TargetIdle),
		},
	}
	if s := n.serviceOf(key); s != nil {
		e.Service = s.Name
	}
	return e, nil
}

func (n *Node) serviceOf(key baobabstep.FlowKey) *baobabstep.Service {
	if c := n.config.Load(); c != nil {
		return c.ServiceAt(key.Service)
	}
	return nil
}

func (n *Node) configNumber() uint64 {
	if c := n.config.Load(); c != nil {
		return c.Version
	}
	return 0
}

// targetName falls back to the identifier for a target that is no longer
// configured.
func (n *Node) targetName(id baobabstep.TargetID) string {
	if c := n.config.Load(); c != nil && c.Target(id) != nil {
		return c.Target(id).Name
	}
	return fmt.Sprintf("%x", uint64(id))
}

func (n *Node) vmName(id baobabstep.VMID) string {
	for _, vm := range n.fleet.All(n.clock.Now()) {
		if vm.ID == id {
			return vm.Name
		}
	}
	return fmt.Sprintf("%x", uint64(id))
}
