package member

// RelayPeers returns the names of the VMs of one data centre that the relays of
// another prefer.
func (f *Fleet) RelayPeers(of, by string) []string {
	var names []string
	for _, d := range f.sortedDataCentres {
		if d.name != of {
			continue
		}
		for _, r := range f.rendezvousTop(d, dataCentreKey(d.region, by), notDead) {
			names = append(names, r.vm.Name)
		}
	}
	return names
}
