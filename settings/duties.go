package settings

// Duties holds the settings of duties that one controller does at a time; see
// docs/operators-duties.md. The zero value, without a file for them, leaves all of them
// off.
type Duties struct {
	// CordonBeforeScaleIn (duties.close.before.return): a machine is durably cordoned before it is
	// returned to the cloud.
	CordonBeforeScaleIn bool
}
