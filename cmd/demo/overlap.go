package main

import (
	"context"

	"baobabstep/standin/control"
	"baobabstep/standin/fabric"
	"baobabstep/standin/targets"
)

// firstLimit is the first queue limit that a change of the configuration sets.
const firstLimit = 12

// overlap counts the faults that are in force on fabric and platform now. The
// stand-ins replace all of their faults at each call, so without the counts the
// end of one fault would end, or its start would hide, another one.
type overlap struct {
	losses, duplicates, outages int
	// loseAnswers is the number of writes that a fault still to be told to the
	// platform adds to those whose answers get lost.
	loseAnswers int
}

// cutCentres lists the data centres that are cut off. The caller holds lock.
func (d *demo) cutCentres() []string {
	cut := []string{}
	for _, dc := range d.plan.dataCentres() {
		if d.cut[dc] > 0 {
			cut = append(cut, dc)
		}
	}
	return cut
}

// changeNetwork changes what is wrong with the fabric, beside what other faults
// set.
func (d *demo) changeNetwork(ctx context.Context, change func(*overlap)) error {
	d.overlapLock.Lock()
	defer d.overlapLock.Unlock()
	change(&d.overlap)
	d.lock.Lock()
	f := fabric.Fault{Cut: d.cutCentres()}
	d.lock.Unlock()
	if d.overlap.losses > 0 {
		f.Loss = lossShare
	}
	if d.overlap.duplicates > 0 {
		f.Duplicate, f.Reorder = duplicateShare, reorderShare
	}
	return control.Call(ctx, d.fabricURL("/fault"), f, nil)
}

// changeTargetPartition tells the targets which data centres are cut off.
func (d *demo) changeTargetPartition(ctx context.Context) error {
	d.overlapLock.Lock()
	defer d.overlapLock.Unlock()
	d.lock.Lock()
	cut := d.cutCentres()
	d.lock.Unlock()
	return d.target(ctx, targets.Fault{Action: "partition", Cut: cut})
}

// platformFaults are the faults of the platform stand-in that are used here.
type platformFaults struct {
	Outage        bool     `json:"outage"`
	LoseAnswers   int      `json:"lose_answers"`
	RefuseSources []string `json:"refuse_sources"`
}

// changePlatform changes what is wrong with the platform, beside what other
// faults set.
func (d *demo) changePlatform(ctx context.Context, change func(*overlap)) error {
	d.overlapLock.Lock()
	defer d.overlapLock.Unlock()
	change(&d.overlap)
	url := "http://" + d.plan.platformAddress() + "/fault"
	// Answers that an earlier fault has still to lose stay to be lost.
	var now struct {
		LoseAnswers int `json:"lose_answers"`
	}
	if err := control.Call(ctx, url, nil, &now); err != nil {
		return err
	}
	f := platformFaults{
		Outage: d.overlap.outages > 0, LoseAnswers: now.LoseAnswers + d.overlap.loseAnswers, RefuseSources: []string{},
	}
	d.overlap.loseAnswers = 0
	d.lock.Lock()
	for _, vm := range d.plan.fabric.VMs {
		if d.cut[vm.DataCentre] > 0 {
			f.RefuseSources = append(f.RefuseSources, vm.DataAddress.Addr().String())
		}
	}
	d.lock.Unlock()
	return control.Call(ctx, url, f, nil)
}

// newLimit returns a queue limit that no change before has set: a change that
// changes nothing is refused.
func (d *demo) newLimit() int {
	d.lock.Lock()
	defer d.lock.Unlock()
	d.limits++
	return firstLimit + d.limits - 1
}
