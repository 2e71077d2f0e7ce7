package records

// Controller is the registration of a controller's running process. The record's key is
// attached to the lease of that process.
type Controller struct {
	Name        string `json:"-"`
	Incarnation uint64 `json:"inc"` // incarnation of the process
	// ReadsPacked means that the version of the process can read packed job records.
	ReadsPacked bool `json:"pack,omitempty"`
	// LeaseTTLMS is the time to live of the process's lease (ms) if the process supports
	// revocation. It is 0 if the process does not; such a process must not be revoked.
	LeaseTTLMS int64 `json:"life,omitempty"`
}

// Revocation ends the authority of one process of a controller although the lease of the
// process has not expired. The authority ends at the latest when the lease's time to live
// has passed since the revocation was written. A revocation is never deleted and applies to
// no other process of the controller.
type Revocation struct {
	Controller  string   `json:"-"`
	Incarnation uint64   `json:"inc"`  // incarnation of the revoked process
	LeaseTTLMS  int64    `json:"life"` // time to live of the revoked process's lease (ms)
	RevokedBy   string   `json:"by"`   // name of a controller
	Evidence    []string `json:"ev,omitempty"`
	Accusers    []string `json:"acc,omitempty"` // names of controllers
}
