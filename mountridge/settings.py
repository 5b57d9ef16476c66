# SPDX-License-Identifier: Apache-2.0

"""The settings of a process, their defaults and their validation.

The YAML file contains only settings that differ from `DEFAULTS`. All errors
are reported together, each with its path in the file.
"""

import copy
import pathlib
import typing

import msgspec
import voluptuous as vol

from mountridge import errors

__all__ = ['DEFAULTS', 'check', 'load', 'merge']

#: Maximum size of `digest_key`, a BLAKE2b key.
MAX_KEY_BYTES = 64
ROLES = ('gateway', 'agent', 'controller', 'entry', 'sidecar')

#: All settings with their defaults. Other keys are errors.
DEFAULTS: dict[str, typing.Any] = {
    # Identity of the process.
    'role': 'gateway',
    'name': '',
    'hall': '',
    # Address at which it receives messages: tcp://IP:PORT.
    'bind': '',
    # All halls of the deployment; [] if they are not configured.
    'halls': [],
    # Addresses of the controllers: name -> tcp://IP:PORT.
    'controllers': {},
    'keys': {'off': False, 'folder': ''},
    # Key of the digests by which gateways recognize requests that crash
    # runners; must be the same for all. Without a key, a digest in a log can
    # be matched against that of a guessed request.
    'digest_key': '',
    # Name whose key operators' commands use; '' for `name`.
    'operator_key': '',
    # Lines above `lines_per_s` are dropped and counted.
    'log': {'level': 'INFO', 'json': True, 'lines_per_s': 300.0},
    # IP:PORT at which the metrics are served; '' to serve none.
    'metrics': '',
    'statsd': {'host': '', 'port': 8125, 'prefix': 'mountridge'},
    'limits': {'message_bytes': 8 << 20},
    'lease': {'lease_s': 3.0, 'renew_s': 0.75},
    'gateway': {
        'http': '127.0.0.1:8080',
        'address_ttl_s': 10.0,
        'body_bytes': 4 << 20,
        'attempts': 3,
        'retry_share': 0.1,
        'stall_s': 15.0,
        'decisions': 20000,
    },
    'agent': {
        'runner': 'http://127.0.0.1:8100',
        'services': [],
        'expert_group': '',
        'slots': 16,
        'reserved_slots': 1,
        'merge_s': 0.002,
        'report_s': 0.25,
        'answer_bytes': 1 << 20,
        'decisions': 20000,
        'drain_s': 60.0,
    },
    'controller': {
        'data': '',
        'heartbeat_s': 0.1,
        'election_s': 0.5,
        'snapshot_entries': 5000,
        'claim_keep_s': 600.0,
    },
    # The role `entry`: a gateway that dispatches by routes. It also runs a
    # controller if `controller.data` is set.
    'entry': {
        'front': '127.0.0.1:8080',
        'readiness': '127.0.0.1:8081',
        'control': '127.0.0.1:8082',
        'directory': '127.0.0.1:8083',
        'address_ttl_s': 2.0,
        # IP or IP:PORT of the processes to contact first. Always contacted
        # at the port of `bind`.
        'seeds': [],
        # True only at the first start of a new system.
        'founding': False,
    },
    # The role `sidecar`: runs on the box of one model runner.
    'sidecar': {'engine': '127.0.0.1:8100', 'report_s': 0.12},
    # Limits that the system is operated within; docs/SETTINGS.md describes
    # how each is used.
    'bounds': {
        # Number of controllers whose simultaneous loss is tolerated.
        'controller_losses': 1,
        # Number of halls whose simultaneous loss is tolerated.
        'hall_losses': 0,
        'heartbeat_ms': 1200.0,
        'drain_ms': 2000.0,
        'grace_s': 8.0,
        'retry_ratio': 0.2,
        'retry_window_s': 10.0,
        'retry_slack': 96.0,
        'stall_ms': 1500.0,
        # All gateways together send a cold runner at most `cold_over` times
        # the request rate that it sustains, plus `cold_slack` requests.
        'cold_over': 1.0,
        'cold_slack': 0.0,
    },
    # Whether entries refuse requests for which groups have no room: `never`,
    # `priorities` (where streaming routes to a service differ in priority) or
    # `always` (where the routes document states the engine).
    'admission': {'when': 'priorities'},
    # How an entry selects runners.
    'routing': {
        # Share of a runner's slots that a hop to another hall is worth.
        'hall_cost': 0.05,
    },
}


def _positive(value: typing.Any) -> float:
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise vol.Invalid('expected a number')
    if not value > 0:
        raise vol.Invalid('expected more than 0')
    return value


def _not_negative(value: typing.Any) -> float:
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise vol.Invalid('expected a number')
    if not value >= 0:
        raise vol.Invalid('expected 0 or more')
    return value


def _address(value: typing.Any) -> str:
    if not isinstance(value, str) or not value.startswith('tcp://'):
        raise vol.Invalid('expected tcp://IP:PORT')
    _host_port(value[len('tcp://') :])
    return value


