"""Measures the transfer of a snapshot: ``python deploy/replica_transfer.py N``.

Builds the records of N backend servers in the platform's format, transfers them as one
balancer does to another, and prints memory and processor time as lines of
``name value unit``. Each size needs its own process because peak memory is measured.
"""

import json
import resource
import sys
import time
from random import Random

from null_event_sink import NullEventSink

from stoattray_balancer.steering._peer_codec import (
    decode_difference,
    encode_difference,
)
from stoattray_core.steering.entries import MemberEntry
from stoattray_core.steering.heartbeat import Heartbeat
from stoattray_core.steering.replica import Difference, Record
from stoattray_core.steering.steering import Steering
from stoattray_platform.record_decoder import PlatformRecordDecoder

N_SERVICES = 40
FLOW_LIFE_MILLIS = 60_000


def _build_record(number: int, random: Random) -> Record:
    born = 1_790_000_000_000 + random.randrange(10**9)
    value = {
        "service": f"service-{number % N_SERVICES}",
        "address": f"10.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}:8080",
        "zone": f"zone-{number % 9}",
        "version": "1",
        "capacity": 2,
        "state": "ready",
        "warmup_remaining_ms": 0,
        "sequence": random.randrange(10**6),
        "born": born,
    }
    key = f"servers/i-{random.getrandbits(40):010x}"
    return Record(key, number + 1, json.dumps(value).encode())


def _peak_mb() -> float:
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1_024


def main() -> None:
    """Measure the transfer of one snapshot."""
    n_servers = int(sys.argv[1])
    own_member = MemberEntry("edge-1", "10.1.0.10", "zone-1", 1)
    steering = Steering(
        own_member,
        decoder=PlatformRecordDecoder(),
        flow_life_millis=FLOW_LIFE_MILLIS,
        random=Random(1),
        on_event=NullEventSink(),
    )
    before = _peak_mb()
    random = Random(1)
    records = [_build_record(number, random) for number in range(n_servers)]
    heartbeat = Heartbeat(own_member, True, True, n_servers, 0, None, {})
    started = time.process_time()
    data = encode_difference(
        heartbeat, Difference(n_servers, records, True), may_compress=True
    )
    encoded = time.process_time()
    del records
    message = decode_difference(data)
    assert isinstance(message, tuple), message
    decoded = time.process_time()
    steering.apply_changes(message[1], 1)
    applied = time.process_time()
    print(f"copy_bytes {len(data)} bytes")
    print(f"encode_seconds {encoded - started:.3f} s")
    print(f"decode_seconds {decoded - encoded:.3f} s")
    print(f"take_seconds {applied - decoded:.3f} s")
    print(f"servers {len(steering.servers)} servers")
    print(f"peak_memory {_peak_mb():.1f} MB, {before:.1f} before")


if __name__ == "__main__":
    main()
