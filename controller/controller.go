// Package controller implements the controller process: its actors, the calls that the
// actors make, and the servers that users, workers and other controllers call.
//
// The control actor (control.go) holds the controller's lease, and starts and stops the
// leader's actor and the actors of shard owners according to the stored terms. The
// monitor (monitor.go) runs failure detection. Decisions are made in packages without
// side effects (member, leader, shard, detector). The actors of this package pass
// messages and the time to these packages and carry out their decisions.
package controller

import (
	"context"
	"errors"
	"time"

	"ravenport/actor"
	"ravenport/apiserver"
	"ravenport/constants"
	"ravenport/kvstore"
	"ravenport/records"
	"ravenport/settings"
)

// ErrStalled is the error with which a controller ends if one of its actors makes no
// progress.
var ErrStalled = errors.New("controller: an actor makes no progress")

// Controller is a controller without its servers.
type Controller struct {
	name         string
	store        Store
	control      *actor.Ref
	apiServer    *actor.Ref
	monitor      *actor.Ref // nil: failure detection is off
	monitorPeers map[string]MonitorPeer
	drainService *drainService // nil: draining is off
	failures     chan error
}

// Start starts a controller's actors, which run until ctx ends. Start fails only if the
// configuration of failure detection is invalid.
func Start(ctx context.Context, set *settings.Settings, dependencies Dependencies) (*Controller, error) {
	controller := &Controller{
		name:         set.Controller,
		store:        dependencies.Store,
		control:      actor.NewRef(),
		apiServer:    actor.NewRef(),
		monitorPeers: dependencies.Monitors,
		failures:     make(chan error, 1),
	}
	if set.Detection != nil {
		if err := controller.startMonitor(ctx, set, dependencies); err != nil {
			return nil, err
		}
	}
	if set.Draining != nil {
		controller.drainService = &drainService{
			name:        set.Controller,
			control:     controller.control,
			store:       dependencies.Store,
			cloud:       dependencies.Cloud,
			peers:       dependencies.Drains,
			stableAfter: set.Draining.Policy.StableAfter,
		}
	}
	control := newControlActor(set, dependencies, controller.control, controller.apiServer, controller.monitor)
	feed := kvstore.NewFeed(dependencies.Store, set.WatchInterval(), func(update records.Update) { controller.control.Tell(update) })
	go controller.apiServer.Run(ctx, apiserver.New(set, dependencies.Store, controller.apiServer, controller.control))
	go controller.control.Run(ctx, control)
	go feed.Run(ctx)
	go runEvery(ctx, constants.MembershipTickInterval, func(now time.Time) {
		controller.control.Tell(controlTick(now))
		controller.apiServer.Tell(apiserver.Tick(now))
	})
	return controller, nil
}

// startMonitor starts the monitor, which runs failure detection.
func (c *Controller) startMonitor(ctx context.Context, set *settings.Settings, dependencies Dependencies) error {
	c.monitor = actor.NewRef()
	monitor, err := newMonitorActor(set, dependencies, c.monitor, c.control, c.failures)
	if err != nil {
		return err
	}
	if dependencies.History != nil {
		monitor.events.writer = actor.NewRef()
		go monitor.events.writer.Run(ctx, historyWriter{dependencies.History})
	}
	go c.monitor.Run(ctx, monitor)
	go runEvery(ctx, constants.MembershipTickInterval, func(now time.Time) { c.monitor.Tell(monitorTick(now)) })
	return nil
}

// runEvery calls f at an interval until ctx ends.
func runEvery(ctx context.Context, interval time.Duration, f func(now time.Time)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			f(now)
		}
	}
}

// Failed returns a channel that delivers an error if this controller cannot continue and
// must end. The error wraps ErrStalled.
func (c *Controller) Failed() <-chan error { return c.failures }
