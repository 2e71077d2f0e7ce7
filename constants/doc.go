// Package constants holds every constant of ravenport, each with its unit and reason.
// Values that depend on the deployment come from its settings file instead, and values
// that operators may change are defaults of package settings.
package constants
