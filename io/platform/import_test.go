package platform_test

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"baobabstep"
	"baobabstep/core/config"
	"baobabstep/io/platform"
	standin "baobabstep/standin/platform"
)

func TestExamplesReachAReplica(t *testing.T) {
	for _, org := range []string{"tas-south", "pt-norte"} {
		t.Run(org, func(t *testing.T) {
			c := qt.New(t)
			server := httptest.NewServer(standin.New(standin.Options{}))
			defer server.Close()
			client := platform.NewClient(platform.Options{URL: server.URL})
			defer client.Close()
			export, err := platform.LoadExport("../../examples/" + org)
			c.Assert(err, qt.IsNil)
			res := platform.Import(t.Context(), client, export, config.Change{ID: "first", Operator: "ana", Reason: "set up", Action: "config import"})
			c.Assert(res.Err, qt.IsNil)

			replica := config.NewReplica(time.Now(), config.ReplicaOptions{Self: baobabstep.VM{ID: 1, Name: "vm-1", DataCentre: "a"}})
			ctx, cancel := context.WithCancel(t.Context())
			got := make(chan struct{})
			reader := platform.NewReader(client, replica, nil, func([]config.Out) { close(got) })
			go reader.Run(ctx)
			<-got
			cancel()
			<-reader.Done()
			c.Assert(replica.Current().Version, qt.Equals, uint64(1))
			c.Assert(replica.Current().Services, qt.HasLen, 2)
		})
	}
}
