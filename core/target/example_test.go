package target_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"baobabstep"
	"baobabstep/core/target"
)

// A target that reports that it is draining gets no new flow.
func Example() {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	service := baobabstep.Service{ID: 1, MaxEjectedShare: 0.5, Targets: []baobabstep.Target{
		{ID: 10, Name: "corte-01", Connections: 2000, Slots: 2},
		{ID: 11, Name: "corte-02", Connections: 2000, Slots: 2},
	}}
	config := &baobabstep.Config{Version: 1, Services: []baobabstep.Service{service}}
	config.Index()
	r := target.New(now, target.Options{Rand: rand.New(rand.NewPCG(1, 1))})
	r.SetConfig(now, config)

	r.RecordReport(now, 10, baobabstep.TargetReport{Healthy: true, Draining: true})
	id, code := r.PickFlow(now, &service, "", 42)
	fmt.Println(id, code)
	fmt.Println(r.States(now)[0].Reason)
	// Output:
	// 11 OK
	// leaving by its own report
}
