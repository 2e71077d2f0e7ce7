// Package settings reads and checks the platform's settings file (TOML) and
// the operators' own settings (Java-style properties).
package settings

import (
	"errors"
	"fmt"
	"io/fs"
	"math"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/magiconair/properties"
	"github.com/pelletier/go-toml/v2"

	"ravenport/constants"
	"ravenport/records"
)

// Settings is the platform's file.
type Settings struct {
	Controller string `toml:"node"`
	Zone       string `toml:"domain"`
	Listen     string `toml:"bind"`
	PeerAddr   string `toml:"back"`
	Peers      []Peer `toml:"siblings"`
	Services   struct {
		Cloud string `toml:"cloud"`
		State string `toml:"state"`
	} `toml:"outside"`
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

// Deployment are the deployment's facts.
type Deployment struct {
	Controllers int         `toml:"size"`
	Zones       []string    `toml:"zones"`
	ClockOffMS  float64     `toml:"clock_off_ms"`
	Teams       []Team      `toml:"teams"`
	Objectives  []Objective `toml:"objectives"`
	Workers     struct {
		HeartbeatS float64 `toml:"report_s"`
		LeaseS     float64 `toml:"lease_s"`
		CancelS    float64 `toml:"cancel_s"`
		// A waiting gang task gives up after GangWaitS; tasks of a gang notice
		// within GangPeerS that another is gone or is being stopped.
		GangWaitS float64 `toml:"gang_wait_s"`
		GangPeerS float64 `toml:"gang_peer_s"`
	} `toml:"workers"`
	Store struct {
		StoreLimits
		// Next are the limits that come at some later moment, unannounced.
		Next NextLimits `toml:"next"`
	} `toml:"state"`
	Cloud struct {
		RPS      float64 `toml:"rps"`
		ListLagS float64 `toml:"list_lag_s"`
	} `toml:"cloud"`
	Limits struct {
		CPU            float64 `toml:"cpu"`
		MemoryMB       float64 `toml:"memory_mb"`
		MaxConnections int     `toml:"max_connections"`
	} `toml:"machine_limits"`
}

// StoreLimits are the state service's limits.
type StoreLimits struct {
	RPS      float64 `toml:"rps"`
	WriteRPS float64 `toml:"write_rps"`
	ValueKB  float64 `toml:"value_kb"`
	TxnOps   int     `toml:"txn_ops"`
}

// NextLimits are limits to come; what is absent stays as it is.
type NextLimits struct {
	RPS      *float64 `toml:"rps"`
	WriteRPS *float64 `toml:"write_rps"`
	ValueKB  *float64 `toml:"value_kb"`
	TxnOps   *int     `toml:"txn_ops"`
}

// StoreLimits are the smaller of the present limits and those to come: whatever
// keeps within them can be written whenever those come.
func (s *Settings) StoreLimits() StoreLimits {
	l, n := s.Deployment.Store.StoreLimits, s.Deployment.Store.Next
	for _, f := range []struct{ to, next *float64 }{{&l.RPS, n.RPS}, {&l.WriteRPS, n.WriteRPS}, {&l.ValueKB, n.ValueKB}} {
		if f.next != nil {
			*f.to = min(*f.to, *f.next)
		}
	}
	if n.TxnOps != nil {
		l.TxnOps = min(l.TxnOps, *n.TxnOps)
	}
	return l
}

// Team is a team's guarantee and limit; a limit of 0 means none.
type Team struct {
	Name    string  `toml:"name"`
	CPUs    float64 `toml:"cpus"`
	CPUsMax float64 `toml:"cpus_max"`
	GPUs    float64 `toml:"gpus"`
	GPUsMax float64 `toml:"gpus_max"`
}

// Objective repeats one aim on starting or finishing.
type Objective struct {
	Kind    string  `toml:"kind"`
	Class   string  `toml:"class"`
	WithinS float64 `toml:"within_s"`
	Share   float64 `toml:"share"`
}

// Operator holds the operators' own settings.
type Operator struct {
	LeaseTTL     time.Duration // membership.lease.ms
	IdleSpot     time.Duration // rent.idle.spot.s
	IdleOnDemand time.Duration // rent.idle.ordinary.s
	UseSpot      bool          // rent.spot
}

func defaults() Operator {
	return Operator{
		LeaseTTL: 3500 * time.Millisecond, IdleSpot: 30 * time.Second, IdleOnDemand: 60 * time.Second,
		UseSpot: true,
	}
}

// PropertiesName is looked for beside the settings file.
const PropertiesName = "ravenport.properties"

// FieldError names the field of a settings file that is wrong.
type FieldError struct{ Field, Problem string }

func (e *FieldError) Error() string { return "settings: " + e.Field + ": " + e.Problem }

// Load reads the settings file at path and the properties file; an empty
// props means PropertiesName beside it, which may be missing.
func Load(path, props string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, &FieldError{path, err.Error()}
	}
	s, err := Parse(data)
	if err != nil {
		return nil, err
	}
	given := props != ""
	if !given {
		props = filepath.Join(filepath.Dir(path), PropertiesName)
	}
	text, err := os.ReadFile(props)
	switch {
	case err == nil:
		if s.Operator, err = ParseOperator(text); err != nil {
			return nil, err
		}
	case given || !errors.Is(err, fs.ErrNotExist):
		if given {
			return nil, &FieldError{props, err.Error()}
		}
	}
	return s, nil
}

