# SPDX-License-Identifier: Apache-2.0

"""Settings of each process: defaults in one place, merged, checked once.

The YAML file holds only what differs from `DEFAULTS`. Every error is
reported at once, with its path in the file.
"""

import copy
import pathlib
import typing

import msgspec
import voluptuous as vol

from mountridge import errors

__all__ = ['DEFAULTS', 'check', 'load', 'merge']

#: The longest key of the digests of requests (BLAKE2b).
MOST_KEY_BYTES = 64
ROLES = ('gateway', 'agent', 'controller', 'entry', 'sidecar')

#: All settings with their defaults. A key that is not here is refused.
DEFAULTS: dict[str, typing.Any] = {
    # Who this process is.
    'role': 'gateway',
    'name': '',
    'hall': '',
    # Where its own messages arrive: tcp://IP:PORT.
    'bind': '',
    # All halls of the deployment; [] where they are not told.
    'halls': [],
    # The controllers, name -> tcp://IP:PORT.
    'controllers': {},
    'keys': {'off': False, 'folder': ''},
    # Gateways know requests that crash runners by digests under this key;
    # the same for all. Without one, a digest in a log can be compared with
    # that of a guessed request.
    'digest_key': '',
    # The key that operators' commands use, where it is another name's.
    'operator_key': '',
    # `lines_per_s` bounds the volume; what is over it is counted. A busy
    # gateway of the sites writes some 20 lines a second.
    'log': {'level': 'INFO', 'json': True, 'lines_per_s': 300.0},
    # IP:PORT at which counters and histograms are served; '' for nowhere.
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
    # The role `entry`: a gateway by routes, with a controller beside it
    # where `controller.data` names a folder.
    'entry': {
        'front': '127.0.0.1:8080',
        'readiness': '127.0.0.1:8081',
        'control': '127.0.0.1:8082',
        'directory': '127.0.0.1:8083',
        'address_ttl_s': 2.0,
        # IP or IP:PORT of processes to ask first; `bind`'s port counts.
        'seeds': [],
        # True at the first start of a whole system only.
        'founding': False,
    },
    # The role `sidecar`: beside one model runner.
    'sidecar': {'engine': '127.0.0.1:8100', 'report_s': 0.12},
    # What the operators hold the system to; docs/SETTINGS.md says how each
    # is used. The defaults are those of the sites known so far.
    'bounds': {
        'controller_losses': 1,
        # Whole halls that may be lost at once.
        'hall_losses': 0,
        'heartbeat_ms': 1200.0,
        'drain_ms': 2000.0,
        'grace_s': 8.0,
        'retry_ratio': 0.2,
        'retry_window_s': 10.0,
        'retry_slack': 96.0,
        'stall_ms': 1500.0,
        # A cold runner gets at most `cold_over` times what it bears in a
        # second, and `cold_slack` requests, from all gateways together.
        'cold_over': 1.0,
        'cold_slack': 0.0,
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
    """Return the check for a value, from the shape of its default."""
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
    for place in ('front', 'readiness', 'control', 'directory'):
        rules['entry'][place] = _host_port
    rules['sidecar']['engine'] = _host_port
    rules['metrics'] = vol.Any('', _host_port)
    rules['log']['level'] = vol.In(['DEBUG', 'INFO', 'WARNING', 'ERROR'])
    return vol.Schema(rules, required=True)


def merge(defaults: dict, given: dict) -> dict:
    """Return ``defaults`` with ``given`` laid over, table by table."""
    merged = copy.deepcopy(defaults)
    for key, value in given.items():
        if isinstance(value, dict) and isinstance(merged.get(key), dict):
            merged[key] = merge(merged[key], value)
        else:
            merged[key] = value
    return merged


def _cross_checks(settings: dict) -> list[str]:
    """Return what is wrong between settings that are each well-formed."""
    wrong = []
    if not settings['keys']['off'] and not settings['keys']['folder']:
        wrong.append('keys.folder: expected a folder, or keys.off: true')
    entry = settings['role'] in ('entry', 'sidecar')
    if entry and not settings['entry']['seeds']:
        wrong.append('entry.seeds: expected at least one')
    if not entry and not settings['controllers']:
        wrong.append('controllers: expected at least one')
    lease = settings['lease']
    if lease['renew_s'] * 2 > lease['lease_s']:
        wrong.append('lease.renew_s: expected at most half of lease.lease_s')
    if settings['role'] == 'controller':
        if not settings['controller']['data']:
            wrong.append('controller.data: expected a folder')
        if settings['name'] not in settings['controllers']:
            wrong.append('controllers: expected this controller among them')
    if settings['role'] == 'agent' and not settings['agent']['services']:
        wrong.append('agent.services: expected at least one')
    agent = settings['agent']
    if agent['reserved_slots'] >= agent['slots']:
        wrong.append('agent.reserved_slots: expected fewer than agent.slots')
    if len(settings['digest_key'].encode()) > MOST_KEY_BYTES:
        wrong.append(f'digest_key: expected at most {MOST_KEY_BYTES} bytes')
    return wrong


def check(given: typing.Any) -> dict:
    """Return the full settings for what a file gave.

    :raises BadSettings: with one line per error, each with its path.
    """
    if not isinstance(given, dict):
        raise errors.BadSettings('settings: expected a mapping')
    merged = merge(DEFAULTS, given)
    try:
        checked = _schema()(merged)
    except vol.MultipleInvalid as problem:
        lines = [
            f'{".".join(str(part) for part in one.path)}: {one.msg}'
            for one in problem.errors
        ]
        raise errors.BadSettings('\n'.join(sorted(lines)))
    wrong = _cross_checks(checked)
    if wrong:
        raise errors.BadSettings('\n'.join(wrong))
    return checked


def load(path: str | pathlib.Path) -> dict:
    """Read and check the settings file at ``path``."""
    try:
        text = pathlib.Path(path).read_text()
    except OSError as problem:
        raise errors.BadSettings(f'{path}: {problem.strerror}')
    given = _parse(text, str(path))
    return check(given if given is not None else {})


def _parse(text: str, name: str) -> typing.Any:
    """Return what a settings file says.

    All JSON is YAML. A file in that subset is read without the parser of
    the rest, whose import and work take 30 ms of a process's start.
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
