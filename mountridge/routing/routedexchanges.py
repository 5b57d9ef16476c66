# SPDX-License-Identifier: Apache-2.0

"""The state of one routed request on its way, and how log lines tell it."""

import typing

from mountridge.documents import routes
from mountridge.net import dialects, httpserver
from mountridge.routing import backends

__all__ = ['Answer', 'Exchange', 'ms', 'told']


class Answer(typing.NamedTuple):
    """A whole answer of a runner."""

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes


class Exchange:
    """State of one request on its way."""

    def __init__(
        self,
        request: httpserver.Request,
        responder: httpserver.Responder,
        now_s: float,
    ):
        self.request = request
        self.responder = responder
        self.begun_s = now_s
        self.call: dialects.Call | None = None
        self.route: routes.Route | None = None
        self.team: routes.Team | None = None
        self.service = ''
        self.table_version = 0
        self.until_s = now_s
        self.tries = 0
        self.tried: set[str] = set()
        #: Tries that met another runner than the one that was meant.
        self.misdirected = 0
        #: Tries that ended before anything was sent.
        self.unsent = 0
        #: What stands for the request among those that crash runners.
        self.digest = b''
        #: Whether a runner has crashed while it ran this request.
        self.is_suspect = False
        #: Events given when the present try began.
        self.events_at_try = 0
        #: Whether any try may have run.
        self.may_have_run = False
        #: Whether a try was sent that has not ended; it may be running.
        self.is_under_way = False
        self.last_event_id: int | None = None
        self.events_sent = 0
        self.first_data_s: float | None = None
        self.last_data_s = now_s
        #: Longest pause between two messages with events.
        self.longest_gap_s = 0.0
        self.status = 0
        self.picked: backends.Picked | None = None
        #: Whether the next try has been counted and allowed already.
        self.next_allowed = False
        #: A runner's own failure, given where no other runner is tried.
        self.failure: Answer | None = None

    def note_events(self, count: int, now_s: float) -> None:
        """Note that events are given to the caller now."""
        if self.first_data_s is None:
            self.first_data_s = now_s
        else:
            gap_s = now_s - self.last_data_s
            self.longest_gap_s = max(self.longest_gap_s, gap_s)
        self.last_data_s = now_s
        self.events_sent += count


def told(picked: backends.Picked | None, now_s: float) -> dict:
    """Return the fields of a log line on the runner that was taken."""
    if picked is None:
        return {}
    backend = picked.backend
    return {
        'runner': backend.instance.instance_id,
        'cold': backend.instance.is_cold,
        'load': picked.load,
        'load_age_ms': ms(min(picked.report_age_s, 999)),
        'among': picked.candidates,
    }


def ms(span_s: float | None) -> float:
    """Return a span in milliseconds, 0 for none, as log lines tell it."""
    return round((span_s or 0.0) * 1000, 1)
