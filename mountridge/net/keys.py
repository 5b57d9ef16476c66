# SPDX-License-Identifier: Apache-2.0

"""CURVE authentication of connections, with one key pair per process.

A key folder holds ``NAME.key`` (public) for each process that may connect
and ``NAME.key_secret`` for the process that reads the folder. A server
rejects clients whose public key is not in its folder.
"""

import os
import pathlib

import trio
import zmq
import zmq.auth
from zmq.auth.base import Authenticator

from mountridge import errors

__all__ = [
    'create_key_pairs', 'secure_client', 'secure_server',
    'serve_authentication',
]  # fmt: skip


def create_key_pairs(folder: str, names: list[str]) -> list[pathlib.Path]:
    """Create a key pair for each name and return the new files.

    :raises BadSettings: a key of one of the names exists; nothing is created.
    """
    key_folder = pathlib.Path(folder)
    key_folder.mkdir(parents=True, exist_ok=True)
    for name in names:
        for suffix in ('.key', '.key_secret'):
            if (key_folder / f'{name}{suffix}').exists():
                raise errors.BadSettings(f'{name}{suffix} already exists')
    created = []
    for name in names:
        public, secret = zmq.auth.create_certificates(str(key_folder), name)
        os.chmod(secret, 0o600)
        created += [pathlib.Path(public), pathlib.Path(secret)]
    return created


def _load(settings: dict, name: str, suffix: str) -> tuple:
    path = pathlib.Path(settings['keys']['folder']) / f'{name}{suffix}'
    try:
        return zmq.auth.load_certificate(path)
    except (OSError, ValueError) as problem:
        raise errors.BadSettings(f'keys: {path.name}: {problem}')


def _set_key_pair(socket: zmq.Socket, settings: dict) -> None:
    public, secret = _load(settings, settings['name'], '.key_secret')
    if secret is None:
        raise errors.BadSettings('keys: the secret key is missing')
    socket.curve_publickey = public
    socket.curve_secretkey = secret


def secure_server(socket: zmq.Socket, settings: dict) -> None:
    """Accept only clients with a known key on ``socket``."""
    if settings['keys']['off']:
        return
    _set_key_pair(socket, settings)
    socket.curve_server = True
    socket.zap_domain = b'mountridge'


def secure_client(socket: zmq.Socket, settings: dict, peer: str) -> None:
    """Let ``socket`` connect only to a server with the key of ``peer``."""
    if settings['keys']['off']:
        return
    _set_key_pair(socket, settings)
    socket.curve_serverkey = _load(settings, peer, '.key')[0]


def _names_by_key(folder: str) -> dict[bytes, str]:
    """Return process names by public key."""
    return {
        zmq.auth.load_certificate(path)[0]: path.stem
        for path in pathlib.Path(folder).glob('*.key')
    }


async def serve_authentication(context: zmq.Context, settings: dict) -> None:
    """Answer the ZAP requests of this process's sockets."""
    if settings['keys']['off']:
        await trio.sleep_forever()
    # Imported here because sockets imports this module.
    from mountridge.net import sockets

    authenticator = Authenticator(context)
    authenticator.start()
    folder = settings['keys']['folder']
    channel = sockets.Channel(authenticator.zap_socket)
    loaded_ns = -1
    try:
        while True:
            parts = await channel.receive()
            modified_ns = pathlib.Path(folder).stat().st_mtime_ns
            if modified_ns != loaded_ns:
                # Accepts the keys of new processes without a restart.
                _load_known_keys(authenticator, folder)
                loaded_ns = modified_ns
            await authenticator.handle_zap_message([bytes(p) for p in parts])
    finally:
        authenticator.stop()


def _load_known_keys(authenticator: Authenticator, folder: str) -> None:
    """Accept exactly the keys that are in the folder now."""
    authenticator.certs.clear()
    authenticator.configure_curve(domain='mountridge', location=folder)
    names = _names_by_key(folder)
    # Receivers see the name of a message's sender instead of its key.
    authenticator.curve_user_id = lambda key: names.get(key, '')
