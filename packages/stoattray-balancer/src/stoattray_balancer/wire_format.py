"""Public names of the peer message codec, for tools and benchmarks."""

from stoattray_balancer._codec import Envelope, decode, encode, message_size
from stoattray_balancer._encryption import Keyring, PeerKey

__all__ = ["Envelope", "Keyring", "PeerKey", "decode", "encode", "message_size"]
