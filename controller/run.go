package controller

import (
	"context"
	"errors"
	"log/slog"

	"ravenport/cloud"
	"ravenport/history"
	"ravenport/kvstore"
	"ravenport/logkey"
	"ravenport/peer"
	"ravenport/server"
	"ravenport/settings"
	"ravenport/worker"
)

// Run runs a controller with its servers until ctx ends, or until the controller or a
// server fails.
func Run(ctx context.Context, set *settings.Settings) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	dependencies, err := connect(set)
	if err != nil {
		return err
	}
	events := openHistory(set)
	if events != nil {
		defer events.Close()
		dependencies.History = events
	}
	c, err := Start(ctx, set, dependencies)
	if err != nil {
		return err
	}
	failed := c.serve(ctx, set)
	slog.Info("controller started", logkey.Controller, set.Controller, "zone", set.Zone, "listen", set.Listen)
	select {
	case err := <-failed:
		return err
	case err := <-c.Failed():
		return err
	case <-ctx.Done():
		return nil
	}
}

// connect creates the clients of all services that a controller calls.
func connect(set *settings.Settings) (Dependencies, error) {
	limits := set.StoreLimits()
	store := kvstore.NewClient(set.Services.Store, limits.RPS, limits.WriteRPS)
	dependencies := Dependencies{
		Store:       store,
		Unthrottled: store.Unthrottled(),
		Background:  store.Background(),
		Urgent:      store.Urgent(),
		Cloud:       cloud.NewClient(set.Services.Cloud, set.CloudCallRate()),
		Workers:     func() Workers { return worker.NewClient() },
		Peers:       map[string]Peer{},
		Monitors:    map[string]MonitorPeer{},
		Drains:      map[string]DrainPeer{},
	}
	for _, p := range set.Peers {
		client, err := peer.Dial(p.Addr)
		if err != nil {
			return Dependencies{}, err
		}
		dependencies.Peers[p.Controller] = client
		dependencies.Monitors[p.Controller] = client
		dependencies.Drains[p.Controller] = client
	}
	return dependencies, nil
}

// openHistory opens the file of membership events. It returns nil if no file is configured
// or the file cannot be opened. A controller starts even without a file or with a damaged
// one.
func openHistory(set *settings.Settings) *history.File {
	if set.Detection == nil || set.Detection.HistoryPath == "" {
		return nil
	}
	file, err := history.Open(set.Detection.HistoryPath, set.Detection.HistorySize)
	var damage *history.DamageError
	switch {
	case errors.As(err, &damage):
		slog.Warn("membership history is damaged", logkey.Err, damage)
	case err != nil:
		slog.Error("membership history cannot be stored", logkey.Err, err)
		return nil
	}
	return file
}

// serve starts the servers for users, workers and other controllers. The returned channel
// delivers the error of a server that fails.
func (c *Controller) serve(ctx context.Context, set *settings.Settings) <-chan error {
	failed := make(chan error, 2) // one slot for each server, so that neither blocks
	go func() { failed <- peer.Serve(ctx, set.PeerAddr, c.peerHandlers()) }()
	httpServer := server.New(set.Listen, set.SocketLimits().Server, c.route)
	go func() { failed <- httpServer.Run() }()
	return failed
}

// peerHandlers returns the handlers of other controllers' calls. Calls about failure
// detection or draining are refused if that feature is off.
func (c *Controller) peerHandlers() peer.Handlers {
	handlers := peer.Handlers{Status: c.HandlePeerStatus, Commit: c.HandlePeerCommit}
	if c.monitor != nil {
		handlers.Detection = peer.DetectionHandlers{Heartbeat: c.HandlePeerHeartbeat, Probe: c.HandlePeerProbe}
	}
	if c.drainService != nil {
		handlers.Drain = c.drainService.Answer
	}
	return handlers
}
