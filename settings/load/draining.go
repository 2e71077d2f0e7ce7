package load

import (
	"errors"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/magiconair/properties"

	"ravenport/disruption"
	"ravenport/drain"
	"ravenport/settings"
	"ravenport/window"
)

// unlimited in place of an amount means that there is no budget.
const unlimited = "unlimited"

// Upper bounds of the draining settings.
const (
	maxDrainWait       = 24 * time.Hour
	maxParallelPercent = 100
)

var consecutiveFailureBounds = intBounds{1, 1000}

// Draining reads the draining file and checks it against the deployment of s.
func Draining(path string, s *settings.Settings) (*settings.Draining, error) {
	text, err := readFile(path)
	if err != nil {
		return nil, err
	}
	return ParseDraining(text, s)
}

// ParseDraining parses the text of the draining file and checks it against the deployment of
// s. Unknown teams and classes are refused.
func ParseDraining(text []byte, s *settings.Settings) (*settings.Draining, error) {
	loader := properties.Loader{Encoding: properties.UTF8, DisableExpansion: true}
	p, err := loader.LoadBytes(text)
	if err != nil {
		return nil, settings.Invalid("draining", "%w", err)
	}
	d := &settings.Draining{Policy: settings.DefaultDrainPolicy()}
	if err := readDrainPolicy(p, &d.Policy); err != nil {
		return nil, err
	}
	if err := readBudgets(p, &d.Budgets, s); err != nil {
		return nil, err
	}
	if err := s.CheckDraining(d); err != nil {
		return nil, err
	}
	return d, nil
}

// readDrainPolicy reads all draining settings except the budgets.
func readDrainPolicy(p *properties.Properties, policy *drain.Policy) error {
	err := readDurations(p, []durationSetting{
		{"disruption.stable.ms", &policy.StableAfter, time.Second, maxDrainWait},
		{"drain.array.wait.ms", &policy.ArrayGracePeriod, 0, maxDrainWait},
		{"drain.replace.within.ms", &policy.ReplacementTimeout, time.Second, maxDrainWait},
	})
	if err != nil {
		return err
	}
	if policy.ReplacementTimeout <= policy.StableAfter {
		return settings.Invalid("drain.replace.within.ms", "must be larger than disruption.stable.ms")
	}
	if policy.MaxConsecutiveFailures, err = readInt(p, "drain.failures.most", policy.MaxConsecutiveFailures, consecutiveFailureBounds); err != nil {
		return err
	}
	if policy.ParallelPercent, err = readPercent(p, "drain.parallel.percent", policy.ParallelPercent); err != nil {
		return err
	}
	policy.Windows, err = readWindow(p)
	return err
}

// readPercent reads a percentage. It returns defaultValue if the key is missing.
func readPercent(p *properties.Properties, key string, defaultValue float64) (float64, error) {
	text, ok := p.Get(key)
	if !ok {
		return defaultValue, nil
	}
	percent, err := strconv.ParseFloat(text, 64)
	if err != nil || !(percent >= 0 && percent <= maxParallelPercent) {
		return 0, settings.Invalid(key, "must be a percentage from 0 to 100")
	}
	return percent, nil
}

// readWindow reads the maintenance window. It returns nil if none is set.
func readWindow(p *properties.Properties) (*window.Schedule, error) {
	rule := p.GetString("drain.window.rule", "")
	if rule == "" {
		return nil, nil
	}
	minutes, err := readInt(p, "drain.window.minutes", 0, intBounds{1, int(window.MaxLength.Minutes())})
	if err != nil {
		return nil, err
	}
	zone := p.GetString("drain.window.zone", "UTC")
	schedule, err := window.Parse(rule, zone, time.Duration(minutes)*time.Minute, time.Now())
	switch {
	case errors.Is(err, window.ErrUnknownZone):
		return nil, settings.Invalid("drain.window.zone", "%w", err)
	case errors.Is(err, window.ErrInvalidLength):
		return nil, settings.Invalid("drain.window.minutes", "%w", err)
	case err != nil:
		return nil, settings.Invalid("drain.window.rule", "%w", err)
	}
	return schedule, nil
}

// readBudgets reads the budgets. A file without a budget for services is refused: the file
// may have been read while it was being written, and without budgets a drain could stop all
// tasks at once.
func readBudgets(p *properties.Properties, budgets *disruption.Budgets, s *settings.Settings) error {
	hasServiceBudget := false
	for _, key := range p.Keys() {
		text, _ := p.Get(key)
		line, ok := newBudgetLine(key, text)
		if !ok {
			continue
		}
		if !line.isInterruptions {
			hasServiceBudget = true
		}
		if err := line.addTo(budgets, s); err != nil {
			return err
		}
	}
	if !hasServiceBudget {
		return settings.Invalid(settings.BudgetPrefix+settings.AnyTeam, "must be set; use %s for no budget", unlimited)
	}
	return nil
}

// budgetLine is one budget as written in the file.
type budgetLine struct {
	key             string // the complete properties key
	name            string // TEAM, TEAM/CLASS or settings.AnyTeam
	text            string // the amount, or unlimited
	isInterruptions bool   // whether it limits interruptions of job arrays and gangs, not unavailable tasks of services
}

// newBudgetLine returns the budget that a properties key sets. It returns false if the key
// does not set a budget.
func newBudgetLine(key, text string) (budgetLine, bool) {
	line := budgetLine{key: key, text: strings.TrimSpace(text)}
	var found bool
	if line.name, found = strings.CutPrefix(key, settings.BudgetPrefix); found {
		return line, true
	}
	line.isInterruptions = true
	line.name, found = strings.CutPrefix(key, settings.InterruptionsPrefix)
	return line, found
}

// addTo checks the budget and adds it to budgets.
func (l budgetLine) addTo(budgets *disruption.Budgets, s *settings.Settings) error {
	if l.text == unlimited && l.name == settings.AnyTeam {
		return nil
	}
	amount, err := disruption.ParseMaxUnavailable(l.text)
	if err != nil {
		return settings.Invalid(l.key, "%w", err)
	}
	// A percentage is of tasks that should all be available. This holds for the tasks of
	// services, but not for those of arrays and gangs.
	if l.isInterruptions && amount.IsPercent {
		return settings.Invalid(l.key, "must be a number of tasks: only a budget of services can be a percentage")
	}
	switch {
	case l.name == settings.AnyTeam && l.isInterruptions:
		budgets.SetInterruptionsDefault(amount)
		return nil
	case l.name == settings.AnyTeam:
		budgets.SetServicesDefault(amount)
		return nil
	}
	key := disruption.ParseBudgetKey(l.name)
	key.Interruptions = l.isInterruptions
	if s.Team(key.Team) == nil {
		return settings.Invalid(l.key, "there is no team %q", key.Team)
	}
	hasClass := func(o settings.Objective) bool { return o.Class == key.Class }
	if key.Class != "" && !slices.ContainsFunc(s.Deployment.Objectives, hasClass) {
		return settings.Invalid(l.key, "no objective names a class %q", key.Class)
	}
	budgets.Set(key, amount)
	return nil
}
