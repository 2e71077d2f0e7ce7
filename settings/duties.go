package settings

// Duties holds the settings of duties that one controller performs at a time; see
// docs/operators-duties.md. Without a file for them the zero value applies.
type Duties struct {
	// CordonBeforeScaleIn (duties.close.before.return): a machine is durably cordoned before it is
	// returned to the cloud.
	CordonBeforeScaleIn bool
}
