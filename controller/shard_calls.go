package controller

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"time"

	"ravenport/cloud"
	"ravenport/constants"
	"ravenport/logkey"
	"ravenport/shard"
	"ravenport/wire"
	"ravenport/worker"
)

// perform starts an action that the core decided. Its result arrives as a message.
func (a *shardActor) perform(ctx context.Context, action shard.Action) {
	switch action := action.(type) {
	case shard.SendCommands:
		a.workers.Send(ctx, action.Addr, action.Request, func(r worker.Result) {
			a.self.Tell(commandDone{action.Machine, r})
		})
	case shard.CloseConnection:
		a.workers.Disconnect(action.Addr)
	case shard.Commit:
		go a.commit(ctx, action)
	case shard.ScaleOut:
		go a.scaleOut(ctx, action.Request)
	case shard.ScaleIn:
		go a.scaleIn(ctx, action.Names)
	}
}

// commit writes a transaction of the core. Like scaleOut and scaleIn it runs on its own
// goroutine, outside the actor.
func (a *shardActor) commit(ctx context.Context, c shard.Commit) {
	result := commit(ctx, a.store, writeRequest{txn: c.Txn, description: c.ID.String()})
	a.self.Tell(shardCommitDone{c.ID, result})
}

// scaleOut requests machines from the cloud.
func (a *shardActor) scaleOut(ctx context.Context, request wire.ScaleOutRequest) {
	var machines []string
	err := retryCloudCall(ctx, "scale out", func() error {
		names, err := a.cloud.ScaleOut(ctx, request)
		machines = names
		return err
	})
	a.self.Tell(scaleOutDone{request.RequestID, machines, err})
}

// scaleIn returns machines to the cloud. Only a success is reported to the actor.
func (a *shardActor) scaleIn(ctx context.Context, machines []string) {
	err := retryCloudCall(ctx, "scale in", func() error { return a.cloud.ScaleIn(ctx, machines) })
	if err == nil {
		a.self.Tell(scaleInDone{machines})
	}
}

// retryCloudCall repeats a call to the cloud, with jittered exponential backoff, until it
// succeeds, fails with an error that is not cloud.ErrTransient, or ctx ends.
func retryCloudCall(ctx context.Context, call string, do func() error) error {
	backoff := constants.RetryBackoffMin
	for {
		err := do()
		if !errors.Is(err, cloud.ErrTransient) {
			return err
		}
		slog.Info("cloud call failed", "call", call, logkey.Err, err)
		timer := time.NewTimer(backoff/2 + rand.N(backoff))
		select {
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		case <-timer.C:
		}
		backoff = min(2*backoff, constants.RetryBackoffMax)
	}
}
