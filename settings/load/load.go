// Package load reads and parses the files that package settings describes: the platform's
// settings file (TOML) and the operators' files (Java-style properties). It returns a
// *settings.FieldError for each invalid content and for each file that cannot be read.
// Unknown fields are ignored in all files.
package load

import (
	"errors"
	"os"
	"path/filepath"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"ravenport/settings"
)

// DefaultPropertiesFile is the default name of the file with the operators' own settings. It
// is in the directory of the platform's settings file.
const DefaultPropertiesFile = "ravenport.properties"

// Settings reads and checks the platform's settings file and the operators' own settings.
// If propertiesPath is empty, the operators' settings are read from DefaultPropertiesFile in
// the directory of the settings file, if that file exists.
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

// ParseSettings parses and checks the text of the platform's settings file. It sets the
// operators' own settings to their defaults.
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

// readProperties reads the file of the operators' own settings. The default file counts as
// empty if it cannot be read.
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

// readFile reads a file. If this fails, it returns a FieldError that names the path.
func readFile(path string) ([]byte, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, settings.Invalid(path, "%w", err)
	}
	return text, nil
}
