"""Stand-in processes: ``python -m stoattray_standin platform|backend-servers``."""

from gevent import monkey

monkey.patch_all()

import argparse  # noqa: E402 - gevent patches the standard library first
import json  # noqa: E402
import signal  # noqa: E402
import sys  # noqa: E402
from contextlib import ExitStack  # noqa: E402
from pathlib import Path  # noqa: E402

import falcon  # noqa: E402
import gevent  # noqa: E402
from gevent.event import Event  # noqa: E402
from gevent.pywsgi import WSGIServer  # noqa: E402

from stoattray_standin._ports import HOST  # noqa: E402
from stoattray_standin.backend_servers import (  # noqa: E402
    BackendServer,
    health_endpoint,
    spawn_servers,
)
from stoattray_standin.platform import PlatformStandin  # noqa: E402


class BackendServerStatsResource:
    """``/standin/backend-servers``: flow counts per backend server."""

    def __init__(self, servers: list[BackendServer]) -> None:
        self._servers = servers

    def on_get(self, _: falcon.Request, response: falcon.Response) -> None:
        """Answer with counts per backend server."""
        response.media = [
            {
                "service": server.service,
                "name": server.name,
                "n_open": len(server.open_flows),
                "n_opened": server.n_opened,
                "n_resets": server.n_resets,
                "last_opened_at": server.last_opened_at,
            }
            for server in self._servers
        ]


def _run_platform(arguments: argparse.Namespace) -> None:
    server = PlatformStandin(arguments.seed).serve(HOST, arguments.port)
    _wait_for_stop()
    server.stop(timeout=1)


def _run_backend_servers(arguments: argparse.Namespace) -> None:
    plan = json.loads(Path(arguments.plan).read_text())
    return_address = (HOST, int(plan["return_port"]))
    servers = [
        BackendServer(
            item["service"], item["name"], (HOST, item["port"]), return_address
        )
        for item in plan["backend_servers"]
    ]
    app = falcon.App()
    app.add_route("/standin/backend-servers", BackendServerStatsResource(servers))
    with ExitStack() as stack:
        for server in servers:
            stack.enter_context(health_endpoint(server.address))
        spawn_servers(servers)
        stats = WSGIServer((HOST, arguments.port), app, log=None, error_log=None)
        stats.start()
        _wait_for_stop()
        stats.stop(timeout=1)


def _wait_for_stop() -> None:
    stopped = Event()
    gevent.signal_handler(signal.SIGTERM, stopped.set)
    gevent.signal_handler(signal.SIGINT, stopped.set)
    stopped.wait()


def main() -> int:
    """Run one stand-in until SIGTERM or SIGINT."""
    parser = argparse.ArgumentParser(prog="stoattray-standin")
    commands = parser.add_subparsers(required=True)
    platform = commands.add_parser("platform")
    platform.add_argument("--port", type=int, required=True)
    platform.add_argument("--seed", type=int, default=1)
    platform.set_defaults(run=_run_platform)
    backend_servers = commands.add_parser("backend-servers")
    backend_servers.add_argument("--port", type=int, required=True)
    backend_servers.add_argument("--plan", required=True)
    backend_servers.set_defaults(run=_run_backend_servers)
    arguments = parser.parse_args()
    arguments.run(arguments)
    return 0


if __name__ == "__main__":
    sys.exit(main())
