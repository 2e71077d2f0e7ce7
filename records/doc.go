// Package records defines the records that ravenport keeps in the key-value store, their
// keys and their stored forms. It does no input or output.
//
// Controllers of several versions read each other's records during an upgrade, so the
// stored form of each record is fixed by tests, whatever its Go identifiers are called.
package records
