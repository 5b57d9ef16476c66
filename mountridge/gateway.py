# SPDX-License-Identifier: Apache-2.0

"""The gateway: HTTP for callers, and the processing of each request."""

import hashlib
import json
import math
import typing

import hypercorn.config
import hypercorn.trio
import quart
import quart_trio
import trio

from mountridge import application, errors, messages, signals, utils
from mountridge.dispatch import attempts, decisions, dispatching, exchanges
from mountridge.dispatch import filters, streamends
from mountridge.documents import tables
from mountridge.logs import logger
from mountridge.net import dialects, events
from mountridge.state import leases, limits, members, views

__all__ = ['Gateway', 'build', 'end_request', 'run']

DRAIN_POLL_S = 0.05
CHAT_PATH = streamends.CHAT_PATH
SERVICE_PATH = '/v1/services/'
PARTS_HEADER = dialects.NATIVE.headers.prefix_parts.decode()


class Gateway:
    """State of a gateway and the steps of processing a request."""

    def __init__(self, app: application.Application):
        self.app = app
        self.settings = app.settings['gateway']
        self.lease = leases.HeldLease()
        self.leader = members.LeaderClient(app, self._on_push)
        self.lease_renewer = members.LeaseRenewer(
            app, self.leader, self.lease, self.renewal
        )
        self.limiter = limits.Limiter()
        self.rows = filters.Rows(self.lease)
        self.filters = filters.chain(self.lease, self.rows)
        self.log = decisions.DecisionLog(app.name, self.settings['decisions'])
        self.dispatcher = dispatching.Dispatcher(
            app, self.lease, self.leader, self.log
        )
        self.draining = False
        self.open_requests = 0
        self._view_revision = -1

    # The view.

    def _on_push(self, message: typing.Any) -> None:
        if isinstance(message, messages.Changes):
            if self.lease.apply_changes(message):
                self.lease_renewer.wake()
                self.apply_view()

    def apply_view(self, *_: typing.Any, **__: typing.Any) -> None:
        """Update the state that is derived from the view."""
        if self.lease.view.revision != self._view_revision:
            self._view_revision = self.lease.view.revision
            self.dispatcher.update_members(self.members())
            packed = self.lease.view.by_prefix(views.QUARANTINE_PREFIX)
            listed = [views.unpack_quarantined(v) for v in packed.values()]
            self.dispatcher.crashes.update(listed)

    def members(self) -> list[views.Member]:
        """Return the members in the view."""
        packed = self.lease.view.by_prefix('member/')
        return [views.unpack_member(value) for value in packed.values()]

    def renewal(self) -> messages.Renew:
        """Return the request that renews the lease."""
        now_s = self.app.now_s()
        return messages.Renew(
            self.app.name,
            'gateway',
            self.app.incarnation,
            self.app.settings['hall'],
            self.app.settings['bind'],
            self.settings['http'],
            [],
            '',
            0,
            self.lease.view.index,
            self.draining,
            self.limiter.demand(now_s),
            self.limiter.held(self.lease.shares),
        )

    async def hold_lease(self) -> None:
        """Renew the lease until the process stops."""
        signals.view_changed.connect(self.apply_view, sender=self.lease)
        await self.lease_renewer.run()

    # Requests.

    async def begin(
        self, exchange: exchanges.Exchange, buffered: bool = False
    ) -> tuple[attempts.Attempt, bytes]:
        """Pass a request through the filters and run it.

        Returns the attempt and the first data of the answer, or the complete
        answer if ``buffered``.
        """
        try:
            for apply_filter in self.filters:
                apply_filter(exchange, self.app.now_s())
            await self.dispatcher.crashes.admit(exchange)
            await self._admit(exchange)
            return await self.dispatcher.run(exchange, buffered)
        except errors.MountridgeError as problem:
            if exchange.may_have_run and problem.outcome == errors.NOT_RUN:
                # This one did not run, but an earlier one of its key may have.
                problem.outcome = errors.UNKNOWN
            raise

    async def _admit(self, exchange: exchanges.Exchange) -> None:
        """Count the request against the gateway's share of its row.

        A gateway without recent requests for a row has no share of it. The
        first request therefore waits for a renewal of the lease, and for a
        second one if other gateways must release some of theirs first.

        :raises LimitReached: the leader has granted no share in time.
        :raises NoLease: the lease ended while the request waited.
        """
        key = tables.row_key(exchange.row)
        await self._wait_for_share(exchange, key)
        now_s = self.app.now_s()
        filters.check_lease(self.lease, exchange, now_s)
        self.limiter.admit(key, self.lease.shares.get(key), now_s)
        exchange.cleanups.append(lambda: self.limiter.release(key))

    async def _wait_for_share(
        self, exchange: exchanges.Exchange, key: str
    ) -> None:
        """Wait for a share of a row, or until it is known to be used up.

        That is not known before a renewal is granted, nor while a new leader
        grants no more than what is held. Such waits end with the lease.
        """
        renew_s = self.app.settings['lease']['renew_s']
        until_s = self.app.now_s() + min(exchange.row.queue_s, 2 * renew_s)
        is_granted = False
        while not self.limiter.has_share(key, self.lease.shares):
            now_s = self.app.now_s()
            quiet_s = self.lease_renewer.quiet_until_s - now_s
            end_s = min(self.lease.until_s, exchange.deadline_at_s)
            if is_granted and quiet_s <= 0:
                end_s = until_s
            if now_s >= end_s:
                return
            if is_granted and quiet_s > 0:
                await trio.sleep(min(quiet_s, end_s - now_s))
                is_granted = False
                continue
            self.limiter.record_waiting(key, now_s)
            with trio.move_on_after(end_s - now_s):
                is_granted |= await self.lease_renewer.renew_now()

    def refuse(
        self, exchange: exchanges.Exchange, problem: errors.MountridgeError
    ) -> None:
        """Record and count a refusal or failure."""
        self.app.metrics.incr(f'refused.{problem.code}')
        self.dispatcher.record_decision(
            exchange, 'refuse', str(problem), problem.code
        )

    def addresses(self) -> dict:
        """Return the addresses of live gateways, those in this hall first."""
        hall = self.app.settings['hall']
        live = [
            m
            for m in self.members()
            if m.kind == 'gateway' and m.state == 'live'
        ]
        rng = self.dispatcher.rng
        live.sort(key=lambda m: (m.hall != hall, rng.random()))
        return {
            'addresses': [m.http for m in live],
            'ttl_s': self.settings['address_ttl_s'],
        }

    async def drain(self) -> None:
        """Withdraw from the list of addresses and complete all requests.

        Callers cache addresses for their time to live, so the gateway keeps
        serving for that long after it is removed from the list.
        """
        self.draining = True
        logger.info('draining', open=self.open_requests)
        try:
            await self.leader.call(self.renewal(), 2.0)
        except errors.MountridgeError:
            logger.warning('cannot announce the drain')
        await trio.sleep(self.settings['address_ttl_s'])
        while self.open_requests:
            await trio.sleep(DRAIN_POLL_S)

    def dump(self) -> dict:
        """Return the state for `mountridge dump`."""
        now_s = self.app.now_s()
        return {
            'lease_left_s': self.lease.until_s - now_s,
            'index': self.lease.view.index,
            'table_version': self.rows.version,
            'open_requests': self.open_requests,
            'members': [m._asdict() for m in self.members()],
            'shares': [s._asdict() for s in self.lease.shares.values()],
            'runners': {
                name: {
                    'own': state.own_requests,
                    'load': state.load._asdict() if state.load else None,
                    'failures': state.failures,
                    'first_data_s': state.first_data_s,
                }
                for name, state in self.dispatcher.runners.states.items()
            },
            'counts': dict(self.app.metrics.counts),
        }


