package settings

// Duties holds the settings of the controllers' duties; see docs/operators-duties.md. Each
// duty is performed by one controller at a time. Without a duties file the zero value
// applies.
type Duties struct {
	// CloseBeforeScaleIn (duties.close.before.return): a machine is durably marked as
	// terminating, so that no tasks are placed on it, before it is returned to the cloud.
	CloseBeforeScaleIn bool
}
