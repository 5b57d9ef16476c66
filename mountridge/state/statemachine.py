# SPDX-License-Identifier: Apache-2.0

"""The replicated state machine: every controller applies the same log.

It does no I/O and takes all times from the commands, so equal logs give
equal states. Replies are kept out of the state, but for those of puts,
which a resend must get again.
"""

import typing

import msgspec

from mountridge.documents import halls, instances, quarantines, tables
from mountridge import errors, messages
from mountridge.state import claims, commands, lives, views

__all__ = ['StateMachine', 'VersionRecord']

#: Puts whose replies are kept for resends, and versions in the log.
KEPT_OPERATIONS = 10000
KEPT_VERSIONS = 1000
#: Answers of claimed calls that are kept whole, in bytes.
MAX_KEPT_ANSWER = 16384
#: Runners that left whose ids are remembered, so that a late heartbeat of
#: one does not bring it back; a whole fleet may be replaced a few times.
KEPT_LEFT = 2000
#: Requests that are or were held back, of 60 bytes each in every view: one a
#: minute for half a day.
MOST_HELD = 1000


class VersionRecord(typing.NamedTuple):
    """Who made a version of the table, when, and at which index."""

    version: int
    index: int
    who: str
    at_s: float


class _Image(typing.NamedTuple):
    """The whole state as it stands in a snapshot."""

    index: int
    horizon: int
    entries: list[messages.Change]
    removed: list[messages.Change]
    version: int
    versions: list[VersionRecord]
    operations: list[tuple[str, messages.PutReply]]
    claims: list[claims.ClaimRecord]
    clock_s: float
    floor_s: float


class StateMachine:
    """View, table versions, kept replies of puts, and claims."""

    def __init__(self) -> None:
        self.view = views.View()
        self.version = 0
        self.versions: list[VersionRecord] = []
        self.operations: dict[str, messages.PutReply] = {}
        self.claims = claims.Claims()
        #: Unpacked beside the view, for what is looked up often.
        self.rows_by_key: dict[str, tables.Row] = {}
        self.members_by_name: dict[str, views.Member] = {}
        self.routes_version = 0
        self.instances: dict[str, instances.Instance] = {}
        self.halls: dict[str, halls.HallState] = {}
        #: What is or was held back, the latest changed last.
        self.quarantine: dict[bytes, quarantines.Held] = {}

    def apply(self, index: int, command: commands.Command) -> typing.Any:
        """Apply the command at ``index`` and return its reply.

        :raises MountridgeError: where the command is refused; the state is
            then the same on all controllers too.
        """
        self.view.index = index
        self.claims.clock_s = max(self.claims.clock_s, command.at_s)
        return _APPLY[type(command)](self, index, command)

    def apply_payload(self, index: int, payload: bytes) -> typing.Any:
        """Apply the entry at ``index`` as the log holds it."""
        return self.apply(index, commands.decode(payload))

    def _derive(self) -> None:
        """Make again what is kept unpacked beside the view."""
        self.rows_by_key = {
            key.partition('/')[2]: views.unpack_row(value)
            for key, value in self.view.by_prefix('row/').items()
        }
        self.members_by_name = {
            key.partition('/')[2]: views.unpack_member(value)
            for key, value in self.view.by_prefix('member/').items()
        }
        self.routes_version = self.routes().version
        self.instances = {
            key.partition('/')[2]: views.unpack_instance(value)
            for key, value in self.view.by_prefix(
                views.INSTANCE_PREFIX
            ).items()
        }
        self.halls = {
            key.partition('/')[2]: views.unpack_hall(value)
            for key, value in self.view.by_prefix(views.HALL_PREFIX).items()
        }
        packed = self.view.by_prefix(views.QUARANTINE_PREFIX).values()
        listed = [views.unpack_quarantined(value) for value in packed]
        self.quarantine = {each.digest: each for each in listed}

    def routes(self) -> messages.RoutesReply:
        """Return the routes document held; version 0 where none is."""
        return views.routes_in(self.view)

    def other_instances(
        self, given: instances.Instance
    ) -> typing.Iterator[instances.Instance]:
        """Yield the registrations of other ids than that of ``given``."""
        for key, held in self.instances.items():
            if key != given.instance_id:
                yield held

    def snapshot(self) -> bytes:
        """Return the whole state as bytes."""
        return msgspec.msgpack.encode(
            _Image(
                self.view.index,
                self.view.horizon,
                list(self.view.entries.values()),
                list(self.view.removed.values()),
                self.version,
                self.versions,
                list(self.operations.items()),
                list(self.claims.records.values()),
                self.claims.clock_s,
                self.claims.floor_s,
            )
        )

    def restore(self, data: bytes) -> None:
        """Replace the whole state by a snapshot."""
        image = msgspec.msgpack.decode(data, type=_Image)
        self.view = views.View()
        self.view.horizon = image.horizon
        for change in image.entries + image.removed:
            self.view.set(change.index, change.key, change.value)
        self.view.index = image.index
        self.version = image.version
        self.versions = image.versions
        self.operations = dict(image.operations)
        self.claims = claims.Claims()
        self.claims.clock_s = image.clock_s
        self.claims.floor_s = image.floor_s
        for record in image.claims:
            self.claims.records[record.claim.key] = record
        self._derive()


