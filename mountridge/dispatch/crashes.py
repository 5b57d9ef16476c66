# SPDX-License-Identifier: Apache-2.0

"""Quarantine of requests that crash the runners behind agents.

The agent of a runner reports a crash with the answer that broke off; what is
recorded and quarantined is the same as for requests that are routed directly
(`routing.crashwatch`).
"""

import typing

from mountridge import application, errors
from mountridge.dispatch import attempts, exchanges
from mountridge.documents import instances, quarantines
from mountridge.logs import logger
from mountridge.routing import crashreports, partgates, partrecords
from mountridge.routing import quarantine

__all__ = ['RequestCrashes']

#: An answer that has gone on for so long has begun well: its request did not
#: crash the runner.
BEGUN_S = 0.5


class RequestCrashes:
    """Crashes of runners beneath the requests of one gateway."""

    def __init__(self, app: application.Application, call: crashreports.Call):
        key = app.settings['digest_key']
        self._app = app
        self._requests = quarantine.Quarantine(key)
        self._parts = partrecords.PartRecords(key)
        self.reporter = crashreports.CrashReporter(
            app, self._requests, self._parts, call
        )
        self._part_gate = partgates.PartGate(app, self._parts)
        self._part_gate.on_probe = self.reporter.take_probe

    def update(self, listed: list[quarantines.QuarantinedRequest]) -> None:
        """Apply the quarantined requests and parts of the view."""
        self.reporter.update(listed)

    async def admit(self, exchange: exchanges.Exchange) -> None:
        """Identify a request, and check that it is not quarantined.

        :raises RequestHeldBack: it is, or a part of its prompt.
        """
        exchange.digest = self._requests.digest_of(
            b'POST',
            exchange.path.encode(),
            exchange.team.encode(),
            exchange.body,
        )
        exchange.parts = self._parts.parts(
            exchange.service, exchange.shared_parts, exchange.team
        )
        self._check_request(exchange)
        exchange.probe = await self._part_gate.admit(
            exchange.parts, exchange.request_id
        )

    def check(self, exchange: exchanges.Exchange) -> None:
        """Check again, right before a request is sent.

        :raises RequestHeldBack: it is quarantined, or a part of its prompt.
        """
        self._check_request(exchange)
        self._part_gate.check(exchange.parts, exchange.probe)

    def _check_request(self, exchange: exchanges.Exchange) -> None:
        now_s = self._app.now_s()
        if self._requests.is_quarantined(exchange.digest, now_s):
            raise errors.RequestHeldBack(
                f'quarantined as {exchange.digest.hex()}'
            )

    async def check_attempt(self, exchange: exchanges.Exchange) -> None:
        """Record a crash with which the newest attempt has ended, if any.

        Waits a short time for the leader's answer.
        """
        if self._record_crash(exchange):
            await self.reporter.report_now()

    def _record_crash(self, exchange: exchanges.Exchange) -> bool:
        attempt, now_s = exchange.attempt, self._app.now_s()
        if attempt is None or not attempt.crashed_life:
            return False
        runner = _runner(exchange, attempt)
        self._requests.record_crash(exchange.digest, runner, now_s)
        is_suspect = (
            attempt.began_s is None or now_s - attempt.began_s < BEGUN_S
        )
        if is_suspect:
            incarnation = quarantine.incarnation(runner)
            self._parts.record_crash(
                exchange.parts, exchange.digest, incarnation, now_s
            )
            self._parts.drop_probe(exchange.probe)
        attempt.crashed_life = 0
        self._app.metrics.incr('quarantine.crashes')
        logger.info(
            'runner crashed',
            request=exchange.request_id,
            runner=runner.instance_id,
            digest=exchange.digest.hex(),
            parts=[part.hex() for part in exchange.parts.digests],
            is_suspect=is_suspect,
        )
        return True

    def end(self, exchange: exchanges.Exchange) -> None:
        """Record how a request has ended, if it was admitted."""
        attempt = exchange.attempt
        is_wanted = self._record_crash(exchange)
        if attempt is not None and _has_succeeded(attempt):
            now_s = self._app.now_s()
            is_wanted = self._requests.record_success(exchange.digest, now_s)
            if attempt.status < 300 and attempt.position:
                parts = exchange.parts
                is_wanted |= self._parts.record_success(parts, now_s)
        if is_wanted:
            self.reporter.wake()
        self._part_gate.end(exchange.probe)


def _has_succeeded(attempt: attempts.Attempt) -> bool:
    is_complete = attempt.ended and not attempt.problem
    return is_complete and attempt.status < 500


def _runner(
    exchange: exchanges.Exchange, attempt: attempts.Attempt
) -> typing.Any:
    """Return the start of the runner that has crashed, as a registration."""
    name = f'{attempt.agent}.{exchange.agent_incarnation}'
    return instances.Instance(
        name, exchange.service, '', '', '', 0, instances.READY,
        lives=attempt.crashed_life,
    )  # fmt: skip
