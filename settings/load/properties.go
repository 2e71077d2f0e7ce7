package load

import (
	"fmt"
	"strconv"
	"time"

	"github.com/magiconair/properties"

	"ravenport/settings"
)

// parseProperties parses the text of a properties file. If the text is invalid, the error
// gives name in place of a field.
func parseProperties(name string, text []byte) (*properties.Properties, error) {
	parsed, err := properties.Load(text, properties.UTF8)
	if err != nil {
		return nil, settings.Invalid(name, "%w", err)
	}
	return parsed, nil
}

// durationSetting is a setting in milliseconds with its bounds. Its target holds the default
// until the setting is read.
type durationSetting struct {
	key      string
	target   *time.Duration
	min, max time.Duration
}

// readDurations reads settings that are whole numbers of milliseconds.
func readDurations(p *properties.Properties, fields []durationSetting) error {
	for _, f := range fields {
		bounds := intBounds{int(f.min.Milliseconds()), int(f.max.Milliseconds())}
		ms, err := readInt(p, f.key, int(f.target.Milliseconds()), bounds)
		if err != nil {
			return err
		}
		*f.target = time.Duration(ms) * time.Millisecond
	}
	return nil
}

// intBounds holds the smallest and the largest valid value of a field.
type intBounds struct{ min, max int }

// readInt reads a whole number. It returns defaultValue if the key is missing.
func readInt(p *properties.Properties, key string, defaultValue int, bounds intBounds) (int, error) {
	text, ok := p.Get(key)
	if !ok {
		return defaultValue, nil
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < bounds.min || n > bounds.max {
		return 0, settings.Invalid(key, "must be a whole number from %d to %d", bounds.min, bounds.max)
	}
	return n, nil
}

// floatBounds holds the smallest and the largest valid value of a field.
type floatBounds struct{ min, max float64 }

// readFloat reads a number. It returns defaultValue if the key is missing. Text after the
// number is ignored.
func readFloat(p *properties.Properties, key string, defaultValue float64, bounds floatBounds) (float64, error) {
	text, ok := p.Get(key)
	if !ok {
		return defaultValue, nil
	}
	var value float64
	if _, err := fmt.Sscanf(text, "%g", &value); err != nil || !(value >= bounds.min && value <= bounds.max) {
		return 0, settings.Invalid(key, "must be a number from %g to %g", bounds.min, bounds.max)
	}
	return value, nil
}

// readBool reads true or false. It returns defaultValue if the key is missing.
func readBool(p *properties.Properties, key string, defaultValue bool) (bool, error) {
	text, ok := p.Get(key)
	if !ok {
		return defaultValue, nil
	}
	switch text {
	case "true":
		return true, nil
	case "false":
		return false, nil
	}
	return false, settings.Invalid(key, "must be true or false")
}
