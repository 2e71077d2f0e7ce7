package shard

import (
	"math"
	"time"

	"ravenport/wire"
)

// machineOffer is a machine that the shard can request. The zero value means that there
// is no such machine.
type machineOffer struct {
	machineType *wire.MachineType
	spot        bool
}

// isAvailable reports whether there is a machine to request.
func (o machineOffer) isAvailable() bool { return o.machineType != nil }

// kind is the offer's kind of machine.
func (o machineOffer) kind() machineKind { return machineKind{o.machineType.Name, o.spot} }

// pricePerCPU returns the price of one CPU of the machine.
func (o machineOffer) pricePerCPU() float64 {
	price := o.machineType.Price
	if o.spot {
		price = o.machineType.SpotPrice
	}
	return price / max(o.machineType.CPUs, 1)
}

// canRequest reports whether the shard may request machines of a type, spot or on-demand. It
// may not if the cloud does not offer the type in the shard's zone, while a recent refusal of
// the same kind of machine is in effect, and while the shard is partitioned: the owner could
// not reach the new machines either.
func (c *scaleOutState) canRequest(v *fleetView, now time.Time, t *wire.MachineType, spot bool) bool {
	return !v.partitioned && t.IsOfferedIn(v.cfg.Shard) && !c.isRefused(now, machineKind{t.Name, spot})
}

// isRefused reports whether a recent refusal of a kind of machine is in effect.
func (c *scaleOutState) isRefused(now time.Time, kind machineKind) bool {
	return now.Before(c.refusedUntil[kind])
}

// canScaleOut reports whether the shard may request more machines of any type, spot or
// on-demand.
func (c *scaleOutState) canScaleOut(v *fleetView, now time.Time, spot bool) bool {
	for _, t := range v.types {
		if c.canRequest(v, now, t, spot) {
			return true
		}
	}
	return false
}

// hasRefusal reports whether a recent refusal of spot or of on-demand machines is in effect.
func (c *scaleOutState) hasRefusal(now time.Time, spot bool) bool {
	for kind := range c.refusedUntil {
		if kind.spot == spot && c.isRefused(now, kind) {
			return true
		}
	}
	return false
}

// cheapestOffer returns the machine with the lowest price per CPU among those that can
// be requested and fit a task of a job.
func (c *scaleOutState) cheapestOffer(v *fleetView, now time.Time, s *wire.Submission) machineOffer {
	var best machineOffer
	bestPrice := math.Inf(1)
	for _, t := range v.types {
		if !taskResources(s).fits(machineResources(t)) || !isEligible(s, t.Name, false) {
			continue
		}
		for _, spot := range []bool{false, true} {
			if spot && (!s.Spot || !v.cfg.UseSpot) || !c.canRequest(v, now, t, spot) {
				continue
			}
			offer := machineOffer{t, spot}
			price := offer.pricePerCPU()
			if price < bestPrice || price == bestPrice && t.Name < best.machineType.Name {
				best = offer
				bestPrice = price
			}
		}
	}
	return best
}
