package settings

import (
	"math"
	"time"

	"ravenport/constants"
	"ravenport/records"
)

// bytesPerKB converts the store's limit on the size of a value (KiB) to bytes.
const bytesPerKB = 1024

// StoreLimits returns, for each limit, the smaller of the store's present and later values:
// a write within these limits is accepted both before and after the later limits come into
// force.
func (s *Settings) StoreLimits() StoreLimits {
	limits := s.Deployment.Store.StoreLimits
	next := s.Deployment.Store.Next
	lower(&limits.RPS, next.RPS)
	lower(&limits.WriteRPS, next.WriteRPS)
	lower(&limits.ValueKB, next.ValueKB)
	lower(&limits.TxnOps, next.TxnOps)
	return limits
}

// lower reduces limit to next if next is set and smaller.
func lower[N int | float64](limit, next *N) {
	if next != nil {
		*limit = min(*limit, *next)
	}
}

// ValueBytes is the store's limit on the size of a value (bytes), the smaller of the present
// and the later one.
func (s *Settings) ValueBytes() int { return int(s.StoreLimits().ValueKB * bytesPerKB) }

// RecordSizeLimits returns the limits on the size of a job's record: the present one, and the
// one that holds both now and later.
func (s *Settings) RecordSizeLimits() records.SizeLimits {
	return records.SizeLimits{
		Current: int(s.Deployment.Store.ValueKB * bytesPerKB),
		Next:    s.ValueBytes(),
	}
}

// SocketLimits says how the machine's sockets are divided between uses.
type SocketLimits struct {
	// Server is how many connections the server for users, workers and health checks may
	// have open.
	Server int
	// DirectCommands is how many direct commands the owner of one shard may have in
	// flight. It leaves enough sockets for the case that this controller owns all shards.
	DirectCommands int
}

// SocketLimits divides the machine's sockets between the HTTP server, direct commands and
// other connections.
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

// WatchInterval is the minimum time between two watches by one controller, and the minimum
// time between two of its reads of the revision. All controllers share the store's request
// rate limit: their watches may use a fixed share of it, and so may their reads of the
// revision.
func (s *Settings) WatchInterval() time.Duration {
	readRate := max(s.StoreLimits().RPS, 1) * constants.ReadRateShare / s.controllerCount()
	return min(max(Seconds(1/readRate), constants.ReadIntervalMin), constants.ReadIntervalMax)
}

// CloudCallRate is how many calls per second this controller may make to the cloud.
func (s *Settings) CloudCallRate() float64 {
	share := max(constants.CloudRateShare, 1/s.controllerCount())
	return max(s.Deployment.Cloud.RPS, 0.1) * share
}

// CloudCallInterval is the time in which this controller may make two calls to the cloud.
func (s *Settings) CloudCallInterval() time.Duration { return Seconds(2 / s.CloudCallRate()) }

// controllerCount is the number of controllers, including this controller.
func (s *Settings) controllerCount() float64 { return float64(1 + len(s.Peers)) }

// ProcessorCount is the machine's CPU share, rounded up to whole processors; 0 if the share
// is unknown.
func (s *Settings) ProcessorCount() int { return int(math.Ceil(max(0, s.Deployment.Limits.CPU))) }

// SecondShardDelay is how long a controller that already owns a shard waits before it
// acquires another vacant shard, so that other controllers can acquire the vacant one first.
// The delay is the time that the failover of a shard would keep this machine's CPU share
// busy. It is 0 if the CPU share is unknown.
func (s *Settings) SecondShardDelay() time.Duration {
	if s.Deployment.Limits.CPU <= 0 {
		return 0
	}
	return s.elapsedTime(constants.FailoverCPUTime, constants.MaxSecondShardDelay)
}

// RoundBudget is the maximum duration of a round of decisions. On less than one processor
// it is longer, up to constants.MaxRoundBudget, so that a round gets the same CPU time as
// on a whole processor.
func (s *Settings) RoundBudget() time.Duration {
	if share := s.Deployment.Limits.CPU; share <= 0 || share >= 1 {
		return constants.RoundBudget
	}
	return s.elapsedTime(constants.RoundBudget, constants.MaxRoundBudget)
}

// elapsedTime is how long work that takes cpuTime on a whole processor takes on this
// machine's CPU share, but at most limit.
func (s *Settings) elapsedTime(cpuTime, limit time.Duration) time.Duration {
	return min(time.Duration(float64(cpuTime)/s.Deployment.Limits.CPU), limit)
}
