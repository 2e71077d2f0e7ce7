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

// machineTypeState holds the cloud's machine types as last read, and when they are read
// again.
type machineTypeState struct {
	known    []wire.MachineType
	nextRead time.Time
	reading  bool
}

// readMachineTypes starts to read the machine types from the cloud if a read is due.
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

// handleMachineTypes stores the machine types and sends them to the API server, the leader and
// the shard owners. A failed read is repeated after half of RetryBackoffMax.
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
	c.tellLeader(m)
	c.tellOwners(m)
}
