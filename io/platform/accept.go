package platform

import (
	"context"

	"baobabstep"
	"baobabstep/core/config"
)

// Accept carries a change through the platform, step by step.
func Accept(ctx context.Context, p baobabstep.Platform, clock baobabstep.Clock, c config.Change, o config.AcceptOptions) config.Result {
	return carry(ctx, p, clock, config.NewAccept(c, o))
}

// Restore gives a platform that was set back what is in force here.
func Restore(ctx context.Context, p baobabstep.Platform, clock baobabstep.Clock, o config.AcceptOptions) error {
	return carry(ctx, p, clock, config.NewRestore(o)).Err
}

func carry(ctx context.Context, p baobabstep.Platform, clock baobabstep.Clock, a *config.Accept) config.Result {
	if clock == nil {
		clock = wallClock{}
	}
	for s := a.Start(); s.Kind != config.StepDone; {
		if s.Wait > 0 {
			pause(ctx, s.Wait)
		}
		var answer config.Answer
		switch s.Kind {
		case config.StepGet:
			answer.KeyValue, answer.Err = p.Get(ctx, s.Key)
		case config.StepPut:
			answer.Revision, answer.Err = p.Put(ctx, s.Key, s.Value, s.Expected)
		}
		s = a.Next(clock.Now(), answer)
	}
	return a.Result()
}
