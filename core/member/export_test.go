package member

// RelayPeers returns the names of the VMs of one data centre that the relays of
// another prefer.
func (f *Fleet) RelayPeers(of, by string) []string {
	var names []string
	for _, d := range f.sorted {
		if d.name != of {
			continue
		}
		for _, r := range f.best(d, dataCentreKey(d.region, by), living) {
			names = append(names, r.vm.Name)
		}
	}
	return names
}
