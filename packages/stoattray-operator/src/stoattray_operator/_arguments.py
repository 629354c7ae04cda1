"""Arguments that several commands share."""

import argparse


def add_output(parser: argparse.ArgumentParser) -> None:
    """Add the choice between a table and JSON."""
    parser.add_argument("-o", "--output", choices=["table", "json"], default="table")
