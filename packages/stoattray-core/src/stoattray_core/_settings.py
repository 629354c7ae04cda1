"""Timing and limits of the decision core."""

from dataclasses import dataclass

from stoattray_core._identifiers import Millis


@dataclass(frozen=True, slots=True)
class CoreSettings:
    """Durations in milliseconds and bounds in items.

    Parameters
    ----------
    probe_period : Millis
        Time between two pings that one balancer starts.
    ack_timeout : Millis
        Wait for a direct answer before others are asked to ping.
    suspicion_timeout : Millis
        Silence after a failed ping that declares a balancer dead.
    pause_limit : Millis
        Gap between ticks after which this process counts as paused.
    resend_period : Millis
        Time between two copies of an unanswered request.
    bootstrap_wait : Millis
        Time for which a starting balancer looks for live ones.
    move_hold : Millis
        Time for which a planned move still opens flows at the old backend
        server, so that repeated opening packets are recorded first.
    hint_after_packets : int
        Relayed packets of one flow after which the ingress gets a hint.
    tracking_limit : int
        Opening packets a second and owner above which a service with the
        balance policy stops tracking each flow.
    max_held_packets : int
        Packets that wait for one bucket.
    max_hold : Millis
        Longest time for which an opening packet waits; one that waited longer is
        dropped, since its caller may have got through with a repeated one.
    max_pins : int
        Flows of one bucket that may be pinned when it settles.
    max_hops : int
        Balancers that one packet may pass.
    reset_delay : Millis
        Time for which a backend server counts as dead before its open flows are
        reset.
    leave_grace : Millis
        Time for which a leaving balancer goes on forwarding.
    """

    probe_period: Millis = 500
    ack_timeout: Millis = 150
    suspicion_timeout: Millis = 1_500
    pause_limit: Millis = 1_000
    resend_period: Millis = 200
    bootstrap_wait: Millis = 1_500
    move_hold: Millis = 2_000
    hint_after_packets: int = 8
    tracking_limit: int = 200
    max_held_packets: int = 64
    max_hold: Millis = 100
    max_pins: int = 8_000
    max_hops: int = 3
    reset_delay: Millis = 5_000
    leave_grace: Millis = 2_000
