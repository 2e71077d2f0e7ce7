package constants

import "time"

// MachineTypesInterval is how often controllers read the cloud's machine types and their
// spot prices.
const MachineTypesInterval = 60 * time.Second
