"""Timing and limits of the decision core."""

from dataclasses import dataclass

from stoattray_core._identifiers import Millis


@dataclass(frozen=True, slots=True)
class CoreSettings:
    """Durations in milliseconds and limits as counts.

    Parameters
    ----------
    ping_period_millis : Millis
        Interval between the pings of one balancer.
    ack_timeout_millis : Millis
        Time to wait for a direct answer before indirect pings are requested.
    suspicion_timeout_millis : Millis
        Time without a message, after a failed ping, until a balancer is declared
        dead.
    pause_limit_millis : Millis
        Gap between ticks above which this process is considered paused.
    resend_period_millis : Millis
        Interval at which a pending request is sent again.
    bootstrap_wait_millis : Millis
        Time for which a starting balancer waits for live ones to answer.
    old_server_period_millis : Millis
        Time for which a planned move continues to open flows at the old backend
        server, so that retransmitted opening packets are recorded first.
    hint_after_packets : int
        Relayed packets of one flow after which the ingress balancer gets a hint.
    max_tracked_openings_per_second : int
        Opening packets per second and owner above which a service with the
        balance policy stops tracking each flow.
    max_held_packets : int
        Maximum length of each queue of held packets: of a bucket, flow or shard.
    max_hold_millis : Millis
        Maximum queueing time of an opening packet. Older ones are dropped, since
        the caller may have opened the flow with a retransmission by then.
    max_pins : int
        Maximum number of flows that are pinned when a bucket settles.
    max_hops : int
        Maximum number of balancers that a packet passes.
    reset_delay_millis : Millis
        Time between the failure of a backend server and the reset of its open
        flows.
    leave_grace_millis : Millis
        Minimum time for which a leaving balancer continues to forward.
    """

    ping_period_millis: Millis = 500
    ack_timeout_millis: Millis = 150
    suspicion_timeout_millis: Millis = 1_500
    pause_limit_millis: Millis = 1_000
    resend_period_millis: Millis = 200
    bootstrap_wait_millis: Millis = 1_500
    old_server_period_millis: Millis = 2_000
    hint_after_packets: int = 8
    max_tracked_openings_per_second: int = 200
    max_held_packets: int = 64
    max_hold_millis: Millis = 100
    max_pins: int = 8_000
    max_hops: int = 3
    reset_delay_millis: Millis = 5_000
    leave_grace_millis: Millis = 2_000