def _put(
    machine: StateMachine, index: int, command: commands.PutTable
) -> messages.PutReply:
    known = machine.operations.get(command.operation_id)
    if known is not None:
        return known
    new = tables.check_rows(command.rows)
    old = machine.rows_by_key
    if command.base_version != machine.version:
        reply = messages.PutReply(
            False,
            machine.version,
            index,
            tables.diff_rows(list(old.values()), new),
        )
    else:
        machine.version += 1
        _replace_rows(machine, index, old, new)
        record = VersionRecord(
            machine.version, index, command.who, command.at_s
        )
        machine.versions.append(record)
        del machine.versions[:-KEPT_VERSIONS]
        reply = messages.PutReply(True, machine.version, index, [])
    machine.operations[command.operation_id] = reply
    if len(machine.operations) > KEPT_OPERATIONS:
        del machine.operations[next(iter(machine.operations))]
    return reply


def _replace_rows(
    machine: StateMachine,
    index: int,
    before: dict[str, tables.Row],
    new: list[tables.Row],
) -> None:
    after = {tables.row_key(row): row for row in new}
    for key in before:
        if key not in after:
            machine.view.set(index, 'row/' + key, None)
    for key, row in after.items():
        if before.get(key) != row:
            machine.view.set(index, 'row/' + key, views.pack(row))
    version = views.pack(machine.version)
    machine.view.set(index, 'table/version', version)
    machine.rows_by_key = after


def _set_member(
    machine: StateMachine, index: int, command: commands.SetMember
) -> views.Member:
    member = command.member
    key = 'member/' + member.name
    if member.state == 'gone':
        machine.view.set(index, key, None)
        machine.members_by_name.pop(member.name, None)
    else:
        machine.view.set(index, key, views.pack(member))
        machine.members_by_name[member.name] = member
        machine.claims.mark_unknown(member.name, member.incarnation)
    return member


def _open_claim(
    machine: StateMachine, index: int, command: commands.OpenClaim
) -> messages.ClaimReply:
    return machine.claims.open(command.claim, command.key_s)


def _close_claim(
    machine: StateMachine, index: int, command: commands.CloseClaim
) -> messages.Outcome:
    outcome = command.outcome
    if len(outcome.answer) > MAX_KEPT_ANSWER:
        # Without a status no one takes it for the kept answer.
        outcome = outcome._replace(answer=b'', status=0)
    machine.claims.close(outcome)
    return outcome._replace(answer=b'')


def _expire(
    machine: StateMachine, index: int, command: commands.ExpireClaims
) -> int:
    return machine.claims.expire(command.keep_s)


def _put_routes(
    machine: StateMachine, index: int, command: commands.PutRoutes
) -> messages.RoutesReply:
    """Hold the document with the highest version; others change nothing."""
    if command.version > machine.routes_version:
        machine.routes_version = command.version
        held = messages.RoutesReply(command.version, command.source)
        machine.view.set(index, views.ROUTES_KEY, views.pack(held))
    return messages.RoutesReply(machine.routes_version, b'')


def _set_instance(
    machine: StateMachine, index: int, command: commands.SetInstance
) -> messages.Registered:
    """Hold what a runner says, or that it is over; old words change nothing.

    The leader has judged the same; this decides where two words that
    contradict each other were under way to the log together.
    """
    given, now_ms = command.instance, round(command.at_s * 1000)
    known = machine.instances.get(given.instance_id)
    if lives.has_ended(given):
        _end_instance(machine, index, given, known, now_ms)
        return messages.Registered()
    order = lives.classify(given, known, machine.other_instances(given))
    if isinstance(order, lives.Refusal):
        return messages.Registered()
    if order is not lives.Order.SAME:
        _end_at_address(machine, index, given, now_ms)
    held = lives.updated(given, known, order, now_ms)
    _hold_instance(machine, index, held)
    return messages.Registered()


def _end_instance(
    machine: StateMachine,
    index: int,
    given: instances.Instance,
    known: instances.Instance | None,
    now_ms: int,
) -> None:
    """End a life, but for a later one and one that has said its end."""
    if known is not None:
        is_final = lives.has_ended(known) and not known.may_return
        if is_final and given.born_ms <= known.born_ms:
            return
        if given.lives not in (0, known.lives):
            return
        if not given.lives:
            # Nothing was held when it was proposed.
            if given.born_ms and given.born_ms < known.born_ms:
                return
            given = known._replace(
                state=given.state,
                born_ms=max(given.born_ms, known.born_ms),
                seq=given.seq,
                may_return=given.may_return,
            )
    _hold_instance(machine, index, given._replace(since_ms=now_ms))


