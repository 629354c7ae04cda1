"""Client of the resource API."""

import json
from dataclasses import dataclass
from typing import Any
from urllib.parse import quote

import requests

from stoattray_core import ErrorKind, StoattrayError

MAX_CONFLICT_ATTEMPTS = 5


@dataclass(frozen=True, slots=True)
class ConnectionSettings:
    """Address and credentials of the API.

    Parameters
    ----------
    server : str
        Base URL of any balancer's API.
    token : str or None
        Bearer token.
    ca_file : str or None
        PEM file of the certificate authority of the API.
    client_certificate_files : tuple of str or None
        PEM files of this client's certificate and key.
    timeout_seconds : float
        Timeout of one call, without the time that the server is asked to wait.
    """

    server: str
    token: str | None = None
    ca_file: str | None = None
    client_certificate_files: tuple[str, str] | None = None
    timeout_seconds: float = 10.0


class Client:
    """Client of the resource API of one balancer.

    Parameters
    ----------
    connection : ConnectionSettings
        Address and credentials of the API.
    """

    def __init__(self, connection: ConnectionSettings) -> None:
        self._connection = connection
        self._session = requests.Session()
        if connection.token is not None:
            self._session.headers["Authorization"] = f"Bearer {connection.token}"

    def list_organisations(self) -> dict[str, Any]:
        """Return the organisations that the token has access to."""
        return self._call("GET", "/v1/organisations")

    def list_services(self, organisation: str) -> dict[str, Any]:
        """Return the services in force on the balancer."""
        return self._call("GET", f"/v1/organisations/{organisation}/services")

    def get_service(self, organisation: str, name: str) -> dict[str, Any]:
        """Return a service as the platform stores it."""
        return self._call("GET", _service_path(organisation, name))

    def get_revision(self, organisation: str, name: str) -> int:
        """Return a service's revision, or 0 if it does not exist."""
        try:
            return int(self.get_service(organisation, name)["revision"])
        except StoattrayError as error:
            if error.kind is ErrorKind.NOT_FOUND:
                return 0
            raise

    def put_service(
        self, service: dict[str, Any], revision: int, *, dry_run: bool = False
    ) -> dict[str, Any]:
        """Create or replace a service, if `revision` is still its current one."""
        path = _service_path(service["organisation"], service["name"])
        query = {"dry_run": "true"} if dry_run else {}
        body = {"revision": revision, "service": service}
        return self._call("PUT", path, body=body, query=query)

    def delete_service(
        self, organisation: str, name: str, revision: int
    ) -> dict[str, Any]:
        """Delete a service, if `revision` is still its current one."""
        path = _service_path(organisation, name)
        return self._call("DELETE", path, query={"revision": str(revision)})

    def set_server_state(
        self, organisation: str, name: str, server: str, state: str
    ) -> dict[str, Any]:
        """Change the declared state of one backend server.

        Retries on the new revision if another operator changed the service
        concurrently.
        """
        for attempt in range(MAX_CONFLICT_ATTEMPTS):
            current = self.get_service(organisation, name)
            servers = current["service"]["spec"]["backend_servers"]
            found = [item for item in servers if item["name"] == server]
            if not found:
                reason = f"backend server {server!r} does not exist"
                raise StoattrayError(ErrorKind.NOT_FOUND, reason)
            body = {
                "revision": current["revision"],
                "backend_server": {**found[0], "state": state},
            }
            path = f"{_service_path(organisation, name)}/backend-servers/{server}"
            try:
                return self._call("PUT", path, body=body)
            except StoattrayError as error:
                is_last = attempt == MAX_CONFLICT_ATTEMPTS - 1
                if error.kind is not ErrorKind.CONFLICT or is_last:
                    raise
        raise StoattrayError(ErrorKind.CONFLICT, "no attempts left")

    def get_evacuation(self, data_centre: str) -> dict[str, Any]:
        """Return an evacuation as the platform stores it."""
        return self._call("GET", _evacuation_path(data_centre))

    def put_evacuation(self, data_centre: str, revision: int) -> dict[str, Any]:
        """Evacuate a data centre, if `revision` is still the current one."""
        path = _evacuation_path(data_centre)
        return self._call("PUT", path, body={"revision": revision})

    def delete_evacuation(self, data_centre: str, revision: int) -> dict[str, Any]:
        """End an evacuation, if `revision` is still its current one."""
        path = _evacuation_path(data_centre)
        return self._call("DELETE", path, query={"revision": str(revision)})

    def get_status(
        self, revision: int | None = None, wait_seconds: float = 0.0
    ) -> dict[str, Any]:
        """Return which balancers have a revision in force.

        Waits up to `wait_seconds` for the revision to be in force.
        """
        query = {"wait_seconds": str(wait_seconds)}
        if revision is not None:
            query["revision"] = str(revision)
        return self._call(
            "GET", "/v1/status", query=query, extra_timeout_seconds=wait_seconds
        )

    def get_counters(self) -> dict[str, Any]:
        """Return the balancer's counts of events."""
        return self._call("GET", "/v1/counters")

    def _call(
        self,
        method: str,
        path: str,
        *,
        body: dict[str, Any] | None = None,
        query: dict[str, str] | None = None,
        extra_timeout_seconds: float = 0.0,
    ) -> dict[str, Any]:
        try:
            response = self._session.request(
                method,
                self._connection.server + path,
                json=body,
                params=query,
                timeout=self._connection.timeout_seconds + extra_timeout_seconds,
                verify=self._connection.ca_file or True,
                cert=self._connection.client_certificate_files,
            )
            document = response.json()
        except requests.exceptions.ConnectTimeout as error:
            raise self._unreachable_error(error) from None
        except requests.exceptions.ConnectionError as error:
            raise self._unreachable_error(error) from None
        except (requests.RequestException, json.JSONDecodeError) as error:
            reason = f"unusable response from {self._connection.server}: {error}"
            kind = ErrorKind.OUTCOME_UNKNOWN
            if method == "GET":
                kind = ErrorKind.PLATFORM_UNAVAILABLE
            raise StoattrayError(kind, reason) from None
        if response.ok:
            return document
        raise _parse_error(document, response.status_code)

    def _unreachable_error(self, error: Exception) -> StoattrayError:
        reason = f"{self._connection.server} is unreachable ({type(error).__name__})"
        return StoattrayError(ErrorKind.PLATFORM_UNAVAILABLE, reason)


def _service_path(organisation: str, name: str) -> str:
    return f"/v1/organisations/{organisation}/services/{name}"


def _evacuation_path(data_centre: str) -> str:
    return f"/v1/evacuations/{quote(data_centre, safe='')}"


def _parse_error(document: Any, status: int) -> StoattrayError:
    try:
        error = document["error"]
        return StoattrayError(ErrorKind(error["kind"]), str(error["reason"]))
    except (KeyError, TypeError, ValueError):
        return StoattrayError(
            ErrorKind.INTERNAL, f"HTTP status {status} without a reason"
        )
