"""Balancer processes, started by the command and the settings of the deploy file."""

import json
import os
import re
import signal
import subprocess
import tomllib
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
PASSED_ON = ("PATH", "HOME", "LANG")
_SECTION = re.compile(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", re.DOTALL)
_FIELD = re.compile(r"\{\{([\w.]*?\.?)(\|json)?\}\}")


def _look_up(fields: Any, path: str) -> Any:
    if path == ".":
        return fields
    for part in path.split("."):
        if isinstance(fields, list):
            fields = fields[int(part)]
        else:
            fields = fields.get(part) if isinstance(fields, dict) else None
    return fields


def render(text: str, fields: Any) -> str:
    """Fill in a template as DEPLOY.md describes, as far as this project uses it."""

    def section(found: re.Match[str]) -> str:
        value = _look_up(fields, found[1])
        if value is None or value is False:
            return ""
        if not isinstance(value, list):
            return render(found[2], value)
        parts = []
        for index, item in enumerate(value):
            comma = "," if index + 1 < len(value) else ""
            parts.append(render(found[2].replace("{{,}}", comma), item))
        return "".join(parts)

    def field(found: re.Match[str]) -> str:
        value = _look_up(fields, found[1])
        return json.dumps(value) if found[2] else str(value)

    return _FIELD.sub(field, _SECTION.sub(section, text))


class Balancer:
    """One machine of the system and its process.

    Parameters
    ----------
    fields : dict
        What the platform's settings file holds.
    directory : Path
        Folder for the settings and the log.
    """

    def __init__(self, fields: dict[str, Any], directory: Path) -> None:
        self.name: str = fields["node_name"]
        self.zone: str = fields["zone"]
        self.starts: list[float] = []
        host, _, port = fields["endpoints"]["datagram_addr"].rpartition(":")
        self.datagrams = host, int(port)
        host, _, port = fields["endpoints"]["readiness_addr"].rpartition(":")
        self.readiness = host, int(port)
        with (ROOT / "deploy/system.toml").open("rb") as file:
            role = tomllib.load(file)["roles"]["balancer"]
        self._command = [render(word, fields) for word in role["run"].split()]
        template = (ROOT / role["template"]).read_text(encoding="utf-8")
        self._settings = directory / f"{self.name}.json"
        self._settings.write_text(render(template, fields), encoding="utf-8")
        self._log = directory / f"{self.name}.log"
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process."""
        environment = {k: os.environ[k] for k in PASSED_ON if k in os.environ}
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["STOATTRAY_NODE_FILE"] = str(self._settings)
        with self._log.open("ab") as log:
            self.process = subprocess.Popen(
                self._command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    @property
    def is_running(self) -> bool:
        """Return whether the process runs."""
        return self.process is not None and self.process.poll() is None

    def end(self) -> None:
        """End the process for good."""
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    def log(self) -> str:
        """Return what the process wrote."""
        return self._log.read_text(errors="replace") if self._log.exists() else ""
