// Package settings holds what a controller is configured with: the platform's settings,
// the operators' own settings and those of the optional features, their defaults and
// checks, and what the program derives from them (times, limits and shares). It reads no
// files; package settings/load does.
package settings

import (
	"slices"
	"time"
)

// Settings are all settings of one controller. The fields with TOML keys come from the
// platform's settings file, the others from the operators' files.
type Settings struct {
	// Controller is this controller's name, and Zone the zone that it runs in.
	Controller string `toml:"node"`
	Zone       string `toml:"domain"`
	// Listen is the address for users, workers and health checks, and PeerAddr the one
	// for the other controllers; both are IP addresses with a port.
	Listen     string     `toml:"bind"`
	PeerAddr   string     `toml:"back"`
	Peers      []Peer     `toml:"siblings"`
	Services   Services   `toml:"outside"`
	Deployment Deployment `toml:"facts"`

	Operator Operator `toml:"-"`
	// Detection is nil where failure detection is off.
	Detection *Detection `toml:"-"`
	Duties    Duties     `toml:"-"`
	// Draining is nil where draining is off.
	Draining *Draining `toml:"-"`
}

// Peer is another controller.
type Peer struct {
	Controller string `toml:"node"`
	Zone       string `toml:"domain"`
	Addr       string `toml:"peer_addr"`
}

// Services are the addresses of the services that the controllers use.
type Services struct {
	Cloud string `toml:"cloud"`
	Store string `toml:"state"`
}

// Deployment describes the deployment; it is the same for all controllers.
type Deployment struct {
	Controllers   int           `toml:"size"`
	Zones         []string      `toml:"zones"`
	ClockOffsetMS float64       `toml:"clock_off_ms"`
	Teams         []Team        `toml:"teams"`
	Objectives    []Objective   `toml:"objectives"`
	Workers       WorkerTimes   `toml:"workers"`
	Store         Store         `toml:"state"`
	Cloud         Cloud         `toml:"cloud"`
	Limits        MachineLimits `toml:"machine_limits"`
}

// WorkerTimes are the times that workers keep to, in seconds.
type WorkerTimes struct {
	// HeartbeatS is the time between two heartbeats of a worker.
	HeartbeatS float64 `toml:"report_s"`
	// LeaseS is how long a worker runs its tasks on without a reply to its heartbeats.
	LeaseS float64 `toml:"lease_s"`
	// CancelTimeoutS is within which time all tasks of a canceled job must have ended.
	CancelTimeoutS float64 `toml:"cancel_s"`
	// GangWaitTimeoutS is after which time a gang task that waits for the others gives up.
	GangWaitTimeoutS float64 `toml:"gang_wait_s"`
	// GangPeerTimeoutS is within which time the tasks of a gang notice that another one is gone
	// or is being stopped.
	GangPeerTimeoutS float64 `toml:"gang_peer_s"`
}

// Store are the limits of the key-value store.
type Store struct {
	StoreLimits
	// Next are the limits that come into force at some later moment, unannounced.
	Next NextLimits `toml:"next"`
}

// StoreLimits are limits of the key-value store, which all controllers share.
type StoreLimits struct {
	RPS      float64 `toml:"rps"`       // requests a second
	WriteRPS float64 `toml:"write_rps"` // of those, writes a second
	ValueKB  float64 `toml:"value_kb"`  // size of a value (KiB)
	TxnOps   int     `toml:"txn_ops"`   // changes in one transaction
}

// NextLimits are later limits of the key-value store; one that is nil stays as it is.
type NextLimits struct {
	RPS      *float64 `toml:"rps"`
	WriteRPS *float64 `toml:"write_rps"`
	ValueKB  *float64 `toml:"value_kb"`
	TxnOps   *int     `toml:"txn_ops"`
}

// Cloud describes the cloud's interface.
type Cloud struct {
	// RPS is how many calls a second all controllers may make together.
	RPS float64 `toml:"rps"`
	// ListLagS is how many seconds the cloud's list of machines may be out of date.
	ListLagS float64 `toml:"list_lag_s"`
}

// MachineLimits are the limits of the machine that a controller runs on; 0 is unknown.
type MachineLimits struct {
	CPU            float64 `toml:"cpu"` // processors, or a share of one
	MemoryMB       float64 `toml:"memory_mb"`
	MaxConnections int     `toml:"max_connections"` // open sockets
}

// Team is a team with its guaranteed quota and its quota limit, as amounts of CPUs and GPUs
// that its tasks take together; a limit of 0 is none.
type Team struct {
	Name           string  `toml:"name"`
	GuaranteedCPUs float64 `toml:"cpus"`
	LimitCPUs      float64 `toml:"cpus_max"`
	GuaranteedGPUs float64 `toml:"gpus"`
	LimitGPUs      float64 `toml:"gpus_max"`
}

// Objective is a service-level objective: a share of the jobs of a class has started
// (kind "wait") or finished (kind "finished") within a time.
type Objective struct {
	Kind    string  `toml:"kind"`
	Class   string  `toml:"class"`
	WithinS float64 `toml:"within_s"` // seconds
	Share   float64 `toml:"share"`
}

// Team returns the team of a name, or nil.
func (s *Settings) Team(name string) *Team {
	for i := range s.Deployment.Teams {
		if s.Deployment.Teams[i].Name == name {
			return &s.Deployment.Teams[i]
		}
	}
	return nil
}

// ZoneIndex returns the index of a zone, and whether there is a zone of that name.
func (d *Deployment) ZoneIndex(name string) (int, bool) {
	i := slices.Index(d.Zones, name)
	return i, i >= 0
}

// AllControllers returns all controllers with their zones, this one first.
func (s *Settings) AllControllers() []Peer {
	self := Peer{Controller: s.Controller, Zone: s.Zone, Addr: s.PeerAddr}
	return append([]Peer{self}, s.Peers...)
}

// Seconds converts a number of seconds to a duration.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