def error_body(problem: errors.MountridgeError, request_id: str) -> dict:
    """Return the JSON body of an error, in the format of the OpenAI API."""
    return {
        'error': {
            'message': str(problem),
            'type': type(problem).__name__,
            'code': problem.code,
            'outcome': problem.outcome,
            'request_id': request_id,
        }
    }


def _error_response(
    problem: errors.MountridgeError, request_id: str, gateway: Gateway
) -> quart.Response:
    response = quart.Response(
        json.dumps(error_body(problem, request_id)),
        status=problem.status,
        content_type='application/json',
    )
    response.headers['x-request-id'] = request_id
    if problem.status in (429, 503) or problem.retry_after_s:
        delay_s = utils.with_jitter(
            problem.retry_after_s or 1.0, gateway.dispatcher.rng
        )
        response.headers['retry-after'] = str(math.ceil(delay_s))
        response.headers['retry-after-ms'] = str(math.ceil(delay_s * 1000))
    return response


def _team(headers: typing.Mapping) -> str:
    """Return the team of a request, which is its bearer token."""
    authorization = headers.get('authorization', '')
    scheme, _, token = authorization.partition(' ')
    if scheme.lower() == 'bearer' and token:
        return token.strip()
    raise errors.UnknownTeam('expected Authorization: Bearer TEAM')


