"""Load on cold servers in a simulated fleet: the limit holds, and others serve."""

import unittest

from stoattray_core.steering.entries import RequestKind, Route, WarmUp
from stoattray_core.steering.ownership import OWNERSHIP_GAP_MILLIS
from stoattray_core.steering.warm_up_budget import WarmUpBounds
from tests.simulated_fleet import DATA_CENTRES, Host, SimulatedFleet, Workload
from tests.steering_builders import LOOKUP_DESTINATION, configuration

WARM_UP_MILLIS = 2_000
LIMIT = 5
LATE_RETRANSMISSION_MILLIS = 600


def share_served(outcomes) -> float:
    """Return the share of requests that were served."""
    return sum(outcome.is_served for outcome in outcomes) / len(outcomes)


class WarmUpLoadTest(unittest.TestCase):
    """A fleet with a limit for cold servers."""

    def setUp(self):
        self.workload = Workload(n_retries=2)
        self.fleet = SimulatedFleet(
            n_balancers=4,
            workload=self.workload,
            warm_up_bounds=WarmUpBounds(1.5, float(LIMIT)),
        )
        route = Route(
            "check",
            LOOKUP_DESTINATION,
            (("lookup", 1),),
            RequestKind.IDEMPOTENT,
            self.workload.target_millis,
            timeout_millis=self.workload.deadline_millis,
        )
        limited = configuration(
            2,
            routes={route.destination: route},
            warm_ups={"lookup": WarmUp(WARM_UP_MILLIS, 0.0)},
        )
        self.fleet.declare(limited)
        self.fleet.declare(*(balancer.own for balancer in self.fleet.all_balancers))
        self.fleet.set_load(0.0)
        self.fleet.run(OWNERSHIP_GAP_MILLIS + 500)
        self.cold: list[tuple[Host, int]] = []

    def stop(self, hosts):
        """Stop hosts; their records are deleted."""
        for host in hosts:
            host.is_unresponsive = True
            for balancer in self.fleet.all_balancers:
                balancer.remove(host.name)

    def start(self, hosts, warm_up=WARM_UP_MILLIS):
        """Start hosts that are cold for some time."""
        for host in hosts:
            host.is_unresponsive = False
            host.openings_at.clear()
            entry = self.fleet.entry(
                host,
                warmup_remaining_millis=warm_up,
                started_at=self.fleet.now,
            )
            self.fleet.declare(entry)
            self.cold.append((host, self.fleet.now + warm_up))

    def hosts_of(self, data_centre):
        return [h for h in self.fleet.hosts.values() if h.data_centre == data_centre]

    def cold_openings(self, host, cold_until):
        return sorted(at for at in host.openings_at if at < cold_until)

    def check_limit(self):
        """Check each sliding second of the hosts that were cold."""
        for host, cold_until in self.cold:
            opened = self.cold_openings(host, cold_until)
            for number, at in enumerate(opened):
                n_within = sum(at <= other < at + 1_000 for other in opened[number:])
                self.assertLessEqual(n_within, LIMIT, host.name)

    def n_cold_openings(self):
        return sum(len(self.cold_openings(*item)) for item in self.cold)

    def owner(self, host):
        """Return the balancer that owns a host, and a row of it."""
        steering = self.fleet.all_balancers[0].steering
        name = steering.warm_up.owners.owner(steering.servers.get(host.name).entry)
        return next(b for b in self.fleet.all_balancers if b.own.name == name)

    def test_a_data_centre_comes_back_cold_together(self):
        """Guards against openings that rush to empty servers."""
        hosts = self.hosts_of(DATA_CENTRES[1])
        self.fleet.set_load(0.35)
        self.stop(hosts)
        self.fleet.run(OWNERSHIP_GAP_MILLIS)
        self.start(hosts)
        self.assertGreater(share_served(self.fleet.run(WARM_UP_MILLIS)), 0.97)
        self.assertGreater(self.n_cold_openings(), 0)
        self.assertGreater(share_served(self.fleet.run(1_000)), 0.99)
        self.check_limit()

    def test_a_rolling_release_of_a_third_at_a_time(self):
        """Guards against cold servers that displace warm ones, third after third."""
        hosts = list(self.fleet.hosts.values())
        self.fleet.set_load(0.35)
        for third in range(3):
            self.stop(hosts[third::3])
            self.fleet.run(500)
            self.start(hosts[third::3])
            served = share_served(self.fleet.run(WARM_UP_MILLIS + 500))
            self.assertGreater(served, 0.97)
        self.check_limit()

    def test_all_cold(self):
        """Guards against more than the sum of limits, and against a late return."""
        hosts = list(self.fleet.hosts.values())
        self.stop(hosts)
        self.fleet.run(OWNERSHIP_GAP_MILLIS)
        self.start(hosts)
        self.fleet.set_load(0.5)
        self.fleet.run(WARM_UP_MILLIS)
        self.check_limit()
        most = len(hosts) * LIMIT * (WARM_UP_MILLIS / 1_000 + 1)
        self.assertLessEqual(self.n_cold_openings(), most)
        self.assertGreater(self.n_cold_openings(), len(hosts) * LIMIT)
        self.fleet.run(LATE_RETRANSMISSION_MILLIS)
        self.assertGreater(share_served(self.fleet.run(1_000)), 0.97)

    def test_a_cold_server_and_a_burst(self):
        """Guards against a burst that spills over to the cold server."""
        host = self.fleet.hosts["i-01"]
        self.stop([host])
        self.fleet.run(OWNERSHIP_GAP_MILLIS)
        self.start([host])
        self.fleet.set_load(1.3)
        self.fleet.run(WARM_UP_MILLIS)
        self.assertGreater(self.n_cold_openings(), LIMIT)
        self.check_limit()

    def test_owner_is_dead(self):
        """Guards against other balancers that send in its place."""
        host = self.fleet.hosts["i-01"]
        self.stop([host])
        self.start([host])
        owner = self.owner(host)
        self.fleet.starting[owner.own.name] = None
        self.fleet.set_load(0.5, only=DATA_CENTRES[1])
        outcomes = self.fleet.run(WARM_UP_MILLIS)
        self.assertEqual(self.n_cold_openings(), 0)
        self.assertGreater(share_served(outcomes), 0.99)

    def test_balancer_that_hears_nobody(self):
        """Guards against an owner whose list is old, before and after its return."""
        host = self.fleet.hosts["i-01"]
        self.stop([host])
        self.start([host], warm_up=60_000)
        owner = self.owner(host)
        self.fleet.isolated.add(owner.own.name)
        self.fleet.set_load(0.5)
        self.fleet.run(2_300)
        n_before = len(host.openings_at)
        self.fleet.run(1_000)
        self.assertEqual(len(host.openings_at), n_before)
        self.fleet.isolated.clear()
        self.fleet.run(2_000)
        self.assertEqual(len(host.openings_at), n_before)
        self.fleet.run(OWNERSHIP_GAP_MILLIS)
        self.assertGreater(len(host.openings_at), n_before)
        self.check_limit()

    def test_load_goes_away_again(self):
        """Guards against refusals that outlast the load and the warm-up."""
        hosts = list(self.fleet.hosts.values())
        self.stop(hosts)
        self.start(hosts)
        self.fleet.set_load(1.5)
        self.fleet.run(WARM_UP_MILLIS)
        self.fleet.set_load(0.2)
        self.fleet.run(1_000)
        self.assertEqual(share_served(self.fleet.run(1_000)), 1.0)
        self.check_limit()
