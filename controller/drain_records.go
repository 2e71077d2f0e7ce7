package controller

import (
	"maps"
	"slices"

	"ravenport/drain"
	"ravenport/records"
	"ravenport/shard"
)

// drainRecords holds a controller's knowledge of drains: the stored records, and the
// progress that shard owners report.
type drainRecords struct {
	stored        map[string]records.Change    // drains, disruption claims (both also damaged) and terms of shards, by key
	shardStatuses map[string]drain.ShardStatus // by shard
}

func newDrainRecords() drainRecords {
	return drainRecords{stored: map[string]records.Change{}, shardStatuses: map[string]drain.ShardStatus{}}
}

// apply applies a change from the feed.
func (r *drainRecords) apply(change records.Change) {
	switch record := change.Record.(type) {
	case *records.Drain, *records.DisruptionClaim, *records.Term:
		r.stored[change.Key] = change
	case *records.DamagedRecord:
		if record.IsDrainOrClaim() {
			r.stored[change.Key] = change
		}
	case nil:
		delete(r.stored, change.Key)
	}
}

// changes lists the stored records, for a shard owner that is starting.
func (r *drainRecords) changes() []records.Change {
	return slices.Collect(maps.Values(r.stored))
}

// drainingConfig returns the draining configuration of the shard owners in this process.
func (c *controlActor) drainingConfig() shard.DrainingConfig {
	config := shard.DrainingConfig{
		Shards:  c.settings.Deployment.Zones,
		Budgets: c.settings.Draining.Budgets,
		Policy:  c.settings.Draining.Policy,
	}
	if c.dependencies.overrideDraining != nil {
		c.dependencies.overrideDraining(&config)
	}
	return config
}
