package wire

// Paths of the cloud.
const (
	PathTypes    = "/flavors"
	PathMachines = "/machines"
	PathScaleIn  = "/machines/return"
)

// Limits of the cloud's calls.
const (
	MaxMachinesPerScaleOut = 50
	MaxMachinesPerScaleIn  = 100
	MaxMachinesListed      = 500
)

// MachineType is what the cloud says of one type.
type MachineType struct {
	Name        string   `json:"sku"`
	CPUs        float64  `json:"cpus"`
	GPUs        float64  `json:"cards"`
	MemoryGB    float64  `json:"mem_gb"`
	CacheGB     float64  `json:"cache_gb"`
	FetchGBPerS float64  `json:"fetch_gb_per_s"`
	Price       float64  `json:"hourly"`
	SpotPrice   float64  `json:"spot_price"`
	BootS       float64  `json:"ready_s"`
	Zones       []string `json:"yards"`
}

// MachineTypes answers the call for the machine types.
type MachineTypes struct {
	Types []MachineType `json:"builds"`
}

// ScaleOutRequest asks for machines.
type ScaleOutRequest struct {
	RequestID string `json:"requisition"`
	Type      string `json:"build"`
	Zone      string `json:"yard"`
	Spot      bool   `json:"loaners"`
	Count     int    `json:"number"`
}

// MachineNames carries the names of machines, rented or to be returned.
type MachineNames struct {
	Machines []string `json:"hosts"`
}

// States of a machine in the cloud's list.
const (
	MachineBooting = "booting"
	MachineRunning = "running"
	MachineFailed  = "failed"
)

// CloudMachine is one machine in the cloud's list.
type CloudMachine struct {
	Name  string  `json:"uid"`
	Addr  string  `json:"addr"`
	Type  string  `json:"build"`
	Zone  string  `json:"yard"`
	Spot  bool    `json:"loaners"`
	State string  `json:"status"`
	AgeS  float64 `json:"age_s"`
}

// MachineList is one page of the cloud's list.
type MachineList struct {
	Machines []CloudMachine `json:"hosts"`
	HasMore  bool           `json:"has_next"`
}
