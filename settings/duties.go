package settings

// Duties holds the settings of duties that one controller performs at a time; see
// docs/operators-duties.md. Without a file for them the zero value applies.
type Duties struct {
	// CloseBeforeScaleIn (duties.close.before.return): a machine is durably closed before it is
	// returned to the cloud.
	CloseBeforeScaleIn bool
}
