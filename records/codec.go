package records

import (
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"

	"ravenport/wire"
)

// Encode encodes a record, or a request to the key-value store, as JSON.
func Encode(v any) json.RawMessage {
	data, err := json.Marshal(v)
	if err != nil {
		// This cannot happen: records contain only validated numbers and strings.
		panic(fmt.Sprintf("records: encoding a %T: %v", v, err))
	}
	return data
}

// ErrDamaged means that a stored value is not a valid record for its key.
var ErrDamaged = errors.New("records: damaged record")

// Decode decodes the record stored under key. It returns nil if the key is of no known
// kind. All its errors wrap ErrDamaged.
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

// checkRecord returns an error if the content of a decoded record is invalid.
func checkRecord(record Record) error {
	if job, ok := record.(*Job); ok {
		return job.checkAssignments()
	}
	return nil
}

// newRecord returns a new record for a key. Only the fields that are part of the key are
// set. It returns nil if the key is of no known kind.
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

// newInventoryPage returns an empty page for a key with the suffix "shard/number". It
// returns nil if number is not a number.
func newInventoryPage(keySuffix string) Record {
	shard, pageNumber, _ := strings.Cut(keySuffix, "/")
	number, err := strconv.Atoi(pageNumber)
	if err != nil {
		return nil
	}
	return &InventoryPage{Shard: shard, Number: number}
}

// newDrainOrClaim returns a new record for the key of a drain or a disruption claim. It
// returns nil if the key is of another kind.
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
