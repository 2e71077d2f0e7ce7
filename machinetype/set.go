// Package machinetype says which jobs can run on which of the cloud's machine types, and in
// which zones the cloud offers such types. The API server, the leader and the shard owners
// decide by it, so that a job which is accepted is assigned to zones that can run the job.
package machinetype

import "ravenport/wire"

// Set holds the machine types that the cloud offers now, by name. It is empty until the cloud
// has answered for the first time.
type Set map[string]*wire.MachineType

// NewSet returns the set of the types in a response of the cloud.
func NewSet(types []wire.MachineType) Set {
	set := make(Set, len(types))
	for _, machineType := range types {
		set[machineType.Name] = &machineType
	}
	return set
}

// OffersFor reports whether the cloud offers a machine in a zone that fits a task of a job.
// It returns true while the machine types are not known.
func (s Set) OffersFor(job *wire.Submission, zone string) bool {
	for _, machineType := range s {
		if machineType.Fits(job) && machineType.IsOfferedIn(zone) {
			return true
		}
	}
	return len(s) == 0
}

// CanRun reports whether a task of a job may run on an empty machine of a type. A type that
// is not in the set counts by its name alone: the cloud may have stopped offering the type
// while machines of the type still run.
func (s Set) CanRun(job *wire.Submission, typeName string) bool {
	if machineType := s[typeName]; machineType != nil {
		return machineType.Fits(job)
	}
	return job.AllowsType(typeName)
}