def _end_at_address(
    machine: StateMachine, index: int, given: instances.Instance, now_ms: int
) -> None:
    """End the runners that a new one at their address replaces."""
    for other in list(machine.other_instances(given)):
        if other.address == given.address and not lives.has_ended(other):
            ended = other._replace(
                state=instances.LEFT, since_ms=now_ms, may_return=True
            )
            _hold_instance(machine, index, ended)


def _set_hall(
    machine: StateMachine, index: int, command: commands.SetHall
) -> halls.HallState:
    """Change a hall where its revision still holds.

    What holds already is acknowledged again.

    :raises HallChanged: another order came between.
    """
    known = machine.halls.get(command.hall, halls.never_out(command.hall))
    if known.is_out == command.is_out:
        return known
    if known.revision != command.revision:
        raise errors.HallChanged(
            f'at revision {known.revision}, not {command.revision}'
        )
    held = halls.HallState(command.hall, command.is_out, index, command.at_s)
    machine.halls[command.hall] = held
    key = views.HALL_PREFIX + command.hall
    machine.view.set(index, key, views.pack(held))
    if not command.is_out:
        _count_as_cold(machine, index, command.hall)
    return held


def _count_as_cold(machine: StateMachine, index: int, hall: str) -> None:
    """Let the runners of a hall be cold until they say otherwise.

    They may have started anew while nothing was sent to them.
    """
    for instance in list(machine.instances.values()):
        if instance.hall == hall and not lives.has_ended(instance):
            cold = instance._replace(is_cold=True)
            _hold_instance(machine, index, cold)


def _hold_request(
    machine: StateMachine, index: int, command: commands.QuarantineRequest
) -> quarantines.Held:
    """Hold a request back; past the bound the oldest ones are forgotten."""
    known = machine.quarantine.get(command.digest)
    if known is not None and known.is_held:
        return known
    before = known or quarantines.Held(command.digest, False, 0, 0, 0.0)
    held = quarantines.Held(
        command.digest,
        True,
        before.crashes + command.crashes,
        before.holds + 1,
        command.at_s,
    )
    _keep_held(machine, index, held)
    while len(machine.quarantine) > MOST_HELD:
        _forget_held(machine, index, next(iter(machine.quarantine)))
    return held


def _release_request(
    machine: StateMachine, index: int, command: commands.ReleaseRequest
) -> quarantines.Held | None:
    """Let a request be tried once more, or forget that it was held back."""
    known = machine.quarantine.get(command.digest)
    if known is None or not command.is_probe:
        _forget_held(machine, index, command.digest)
        return None
    released = known._replace(is_held=False, since_s=command.at_s)
    _keep_held(machine, index, released)
    return released


def _keep_held(
    machine: StateMachine, index: int, held: quarantines.Held
) -> None:
    machine.quarantine.pop(held.digest, None)
    machine.quarantine[held.digest] = held
    key = views.QUARANTINE_PREFIX + held.digest.hex()
    machine.view.set(index, key, views.pack(held))


def _forget_held(machine: StateMachine, index: int, digest: bytes) -> None:
    if machine.quarantine.pop(digest, None) is not None:
        key = views.QUARANTINE_PREFIX + digest.hex()
        machine.view.set(index, key, None)


def _next_version(
    machine: StateMachine, index: int, command: commands.NextVersion
) -> int:
    """Return the entry's own index: no other entry ever has it."""
    return index


def _hold_instance(
    machine: StateMachine, index: int, instance: instances.Instance
) -> None:
    """Keep a registration; of those that left only the newest are kept."""
    key = views.INSTANCE_PREFIX + instance.instance_id
    machine.instances.pop(instance.instance_id, None)
    machine.instances[instance.instance_id] = instance
    machine.view.set(index, key, views.pack(instance))
    left = [i for i in machine.instances.values() if i.state == instances.LEFT]
    for oldest in left[:-KEPT_LEFT]:
        del machine.instances[oldest.instance_id]
        key = views.INSTANCE_PREFIX + oldest.instance_id
        machine.view.set(index, key, None)


_APPLY: dict[type, typing.Callable] = {
    commands.PutTable: _put,
    commands.SetMember: _set_member,
    commands.OpenClaim: _open_claim,
    commands.CloseClaim: _close_claim,
    commands.ExpireClaims: _expire,
    commands.PutRoutes: _put_routes,
    commands.SetInstance: _set_instance,
    commands.NextVersion: _next_version,
    commands.SetHall: _set_hall,
    commands.QuarantineRequest: _hold_request,
    commands.ReleaseRequest: _release_request,
}


def refusal(problem: errors.MountridgeError) -> messages.Failure:
    """Return the reply for a command that the state machine refused."""
    return messages.Failure(problem.code, str(problem), '')
