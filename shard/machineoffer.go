package shard

import (
	"math"
	"slices"
	"time"

	"ravenport/wire"
)

// machineOffer is a machine that the shard can request; the zero value: there is none.
type machineOffer struct {
	machineType *wire.MachineType
	spot        bool
}

// isAvailable says whether there is a machine to request.
func (o machineOffer) isAvailable() bool { return o.machineType != nil }

// kind is the offer's kind of machine.
func (o machineOffer) kind() machineKind { return machineKind{o.machineType.Name, o.spot} }

// pricePerCPU is the price of a CPU of the machine.
func (o machineOffer) pricePerCPU() float64 {
	price := o.machineType.Price
	if o.spot {
		price = o.machineType.SpotPrice
	}
	return price / max(o.machineType.CPUs, 1)
}

// canScaleOut says whether the shard may get more machines, spot or on-demand: the cloud
// has not refused some lately, and new ones would not be partitioned from the owner like
// all others.
func (c *scaleOutState) canScaleOut(v *fleetView, now time.Time, spot bool) bool {
	return !v.partitioned && !now.Before(c.refusedUntil[spot])
}

// cheapestOffer is the machine with the least price per CPU of those that can be requested
// and fit a task of a job.
func (c *scaleOutState) cheapestOffer(v *fleetView, now time.Time, s *wire.Submission) machineOffer {
	var best machineOffer
	bestPrice := math.Inf(1)
	for _, t := range v.types {
		if !taskResources(s).fits(machineResources(t)) || !isEligible(s, t.Name, false) || !slices.Contains(t.Zones, v.cfg.Shard) {
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
