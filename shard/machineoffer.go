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

// canScaleOut reports whether the shard may request more machines, spot or on-demand. It
// may not while a recent refusal by the cloud is in effect, nor while the shard is
// partitioned: the owner could not reach the new machines either.
func (c *scaleOutState) canScaleOut(v *fleetView, now time.Time, spot bool) bool {
	return !v.partitioned && !now.Before(c.refusedUntil[spot])
}

// cheapestOffer returns the machine with the lowest price per CPU among those that can
// be requested and fit a task of a job.
func (c *scaleOutState) cheapestOffer(v *fleetView, now time.Time, s *wire.Submission) machineOffer {
	var best machineOffer
	bestPrice := math.Inf(1)
	for _, t := range v.types {
		if !taskResources(s).fits(machineResources(t)) || !isEligible(s, t.Name, false) || !t.IsOfferedIn(v.cfg.Shard) {
			continue
		}
		for _, spot := range []bool{false, true} {
			if spot && (!s.Spot || !v.cfg.UseSpot) || !c.canScaleOut(v, now, spot) {
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
