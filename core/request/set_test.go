package request

import (
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"baobabstep"
)

// fleetOf returns the fleet of nine VMs in three data centres, without the VMs of
// those in gone and with the VMs of those in suspected marked as suspect.
func fleetOf(gone, suspected []string) *fleet {
	v := &baobabstep.View{}
	for i := range 9 {
		vm := baobabstep.VM{ID: vmID(i), DataCentre: dataCentres[i%3]}
		if slices.Contains(gone, vm.DataCentre) {
			continue
		}
		if slices.Contains(suspected, vm.DataCentre) {
			vm.State = baobabstep.VMSuspect
		}
		v.Members = append(v.Members, vm)
	}
	return newFleet(epoch, v, nil, 0)
}

// At most one side of a partition may own claims. The other side stops as soon as
// it suspects VMs, before any VM is declared dead.
func TestWhichSideMayClaim(t *testing.T) {
	a, b, c := dataCentres[0], dataCentres[1], dataCentres[2]
	tests := []struct {
		name            string
		serves          []string
		gone, suspected []string
		want            bool
	}{
		{"all there", dataCentres, nil, nil, true},
		{"one gone", dataCentres, []string{c}, nil, true},
		{"one suspect", dataCentres, nil, []string{c}, true},
		{"two gone", dataCentres, []string{a, b}, nil, false},
		{"two suspect", dataCentres, nil, []string{a, b}, false},
		{"one gone, one suspect", dataCentres, []string{a}, []string{b}, false},
		{"of two, the first", []string{a, b}, []string{b}, nil, true},
		{"of two, the second", []string{a, b}, []string{a}, nil, false},
		{"no data centres named", nil, []string{a, b}, nil, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := testService(3)
			s.DataCentres = test.serves
			qt.Assert(t, fleetOf(test.gone, test.suspected).mayClaim(&s), qt.Equals, test.want)
		})
	}
}

// A data centre is cut off. Each group keeps two of the three VMs that store its
// claims, so that no request is delayed until the failure is detected.
func TestSetLosesOneVMWithOneDataCentre(t *testing.T) {
	s := testService(3)
	all := fleetOf(nil, nil)
	for i := range 100 {
		id := groupID{service: s.ID, index: i, groups: 128}
		members := all.setOf(id, &s, 0).members
		qt.Assert(t, members, qt.HasLen, 3)
		for _, cut := range dataCentres {
			left := 0
			rest := fleetOf([]string{cut}, nil)
			for _, vm := range members {
				if rest.contains(vm) {
					left++
				}
			}
			qt.Assert(t, left, qt.Equals, 2)
		}
	}
}

// If all VMs are in one data centre, the set still has three members.
func TestSetInOneDataCentre(t *testing.T) {
	s := testService(3)
	f := fleetOf([]string{dataCentres[1], dataCentres[2]}, nil)
	qt.Assert(t, f.setOf(groupID{service: s.ID, groups: 1}, &s, 0).members, qt.HasLen, 3)
}
