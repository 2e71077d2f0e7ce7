package constants

import "time"

// MachineTypesInterval is how often the cloud's machine types, and with them the spot
// prices, are read.
const MachineTypesInterval = 60 * time.Second
