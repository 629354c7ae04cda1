"""Command line of the balancer: ``stoattray``."""

from gevent import monkey

monkey.patch_all()

import argparse  # noqa: E402 - gevent patches the standard library first
import json  # noqa: E402
import sys  # noqa: E402
from collections.abc import Sequence  # noqa: E402
from pathlib import Path  # noqa: E402

from stoattray_balancer.process import BalancerProcess  # noqa: E402
from stoattray_balancer.settings import load_settings, settings_schema  # noqa: E402
from stoattray_core import StoattrayError  # noqa: E402


def main(argv: Sequence[str] | None = None) -> int:
    """Run the command line and return the exit status."""
    arguments = _parser().parse_args(argv)
    try:
        return arguments.run(arguments)
    except StoattrayError as error:
        print(f"stoattray: {error.reason}", file=sys.stderr)
        return error.response.exit_status
    except OSError as error:
        print(f"stoattray: {error}", file=sys.stderr)
        return 1


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="stoattray", description="Layer-4 load balancer."
    )
    commands = parser.add_subparsers(required=True, metavar="COMMAND")
    serve = commands.add_parser("run", help="forward packets until SIGTERM or SIGINT")
    serve.add_argument("settings", type=Path, help="settings file in JSON")
    serve.set_defaults(run=_run)
    check = commands.add_parser("check-config", help="validate a settings file")
    check.add_argument("settings", type=Path, help="settings file in JSON")
    check.set_defaults(run=_check_config)
    schema = commands.add_parser("print-schema", help="print the settings' JSON schema")
    schema.set_defaults(run=_print_schema)
    return parser


def _run(arguments: argparse.Namespace) -> int:
    return BalancerProcess(load_settings(arguments.settings)).run()


def _check_config(arguments: argparse.Namespace) -> int:
    settings = load_settings(arguments.settings)
    print(f"{arguments.settings}: valid, member {settings.member}")
    return 0


def _print_schema(_: argparse.Namespace) -> int:
    print(json.dumps(settings_schema(), indent=2))
    return 0


if __name__ == "__main__":
    sys.exit(main())
