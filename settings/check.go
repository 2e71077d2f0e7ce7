package settings

import (
	"net/netip"
	"strings"
)

// maxNameBytes is the maximum length of the name of a controller or a zone.
const maxNameBytes = 64

// Check checks the fields of the platform's settings file and returns a FieldError for
// the first one that is invalid.
func (s *Settings) Check() error {
	checks := []func() error{
		s.checkSelf, s.checkPeers,
		s.Deployment.checkPositiveAmounts, s.Deployment.checkNextLimits, s.Deployment.checkTeams,
	}
	for _, check := range checks {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

// checkSelf checks this controller's own name, zone and addresses.
func (s *Settings) checkSelf() error {
	if s.Controller == "" {
		return Invalid("node", "is missing")
	}
	for _, f := range []struct{ field, addr string }{
		{"bind", s.Listen}, {"back", s.PeerAddr},
		{"outside.cloud", s.Services.Cloud}, {"outside.state", s.Services.Store},
	} {
		if err := checkAddr(f.field, f.addr); err != nil {
			return err
		}
	}
	if len(s.Deployment.Zones) == 0 {
		return Invalid("facts.zones", "is missing")
	}
	for _, zone := range s.Deployment.Zones {
		if err := checkName("facts.zones", zone); err != nil {
			return err
		}
	}
	if _, known := s.Deployment.ZoneIndex(s.Zone); !known {
		return Invalid("domain", "%q is not one of facts.zones", s.Zone)
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
			return Invalid("siblings.node", "%q is named twice", peer.Controller)
		}
		seen[peer.Controller] = true
		if err := checkAddr("siblings.peer_addr", peer.Addr); err != nil {
			return err
		}
	}
	return nil
}

// checkPositiveAmounts checks the amounts that are required: each must be
// larger than 0.
func (d *Deployment) checkPositiveAmounts() error {
	for _, f := range []struct {
		field  string
		amount float64
	}{
		{"facts.workers.report_s", d.Workers.HeartbeatS},
		{"facts.workers.lease_s", d.Workers.LeaseS},
		{"facts.workers.cancel_s", d.Workers.CancelTimeoutS},
		{"facts.workers.gang_wait_s", d.Workers.GangWaitTimeoutS},
		{"facts.workers.gang_peer_s", d.Workers.GangPeerTimeoutS},
		{"facts.state.rps", d.Store.RPS},
		{"facts.state.write_rps", d.Store.WriteRPS},
		{"facts.state.value_kb", d.Store.ValueKB},
		{"facts.state.txn_ops", float64(d.Store.TxnOps)},
		{"facts.cloud.rps", d.Cloud.RPS},
	} {
		if err := checkPositive(f.field, f.amount); err != nil {
			return err
		}
	}
	return nil
}

// checkNextLimits checks the store's later limits, each of which is optional, and the lag
// of the cloud's list, which may be 0.
func (d *Deployment) checkNextLimits() error {
	next := &d.Store.Next
	for _, f := range []struct {
		field  string
		amount *float64
	}{
		{"facts.state.next.rps", next.RPS},
		{"facts.state.next.write_rps", next.WriteRPS},
		{"facts.state.next.value_kb", next.ValueKB},
	} {
		if f.amount == nil {
			continue
		}
		if err := checkPositive(f.field, *f.amount); err != nil {
			return err
		}
	}
	if next.TxnOps != nil {
		if err := checkPositive("facts.state.next.txn_ops", float64(*next.TxnOps)); err != nil {
			return err
		}
	}
	if !(d.Cloud.ListLagS >= 0) { // so that NaN is refused
		return Invalid("facts.cloud.list_lag_s", "must not be negative")
	}
	return nil
}

// checkTeams checks the teams' names and quotas.
func (d *Deployment) checkTeams() error {
	for _, team := range d.Teams {
		if team.Name == "" {
			return Invalid("facts.teams.name", "is missing")
		}
		if team.GuaranteedCPUs < 0 || team.LimitCPUs < 0 || team.GuaranteedGPUs < 0 || team.LimitGPUs < 0 {
			return Invalid("facts.teams", "%q has a negative amount", team.Name)
		}
	}
	return nil
}

func checkPositive(field string, amount float64) error {
	if !(amount > 0) { // so that NaN is refused
		return Invalid(field, "must be larger than 0")
	}
	return nil
}

func checkAddr(field, addr string) error {
	if addr == "" {
		return Invalid(field, "is missing")
	}
	if _, err := netip.ParseAddrPort(addr); err != nil {
		return Invalid(field, "is not an IP address with a port")
	}
	return nil
}

// checkName accepts a name that can be part of a key in the key-value store.
func checkName(field, name string) error {
	if name == "" || len(name) > maxNameBytes {
		return Invalid(field, "must have 1 to %d bytes", maxNameBytes)
	}
	for _, r := range name {
		if !isNameRune(r) {
			return Invalid(field, "%q has a character other than letters, digits and -_.", name)
		}
	}
	return nil
}

func isNameRune(r rune) bool {
	return r >= '0' && r <= '9' || r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || strings.ContainsRune("-_.", r)
}
