// Package constants holds every constant of ravenport, each with its unit and
// reason. What belongs to a deployment comes from its settings file instead,
// and what operators may wish to change is a default of package settings.
package constants
