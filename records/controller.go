package records

// Controller registers a live process of a controller. Its key is attached to the
// process's lease.
type Controller struct {
	Name        string `json:"-"`
	Incarnation uint64 `json:"inc"` // of the process
	// ReadsPacked: the process's version reads packed job records.
	ReadsPacked bool `json:"pack,omitempty"`
	// LeaseTTLMS is the time to live of the process's lease (ms) if the process obeys
	// revocations, and 0 if it does not; then it must not be revoked.
	LeaseTTLMS int64 `json:"life,omitempty"`
}

// Revocation ends the authority of one process of a controller although its lease has
// not expired: at the latest the lease's time to live after the revocation was written.
// It is never deleted, and does not concern any other process.
type Revocation struct {
	Controller  string   `json:"-"`
	Incarnation uint64   `json:"inc"`  // of the process that is revoked
	LeaseTTLMS  int64    `json:"life"` // of that process's lease (ms)
	RevokedBy   string   `json:"by"`   // a controller
	Evidence    []string `json:"ev,omitempty"`
	Accusers    []string `json:"acc,omitempty"` // controllers
}