class _Chat(typing.NamedTuple):
    """What the body of a chat request determines."""

    model: str
    is_stream: bool
    messages: list


def _read_chat(body: bytes) -> _Chat:
    """Return what the body of a chat request determines.

    :raises BadRequest: it is malformed.
    """
    try:
        parsed = json.loads(body)
    except (ValueError, RecursionError):
        raise errors.BadRequest('the request body is not valid JSON')
    if not isinstance(parsed, dict):
        raise errors.BadRequest('the request body is not a JSON object')
    model = parsed.get('model')
    if not isinstance(model, str) or not model:
        raise errors.BadRequest('"model" is missing or not a string')
    listed = parsed.get('messages')
    if not isinstance(listed, list):
        raise errors.BadRequest('"messages" is missing or not a list')
    return _Chat(model, parsed.get('stream') is True, listed)


def _shared_parts(header: str, listed: list) -> tuple[bytes, ...]:
    """Return the ids of the parts of a prompt that others may share.

    Where the caller names none, the messages of a chat but the last one are
    its parts.
    """
    if header:
        return dialects.shared_parts(header.encode('latin-1', 'replace'))
    shared = listed[: min(len(listed) - 1, dialects.MAX_PREFIX_PARTS)]
    encoded = (json.dumps(each, sort_keys=True).encode() for each in shared)
    ids = (hashlib.blake2b(each, digest_size=16).digest() for each in encoded)
    return tuple(dict.fromkeys(ids))


async def _stream(gateway: Gateway, exchange, attempt, first: bytes):
    """Yield the answer; if it is incomplete, abort the connection."""
    try:
        data = first
        while data:
            yield data
            data = await gateway.dispatcher.read_more(attempt)
        gateway.dispatcher.record_decision(exchange, 'end', errors.RAN)
    except errors.MountridgeError as problem:
        gateway.refuse(exchange, problem)
        raise
    finally:
        end_request(gateway, exchange, attempt)


async def _stream_with_error(
    gateway: Gateway, exchange, attempt, first: bytes
):
    """Yield the answer; if it is incomplete, end it with an error event.

    For HTTP/2, where the server does not tell callers of an aborted stream.
    Only whole events are sent before the error.
    """
    splitter = events.Splitter()
    stream = _stream(gateway, exchange, attempt, first)
    try:
        async for data in stream:
            whole = splitter.feed(data)
            if whole:
                yield b''.join(event.data for event in whole)
        if splitter.remainder:
            yield bytes(splitter.remainder)
    except errors.MountridgeError as problem:
        body = json.dumps(error_body(problem, exchange.request_id))
        yield b'event: error\ndata: %b\n\n' % body.encode()
    finally:
        await stream.aclose()


def end_request(gateway: Gateway, exchange, attempt) -> None:
    """Release all resources of a request; ``attempt`` may be None."""
    if attempt is not None:
        gateway.dispatcher.finish(attempt)
    gateway.dispatcher.crashes.end(exchange)
    exchange.close()
    gateway.open_requests -= 1


def _stream_content_type(status: int) -> str:
    """Return the content type of a streamed answer; errors are JSON."""
    return 'text/event-stream' if status == 200 else 'application/json'


def _has_chunks(http_version: str) -> bool:
    """Return whether a caller can tell a whole stream from a broken one.

    HTTP/1.0 has no chunks, so the close of its connection would be the end of
    a stream, an aborted one too.
    """
    return http_version != '1.0'


def _service_in_path(path: str) -> str:
    return path.removeprefix(SERVICE_PATH).partition('/')[0]


