// Package records defines the records that ravenport stores in the key-value store, their
// keys and their encodings. It does no I/O.
//
// During an upgrade, controllers of different versions read each other's records. Tests
// therefore fix the encoding of each record independently of its Go identifiers.
package records
