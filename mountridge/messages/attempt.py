# SPDX-License-Identifier: Apache-2.0

"""Messages between gateways and agents: the attempts of requests."""

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
    incarnation: str  # of the agent that is meant
    team: str
    service: str
    path: str  # on the runner
    body: bytes
    priority: int  # 0 goes first
    weight: float  # share among teams of one priority
    queue_s: float  # longest time in the agent's queue
    deadline_s: float  # time left in all
    claim_key: str  # '' where the call may be repeated
    sent_s: float  # the agent's own clock, as the gateway reckons it
    reason: str  # the placing decision, kept by the agent too
    seq: int  # counts the tickets from this gateway to this agent


class Frame(typing.NamedTuple):
    """One piece of an answer. ``position`` counts bytes before it."""

    attempt_id: str
    position: int
    data: bytes
    end: bool
    status: int  # HTTP status from the runner; 0 until known
    code: int  # error code; 0 while all is well
    message: str
    retry_after_s: float


class Load(typing.NamedTuple):
    """An agent's load at the time of sending."""

    name: str
    incarnation: str
    running: int
    waiting: int
    slots: int
    draining: bool  # it takes nothing new: leaving, or without a lease
    at_s: float  # the agent's monotonic clock
    frames_seq: int  # `Frames` sent to this gateway, this one included
    ticket_seq: int  # newest ticket that came from this gateway
    ticket_count: int  # tickets that came from this gateway


class Frames(typing.NamedTuple):
    """Agent to gateway: frames of many answers in one message."""

    frames: list[Frame]
    load: Load


class WatchLoad(typing.NamedTuple):
    """Gateway to agent: tell me your load now and for a while."""


class Cancel(typing.NamedTuple):
    """Gateway to agent: the caller has gone, stop the attempt."""

    attempt_id: str


class Revoke(typing.NamedTuple):
    """Gateway to agent: bar the attempt for good if it has not run."""

    attempt_id: str
    incarnation: str


class AttemptReply(typing.NamedTuple):
    """Answer to `Revoke`: ``outcome`` is ran, not run or unknown."""

    attempt_id: str
    outcome: str


class Attach(typing.NamedTuple):
    """Gateway to agent: send the answer of an attempt again, from 0."""

    attempt_id: str
    incarnation: str
    as_attempt_id: str