def _host_port(value: typing.Any) -> str:
    host, _, port = str(value).rpartition(':')
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise vol.Invalid('expected IP:PORT')
    return value


def _checker(default: typing.Any) -> typing.Any:
    """Return the validator for a value, from the type of its default."""
    if isinstance(default, bool):
        return bool
    if isinstance(default, int):
        return vol.All(int, vol.Range(min=0))
    if isinstance(default, float):
        return _positive if default > 0 else _not_negative
    if isinstance(default, list):
        return [str]
    if isinstance(default, dict) and default:
        return {key: _checker(value) for key, value in default.items()}
    if isinstance(default, dict):
        return {vol.Optional(str): _address}
    return str


def _schema() -> vol.Schema:
    rules = _checker(DEFAULTS)
    rules['role'] = vol.In(ROLES)
    rules['name'] = vol.All(str, vol.Length(min=1, msg='expected a name'))
    rules['bind'] = _address
    rules['gateway']['http'] = _host_port
    for key in ('front', 'readiness', 'control', 'directory'):
        rules['entry'][key] = _host_port
    rules['sidecar']['engine'] = _host_port
    rules['metrics'] = vol.Any('', _host_port)
    rules['admission']['when'] = vol.In(['never', 'priorities', 'always'])
    rules['log']['level'] = vol.In(['DEBUG', 'INFO', 'WARNING', 'ERROR'])
    return vol.Schema(rules, required=True)


def merge(defaults: dict, overrides: dict) -> dict:
    """Return ``defaults`` overridden by ``overrides``; mappings are merged."""
    merged = copy.deepcopy(defaults)
    for key, value in overrides.items():
        if isinstance(value, dict) and isinstance(merged.get(key), dict):
            merged[key] = merge(merged[key], value)
        else:
            merged[key] = value
    return merged


def _check_combinations(settings: dict) -> list[str]:
    """Return the errors of combinations of settings that are each valid."""
    problems = []
    if not settings['keys']['off'] and not settings['keys']['folder']:
        problems.append('keys.folder: expected a folder, or keys.off: true')
    uses_seeds = settings['role'] in ('entry', 'sidecar')
    if uses_seeds and not settings['entry']['seeds']:
        problems.append('entry.seeds: expected at least one')
    if not uses_seeds and not settings['controllers']:
        problems.append('controllers: expected at least one')
    lease = settings['lease']
    if lease['renew_s'] * 2 > lease['lease_s']:
        problems.append(
            'lease.renew_s: expected at most half of lease.lease_s'
        )
    if settings['role'] == 'controller':
        if not settings['controller']['data']:
            problems.append('controller.data: expected a folder')
        if settings['name'] not in settings['controllers']:
            problems.append(
                'controllers: expected the name of this controller'
            )
    if settings['role'] == 'agent' and not settings['agent']['services']:
        problems.append('agent.services: expected at least one')
    agent = settings['agent']
    if agent['reserved_slots'] >= agent['slots']:
        problems.append(
            'agent.reserved_slots: expected fewer than agent.slots'
        )
    if len(settings['digest_key'].encode()) > MAX_KEY_BYTES:
        problems.append(f'digest_key: expected at most {MAX_KEY_BYTES} bytes')
    return problems


def check(content: typing.Any) -> dict:
    """Validate the content of a file; return the complete settings.

    :raises BadSettings: with one line per error, each with its path.
    """
    if not isinstance(content, dict):
        raise errors.BadSettings('settings: expected a mapping')
    merged = merge(DEFAULTS, content)
    try:
        checked = _schema()(merged)
    except vol.MultipleInvalid as problem:
        lines = [
            f'{".".join(str(part) for part in error.path)}: {error.msg}'
            for error in problem.errors
        ]
        raise errors.BadSettings('\n'.join(sorted(lines)))
    problems = _check_combinations(checked)
    if problems:
        raise errors.BadSettings('\n'.join(problems))
    return checked


def load(path: str | pathlib.Path) -> dict:
    """Read and validate the settings file at ``path``.

    :raises BadSettings: it can't be read or has errors.
    """
    try:
        text = pathlib.Path(path).read_text()
    except OSError as problem:
        raise errors.BadSettings(f'{path}: {problem.strerror}')
    content = _parse(text, str(path))
    return check(content if content is not None else {})


def _parse(text: str, name: str) -> typing.Any:
    """Return the content of a settings file.

    JSON, a subset of YAML, is parsed without the slow import of the YAML
    parser, which shortens the start of a process.
    """
    try:
        return msgspec.json.decode(text)
    except msgspec.DecodeError:
        return _parse_yaml(text, name)


def _parse_yaml(text: str, name: str) -> typing.Any:
    import yaml

    try:
        return yaml.safe_load(text)
    except yaml.YAMLError as problem:
        raise errors.BadSettings(f'{name}: {problem}')
