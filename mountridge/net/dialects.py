# SPDX-License-Identifier: Apache-2.0

"""Wire names of requests and responses, and the routes document format.

`NATIVE` has the project's own names. An adapter for a platform with other
names or another document format provides its own `Dialect`.
"""

import math
import typing

from mountridge.documents import routes
from mountridge import errors
from mountridge.net import httpserver

__all__ = [
    'Dialect', 'HeaderNames', 'NATIVE', 'ReplyHead', 'RequestHead',
    'keep_alive_s', 'media_type', 'read_reply_head', 'read_request_head',
    'reply_headers', 'runner_headers', 'shared_parts',
]  # fmt: skip

Headers = list[tuple[bytes, bytes]]

#: Parts of a prompt that are considered; a header may name far more.
MAX_PREFIX_PARTS = 32
#: Statuses with which a runner rejects a request and may request a backoff.
REFUSAL_STATUSES = (429, 503)
#: Hop-by-hop headers, and those that this project sets itself.
_PER_CONNECTION = frozenset(
    (
        b'connection', b'keep-alive', b'proxy-authenticate',
        b'proxy-authorization', b'proxy-connection', b'te', b'trailer',
        b'transfer-encoding', b'upgrade', b'content-length', b'expect',
    )
)  # fmt: skip


class HeaderNames(typing.NamedTuple):
    """Header names, in lower case."""

    request_id: bytes = b'x-request-id'
    deadline_ms: bytes = b'x-deadline-ms'  # how long the caller waits
    team: bytes = b'x-team'  # to runners only
    expect_instance: bytes = b'x-expect-instance'  # to runners only
    priority: bytes = b'x-priority'  # to runners only
    instance_id: bytes = b'x-instance-id'  # from runners
    not_run: bytes = b'x-not-run'  # from runners: the request did not run
    load: bytes = b'x-load'  # from runners: running, waiting, slots
    token_counts: bytes = b'x-token-counts'  # PROMPT,MAX_OUTPUT
    prefix_parts: bytes = b'x-prefix-parts'  # ID:TOKENS, comma-separated
    last_event_id: bytes = b'last-event-id'
    retry_after: bytes = b'retry-after'  # from runners: backoff in seconds
    leaving: bytes = b'x-leaving'  # from runners: it is about to end
    limit: bytes = b'x-limit'  # from runners: requests/s of all gateways


class Dialect(typing.NamedTuple):
    """Header names, and the decoder of routes documents."""

    headers: HeaderNames
    decode_routes: typing.Callable[[bytes], routes.RouteTable]


NATIVE = Dialect(HeaderNames(), routes.decode)


class RequestHead(typing.NamedTuple):
    """Parts of a request's head that determine its handling."""

    request_id: str
    host: str
    path: str  # without the query
    deadline_ms: float | None
    key: str | None
    last_event_id: bytes | None
    prompt_tokens: int
    output_tokens: int
    #: Ids of the parts of the prompt that it may share with other requests:
    #: all but the last one.
    shared_parts: tuple[bytes, ...] = ()


class ReplyHead(typing.NamedTuple):
    """Parsed head of a runner's response."""

    status: int
    request_id: str | None
    not_run: bool
    instance_id: str | None
    running: int | None
    waiting: int | None
    #: How long the sender of the request must back off from the runner; None
    #: if not requested, NaN if malformed.
    backoff_s: float | None = None
    #: The runner is about to end: its header has the value 1.
    is_leaving: bool = False
    #: Requests/s that it takes from all gateways together; None if not named,
    #: NaN if malformed.
    limit_per_s: float | None = None


def read_request_head(
    request: httpserver.Request, names: HeaderNames
) -> RequestHead:
    """Return the parts of the head that determine the request's handling.

    :raises BadRequest: a header is malformed.
    """
    found = _first_values(request.headers)
    host = _text(found.get(b'host', b'')).partition(':')[0]
    return RequestHead(
        _text(found.get(names.request_id, b'')),
        host,
        _text(request.path),
        _number(found.get(names.deadline_ms)),
        _bearer(found.get(b'authorization')),
        found.get(names.last_event_id),
        *_token_counts(found.get(names.token_counts)),
        shared_parts(found.get(names.prefix_parts, b'')),
    )


def _first_values(headers: Headers) -> dict[bytes, bytes]:
    found: dict[bytes, bytes] = {}
    for name, value in headers:
        found.setdefault(name.lower(), value)
    return found


def _text(value: bytes) -> str:
    return value.decode('latin-1')


