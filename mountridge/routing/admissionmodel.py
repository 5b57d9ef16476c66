# SPDX-License-Identifier: Apache-2.0

"""A model of how long a forward pass of a group of ranks takes.

All ranks make a pass together, which sends one event of each stream. It takes
a fixed time and a time for each request of a rank, multiplied by the imbalance
of the group: 1 where all ranks have the same work, more where the experts on
one rank get more tokens than those on others.
"""

import typing

from mountridge.documents import routes

__all__ = [
    'PassModel', 'imbalance', 'most_requests', 'pass_model', 'pass_s',
]  # fmt: skip


class PassModel(typing.NamedTuple):
    """The parts of the time of a pass."""

    fixed_s: float  # of a pass without requests
    request_s: float  # for each request of a rank, at an imbalance of 1
    passes: float  # of a usual stream


def pass_model(engine: routes.Engine | None) -> PassModel | None:
    """Return the model of an engine; None if its parameters are unknown.

    The time to read a prompt is spread over the passes of its stream.
    """
    if engine is None or not engine.stride > 0 or not engine.request_ms > 0:
        return None
    context = engine.usual_prompt + engine.usual_output / 2
    request_ms = engine.request_ms + engine.context_ms * context / 1000
    if engine.read_per_s > 0 and engine.usual_output > 0:
        read_ms = 1000 * engine.usual_prompt / engine.read_per_s
        request_ms += read_ms / engine.usual_output
    return PassModel(
        engine.stride * engine.step_ms / 1000,
        engine.stride * request_ms / 1000,
        max(1.0, engine.usual_output / engine.stride),
    )


def pass_s(model: PassModel, requests: float, imbalance: float) -> float:
    """Return how long a pass takes with so many ``requests`` a rank."""
    return model.fixed_s + requests * model.request_s * imbalance


def most_requests(
    model: PassModel, longest_s: float, imbalance: float
) -> float:
    """Return with how many requests a rank a pass takes ``longest_s``."""
    return max(0.0, longest_s - model.fixed_s) / (model.request_s * imbalance)


def imbalance(model: PassModel, measured_s: float, requests: float) -> float:
    """Return the imbalance by the measured time of a pass."""
    return (measured_s - model.fixed_s) / (model.request_s * requests)