// Parse reads and checks a settings file's text.
func Parse(data []byte) (*Settings, error) {
	var s Settings
	if err := toml.Unmarshal(data, &s); err != nil {
		var de *toml.DecodeError
		if errors.As(err, &de) {
			return nil, &FieldError{strings.Join(de.Key(), "."), de.Error()}
		}
		return nil, &FieldError{"file", err.Error()}
	}
	s.Operator = defaults()
	return &s, s.check()
}

// check looks at every field and returns the first error.
func (s *Settings) check() error {
	for _, check := range []func() error{s.checkSelf, s.checkPeers, s.Deployment.checkAmounts, s.Deployment.checkNext, s.Deployment.checkTeams} {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

// checkSelf checks the controller's own name, zone and addresses.
func (s *Settings) checkSelf() error {
	if s.Controller == "" {
		return &FieldError{"node", "is missing"}
	}
	for _, f := range []struct{ name, addr string }{
		{"bind", s.Listen}, {"back", s.PeerAddr},
		{"outside.cloud", s.Services.Cloud}, {"outside.state", s.Services.State},
	} {
		if err := checkAddr(f.name, f.addr); err != nil {
			return err
		}
	}
	if len(s.Deployment.Zones) == 0 {
		return &FieldError{"facts.zones", "is missing"}
	}
	for _, z := range s.Deployment.Zones {
		if err := checkName("facts.zones", z); err != nil {
			return err
		}
	}
	if _, known := s.Deployment.Zone(s.Zone); !known {
		return &FieldError{"domain", fmt.Sprintf("%q is not one of facts.zones", s.Zone)}
	}
	return checkName("node", s.Controller)
}

// checkPeers checks the other controllers.
func (s *Settings) checkPeers() error {
	seen := map[string]bool{s.Controller: true}
	for _, peer := range s.Peers {
		if err := checkName("siblings.node", peer.Controller); err != nil {
			return err
		}
		if seen[peer.Controller] {
			return &FieldError{"siblings.node", fmt.Sprintf("%q is named twice", peer.Controller)}
		}
		seen[peer.Controller] = true
		if err := checkAddr("siblings.peer_addr", peer.Addr); err != nil {
			return err
		}
	}
	return nil
}

// checkAmounts checks the numbers that must be there.
func (p *Deployment) checkAmounts() error {
	for _, f := range []struct {
		name string
		v    float64
	}{
		{"facts.workers.report_s", p.Workers.HeartbeatS}, {"facts.workers.lease_s", p.Workers.LeaseS},
		{"facts.workers.cancel_s", p.Workers.CancelS},
		{"facts.workers.gang_wait_s", p.Workers.GangWaitS}, {"facts.workers.gang_peer_s", p.Workers.GangPeerS},
		{"facts.state.rps", p.Store.RPS},
		{"facts.state.write_rps", p.Store.WriteRPS}, {"facts.state.value_kb", p.Store.ValueKB},
		{"facts.state.txn_ops", float64(p.Store.TxnOps)}, {"facts.cloud.rps", p.Cloud.RPS},
	} {
		if !(f.v > 0) {
			return &FieldError{f.name, "must be larger than 0"}
		}
	}
	return nil
}

// checkNext checks limits to come and what may be 0.
func (p *Deployment) checkNext() error {
	for _, f := range []struct {
		name string
		v    *float64
	}{
		{"facts.state.next.rps", p.Store.Next.RPS}, {"facts.state.next.write_rps", p.Store.Next.WriteRPS},
		{"facts.state.next.value_kb", p.Store.Next.ValueKB},
	} {
		if f.v != nil && !(*f.v > 0) {
			return &FieldError{f.name, "must be larger than 0"}
		}
	}
	if n := p.Store.Next.TxnOps; n != nil && *n < 1 {
		return &FieldError{"facts.state.next.txn_ops", "must be larger than 0"}
	}
	if !(p.Cloud.ListLagS >= 0) {
		return &FieldError{"facts.cloud.list_lag_s", "must not be negative"}
	}
	return nil
}

// checkTeams checks the teams' amounts.
func (p *Deployment) checkTeams() error {
	for _, t := range p.Teams {
		if t.Name == "" {
			return &FieldError{"facts.teams.name", "is missing"}
		}
		if t.CPUs < 0 || t.CPUsMax < 0 || t.GPUs < 0 || t.GPUsMax < 0 {
			return &FieldError{"facts.teams", fmt.Sprintf("%q has a negative amount", t.Name)}
		}
	}
	return nil
}

func checkAddr(field, addr string) error {
	if addr == "" {
		return &FieldError{field, "is missing"}
	}
	if _, err := netip.ParseAddrPort(addr); err != nil {
		return &FieldError{field, "is not an IP address with a port"}
	}
	return nil
}

// checkName accepts what can stand in a key of the state service.
func checkName(field, name string) error {
	if name == "" || len(name) > 64 {
		return &FieldError{field, "must have 1 to 64 bytes"}
	}
	for _, r := range name {
		if !(r >= '0' && r <= '9' || r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || strings.ContainsRune("-_.", r)) {
			return &FieldError{field, fmt.Sprintf("%q has a character other than letters, digits and -_.", name)}
		}
	}
	return nil
}

// ParseOperator reads the operators' own settings.
func ParseOperator(text []byte) (Operator, error) {
	o := defaults()
	p, err := properties.Load(text, properties.UTF8)
	if err != nil {
		return o, &FieldError{"properties", err.Error()}
	}
	var bad error
	number := func(key string, def, lo, hi float64) float64 {
		if _, ok := p.Get(key); !ok {
			return def
		}
		var v float64
		if _, err := fmt.Sscanf(p.GetString(key, ""), "%g", &v); err != nil || !(v >= lo && v <= hi) {
			if bad == nil {
				bad = &FieldError{key, fmt.Sprintf("must be a number from %g to %g", lo, hi)}
			}
			return def
		}
		return v
	}
	o.LeaseTTL = time.Duration(number("membership.lease.ms", float64(o.LeaseTTL.Milliseconds()), 2000, 60000)) * time.Millisecond
	o.IdleSpot = time.Duration(number("rent.idle.spot.s", o.IdleSpot.Seconds(), 0, 86400) * float64(time.Second))
	o.IdleOnDemand = time.Duration(number("rent.idle.ordinary.s", o.IdleOnDemand.Seconds(), 0, 86400) * float64(time.Second))
	if v, ok := p.Get("rent.spot"); ok {
		switch v {
		case "true", "false":
			o.UseSpot = v == "true"
		default:
			bad = &FieldError{"rent.spot", "must be true or false"}
		}
	}
	return o, bad
}

// Team finds a team by name.
func (s *Settings) Team(name string) *Team {
	for i := range s.Deployment.Teams {
		if s.Deployment.Teams[i].Name == name {
			return &s.Deployment.Teams[i]
		}
	}
	return nil
}

// Zone finds a zone's index by name.
func (p *Deployment) Zone(name string) (int, bool) {
	i := slices.Index(p.Zones, name)
	return i, i >= 0
}

// AllControllers lists all controllers, this one included, with their zones.
func (s *Settings) AllControllers() []Peer {
	return append([]Peer{{Controller: s.Controller, Zone: s.Zone, Addr: s.PeerAddr}}, s.Peers...)
}

// WorkerLease is how long a worker keeps its tasks without an answer.
func (s *Settings) WorkerLease() time.Duration { return Seconds(s.Deployment.Workers.LeaseS) }

// HeartbeatPeriod is a worker's report period.
func (s *Settings) HeartbeatPeriod() time.Duration { return Seconds(s.Deployment.Workers.HeartbeatS) }

// LeaseEnd is how long after the last moment at which an answer could have
// counted a worker's lease has surely ended, whatever the clocks' drift.
func (s *Settings) LeaseEnd() time.Duration {
	return time.Duration(float64(s.WorkerLease())*(1+constants.MaxClockDrift)) + constants.WorkerLeaseMargin
}

// Authority is how long a controller may act after it last heard from the
// state service. It is shortened where a cancellation might otherwise come
// too late; short is true when it was.
func (s *Settings) Authority() (d time.Duration, short bool) {
	d = time.Duration(float64(s.Operator.LeaseTTL)*(1-constants.MaxClockDrift)) - constants.AuthorityMargin
	room := s.cancelRoom()
	if d > room {
		return max(room, 500*time.Millisecond), true
	}
	return d, false
}

// LeaseExtension is how long after the end of its authority an owner may go on
// answering reports, so that the machines of a zone that is cut off with it keep
// their leases: whatever cancel_s leaves beside authority and lease.
func (s *Settings) LeaseExtension() time.Duration {
	d, _ := s.Authority()
	return max(0, s.cancelRoom()-d)
}

// cancelRoom is what cancel_s leaves beside a worker's lease.
func (s *Settings) cancelRoom() time.Duration {
	return Seconds(s.Deployment.Workers.CancelS) - s.LeaseEnd() - 2*constants.WorkerLeaseMargin
}

// Sockets divides the machine's sockets: how many the front may use, and how many
// direct commands a shard's owner may have under way, were all shards here.
func (s *Settings) Sockets() (front, commands int) {
	limit := s.Deployment.Limits.MaxConnections
	if limit <= 0 {
		limit = 4 * constants.ReservedSockets
	}
	reserved := min(max(constants.ReservedSockets, limit/constants.ReservedShare), limit/2)
	commands = (reserved - constants.OwnSockets) / max(1, len(s.Deployment.Zones))
	return limit - reserved, min(max(commands, constants.CommandsLeast), constants.CommandFanout)
}

// WatchInterval is the least time between two watches of one controller, and between
// two reads of the revision: together they use up to their share of the state
// service's requests, which all controllers have together.
func (s *Settings) WatchInterval() time.Duration {
	rps := max(s.StoreLimits().RPS, 1) * constants.ReadShare / float64(max(1, len(s.AllControllers())))
	return min(max(Seconds(1/rps), constants.ReadGapMin), constants.ReadGapMax)
}

// Processors is how many processors the machine's share of them can keep busy at
// once; 0: the settings do not say.
func (s *Settings) Processors() int { return int(math.Ceil(max(0, s.Deployment.Limits.CPU))) }

// SecondShardWait is how long a controller that owns a shard leaves another one vacant:
// the time that taking it over would keep this machine's share of a processor busy.
// Without such a share there is nothing to wait for.
func (s *Settings) SecondShardWait() time.Duration {
	if s.Deployment.Limits.CPU <= 0 {
		return 0
	}
	return s.onShare(constants.FailoverCPUTime, constants.MaxSecondShardDelay)
}

// onShare is how long so much processor time takes on this machine's share of a
// processor, at the most.
func (s *Settings) onShare(work, most time.Duration) time.Duration {
	return min(time.Duration(float64(work)/s.Deployment.Limits.CPU), most)
}

// RoundBudget is how long a round of decisions may take: so much processor time as
// the same round may have on a whole processor, of which this machine has a share.
func (s *Settings) RoundBudget() time.Duration {
	if share := s.Deployment.Limits.CPU; share <= 0 || share >= 1 {
		return constants.RoundBudget
	}
	return s.onShare(constants.RoundBudget, constants.MaxRoundBudget)
}

// CloudShare is how many calls a second this controller makes of the cloud.
func (s *Settings) CloudShare() float64 {
	return max(s.Deployment.Cloud.RPS, 0.1) * max(constants.CloudShare, 1/float64(max(1, len(s.AllControllers()))))
}

// CloudCallInterval is the time that two calls take of this controller's share.
func (s *Settings) CloudCallInterval() time.Duration { return Seconds(2 / s.CloudShare()) }

// ValueBytes is the state service's limit on a value, now and later.
func (s *Settings) ValueBytes() int { return int(s.StoreLimits().ValueKB * 1024) }

// RecordSizeLimits are the limits on a job's record, now and later.
func (s *Settings) RecordSizeLimits() records.SizeLimits {
	return records.SizeLimits{Now: int(s.Deployment.Store.ValueKB * 1024), Next: s.ValueBytes()}
}

// Seconds turns a number of seconds into a duration.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