def _number(value: bytes | None) -> float | None:
    if value is None:
        return None
    try:
        return float(value)
    except ValueError:
        raise errors.BadRequest(f'not a number: {_text(value)!r}')


def _bearer(value: bytes | None) -> str | None:
    if value is None:
        return None
    scheme, _, key = _text(value).partition(' ')
    return key.strip() if scheme.lower() == 'bearer' else None


def _token_counts(value: bytes | None) -> tuple[int, int]:
    """Return the numbers of prompt tokens and of output tokens at most."""
    if value is None:
        return 0, 0
    prompt, _, output = value.partition(b',')
    try:
        return int(prompt), int(output or 0)
    except ValueError:
        raise errors.BadRequest(f'malformed token counts: {_text(value)!r}')


def shared_parts(value: bytes) -> tuple[bytes, ...]:
    """Return the ids of all parts of a prompt but the last, each once."""
    parts = value.split(b',', MAX_PREFIX_PARTS)[:-1]
    ids = (part.partition(b':')[0].strip().lower() for part in parts)
    return tuple(dict.fromkeys(each for each in ids if each))


def runner_headers(
    request: httpserver.Request,
    names: HeaderNames,
    added: Headers,
) -> Headers:
    """Return the headers for the runner: the caller's without its key.

    ``added`` are set by this project and replace those of the caller.
    """
    dropped = _PER_CONNECTION | {
        b'authorization',
        names.deadline_ms,
        names.team,
        names.expect_instance,
        names.priority,
    }
    dropped |= {name for name, _ in added}
    dropped |= _named_in_connection(request.headers)
    kept = [h for h in request.headers if h[0].lower() not in dropped]
    kept += added
    if request.body or request.method in (b'POST', b'PUT', b'PATCH'):
        kept.append((b'Content-Length', b'%d' % len(request.body)))
    return kept


def _named_in_connection(headers: Headers) -> set[bytes]:
    return {
        token.strip().lower()
        for name, value in headers
        if name.lower() == b'connection'
        for token in value.split(b',')
    }


def reply_headers(headers: Headers, keep_length: bool) -> Headers:
    """Return the headers of a runner's response for the caller."""
    dropped = _PER_CONNECTION | _named_in_connection(headers)
    if keep_length:
        dropped -= {b'content-length'}
    return [h for h in headers if h[0].lower() not in dropped]


def read_reply_head(
    status: int, headers: Headers, names: HeaderNames
) -> ReplyHead:
    """Parse the head of a runner's response."""
    found = _first_values(headers)
    request_id = found.get(names.request_id)
    instance_id = found.get(names.instance_id)
    running, waiting = _load(found.get(names.load))
    return ReplyHead(
        status,
        None if request_id is None else _text(request_id),
        names.not_run in found or status == 421,
        None if instance_id is None else _text(instance_id),
        running,
        waiting,
        _backoff_s(status, found.get(names.retry_after)),
        found.get(names.leaving) == b'1',
        _limit_per_s(found.get(names.limit)),
    )


def keep_alive_s(headers: Headers) -> float | None:
    """Return the timeout of idle connections, None if not announced."""
    value = _first_values(headers).get(b'keep-alive', b'')
    for parameter in value.split(b','):
        name, _, span = parameter.strip().partition(b'=')
        if name.strip().lower() == b'timeout' and span.strip().isdigit():
            return float(span)
    return None


def media_type(headers: Headers) -> bytes | None:
    """Return the media type in lower case, None if there is none."""
    value = _first_values(headers).get(b'content-type')
    if value is None:
        return None
    return value.partition(b';')[0].strip().lower()


def _backoff_s(status: int, value: bytes | None) -> float | None:
    """Return the backoff requested by a refusal; NaN if malformed."""
    if value is None or status not in REFUSAL_STATUSES:
        return None
    try:
        backoff_s = float(value)
    except ValueError:
        return math.nan
    return (
        backoff_s if math.isfinite(backoff_s) and backoff_s >= 0 else math.nan
    )


def _limit_per_s(value: bytes | None) -> float | None:
    """Return the limit that a runner names; NaN if malformed."""
    if value is None:
        return None
    try:
        per_s = float(value)
    except ValueError:
        return math.nan
    return per_s if math.isfinite(per_s) and per_s >= 0 else math.nan


def _load(value: bytes | None) -> tuple[int | None, int | None]:
    """Return the requests running and waiting, None if not reported."""
    if value is None:
        return None, None
    parts = value.split(b',')
    try:
        return int(parts[0]), int(parts[1])
    except (ValueError, IndexError):
        return None, None
