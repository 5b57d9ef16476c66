# SPDX-License-Identifier: Apache-2.0

"""Keys of the processes: CURVE on each connection, one pair a process.

A key folder holds ``NAME.key`` (public) for each process that may connect
and ``NAME.key_secret`` for the process that reads the folder. A server
refuses a client whose public key is not in its folder.
"""

import os
import pathlib

import trio
import zmq
import zmq.auth
from zmq.auth.base import Authenticator

from mountridge import errors

__all__ = ['guard_client', 'guard_server', 'make', 'serve_authentication']


def make(folder: str, names: list[str]) -> list[pathlib.Path]:
    """Make a key pair for each name and return the new files."""
    place = pathlib.Path(folder)
    place.mkdir(parents=True, exist_ok=True)
    made = []
    for name in names:
        if (place / f'{name}.key_secret').exists():
            raise errors.BadSettings(f'{name}: a key is there already')
        public, secret = zmq.auth.create_certificates(str(place), name)
        os.chmod(secret, 0o600)
        made += [pathlib.Path(public), pathlib.Path(secret)]
    return made


def _load(settings: dict, name: str, suffix: str) -> tuple:
    path = pathlib.Path(settings['keys']['folder']) / f'{name}{suffix}'
    try:
        return zmq.auth.load_certificate(path)
    except (OSError, ValueError) as problem:
        raise errors.BadSettings(f'keys: {path.name}: {problem}')


def _own(socket: zmq.Socket, settings: dict) -> None:
    public, secret = _load(settings, settings['name'], '.key_secret')
    if secret is None:
        raise errors.BadSettings('keys: the secret key is missing')
    socket.curve_publickey = public
    socket.curve_secretkey = secret


def guard_server(socket: zmq.Socket, settings: dict) -> None:
    """Let only holders of a known key connect to ``socket``."""
    if settings['keys']['off']:
        return
    _own(socket, settings)
    socket.curve_server = True
    socket.zap_domain = b'mountridge'


def guard_client(socket: zmq.Socket, settings: dict, peer: str) -> None:
    """Connect ``socket`` only to the holder of the key of ``peer``."""
    if settings['keys']['off']:
        return
    _own(socket, settings)
    socket.curve_serverkey = _load(settings, peer, '.key')[0]


def _names(folder: str) -> dict[bytes, str]:
    """Return the name of each process by its public key."""
    return {
        zmq.auth.load_certificate(path)[0]: path.stem
        for path in pathlib.Path(folder).glob('*.key')
    }


async def serve_authentication(context: zmq.Context, settings: dict) -> None:
    """Answer the ZAP requests of this process's own sockets."""
    if settings['keys']['off']:
        await trio.sleep_forever()
    # Imported here: sockets needs this module to make its channels.
    from mountridge.net import sockets

    checker = Authenticator(context)
    checker.start()
    folder = settings['keys']['folder']
    channel = sockets.Channel(checker.zap_socket)
    seen_ns = -1
    try:
        while True:
            parts = await channel.receive()
            changed_ns = pathlib.Path(folder).stat().st_mtime_ns
            if changed_ns != seen_ns:
                # Keys of new processes count without a restart.
                _read_keys(checker, folder)
                seen_ns = changed_ns
            await checker.handle_zap_message([bytes(p) for p in parts])
    finally:
        checker.stop()


def _read_keys(checker: Authenticator, folder: str) -> None:
    """Let in the holders of the keys that the folder has now."""
    checker.certs.clear()
    checker.configure_curve(domain='mountridge', location=folder)
    names = _names(folder)
    # The name, not the key, is what the receiver of a message sees.
    checker.curve_user_id = lambda key: names.get(key, '')
