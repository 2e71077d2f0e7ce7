package detector

import "time"

// PeerView is this controller's current view of another controller.
type PeerView struct {
	Controller       string
	State            State
	Incarnation      uint64
	Refutation       uint64
	Evidence         []Evidence    // this controller's own
	Accusers         []string      // controllers with evidence of their own, including this controller if it has any
	SinceHeartbeat   time.Duration // time since its last heartbeat; 0: the controller is not monitored
	SuspicionTimeout time.Duration // time without an answer after which the controller is suspected
}

// PeerViews returns the views of all other controllers, sorted by name.
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
		if p.isMonitored() && !p.lastHeartbeat.IsZero() {
			view.SinceHeartbeat = now.Sub(p.lastHeartbeat)
		}
		views = append(views, view)
	}
	return views
}
