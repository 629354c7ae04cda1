"""Balancers whose operators evacuate data centres through a store with older copies."""

from random import Random

from stoattray_balancer.steering.store_reader import StoreReader
from stoattray_core.steering.entries import Evacuation
from stoattray_core.steering.replica import Version
from tests.restorable_store import RestorableStore
from tests.steering_builders import (
    Balancer,
    EntryDecoder,
    configuration,
    server_entry,
)

N_BALANCERS = 3
DATA_CENTRES = ("luzon-a", "luzon-b", "luzon-c")


def key_of(data_centre):
    """Return the key that evacuates a data centre."""
    return f"evacuations/{data_centre}"


class Fleet:
    """Balancers, their store, and operators who evacuate data centres."""

    def __init__(self, n_balancers=N_BALANCERS):
        self.store = RestorableStore(EntryDecoder())
        self.balancers = [self.new_balancer(n) for n in range(n_balancers)]
        self.wanted = set()
        self.n_writes = 0
        self.write_numbers = {}
        self.store.write("configuration", configuration())
        for number, data_centre in enumerate(DATA_CENTRES):
            entry = server_entry(f"i-0{number}", data_centre=data_centre)
            self.store.write(f"servers/{entry.name}", entry)

    def new_balancer(self, number):
        return Balancer(f"edge-{number}", decoder=self.store._decoder)

    def write(self, data_centre):
        self.wanted.add(data_centre)
        self.store.write(key_of(data_centre), Evacuation(data_centre))
        self.n_writes += 1
        record = self.store.records[key_of(data_centre)]
        self.write_numbers[id(record)] = (self.n_writes, record)

    def remove(self, data_centre):
        self.wanted.discard(data_centre)
        self.store.delete(key_of(data_centre))

    def write_again(self):
        """Let operators repeat what the store may have lost."""
        for data_centre in DATA_CENTRES:
            if data_centre in self.wanted:
                self.write(data_centre)
            else:
                self.remove(data_centre)

    def write_number(self, record):
        """Return the number of the write that a record is from."""
        return self.write_numbers[id(record)][0]

    def read(self, balancer):
        """Read until the replica is complete."""
        reader = StoreReader(
            balancer.steering,
            self.store,
            clock=lambda: balancer.now,
            random=Random(1),
            on_event=balancer.recorder,
        )
        for _ in range(4):
            reader._read_once()
            if balancer.steering.replica.version == self.version:
                return
        raise AssertionError(balancer.steering.replica.version)

    @property
    def version(self):
        return Version(self.store.era, self.store.revision)
