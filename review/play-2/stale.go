package main

import "time"

func init() { cases["stale"] = stale }

// stale: a controller loses the network as it returns an idle machine, and is replaced.
func stale(folder string) {
	t := newTrial("stale", folder, magnolia())
	t.links = true
	t.makeNodes()
	for _, n := range t.nodes {
		n.start()
	}
	if !waitFor(15*time.Second, func() bool { return len(t.healthyNodes()) == len(t.nodes) }) {
		t.fail("the controllers do not come up")
	}
	// Each zone is owned by its own controller. The job brings up one cheap machine in one zone.
	time.Sleep(4 * time.Second)
	yard := t.site.zones[1]
	victim := t.nodes[1]
	sweep := t.formulaSweep("run-000001")
	sweep.Pieces, sweep.Yard, sweep.runS = 2, &yard, 2
	// The owner asks for the list of machines every 10 s. The machine is to be returned between two
	// such requests: a request that hangs on the connection to the cloud would make the next one
	// need a new connection, which an interrupted network does not make.
	sweep.mayEnd = func() bool {
		since := t.cloud.sinceList(victim.name)
		return since > 3*time.Second && since < 6*time.Second
	}
	if !t.submit(sweep) || !waitFor(25*time.Second, func() bool { return t.doneTasks(sweep.UID) == sweep.Pieces }) {
		t.fail("the first job is not done")
	}
	idleAt := time.Now()
	if owner := t.cloud.ownerIn(yard); owner != victim.name {
		t.fail("%s commands the machine of %s, not %s", owner, yard, victim.name)
	}
	// The machine is returned when it has been idle for 30 s. The network is interrupted shortly before.
	time.Sleep(time.Until(idleAt.Add(29700 * time.Millisecond)))
	if t.trouble {
		t.logf("%s loses the network", victim.name)
		for _, link := range victim.links {
			link.hold(true)
		}
	}
	cutAt := time.Now()
	time.Sleep(12 * time.Second)
	service := t.counterMixer("run-000002")
	service.Pieces, service.Scatter, service.Yard, service.Loaners = 1, false, &yard, true
	if !t.submit(service) || !waitFor(25*time.Second, func() bool { return t.running(service.UID) == 1 }) {
		t.fail("the service does not run")
	}
	time.Sleep(time.Until(cutAt.Add(46 * time.Second)))
	if t.trouble {
		t.logf("%s has the network again", victim.name)
		for _, link := range victim.links {
			link.hold(false)
		}
	}
	time.Sleep(8 * time.Second)
	t.cloud.mu.Lock()
	found := t.cloud.stale
	t.cloud.mu.Unlock()
	for _, text := range found {
		t.verdict(text)
	}
	t.verdict("")
}

// ownerIn returns the controller that commands the machines of a zone.
func (c *cloud) ownerIn(zone string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range c.machines {
		if m.zone == zone && m.worker != nil {
			m.worker.mu.Lock()
			defer m.worker.mu.Unlock()
			return m.worker.owner
		}
	}
	return "nobody"
}
