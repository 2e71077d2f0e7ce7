package main

import (
	"github.com/spf13/cobra"

	"ravenport/settings"
	"ravenport/settings/load"
)

// settingsFiles holds the paths of a controller's settings files. All paths except config
// are optional.
type settingsFiles struct {
	config     string
	properties string
	detection  string
	duties     string
	draining   string
}

// addFlags adds the flags that name the settings files to a command.
func (f *settingsFiles) addFlags(cmd *cobra.Command) {
	flags := cmd.Flags()
	flags.StringVar(&f.config, "config", "", "path of the platform's settings file (TOML)")
	flags.StringVar(&f.properties, "properties", "", "path of the operators' own settings (Java-style properties;\ndefault: "+load.DefaultPropertiesFile+" in the directory of the settings file, if it exists)")
	flags.StringVar(&f.detection, "failure-detection", "", "path of the settings of failure detection (Java-style properties;\nwithout it failure detection is off)")
	flags.StringVar(&f.duties, "duties", "", "path of the settings of duties (Java-style properties;\nwithout it these settings are off)")
	flags.StringVar(&f.draining, "draining", "", "path of the settings of drains and disruption budgets (Java-style properties;\nwithout it draining is off)")
	if err := cmd.MarkFlagRequired("config"); err != nil {
		panic(err) // the flag was defined above
	}
}

// load reads and checks the settings files.
func (f *settingsFiles) load() (*settings.Settings, error) {
	s, err := load.Settings(f.config, f.properties)
	if err != nil {
		return nil, err
	}
	if f.detection != "" {
		if s.Detection, err = load.Detection(f.detection); err != nil {
			return nil, err
		}
	}
	if f.duties != "" {
		if s.Duties, err = load.Duties(f.duties); err != nil {
			return nil, err
		}
	}
	if f.draining != "" {
		if s.Draining, err = load.Draining(f.draining, s); err != nil {
			return nil, err
		}
	}
	return s, nil
}
