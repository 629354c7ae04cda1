"""Lines of JSON values, compared with a writer that notes them."""

import json
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from stoattray_operator._json_lines import MAX_DEPTH, format_path, scan_json

keys = st.text(max_size=4)
values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=6),
    lambda children: (
        st.lists(children, max_size=3) | st.dictionaries(keys, children, max_size=3)
    ),
    max_leaves=12,
)


class Writer:
    """Writes JSON with drawn line breaks and notes the line of each path."""

    def __init__(self, breaks):
        self.parts = []
        self.lines = {}
        self._breaks = breaks
        self._line = 1

    def write(self, text):
        n_breaks = self._breaks[len(self.parts) % len(self._breaks)]
        self._line += n_breaks
        self.parts.append("\n" * n_breaks + text)

    def write_value(self, value, path=(), is_noted=False):
        if isinstance(value, dict):
            self.write("{")
            if not is_noted:
                self.lines[path] = self._line
            for number, (key, item) in enumerate(value.items()):
                if number:
                    self.write(",")
                self.write(json.dumps(key))
                self.lines[*path, key] = self._line
                self.write(":")
                self.write_value(item, (*path, key), is_noted=True)
            self.write("}")
        elif isinstance(value, list):
            self.write("[")
            if not is_noted:
                self.lines[path] = self._line
            for number, item in enumerate(value):
                if number:
                    self.write(",")
                self.write_value(item, (*path, number))
            self.write("]")
        else:
            self.write(json.dumps(value))
            if not is_noted:
                self.lines[path] = self._line


class JsonLinesTest(unittest.TestCase):
    """Positions of values in valid JSON."""

    @settings(derandomize=True, max_examples=300, deadline=None)
    @given(values, st.lists(st.integers(0, 2), min_size=1, max_size=20))
    def test_lines_are_those_of_the_writer(self, value, breaks):
        """Guards against findings at the line of another value."""
        writer = Writer(breaks)
        writer.write_value(value)
        found = scan_json("".join(writer.parts))
        for path, line in writer.lines.items():
            if len(path) <= MAX_DEPTH:
                self.assertEqual(found.find(path), line, path)
        self.assertEqual(found.repeated_keys, [])

    def test_missing_value_has_the_line_of_its_object(self):
        """Guards against findings without a line for keys that are missing."""
        lines = scan_json('{\n"a":\n{\n"b": 1}}')
        self.assertEqual(lines.find(("a", "c", 3)), 2)
        self.assertEqual(lines.find(("x",)), 1)

    def test_deep_text_is_scanned_without_positions_of_all_levels(self):
        """Guards against memory that grows with the square of the depth."""
        depth = 2_000
        for text in ("[" * depth + "]" * depth, '{"a":' * depth + "1" + "}" * depth):
            with self.subTest(text[:5]):
                found = scan_json(text)
                self.assertEqual(len(found.lines), MAX_DEPTH + 1)

    def test_paths_are_ascii(self):
        """Guards against output that a terminal's encoding can't hold."""
        path = (0, "spec", "é\ud800", "a b")
        self.assertEqual(format_path(path), '$[0].spec["\\u00e9\\ud800"]["a b"]')
