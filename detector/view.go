package detector

import "time"

// PeerView is what this controller makes of another one at present.
type PeerView struct {
	Controller       string
	State            State
	Incarnation      uint64
	Refutation       uint64
	Evidence         []Evidence    // this controller's own
	Accusers         []string      // controllers with evidence of their own, this one included
	SinceLastSeen    time.Duration // 0: it is not monitored
	SuspicionTimeout time.Duration // silence beyond which it is probed and suspected
}

// PeerViews describes all other controllers, by name.
func (d *Detector) PeerViews(now time.Time) []PeerView {
	var views []PeerView
	for _, p := range d.peers {
		view := PeerView{
			Controller:       p.name,
			State:            p.state,
			Incarnation:      p.incarnation(),
			Refutation:       p.latest.Refutation,
			Evidence:         p.evidence(),
			Accusers:         d.accusers(now, p).names,
			SuspicionTimeout: d.suspicionTimeout(p),
		}
		if p.isMonitored() && !p.lastSeen.IsZero() {
			view.SinceLastSeen = now.Sub(p.lastSeen)
		}
		views = append(views, view)
	}
	return views
}
