# SPDX-License-Identifier: Apache-2.0

"""What an agent sends to gateways: frames in batches, and load reports."""

import typing

import trio

from mountridge import application, messages
from mountridge.dispatch import links

__all__ = ['Outbox']

#: A gateway that takes no messages for this long is taken as gone.
STUCK_S = 5.0
#: Reports go on for this long after the last ticket, greeting or frame.
REPORT_FOR_S = 30.0


class Outbox:
    """Frames that wait for each gateway, and the counts of its connection.

    ``load`` gives the load report for a gateway's link; ``on_lost`` is told
    the route of a gateway that can't be reached any more.
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
        self._frames: dict[bytes, list[messages.Frame]] = {}
        self._wake = trio.Event()
        self.links: dict[bytes, links.GatewayLink] = {}

    @property
    def waiting(self) -> bool:
        """Whether frames still wait to be sent."""
        return bool(self._frames)

    def link(self, route: bytes) -> links.GatewayLink:
        """Return the link of a gateway that is in use now."""
        now_s = self._app.now_s()
        link = self.links.setdefault(route, links.GatewayLink(now_s))
        link.last_used_s = now_s
        return link

    def put(self, route: bytes, frame: messages.Frame) -> None:
        """Let a frame go out with the next batch."""
        self._frames.setdefault(route, []).append(frame)
        self._wake.set()

    def tell_all(self) -> None:
        """Send the load to every gateway at once."""
        for route, link in self.links.items():
            self._app.send(route, self._load(link))

    async def flush(self) -> None:
        """Send waiting frames, many streams in one message a gateway."""
        while True:
            await self._wake.wait()
            self._wake = trio.Event()
            for route in list(self._frames):
                self._flush_to(route)
            await trio.sleep(self._settings['merge_s'])

    def _flush_to(self, route: bytes) -> None:
        """Send a gateway its frames; they wait while it can't take them."""
        link = self.link(route)
        link.frames_seq += 1
        message = messages.Frames(self._frames[route], self._load(link))
        if self._app.send(route, message):
            del self._frames[route]
            link.blocked_since_s = None
            return
        link.frames_seq -= 1
        self._app.metrics.incr('frames.stuck')
        if link.blocked_since_s is None:
            link.blocked_since_s = self._app.now_s()

    def report(self) -> None:
        """Send the load to gateways that used this agent of late."""
        now_s = self._app.now_s()
        for route, link in list(self.links.items()):
            if (
                link.blocked_since_s is not None
                and now_s - link.blocked_since_s > STUCK_S
            ):
                self.lose(route)
            elif route in self._frames:
                self._wake.set()
            elif now_s - link.last_used_s < REPORT_FOR_S:
                self._app.send(route, self._load(link))

    def lose(self, route: bytes) -> None:
        """Forget a gateway that is gone, and what was for it."""
        self._app.metrics.incr('gateway.lost')
        self._frames.pop(route, None)
        del self.links[route]
        self._on_lost(route)

    def lose_earlier(self, name: str, incarnation: str) -> None:
        """Forget earlier incarnations of a gateway that has restarted."""
        for route in list(self.links):
            known, run, _ = route.decode().rsplit('.', 2)
            if known == name and run != incarnation:
                self.lose(route)
