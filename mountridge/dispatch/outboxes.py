# SPDX-License-Identifier: Apache-2.0

"""The agent's messages to gateways: frames in batches, and load reports."""

import typing

import trio

from mountridge import application, messages
from mountridge.dispatch import links

__all__ = ['Outbox']

#: A gateway to which nothing can be sent for this long is removed.
BLOCKED_TIMEOUT_S = 5.0
#: Reports continue for this long after the last ticket, `WatchLoad` or frame.
REPORT_AFTER_USE_S = 30.0


class Outbox:
    """The pending frames and the link of each gateway.

    ``load`` returns the load report for a gateway's link. ``on_lost`` is
    called with the route of a gateway that is removed.
    """

    def __init__(
        self,
        app: application.Application,
        load: typing.Callable[[links.GatewayLink], messages.Load],
        on_lost: typing.Callable[[bytes], None],
    ):
        self._app = app
        self._settings = app.settings['agent']
        self._load = load
        self._on_lost = on_lost
        self._pending: dict[bytes, list[messages.Frame]] = {}
        self._wake = trio.Event()
        self.links: dict[bytes, links.GatewayLink] = {}

    @property
    def has_pending(self) -> bool:
        """Whether frames are pending."""
        return bool(self._pending)

    def link(self, route: bytes) -> links.GatewayLink:
        """Return the link of a gateway and mark it as used now."""
        now_s = self._app.now_s()
        link = self.links.setdefault(route, links.GatewayLink(now_s))
        link.last_used_s = now_s
        return link

    def put(self, route: bytes, frame: messages.Frame) -> None:
        """Add a frame to the next batch for a gateway."""
        self._pending.setdefault(route, []).append(frame)
        self._wake.set()

    def report_to_all(self) -> None:
        """Send a load report to each known gateway immediately."""
        for route, link in self.links.items():
            self._app.send(route, self._load(link))

    async def flush(self) -> None:
        """Send pending frames, those for one gateway in one message."""
        while True:
            await self._wake.wait()
            self._wake = trio.Event()
            for route in list(self._pending):
                self._flush_to(route)
            await trio.sleep(self._settings['merge_s'])

    def _flush_to(self, route: bytes) -> None:
        """Send a gateway its frames; they stay pending if sending fails."""
        link = self.link(route)
        link.frames_seq += 1
        message = messages.Frames(self._pending[route], self._load(link))
        if self._app.send(route, message):
            del self._pending[route]
            link.blocked_since_s = None
            return
        link.frames_seq -= 1
        self._app.metrics.incr('frames.stuck')
        if link.blocked_since_s is None:
            link.blocked_since_s = self._app.now_s()

    def report(self) -> None:
        """Send load reports to gateways that used this agent recently.

        Gateways to which nothing could be sent for `BLOCKED_TIMEOUT_S` are
        removed. Pending frames carry a report themselves.
        """
        now_s = self._app.now_s()
        for route, link in list(self.links.items()):
            if (
                link.blocked_since_s is not None
                and now_s - link.blocked_since_s > BLOCKED_TIMEOUT_S
            ):
                self.remove(route)
            elif route in self._pending:
                self._wake.set()
            elif now_s - link.last_used_s < REPORT_AFTER_USE_S:
                self._app.send(route, self._load(link))

    def remove(self, route: bytes) -> None:
        """Remove a gateway that can't be reached, with its frames."""
        self._app.metrics.incr('gateway.lost')
        self._pending.pop(route, None)
        del self.links[route]
        self._on_lost(route)

    def remove_earlier(self, name: str, incarnation: str) -> None:
        """Remove earlier incarnations of a gateway that has restarted."""
        for route in list(self.links):
            known_name, known_incarnation, _ = route.decode().rsplit('.', 2)
            if known_name == name and known_incarnation != incarnation:
                self.remove(route)
