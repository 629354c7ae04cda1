"""The check and the API agree on what is valid, for generated declarations."""

import copy
import json
import tempfile
import unittest
from pathlib import Path
from unittest import mock

from falcon import testing
from hypothesis import given, settings
from hypothesis import strategies as st

from stoattray_balancer._api import ServiceChange, build_app
from stoattray_balancer._api_context import ApiContext
from stoattray_balancer._config_store import ConfigStore
from stoattray_balancer._declarations import Declarations
from stoattray_balancer._evacuations import Evacuations
from stoattray_balancer._store import StoredEntry
from stoattray_balancer._tokens import TokenAuth
from stoattray_core import ErrorKind, Refused, StoattrayError
from stoattray_core.resources import ServiceModel
from stoattray_operator._check import check_text
from stoattray_operator._documents import read_services
from stoattray_operator._findings import Severity
from stoattray_operator._json_lines import format_path

names = st.sampled_from(["a", "b", "web-1"])
hosts = st.sampled_from(["10.0.0.1", "10.0.0.2", "192.0.2.1", "0.0.0.0"])
ports = st.sampled_from([1, 80, 9000, 65_535])
backend_servers = st.fixed_dictionaries(
    {"name": names, "address": hosts, "port": ports},
    optional={
        "state": st.sampled_from(["active", "draining"]),
        "weight": st.sampled_from([1, 2, 100]),
        "health_port": st.none() | ports,
        "max_connections": st.sampled_from([1, 2_000]),
        "data_centre": st.none() | names,
    },
)
specs = st.fixed_dictionaries(
    {"address": hosts, "port": ports},
    optional={
        "protocol": st.sampled_from(["tcp", "udp"]),
        "policy": st.sampled_from(["continuity", "balance"]),
        "idle_limit_seconds": st.sampled_from([1, 4.5, 300]),
        "backend_servers": st.lists(backend_servers, max_size=4),
    },
)
services = st.fixed_dictionaries(
    {"organisation": names, "name": names, "spec": specs},
    optional={"kind": st.just("service")},
)
junk = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-2, 70_000)
    | st.floats()
    | st.text(st.characters(), max_size=5)
    | st.sampled_from(["443", "A", "10.0.0.300", "\ud800", "active"]),
    lambda children: (
        st.lists(children, max_size=2)
        | st.dictionaries(st.sampled_from(["name", "port", "x"]), children, max_size=2)
    ),
    max_leaves=4,
)


def places(value):
    """Yield each container in a value with each of its keys."""
    items = value.items() if isinstance(value, dict) else enumerate(value)
    for key, item in list(items):
        yield value, key
        if isinstance(item, dict | list):
            yield from places(item)


@st.composite
def declarations(draw):
    """Return services of which some have values replaced, removed or added."""
    documents = copy.deepcopy(draw(st.lists(services, min_size=1, max_size=3)))
    for _ in range(draw(st.integers(0, 3))):
        container, key = draw(st.sampled_from(list(places(documents))))
        match draw(st.sampled_from(["replace", "remove", "add"])):
            case "replace":
                container[key] = draw(junk)
            case "remove" if isinstance(container, dict):
                del container[key]
            case "add" if isinstance(container, dict):
                container[draw(st.text(max_size=3))] = draw(junk)
        if not list(places(documents)):
            break
    return documents


class MemoryStore:
    """Store with compare-and-swap writes in memory."""

    def __init__(self):
        self._entries = {}
        self._revision = 0

    def get(self, key):
        return self._entries.get(key)

    def read(self, after):
        return Refused(ErrorKind.PLATFORM_UNAVAILABLE, "no reads by revision")

    def write(self, preconditions, puts, change_id):
        for item in preconditions:
            entry = self._entries.get(item.key)
            if (entry.revision if entry else 0) != item.revision:
                return Refused(ErrorKind.CONFLICT, "the revision has changed")
        self._revision += 1
        for put in puts:
            self._entries[put.key] = StoredEntry(self._revision, change_id, put.value)
        return self._revision


def api_client():
    """Return a client of the real API over an empty store."""
    core = mock.Mock()
    core.config_revision = 0
    store = ConfigStore(core, MemoryStore())
    context = ApiContext(
        core=core,
        declarations=Declarations(core, store),
        evacuations=Evacuations(core, store),
        tokens=TokenAuth(None),
        telemetry=mock.Mock(),
        request_revisions=mock.Mock(),
        counters=dict,
    )
    return testing.TestClient(build_app(context))


def put(client, document):
    """Send a document as it is in the file; return the response."""
    path = "/v1/organisations/x/services/y"
    try:
        model = ServiceModel.model_validate_json(json.dumps(document))
        path = f"/v1/organisations/{model.organisation}/services/{model.name}"
    except ValueError:
        pass
    body = json.dumps({"revision": 0, "service": document}).encode()
    return client.simulate_put(path, body=body)


def api_errors(document):
    """Return the places that the API's validation rejects, within the document."""
    text = json.dumps({"revision": 0, "service": document})
    try:
        ServiceChange.model_validate_json(text)
    except ValueError as error:
        return {tuple(item["loc"][1:]) for item in error.errors()}
    return set()


class AgreementTest(unittest.TestCase):
    """What the check passes is accepted, and what is rejected is named."""

    def setUp(self):
        patch = mock.patch("stoattray_balancer._api_errors.log_event")
        self.enterContext(patch)
        self.enterContext(mock.patch("stoattray_balancer._api.log_event"))

    @settings(derandomize=True, max_examples=400, deadline=None)
    @given(declarations())
    def test_places_are_those_of_the_validation(self, documents):
        """Guards against errors that the check misses, invents or misplaces."""
        findings = check_text(json.dumps(documents)).findings
        named = {item.path for item in findings if item.rule == "invalid_value"}
        rejected = {
            format_path((number, *place))
            for number, document in enumerate(documents)
            for place in api_errors(document)
        }
        self.assertEqual(named, rejected)

    @settings(derandomize=True, max_examples=400, deadline=None)
    @given(declarations())
    def test_api_accepts_what_the_check_passes(self, documents):
        """Guards against declarations that pass the check and then fail to apply."""
        findings = check_text(json.dumps(documents)).findings
        errors = [item for item in findings if item.severity is Severity.ERROR]
        client = api_client()
        for number, document in enumerate(documents):
            response = put(client, document)
            if not errors:
                self.assertEqual(response.status_code, 200, response.text)
            if response.status_code != 200:
                prefix = f"$[{number}]"
                named = [item for item in errors if item.path.startswith(prefix)]
                self.assertTrue(named, response.text)

    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(declarations())
    def test_apply_reads_exactly_what_has_no_error(self, documents):
        """Guards against a check that is of another format than apply."""
        text = json.dumps(documents)
        findings = check_text(text).findings
        has_errors = any(item.severity is Severity.ERROR for item in findings)
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "services.json"
            path.write_text(text)
            try:
                read_services(str(path))
                is_read = True
            except StoattrayError:
                is_read = False
        self.assertEqual(is_read, not has_errors)

    @settings(derandomize=True, max_examples=300, deadline=None)
    @given(st.text(st.sampled_from('[]{}",:\\u d8019.eE-+\n\ttruefalsn'), max_size=40))
    def test_any_text_gives_findings_not_an_exception(self, text):
        """Guards against tracebacks on files that are not JSON."""
        for finding in check_text(text).findings:
            self.assertGreaterEqual(finding.line, 1)
            self.assertLessEqual(finding.line, text.count("\n") + 1)
