package records

import (
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"

	"ravenport/wire"
)

// Encode writes a record, or a request to the key-value store, as JSON.
func Encode(v any) json.RawMessage {
	data, err := json.Marshal(v)
	if err != nil {
		// Records hold only checked numbers and strings.
		panic(fmt.Sprintf("records: encoding a %T: %v", v, err))
	}
	return data
}

// ErrDamaged says that a stored value cannot be the record of its key.
var ErrDamaged = errors.New("records: damaged record")

// Decode reads the record under key. It returns nil for a key of no known kind. Its errors
// are ErrDamaged.
func Decode(key string, data []byte) (Record, error) {
	record := newRecord(key)
	if record == nil {
		return nil, nil
	}
	var err error
	if job, ok := record.(*Job); ok && isPackedJob(data) {
		err = unpackJob(data, job)
	} else {
		err = wire.Decode(data, record)
	}
	if err == nil {
		err = checkRecord(record)
	}
	if err != nil {
		return nil, fmt.Errorf("%w: %s: %w", ErrDamaged, key, err)
	}
	return record, nil
}

// checkRecord reports what a decoded record cannot hold; nil if there is nothing.
func checkRecord(record Record) error {
	if job, ok := record.(*Job); ok {
		return job.checkAssignments()
	}
	return nil
}

// newRecord makes the empty record for a key, with the fields that the key holds; nil
// for a key of no known kind.
func newRecord(key string) Record {
	if key == KeyLeader {
		return &Term{}
	}
	if shard, ok := strings.CutPrefix(key, shardPrefix); ok {
		return &Term{Shard: shard}
	}
	if name, ok := strings.CutPrefix(key, controllerPrefix); ok {
		return &Controller{Name: name}
	}
	if controller, ok := strings.CutPrefix(key, revocationPrefix); ok {
		return &Revocation{Controller: controller}
	}
	if page, ok := strings.CutPrefix(key, inventoryPrefix); ok {
		return newInventoryPage(page)
	}
	if id, ok := strings.CutPrefix(key, jobPrefix); ok {
		return &Job{ID: id}
	}
	return newDrainOrClaim(key)
}

// newInventoryPage makes the empty page for the rest of a key, "shard/number"; nil if
// that is no number.
func newInventoryPage(keySuffix string) Record {
	shard, pageNumber, _ := strings.Cut(keySuffix, "/")
	number, err := strconv.Atoi(pageNumber)
	if err != nil {
		return nil
	}
	return &InventoryPage{Shard: shard, Number: number}
}

// newDrainOrClaim makes the empty record for the key of a drain or of a disruption
// claim; nil for a key of another kind.
func newDrainOrClaim(key string) Record {
	if shard, ok := strings.CutPrefix(key, claimPrefix); ok {
		return &DisruptionClaim{Shard: shard}
	}
	if text, ok := strings.CutPrefix(key, drainPrefix); ok {
		if number, err := strconv.Atoi(text); err == nil {
			return &Drain{Number: number}
		}
	}
	return nil
}
