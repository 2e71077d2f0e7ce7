// Package settings holds the configuration of a controller: the platform's settings, the
// operators' own settings and the settings of optional features, with their defaults and
// checks. It also derives times, limits and shares from them. Package settings/load reads
// the files; this package reads none.
package settings

import (
	"slices"
	"time"
)

// Settings holds all settings of one controller. The fields with TOML keys come from the
// platform's settings file, the others from the operators' files.
type Settings struct {
	// Controller is this controller's name. Zone is the zone in which this controller runs.
	Controller string `toml:"node"`
	Zone       string `toml:"domain"`
	// Listen is the address that serves users, workers and health checks. PeerAddr is the
	// address that serves the other controllers. Both are IP addresses with a port.
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

// Services holds the addresses of the services that the controllers call.
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

// WorkerTimes holds the periods and timeouts that workers apply, in seconds.
type WorkerTimes struct {
	// HeartbeatS is the time between two heartbeats of a worker.
	HeartbeatS float64 `toml:"report_s"`
	// LeaseS is how long a worker keeps running its tasks without a reply to its heartbeats.
	LeaseS float64 `toml:"lease_s"`
	// CancelTimeoutS is the time within which all tasks of a cancelled job must have ended.
	CancelTimeoutS float64 `toml:"cancel_s"`
	// GangWaitTimeoutS is the time after which a gang task stops waiting for the other tasks
	// of its gang.
	GangWaitTimeoutS float64 `toml:"gang_wait_s"`
	// GangPeerTimeoutS is the time within which the tasks of a gang detect that another task
	// of the gang has ended or is being stopped.
	GangPeerTimeoutS float64 `toml:"gang_peer_s"`
}

// Store holds the present and later limits of the key-value store.
type Store struct {
	StoreLimits
	// Next holds the limits that come into force later, at a time that is not announced.
	Next NextLimits `toml:"next"`
}

// StoreLimits holds limits of the key-value store, which all controllers share.
type StoreLimits struct {
	RPS      float64 `toml:"rps"`       // requests per second
	WriteRPS float64 `toml:"write_rps"` // of those requests, writes per second
	ValueKB  float64 `toml:"value_kb"`  // maximum size of a value (KiB)
	TxnOps   int     `toml:"txn_ops"`   // maximum number of changes in one transaction
}

// NextLimits holds later limits of the key-value store. A nil limit does not change.
type NextLimits struct {
	RPS      *float64 `toml:"rps"`
	WriteRPS *float64 `toml:"write_rps"`
	ValueKB  *float64 `toml:"value_kb"`
	TxnOps   *int     `toml:"txn_ops"`
}

// Cloud describes the limits of the cloud's API.
type Cloud struct {
	// RPS is how many calls per second all controllers may make together.
	RPS float64 `toml:"rps"`
	// ListLagS is how many seconds the cloud's list of machines may be out of date.
	ListLagS float64 `toml:"list_lag_s"`
}

// MachineLimits holds the limits of the machine that a controller runs on; 0 means unknown.
type MachineLimits struct {
	CPU            float64 `toml:"cpu"` // number of processors; may be a fraction
	MemoryMB       float64 `toml:"memory_mb"`
	MaxConnections int     `toml:"max_connections"` // maximum number of open sockets
}

// Team is a team with its guaranteed quota and its quota limit: amounts of CPUs and GPUs that
// the team's tasks use together. A limit of 0 means that there is no limit.
type Team struct {
	Name           string  `toml:"name"`
	GuaranteedCPUs float64 `toml:"cpus"`
	LimitCPUs      float64 `toml:"cpus_max"`
	GuaranteedGPUs float64 `toml:"gpus"`
	LimitGPUs      float64 `toml:"gpus_max"`
}

// Objective is a service-level objective: the given share of the jobs of a class must have
// started (kind "wait") or finished (kind "finished") within the given time.
type Objective struct {
	Kind    string  `toml:"kind"`
	Class   string  `toml:"class"`
	WithinS float64 `toml:"within_s"` // seconds
	Share   float64 `toml:"share"`
}

// Team returns the team with the given name, or nil if there is none.
func (s *Settings) Team(name string) *Team {
	for i := range s.Deployment.Teams {
		if s.Deployment.Teams[i].Name == name {
			return &s.Deployment.Teams[i]
		}
	}
	return nil
}

// ZoneIndex returns the index of a zone, and whether there is a zone with that name.
func (d *Deployment) ZoneIndex(name string) (int, bool) {
	i := slices.Index(d.Zones, name)
	return i, i >= 0
}

// AllControllers returns all controllers with their zones, this controller first.
func (s *Settings) AllControllers() []Peer {
	self := Peer{Controller: s.Controller, Zone: s.Zone, Addr: s.PeerAddr}
	return append([]Peer{self}, s.Peers...)
}

// Seconds converts a number of seconds to a duration.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
