package settings

import (
	"math"
	"time"

	"ravenport/constants"
	"ravenport/records"
)

// bytesPerKB converts the store's size of a value.
const bytesPerKB = 1024

// StoreLimits are the smaller of the store's present and later limits: whatever keeps
// within them can be written whenever the later ones come into force.
func (s *Settings) StoreLimits() StoreLimits {
	limits := s.Deployment.Store.StoreLimits
	next := s.Deployment.Store.Next
	lower(&limits.RPS, next.RPS)
	lower(&limits.WriteRPS, next.WriteRPS)
	lower(&limits.ValueKB, next.ValueKB)
	lower(&limits.TxnOps, next.TxnOps)
	return limits
}

// lower lowers a limit to a later one, if there is one that is smaller.
func lower[N int | float64](limit, next *N) {
	if next != nil {
		*limit = min(*limit, *next)
	}
}

// ValueBytes is the store's limit on a value, now and later (bytes).
func (s *Settings) ValueBytes() int { return int(s.StoreLimits().ValueKB * bytesPerKB) }

// RecordSizeLimits are the limits on a job's record, now and later.
func (s *Settings) RecordSizeLimits() records.SizeLimits {
	return records.SizeLimits{
		Current: int(s.Deployment.Store.ValueKB * bytesPerKB),
		Next:    s.ValueBytes(),
	}
}

// SocketLimits are the parts of the machine's sockets.
type SocketLimits struct {
	// Server is how many connections the server for users, workers and health checks may
	// have open.
	Server int
	// DirectCommands is how many direct commands the owner of one shard may have in
	// flight, so that there are enough sockets if this controller owns all shards.
	DirectCommands int
}

// SocketLimits divides the machine's sockets.
func (s *Settings) SocketLimits() SocketLimits {
	limit := s.Deployment.Limits.MaxConnections
	if limit <= 0 {
		limit = 4 * constants.ReservedSockets
	}
	reserved := max(constants.ReservedSockets, limit/constants.ReservedSocketsDivisor)
	reserved = min(reserved, limit/2)
	commands := (reserved - constants.NonCommandSockets) / max(1, len(s.Deployment.Zones))
	return SocketLimits{
		Server:         limit - reserved,
		DirectCommands: min(max(commands, constants.MinConcurrentCommands), constants.MaxConcurrentCommands),
	}
}

// WatchInterval is the least time between two watches of one controller, and between two
// reads of the revision: together they use up to their share of the store's requests,
// which all controllers have together.
func (s *Settings) WatchInterval() time.Duration {
	readRate := max(s.StoreLimits().RPS, 1) * constants.ReadRateShare / s.controllerCount()
	return min(max(Seconds(1/readRate), constants.ReadIntervalMin), constants.ReadIntervalMax)
}

// CloudCallRate is how many calls a second this controller may make to the cloud.
func (s *Settings) CloudCallRate() float64 {
	share := max(constants.CloudRateShare, 1/s.controllerCount())
	return max(s.Deployment.Cloud.RPS, 0.1) * share
}

// CloudCallInterval is the time that two calls take of this controller's calls to the
// cloud.
func (s *Settings) CloudCallInterval() time.Duration { return Seconds(2 / s.CloudCallRate()) }

// controllerCount is the number of controllers, this one included.
func (s *Settings) controllerCount() float64 { return float64(1 + len(s.Peers)) }

// ProcessorCount is how many processors the machine's share of them can keep busy at once;
// 0: the settings do not say.
func (s *Settings) ProcessorCount() int { return int(math.Ceil(max(0, s.Deployment.Limits.CPU))) }

// SecondShardDelay is how long a controller that owns a shard leaves another vacant one to
// others: the time that its failover would keep this machine's share of a processor busy.
// Without such a share there is nothing to wait for.
func (s *Settings) SecondShardDelay() time.Duration {
	if s.Deployment.Limits.CPU <= 0 {
		return 0
	}
	return s.elapsedTime(constants.FailoverCPUTime, constants.MaxSecondShardDelay)
}

// RoundBudget is how long a round of decisions may take: as much processor time as the
// same round may have on a whole processor, of which this machine has a share.
func (s *Settings) RoundBudget() time.Duration {
	if share := s.Deployment.Limits.CPU; share <= 0 || share >= 1 {
		return constants.RoundBudget
	}
	return s.elapsedTime(constants.RoundBudget, constants.MaxRoundBudget)
}

// elapsedTime is how long an amount of processor time takes on this machine's share of
// a processor, and at most the bound.
func (s *Settings) elapsedTime(cpuTime, limit time.Duration) time.Duration {
	return min(time.Duration(float64(cpuTime)/s.Deployment.Limits.CPU), limit)
}