async def _answer(gateway: Gateway, path: str) -> quart.Response:
    """Run one request and return its response, or an error response."""
    request = quart.request
    request_id = request.headers.get('x-request-id', '')[:64]
    request_id = request_id or f'{gateway.app.name}-{utils.fresh_id()}'
    exchange = exchanges.Exchange(
        request_id, '', '', path, b'', '', gateway.app.now_s()
    )
    gateway.open_requests += 1
    attempt = None
    streaming = False
    try:
        exchange.body = await request.get_data()
        exchange.team = _team(request.headers)
        exchange.key = request.headers.get('idempotency-key', '')
        is_stream, listed = False, []
        if path == CHAT_PATH:
            exchange.service, is_stream, listed = _read_chat(exchange.body)
        else:
            exchange.service = _service_in_path(path)
        exchange.shared_parts = _shared_parts(
            request.headers.get(PARTS_HEADER, ''), listed
        )
        streamed = is_stream and _has_chunks(request.http_version)
        attempt, first = await gateway.begin(exchange, buffered=not streamed)
        headers = {'x-request-id': request_id}
        content_type = 'application/json'
        if is_stream:
            content_type = _stream_content_type(attempt.status)
        if streamed:
            streaming = True
            stream = _stream
            if request.http_version.startswith('2'):
                stream = _stream_with_error
            body: typing.Any = stream(gateway, exchange, attempt, first)
        else:
            body = first
            gateway.dispatcher.record_decision(exchange, 'end', errors.RAN)
        response = quart.Response(
            body,
            status=attempt.status,
            headers=headers,
            content_type=content_type,
        )
        response.timeout = None
        return response
    except errors.MountridgeError as problem:
        gateway.refuse(exchange, problem)
        return _error_response(problem, request_id, gateway)
    finally:
        if not streaming:
            end_request(gateway, exchange, attempt)


def make_http(gateway: Gateway) -> quart_trio.QuartTrio:
    """Return the HTTP application for callers."""
    http = quart_trio.QuartTrio('mountridge')
    http.config['MAX_CONTENT_LENGTH'] = gateway.settings['body_bytes']

    @http.post(CHAT_PATH)
    async def chat():
        return await _answer(gateway, CHAT_PATH)

    @http.post(SERVICE_PATH + '<path:rest>')
    async def service(rest: str):
        return await _answer(gateway, SERVICE_PATH + rest)

    @http.get('/v1/address')
    async def address():
        return gateway.addresses()

    @http.get('/v1/models')
    async def models():
        team = _team(quart.request.headers)
        names = gateway.rows.services(team)
        data = [{'id': name, 'object': 'model'} for name in names]
        return {'object': 'list', 'data': data}

    @http.errorhandler(413)
    async def too_large(_):
        return _error_response(errors.TooLarge(), '', gateway)

    @http.errorhandler(errors.MountridgeError)
    async def known_error(problem):
        return _error_response(problem, '', gateway)

    return http


async def serve_http(gateway: Gateway) -> None:
    """Serve callers until the process stops."""
    config = hypercorn.config.Config()
    config.bind = [gateway.settings['http']]
    config.accesslog = None
    config.errorlog = None
    config.graceful_timeout = 1.0
    await hypercorn.trio.serve(
        make_http(gateway), config, shutdown_trigger=trio.sleep_forever
    )


def build(app: application.Application) -> Gateway:
    """Create a gateway and register its handlers and tasks in ``app``."""
    gateway = Gateway(app)

    def on_read_decisions(
        peer, message: messages.ReadDecisions
    ) -> messages.DecisionsReply:
        return messages.DecisionsReply(
            gateway.log.find(message.request_id, message.count)
        )

    app.handlers[messages.ReadDecisions] = on_read_decisions
    app.tasks += [gateway.hold_lease, gateway.dispatcher.monitor_agents]
    app.tasks.append(gateway.dispatcher.crashes.reporter.run)
    app.drain.append(gateway.drain)
    app.dumpers['gateway'] = gateway.dump
    return gateway


def run(settings: dict) -> None:
    """Run a gateway until it is stopped."""
    app = application.Application(settings)
    gateway = build(app)

    async def serve() -> None:
        await serve_http(gateway)

    app.tasks.append(serve)
    trio.run(app.run)
