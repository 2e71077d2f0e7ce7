package settings

import (
	"errors"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/magiconair/properties"

	"ravenport/disruption"
	"ravenport/drain"
	"ravenport/window"
)

// Draining holds the settings of drains and of the budgets of disruption; see
// docs/operators-draining.md.
type Draining struct {
	Budgets disruption.Budgets // disruption.budget.TEAM[/CLASS], disruption.interruptions.TEAM[/CLASS]
	Policy  drain.Policy       // with drain.window.rule, .zone and .minutes
}

// The prefixes stand before a team, or a team and a class; anyTeam is for each team that
// is not named.
const (
	budgetPrefix        = "disruption.budget."
	interruptionsPrefix = "disruption.interruptions."
	anyTeam             = "*"
	unlimited           = "unlimited" // in place of a number: no budget
)

// Bounds of the settings of drains.
const (
	drainLongest   = 24 * time.Hour
	failuresLeast  = 1
	failuresMost   = 1000
	parallelMost   = 100 // percent
	claimNumber    = 16  // bytes that a number takes in a claim, with its quotes and comma
	claimBytes     = 64  // of a claim beside its budgets
	conditionsAOp  = 4   // conditions of a transaction for each of its changes
	claimCondition = 2   // the owner's term and its own claim
)

// LoadDraining reads and checks the file of drains against the deployment.
func (s *Settings) LoadDraining(path string) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return &FieldError{path, err.Error()}
	}
	s.Draining, err = s.ParseDraining(text)
	return err
}

// ParseDraining reads and checks the settings of drains. Unknown fields are ignored,
// unknown teams and classes are not.
func (s *Settings) ParseDraining(text []byte) (*Draining, error) {
	loader := properties.Loader{Encoding: properties.UTF8, DisableExpansion: true}
	p, err := loader.LoadBytes(text)
	if err != nil {
		return nil, &FieldError{"draining", err.Error()}
	}
	d := &Draining{Policy: drain.Policy{Stable: 10 * time.Second, ArrayWait: 2 * time.Minute, ReplaceWithin: 3 * time.Minute, Parallel: 10, MaxFailures: 3}}
	for _, f := range []durationField{
		{"disruption.stable.ms", &d.Policy.Stable, time.Second, drainLongest},
		{"drain.array.wait.ms", &d.Policy.ArrayWait, 0, drainLongest},
		{"drain.replace.within.ms", &d.Policy.ReplaceWithin, time.Second, drainLongest},
	} {
		if err := f.read(p); err != nil {
			return nil, err
		}
	}
	if d.Policy.ReplaceWithin <= d.Policy.Stable {
		return nil, &FieldError{"drain.replace.within.ms", "must be larger than disruption.stable.ms"}
	}
	if d.Policy.MaxFailures, err = whole(p, "drain.failures.most", d.Policy.MaxFailures, failuresLeast, failuresMost); err != nil {
		return nil, err
	}
	if text, ok := p.Get("drain.parallel.percent"); ok {
		if d.Policy.Parallel, err = strconv.ParseFloat(text, 64); err != nil || !(d.Policy.Parallel >= 0 && d.Policy.Parallel <= parallelMost) {
			return nil, &FieldError{"drain.parallel.percent", "must be a share from 0 to 100"}
		}
	}
	if d.Policy.Window, err = readWindow(p); err != nil {
		return nil, err
	}
	if err := s.readBudgets(p, d); err != nil {
		return nil, err
	}
	return d, s.checkClaims(d)
}

// readWindow reads the maintenance window; nil if there is none.
func readWindow(p *properties.Properties) (*window.Schedule, error) {
	rule := p.GetString("drain.window.rule", "")
	if rule == "" {
		return nil, nil
	}
	minutes, err := whole(p, "drain.window.minutes", 0, 1, int(window.Longest.Minutes()))
	if err != nil {
		return nil, err
	}
	schedule, err := window.Parse(rule, p.GetString("drain.window.zone", "UTC"), time.Duration(minutes)*time.Minute, time.Now())
	switch {
	case errors.Is(err, window.ErrZone):
		return nil, &FieldError{"drain.window.zone", err.Error()}
	case errors.Is(err, window.ErrLength):
		return nil, &FieldError{"drain.window.minutes", err.Error()}
	case err != nil:
		return nil, &FieldError{"drain.window.rule", err.Error()}
	}
	return schedule, nil
}

// readBudgets reads the budgets. A file without any is refused: it may have been read
// while it was written, and drains would take everything down at once.
func (s *Settings) readBudgets(p *properties.Properties, d *Draining) error {
	isNamed := false
	for _, key := range p.Keys() {
		name, isBudget := strings.CutPrefix(key, budgetPrefix)
		setOthers := d.Budgets.SetOthers
		var isInterruptions bool
		if !isBudget {
			if name, isInterruptions = strings.CutPrefix(key, interruptionsPrefix); !isInterruptions {
				continue
			}
			setOthers = d.Budgets.SetOtherInterruptions
		}
		isNamed = isNamed || isBudget
		text, _ := p.Get(key)
		if strings.TrimSpace(text) == unlimited && name == anyTeam {
			continue
		}
		amount, err := disruption.ParseAmount(strings.TrimSpace(text))
		if err != nil {
			return &FieldError{key, err.Error()}
		}
		if isInterruptions && amount.IsShare {
			return &FieldError{key, "must be a number: a share is of services, whose tasks should all be up"}
		}
		if name == anyTeam {
			setOthers(amount)
			continue
		}
		k := disruption.ParseKey(name)
		k.Interruptions = isInterruptions
		if !slices.ContainsFunc(s.Deployment.Teams, func(t Team) bool { return t.Name == k.Team }) {
			return &FieldError{key, fmt.Sprintf("there is no team %q", k.Team)}
		}
		if k.Class != "" && !slices.ContainsFunc(s.Deployment.Objectives, func(o Objective) bool { return o.Class == k.Class }) {
			return &FieldError{key, fmt.Sprintf("no objective names a class %q", k.Class)}
		}
		d.Budgets.Set(k, amount)
	}
	if !isNamed {
		return &FieldError{budgetPrefix + anyTeam, "must be set, to " + unlimited + " if there is to be no budget"}
	}
	return nil
}

// checkClaims sees to it that a shard's claim fits into a value, and its conditions into
// a transaction, of the state service.
func (s *Settings) checkClaims(d *Draining) error {
	limits := s.StoreLimits()
	bytes := claimBytes
	for _, k := range d.Budgets.Keys() {
		bytes += len(k.String()) + claimNumber
	}
	for _, t := range s.Deployment.Teams {
		bytes += 2*len(t.Name) + len(disruption.InterruptionsPrefix) + 2*claimNumber // of services, and of interruptions
	}
	if most := int(limits.ValueKB * 1024); bytes > most {
		return &FieldError{budgetPrefix + "…", fmt.Sprintf("%d budgets take %d bytes of the state service, which has %d for a value", len(d.Budgets.Keys()), bytes, most)}
	}
	if most := limits.TxnOps*conditionsAOp - claimCondition + 1; len(s.Deployment.Zones) > most {
		return &FieldError{"facts.zones", fmt.Sprintf("draining serves at most %d zones with these limits of the state service", most)}
	}
	return nil
}
