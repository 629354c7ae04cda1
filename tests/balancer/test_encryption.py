"""Encryption of peer messages: authentication, key rotation and replays."""

import tempfile
import unittest
from pathlib import Path

from stoattray_balancer._encryption import Keyring, PeerKey, ReplayFilter, load_keys
from stoattray_core import ErrorKind, StoattrayError
from tests.builders import key_file_text, secret


def keyring(*ids):
    """Return a keyring with one key for each id."""
    return Keyring([PeerKey(id=number, secret=secret(number)) for number in ids])


class KeyringTest(unittest.TestCase):
    """Encryption, decryption and rejection of invalid input."""

    def test_round_trip(self):
        self.assertEqual(keyring(1).decrypt(keyring(1).encrypt(b"text")), b"text")

    def test_rotation(self):
        old, both, new = keyring(1), keyring(2, 1), keyring(2)
        self.assertEqual(both.decrypt(old.encrypt(b"a")), b"a")
        self.assertEqual(new.decrypt(both.encrypt(b"b")), b"b")
        self.assertEqual(
            new.decrypt(old.encrypt(b"c")).kind, ErrorKind.MESSAGE_NOT_AUTHENTIC
        )

    def test_any_changed_byte_is_rejected(self):
        ring = keyring(1)
        datagram = ring.encrypt(b"text")
        for position in range(len(datagram)):
            changed = bytearray(datagram)
            changed[position] ^= 1
            self.assertFalse(ring.decrypt(bytes(changed)))

    def test_short_input(self):
        self.assertEqual(keyring(1).decrypt(b"x").kind, ErrorKind.MESSAGE_MALFORMED)


class ReplayFilterTest(unittest.TestCase):
    """Each sequence number of a sender is accepted once."""

    def test_repeated_and_reordered_numbers(self):
        replay_filter = ReplayFilter()
        accepted = [replay_filter.accept(1, number) for number in (5, 3, 5, 4, 3)]
        self.assertEqual(accepted, [True, True, False, True, False])

    def test_older_incarnation(self):
        replay_filter = ReplayFilter()
        self.assertTrue(replay_filter.accept(2, 1))
        self.assertFalse(replay_filter.accept(1, 99))
        self.assertTrue(replay_filter.accept(3, 1))

    def test_below_the_window(self):
        replay_filter = ReplayFilter()
        self.assertTrue(replay_filter.accept(1, 10_000))
        self.assertFalse(replay_filter.accept(1, 5))


class KeyFileTest(unittest.TestCase):
    """Errors about invalid key files are one line and show no secret."""

    def load(self, text):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "keys.json"
            path.write_text(text)
            return load_keys(path)

    def test_valid_file(self):
        self.assertEqual([key.id for key in self.load(key_file_text(2, 1))], [2, 1])

    def test_invalid_file(self):
        for text in ("[]", "{", key_file_text(1, 1), '[{"id": 1, "secret": "abcd"}]'):
            with self.subTest(text), self.assertRaises(StoattrayError) as caught:
                self.load(text)
            self.assertNotIn("abcd", str(caught.exception))
            self.assertNotIn("\n", str(caught.exception))
