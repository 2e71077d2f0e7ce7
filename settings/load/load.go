// Package load reads and parses the files of package settings: the platform's settings
// file (TOML) and the operators' files (Java-style properties). Every error about a file's
// content, and about a file that cannot be read, is a *settings.FieldError. Unknown
// fields are ignored everywhere.
package load

import (
	"errors"
	"os"
	"path/filepath"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"ravenport/settings"
)

// DefaultPropertiesFile is the name of the operators' own settings beside the settings file.
const DefaultPropertiesFile = "ravenport.properties"

// Settings reads and checks the platform's settings file and the operators' own settings.
// An empty propertiesPath is DefaultPropertiesFile beside the settings file, which may be
// missing.
func Settings(path, propertiesPath string) (*settings.Settings, error) {
	text, err := readFile(path)
	if err != nil {
		return nil, err
	}
	s, err := ParseSettings(text)
	if err != nil {
		return nil, err
	}
	text, err = readProperties(path, propertiesPath)
	if err != nil {
		return nil, err
	}
	s.Operator, err = ParseOperator(text)
	if err != nil {
		return nil, err
	}
	return s, nil
}

// ParseSettings parses and checks the text of the platform's settings file. The operators'
// own settings are their defaults.
func ParseSettings(text []byte) (*settings.Settings, error) {
	var s settings.Settings
	if err := toml.Unmarshal(text, &s); err != nil {
		var decodeError *toml.DecodeError
		if errors.As(err, &decodeError) {
			return nil, settings.Invalid(strings.Join(decodeError.Key(), "."), "%w", decodeError)
		}
		return nil, settings.Invalid("file", "%w", err)
	}
	s.Operator = settings.DefaultOperator()
	if err := s.Check(); err != nil {
		return nil, err
	}
	return &s, nil
}

// readProperties reads the file of the operators' own settings. One that is not named and
// cannot be read counts as empty.
func readProperties(settingsPath, propertiesPath string) ([]byte, error) {
	if propertiesPath != "" {
		return readFile(propertiesPath)
	}
	text, err := os.ReadFile(filepath.Join(filepath.Dir(settingsPath), DefaultPropertiesFile))
	if err != nil {
		return nil, nil
	}
	return text, nil
}

// readFile reads a file; the error names its path.
func readFile(path string) ([]byte, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, settings.Invalid(path, "%w", err)
	}
	return text, nil
}
