# SPDX-License-Identifier: Apache-2.0

"""Rules on changes of the routes, judged by requests and reads.

Each observation is compared to all documents that may be in force. Bounds in
time hold for entries that are in touch with the controllers (`touch`).
"""

import collections
import math
import typing

from tools.soak import touch

__all__ = ['ChangeRules', 'Document', 'Seen']

#: Fewest requests for a route that are judged as a share.
MIN_SHARED = 20
#: Requests may be unanswered half a second after the timeout of their route,
#: if they are fewer than this or less than a quarter.
LATE_S, MIN_LATE, MAX_LATE_SHARE = 0.5, 8, 0.25


class Document(typing.NamedTuple):
    """What one routes document allows."""

    version: int
    #: Services by route.
    services: dict[str, tuple[str, ...]]
    #: Routes that need no key, and the keys for the others.
    public: frozenset[str]
    keys: frozenset[str]

    def runs(self, route: str, key: str, service: str) -> bool:
        """Return whether a service may run a request."""
        is_allowed = route in self.public or key in self.keys
        return is_allowed and service in self.services.get(route, ())

    def denies(self, route: str, key: str, status: int) -> bool:
        """Return whether a request may be refused with a status."""
        if status == 404:
            return route not in self.services
        is_known = route in self.services and route not in self.public
        return is_known and key not in self.keys


class Seen(typing.NamedTuple):
    """A request, as judged."""

    entry: str
    incarnation: int
    route: str
    key: str
    at_s: float


class ChangeRules:
    """Records the documents of a run, and judges how requests are handled.

    ``check`` is that of the run's report.
    """

    def __init__(
        self,
        sizes: dict,
        contact: touch.Touch,
        check: typing.Callable,
    ):
        self._rollback_s = sizes['rollback_s']
        self._settle_s = sizes['apply_s'] + sizes['outer_s']
        self._contact = contact
        self._check = check
        self._sent: list[Document] = []
        #: Documents that must never be in force: refused, invalid, or sent
        #: with other content under an acknowledged version.
        self._void: list[Document] = []
        self._acked_s: dict[int, float] = {}
        #: Per life of an entry: (when, version) of effects that were seen.
        self._effects: dict[tuple[str, int], list[tuple[float, int]]] = (
            collections.defaultdict(list)
        )
        #: [asked, served] by entries in touch: routes of the first document,
        #: and routes added later.
        self._first, self._added = [0, 0], [0, 0]
        self._timed = self._late = 0

    # Operators.

    def record_sent(self, document: Document, is_valid: bool = True) -> None:
        """Record that a document is being sent."""
        if not is_valid or document.version in self._acked_s:
            if document not in self._sent and document not in self._void:
                self._void.append(document)
        elif document not in self._sent:
            self._sent.append(document)

    def record_reply(
        self, document: Document, status: int, now_s: float
    ) -> None:
        """Record the answer to a change."""
        is_void = document in self._void and document not in self._sent
        if status == 200 and not is_void:
            self._acked_s.setdefault(document.version, now_s)
        elif 400 <= status < 500 and not is_void:
            self._void.append(document)
            self._sent.remove(document)

    def settled_version(self, at_s: float) -> int:
        """Return the newest version that is in force everywhere."""
        return self._acked_before(at_s - self._settle_s)

    def _acked_before(self, at_s: float) -> int:
        return max(
            (v for v, acked_s in self._acked_s.items() if acked_s <= at_s),
            default=0,
        )

    # Requests.

    def record_run(self, seen: Seen, service: str, now_s: float) -> None:
        """Judge the arrival of a request at a runner."""
        versions = self._versions(
            lambda each: each.runs(seen.route, seen.key, service)
        )
        self._judge(seen, versions, f'run by {service}')
        if versions:
            effects = self._effects[seen.entry, seen.incarnation]
            effects.append((now_s, min(versions)))

    def record_denied(self, seen: Seen, status: int) -> None:
        """Judge a refusal with 401, 403 or 404."""
        versions = self._versions(
            lambda each: each.denies(seen.route, seen.key, status)
        )
        self._judge(seen, versions, f'refused with {status}')

    def _versions(
        self, allows: typing.Callable[[Document], bool]
    ) -> list[int]:
        """Return the versions that may be in force and allow something."""
        return [each.version for each in self._sent if allows(each)]

    def _judge(self, seen: Seen, versions: list[int], how: str) -> None:
        fields = {'seen': seen, 'how': how, 'versions': versions[-3:]}
        rule = 'only what a document allows'
        self._check(rule, bool(versions), **fields)
        if not versions:
            return
        newest = max(versions)
        bound_s = self._contact.apply_bound_s(seen.entry, seen.at_s)
        if bound_s < math.inf:
            acked = self._acked_before(seen.at_s - bound_s)
            in_time = newest >= acked
            rule = 'changes are in force in time'
            over_s = seen.at_s - self._acked_s.get(acked, seen.at_s)
            self._check(rule, in_time, acked=acked, over_s=over_s, **fields)
        effects = self._effects[seen.entry, seen.incarnation]
        known = max(
            (v for s, v in effects if s < seen.at_s - self._rollback_s),
            default=0,
        )
        rule = 'entries never go back'
        self._check(rule, newest >= known, known=known, **fields)

    def record_outcome(
        self, seen: Seen, is_added: bool, is_served: bool
    ) -> None:
        """Count a request on a route of the first, or a later document."""
        if self._contact.apply_bound_s(seen.entry, seen.at_s) == math.inf:
            return
        counts = self._added if is_added else self._first
        counts[0] += 1
        counts[1] += is_served

    def record_wait(self, seen: Seen, timeout_s: float, took_s: float) -> None:
        """Count a request that its runner does not answer in time."""
        if self._contact.apply_bound_s(seen.entry, seen.at_s) == math.inf:
            return
        self._timed += 1
        self._late += took_s > timeout_s + LATE_S

    # At the end.

    def finish(self) -> None:
        """Check the rules on shares of requests."""
        rule = 'added routes are served'
        first, added = self._first, self._added
        if min(first[0], added[0]) >= MIN_SHARED:
            is_served = 4 * added[1] * first[0] >= first[1] * added[0]
            self._check(rule, is_served, first=first, added=added)
        most = max(MIN_LATE - 1, MAX_LATE_SHARE * self._timed)
        rule = 'requests end with the timeout of their route'
        self._check(rule, self._late <= most, late=self._late, of=self._timed)
