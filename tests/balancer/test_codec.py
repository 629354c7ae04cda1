"""Messages round-trip; invalid input is refused without raising."""

import dataclasses
import typing
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from stoattray_balancer._codec import Envelope, decode, encode
from stoattray_core import ErrorKind, Refused, messages
from stoattray_core.messages import BucketState, Message, Ping, ShardState

integers = st.integers(0, 2**31 - 1)
shard_numbers = st.integers(0, 250)
strings = st.text("abc/:@.-0", max_size=12)


def field_strategy(kind):
    """Return a strategy for values of a field type."""
    if typing.get_origin(kind) is list:
        return st.lists(field_strategy(typing.get_args(kind)[0]), max_size=3)
    if dataclasses.is_dataclass(kind):
        return message_strategy(kind)
    return {
        int: integers,
        str: strings,
        bytes: st.binary(max_size=24),
        bool: st.booleans(),
    }[kind]


def message_strategy(cls):
    """Return a strategy for instances of a message class."""
    hints = typing.get_type_hints(cls)
    fields = {
        field.name: field_strategy(hints[field.name])
        for field in dataclasses.fields(cls)
    }
    if cls in (BucketState, ShardState):
        fields["shard"] = shard_numbers
    if cls is messages.MemberState:
        fields["status"] = st.integers(0, 3)
    return st.builds(cls, **fields)


def with_sorted_groups(message):
    """Sort the lists that the codec groups, since it changes their order."""
    for field in dataclasses.fields(message):
        value = getattr(message, field.name)
        is_filled = isinstance(value, list) and bool(value)
        if is_filled and isinstance(value[0], (BucketState, ShardState)):
            value.sort(key=repr)
    return message


any_message = st.one_of([message_strategy(cls) for cls in typing.get_args(Message)])


class CodecTest(unittest.TestCase):
    """Round trips, random bytes and single changed bytes."""

    @settings(derandomize=True, max_examples=300, deadline=None)
    @given(any_message)
    def test_round_trip(self, message):
        envelope = Envelope("b1", 5, 7, message)
        decoded = decode(encode(envelope))
        self.assertIsInstance(decoded, Envelope)
        self.assertEqual(
            with_sorted_groups(decoded.message), with_sorted_groups(message)
        )

    @settings(derandomize=True, max_examples=500, deadline=None)
    @given(st.binary(max_size=300))
    def test_random_bytes_do_not_raise(self, data):
        self.assertIsInstance(decode(data), (Envelope, Refused))

    @settings(derandomize=True, max_examples=500, deadline=None)
    @given(any_message, st.data())
    def test_changed_byte_does_not_raise(self, message, data):
        encoded = bytearray(encode(Envelope("b1", 5, 7, message)))
        position = data.draw(st.integers(0, len(encoded) - 1))
        encoded[position] = data.draw(st.integers(0, 255))
        self.assertIsInstance(decode(bytes(encoded)), (Envelope, Refused))

    def test_unsupported_version(self):
        data = encode(Envelope("b1", 5, 7, Ping(1, 2, 3, [])))
        field_header, version_1, version_2 = b"\x14", b"\x02", b"\x04"
        self.assertEqual(data[:2], field_header + version_1)
        other = field_header + version_2 + data[2:]
        self.assertEqual(decode(other).kind, ErrorKind.MESSAGE_BAD_VERSION)

    def test_too_large(self):
        self.assertEqual(decode(bytes(70_000)).kind, ErrorKind.TOO_LARGE)
