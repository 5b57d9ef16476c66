# SPDX-License-Identifier: Apache-2.0

"""The state of one routed request, and its fields in log lines."""

import typing

from mountridge.documents import routes
from mountridge.net import dialects, httpserver
from mountridge.routing import backends, budgets, partrecords

__all__ = ['Answer', 'Exchange', 'runner_fields', 'to_ms', 'view_fields']

#: Longest age in log lines; also stands for an unknown one.
MAX_LOGGED_AGE_S = 999.0


class Answer(typing.NamedTuple):
    """A complete answer of a runner."""

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes


class Exchange:
    """State of one request from its arrival to the end of its answer."""

    def __init__(
        self,
        request: httpserver.Request,
        responder: httpserver.Responder,
        now_s: float,
    ):
        self.request = request
        self.responder = responder
        self.started_s = now_s
        self.request_head: dialects.RequestHead | None = None
        self.route: routes.Route | None = None
        self.team: routes.Team | None = None
        self.service = ''
        self.table_version = 0
        #: Pauses of this process before the request was routed.
        self.pauses = 0
        #: Age of the view when the request was routed, and when it was last
        #: sent to a runner; None where that is not known.
        self.routed_view_age_s: float | None = None
        self.sent_view_age_s: float | None = None
        self.deadline_s = now_s
        self.attempts = 0
        self.attempted: set[str] = set()
        #: Attempts that reached a runner other than the expected instance.
        self.misdirected_attempts = 0
        #: Attempts that a runner refused without running them.
        self.refusals = 0
        #: Attempts that ended before anything was sent.
        self.unsent_attempts = 0
        #: Digest that identifies the request in the quarantine; empty until
        #: it is needed.
        self.digest = b''
        #: Parts of its prompt that others may share; None until needed.
        self.parts: partrecords.Parts | None = None
        #: Keys of the quarantined parts that it probes.
        self.probe: tuple[bytes, ...] = ()
        #: Whether the request may have crashed the runner that ran it last.
        self.is_suspect = False
        #: Events sent to the caller when the current attempt started.
        self.events_before = 0
        #: First event of the current attempt.
        self.attempt_data_s: float | None = None
        #: Whether any attempt may have run.
        self.may_have_run = False
        #: Whether an attempt was started and has not ended; it may be running.
        self.is_in_flight = False
        self.last_event_id: int | None = None
        #: Last event after which a runner closed the connection.
        self.closed_after: int | None = None
        self.events_sent = 0
        #: Whether the caller has got a part of a body that is not a stream.
        self.is_body_begun = False
        #: Whether all events sent had numbers, so that another run can go on
        #: after the last one.
        self.is_numbered = True
        self.first_data_s: float | None = None
        self.last_data_s = now_s
        #: Longest gap between two sends of events.
        self.longest_gap_s = 0.0
        #: Gap before the newest event; None if it came together with others
        #: or is the first one.
        self.newest_gap_s: float | None = None
        self.status = 0
        #: Framing of the newest answer of a runner, empty if there is none.
        self.framing = ''
        #: Bytes after the last complete event at the end of that answer.
        self.partial_event_bytes = 0
        self.picked: backends.Picked | None = None
        #: Whether the caller was refused before and has waited.
        self.is_returned = False
        #: Whether the next retry has already been allowed and counted.
        self.retry_granted = False
        #: Whether it has been sent to any runner.
        self.is_sent = False
        #: A retry that the budget has allowed and that has not been sent.
        self.retry: budgets.Retry | None = None
        #: Error answer of a runner, returned where no retry follows.
        self.error_answer: Answer | None = None

    def record_events(self, count: int, now_s: float) -> None:
        """Record that events are sent to the caller now."""
        self.newest_gap_s = None
        if self.first_data_s is None:
            self.first_data_s = now_s
        else:
            gap_s = now_s - self.last_data_s
            self.longest_gap_s = max(self.longest_gap_s, gap_s)
            if count == 1 and self.events_sent > self.events_before:
                self.newest_gap_s = gap_s
        if self.attempt_data_s is None:
            self.attempt_data_s = now_s
        self.last_data_s = now_s
        self.events_sent += count


def runner_fields(picked: backends.Picked | None, now_s: float) -> dict:
    """Return the fields of a log line on the selected runner."""
    if picked is None:
        return {}
    backend = picked.backend
    return {
        'runner': backend.instance.instance_id,
        'cold': backend.instance.is_cold,
        'load': picked.load,
        'load_age_ms': to_ms(min(picked.report_age_s, MAX_LOGGED_AGE_S)),
        'among': picked.candidates,
    }


def view_fields(exchange: Exchange) -> dict:
    """Return the fields of a log line on the age of the view."""
    ages_s = {
        'view_age_ms': exchange.routed_view_age_s,
        'sent_view_age_ms': exchange.sent_view_age_s,
    }
    return {
        name: to_ms(min(age_s, MAX_LOGGED_AGE_S))
        for name, age_s in ages_s.items()
        if age_s is not None
    }


def to_ms(span_s: float | None) -> float:
    """Return a duration in milliseconds for log lines; 0 for None."""
    return round((span_s or 0.0) * 1000, 1)
