# SPDX-License-Identifier: Apache-2.0

"""Messages between gateways and agents about attempts of requests."""

import typing

__all__ = [
    'Attach',
    'AttemptReply',
    'Cancel',
    'Frame',
    'Frames',
    'WatchLoad',
    'Load',
    'Revoke',
    'Ticket',
]


class Ticket(typing.NamedTuple):
    """Gateway to agent: run one attempt of a request."""

    request_id: str
    attempt_id: str
    incarnation: str  # of the intended agent
    team: str
    service: str
    path: str  # on the runner
    body: bytes
    priority: int  # 0 is the highest
    weight: float  # share among teams of one priority
    queue_s: float  # longest time in the agent's queue
    deadline_s: float  # time left for the whole request
    claim_key: str  # '' if the request may be repeated
    sent_s: float  # by the agent's clock, as estimated by the gateway
    reason: str  # for the placement; recorded by the agent too
    seq: int  # counts the tickets from this gateway to this agent


class Frame(typing.NamedTuple):
    """A part of a response; ``position`` is its offset in bytes."""

    attempt_id: str
    position: int
    data: bytes
    end: bool
    status: int  # HTTP status from the runner; 0 until known
    code: int  # error code; 0 if there was no error
    message: str
    retry_after_s: float
    #: Number of the runner's start that ended in a crash with this attempt,
    #: counted by its agent; 0 if it has not crashed.
    crashed_life: int = 0


class Load(typing.NamedTuple):
    """An agent's load at the time of sending."""

    name: str
    incarnation: str
    running: int
    waiting: int
    slots: int
    draining: bool  # accepts no tickets: leaving, or without a lease
    at_s: float  # the agent's monotonic clock
    frames_seq: int  # `Frames` sent to this gateway, including this one
    ticket_seq: int  # newest ticket received from this gateway
    ticket_count: int  # tickets received from this gateway


class Frames(typing.NamedTuple):
    """Agent to gateway: a batch of frames of any responses, and its load."""

    frames: list[Frame]
    load: Load


class WatchLoad(typing.NamedTuple):
    """Gateway to agent: report the load now and for some time after."""


class Cancel(typing.NamedTuple):
    """Gateway to agent: stop an attempt whose caller has disconnected."""

    attempt_id: str


class Revoke(typing.NamedTuple):
    """Gateway to agent: prevent an attempt that has not started."""

    attempt_id: str
    incarnation: str


class AttemptReply(typing.NamedTuple):
    """Reply to `Revoke` and `Attach`: `errors.RAN`, `NOT_RUN` or `UNKNOWN`."""

    attempt_id: str
    outcome: str


class Attach(typing.NamedTuple):
    """Gateway to agent: resend the response of an attempt from its start."""

    attempt_id: str
    incarnation: str
    as_attempt_id: str  # attempt id for the frames that are sent
