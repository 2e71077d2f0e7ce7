package wire

import "slices"

// Paths of the cloud's API.
const (
	PathTypes    = "/flavors"
	PathMachines = "/machines" // lists machines, and scales out
	PathScaleIn  = "/machines/return"
)

// Limits per call to the cloud's API (number of machines).
const (
	MaxMachinesPerScaleOut = 50
	MaxMachinesPerScaleIn  = 100
	MaxMachinesListed      = 500
)

// MachineType is one type of machine that the cloud offers.
type MachineType struct {
	Name        string  `json:"sku"`
	CPUs        float64 `json:"cpus"`
	GPUs        float64 `json:"cards"`
	MemoryGB    float64 `json:"mem_gb"`
	CacheGB     float64 `json:"cache_gb"` // space for images
	FetchGBPerS float64 `json:"fetch_gb_per_s"`
	Price       float64 `json:"hourly"` // of an on-demand instance, per hour
	// SpotPrice is the current price of a spot instance, per hour.
	SpotPrice float64 `json:"spot_price"`
	// BootS is the nominal time from the scale-out request until the machine is up (s).
	BootS float64 `json:"ready_s"`
	// Zones are the zones that offer the type; empty if the zones are not known.
	Zones []string `json:"yards"`
}

// Fits reports whether a job allows the type and one task of the job fits an empty machine of
// the type.
func (t *MachineType) Fits(s *Submission) bool {
	return s.AllowsType(t.Name) && s.CPUs <= t.CPUs && s.GPUs <= t.GPUs && s.MemoryGB <= t.MemoryGB
}

// IsOfferedIn reports whether the cloud offers the type in a zone.
func (t *MachineType) IsOfferedIn(zone string) bool {
	return len(t.Zones) == 0 || slices.Contains(t.Zones, zone)
}

// MachineTypes is the response to a request for the list of machine types.
type MachineTypes struct {
	Types []MachineType `json:"builds"`
}

// ScaleOutRequest requests machines.
type ScaleOutRequest struct {
	// RequestID is the idempotency key. A repetition of a successful request returns
	// the same machines, so an id must never be used for another request.
	RequestID string `json:"requisition"`
	Type      string `json:"build"`
	Zone      string `json:"yard"`
	Spot      bool   `json:"loaners"`
	Count     int    `json:"number"`
}

// MachineNames is the response to a scale-out request, where it names the machines that
// the cloud grants, and the body of a scale-in request.
type MachineNames struct {
	Machines []string `json:"hosts"`
}

// MachineState is the state of a machine in the cloud's list.
type MachineState string

// States of a machine.
const (
	MachineBooting MachineState = "booting"
	MachineRunning MachineState = "running"
	MachineFailed  MachineState = "failed" // the machine stopped by itself; the cloud lists it until it is scaled in
)

// CloudMachine is one machine in the cloud's list.
type CloudMachine struct {
	Name  string       `json:"uid"`
	Addr  string       `json:"addr"`
	Type  string       `json:"build"`
	Zone  string       `json:"yard"`
	Spot  bool         `json:"loaners"`
	State MachineState `json:"status"`
	AgeS  float64      `json:"age_s"` // since the scale-out request (s)
}

// MachineList is one page of the cloud's list, sorted by name.
type MachineList struct {
	Machines []CloudMachine `json:"hosts"`
	HasMore  bool           `json:"has_next"`
}
