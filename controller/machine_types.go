package controller

import (
	"context"
	"log/slog"
	"time"

	"ravenport/apiserver"
	"ravenport/constants"
	"ravenport/logkey"
	"ravenport/wire"
)

// machineTypeState is the cloud's machine types as last read.
type machineTypeState struct {
	known    []wire.MachineType
	nextRead time.Time
	reading  bool
}

// readMachineTypes reads the machine types from the cloud when that is due.
func (c *controlActor) readMachineTypes(ctx context.Context, now time.Time) {
	if c.machineTypes.reading || now.Before(c.machineTypes.nextRead) {
		return
	}
	c.machineTypes.reading = true
	go func() {
		types, err := c.dependencies.Cloud.MachineTypes(ctx)
		c.self.Tell(machineTypesRead{types, err})
	}()
}

// handleMachineTypes keeps the machine types and passes them on; a failed read is
// repeated soon.
func (c *controlActor) handleMachineTypes(now time.Time, m machineTypesRead) {
	c.machineTypes.reading = false
	if m.err != nil {
		slog.Info("reading machine types failed", logkey.Err, m.err)
		c.machineTypes.nextRead = now.Add(constants.RetryBackoffMax / 2)
		return
	}
	c.machineTypes.nextRead = now.Add(constants.MachineTypesInterval)
	c.machineTypes.known = m.types
	c.apiServer.Tell(apiserver.MachineTypes(m.types))
	c.tellOwners(m)
}
