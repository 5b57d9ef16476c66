# SPDX-License-Identifier: Apache-2.0

"""The replicated state machine: every controller applies the same log.

It does no I/O and reads no clock; all times are in the commands. So equal logs
result in equal states. Replies are not part of the state, except those to
updates of the table, which a resent update must get again.
"""

import typing

import msgspec

from mountridge.documents import halls, instances, quarantines, tables
from mountridge import errors, messages, records
from mountridge.state import claims, commands, incarnations, views

__all__ = ['StateMachine', 'VersionRecord']

#: Most replies to updates of the table, and most versions, to keep.
MAX_OPERATIONS = 10000
MAX_VERSIONS = 1000
#: Largest answer to a claimed call that is stored, in bytes.
MAX_STORED_ANSWER = 16384
#: Most ended registrations to keep, so that a delayed heartbeat of an ended
#: runner does not register it again: enough to replace a whole fleet a few
#: times.
MAX_ENDED = 2000
#: Most requests, quarantined or released for a probe, to keep; each takes
#: about 60 bytes in every view.
MAX_QUARANTINED = 1000


class VersionRecord(typing.NamedTuple):
    """Author, time and log index of a version of the table."""

    version: int
    index: int
    who: str
    at_s: float


class _Image(typing.NamedTuple):
    """The whole state, as encoded in a snapshot."""

    index: int
    horizon: int
    entries: list[messages.Change]
    removed: list[messages.Change]
    version: int
    versions: list[VersionRecord]
    operations: list[tuple[str, messages.PutTableReply]]
    claims: list[claims.ClaimRecord]
    clock_s: float
    floor_s: float


_decode_image = records.decoder(
    _Image, _Image, VersionRecord, claims.ClaimRecord, messages.Claim
)


class StateMachine:
    """The view, versions of the table, replies to its updates, and claims."""

    def __init__(self) -> None:
        self.view = views.View()
        self.version = 0
        self.versions: list[VersionRecord] = []
        self.operations: dict[str, messages.PutTableReply] = {}
        self.claims = claims.Claims()
        #: Decoded entries of the view, by key.
        self.rows_by_key: dict[str, tables.Row] = {}
        self.members_by_name: dict[str, views.Member] = {}
        self.routes_version = 0
        self.instances: dict[str, instances.Instance] = {}
        self.halls: dict[str, halls.HallState] = {}
        #: Quarantined and released requests, in the order of their change.
        self.quarantine: dict[bytes, quarantines.QuarantinedRequest] = {}
        #: Fields of a later build's snapshot, which the next one repeats.
        self._later_fields: tuple = ()

    def apply(self, index: int, command: commands.Command) -> typing.Any:
        """Apply the command at ``index`` and return its reply.

        :raises MountridgeError: the command is refused, and in the same way
            on all controllers.
        """
        self.view.index = index
        self.claims.clock_s = max(self.claims.clock_s, command.at_s)
        return _APPLY[type(command)](self, index, command)

    def apply_payload(self, index: int, payload: bytes) -> typing.Any:
        """Decode the payload of the entry at ``index`` and apply it.

        :raises UnknownCommand: this build cannot read it.
        """
        return self.apply(index, commands.decode(payload))

    def knows_payload(self, payload: bytes) -> bool:
        """Return whether this build knows the command of an entry."""
        return commands.is_known(payload)

    def _decode_entries(self) -> None:
        """Rebuild the decoded entries from the view."""
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
        """Return the routes document; version 0 if there is none."""
        return views.routes_in(self.view)

    def other_instances(
        self, instance: instances.Instance
    ) -> typing.Iterator[instances.Instance]:
        """Yield the registrations of other ids than that of ``instance``."""
        for key, other in self.instances.items():
            if key != instance.instance_id:
                yield other

    def snapshot(self) -> bytes:
        """Return the whole state as bytes."""
        image = _Image(
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
        return msgspec.msgpack.encode((*image, *self._later_fields))

    def restore(self, data: bytes) -> None:
        """Replace the whole state by a snapshot."""
        image = _decode_image(data)
        self._later_fields = image[len(_Image._fields) :]
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
        self._decode_entries()


def _put_table(
    machine: StateMachine, index: int, command: commands.PutTable
) -> messages.PutTableReply:
    earlier_reply = machine.operations.get(command.operation_id)
    if earlier_reply is not None:
        return earlier_reply
    new = tables.check_rows(command.rows)
    old = machine.rows_by_key
    if command.base_version != machine.version:
        reply = messages.PutTableReply(
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
        del machine.versions[:-MAX_VERSIONS]
        reply = messages.PutTableReply(True, machine.version, index, [])
    machine.operations[command.operation_id] = reply
    if len(machine.operations) > MAX_OPERATIONS:
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
    if len(outcome.answer) > MAX_STORED_ANSWER:
        # Without a status it is not mistaken for a stored answer.
        outcome = outcome._replace(answer=b'', status=0)
    machine.claims.close(outcome)
    return outcome._replace(answer=b'')


def _expire_claims(
    machine: StateMachine, index: int, command: commands.ExpireClaims
) -> int:
    return machine.claims.expire(command.keep_s)


def _put_routes(
    machine: StateMachine, index: int, command: commands.PutRoutes
) -> messages.RoutesReply:
    """Store the document if its version is higher than the stored one."""
    if command.version > machine.routes_version:
        machine.routes_version = command.version
        stored = messages.RoutesReply(command.version, command.source)
        machine.view.set(index, views.ROUTES_KEY, views.pack(stored))
    return messages.RoutesReply(machine.routes_version, b'')


def _set_instance(
    machine: StateMachine, index: int, command: commands.SetInstance
) -> messages.Registered:
    """Update a registration or end it; outdated proposals are ignored.

    The leader made the same check before, but conflicting proposals may
    have been pending at the same time.
    """
    proposed, now_ms = command.instance, round(command.at_s * 1000)
    registered = machine.instances.get(proposed.instance_id)
    if incarnations.has_ended(proposed):
        _end_instance(machine, index, proposed, registered, now_ms)
        return messages.Registered()
    order = incarnations.classify(
        proposed, registered, machine.other_instances(proposed)
    )
    if isinstance(order, incarnations.Refusal):
        return messages.Registered()
    if order is not incarnations.Order.SAME:
        _end_at_address(machine, index, proposed, now_ms)
    registration = incarnations.updated(proposed, registered, order, now_ms)
    _store_instance(machine, index, registration)
    return messages.Registered()


def _end_instance(
    machine: StateMachine,
    index: int,
    proposed: instances.Instance,
    registered: instances.Instance | None,
    now_ms: int,
) -> None:
    """End a registration, unless it is a later one or ended for good."""
    if registered is not None:
        is_final = (
            incarnations.has_ended(registered) and not registered.may_return
        )
        if is_final and proposed.born_ms <= registered.born_ms:
            return
        if proposed.lives not in (0, registered.lives):
            return
        if not proposed.lives:
            # There was no registration when it was proposed.
            if proposed.born_ms and proposed.born_ms < registered.born_ms:
                return
            proposed = registered._replace(
                state=proposed.state,
                born_ms=max(proposed.born_ms, registered.born_ms),
                seq=proposed.seq,
                may_return=proposed.may_return,
            )
    _store_instance(machine, index, proposed._replace(since_ms=now_ms))


def _end_at_address(
    machine: StateMachine,
    index: int,
    proposed: instances.Instance,
    now_ms: int,
) -> None:
    """End the runners at the address of a newly registered one."""
    for other in list(machine.other_instances(proposed)):
        if other.address == proposed.address and not incarnations.has_ended(
            other
        ):
            ended = other._replace(
                state=instances.LEFT, since_ms=now_ms, may_return=True
            )
            _store_instance(machine, index, ended)


def _set_hall(
    machine: StateMachine, index: int, command: commands.SetHall
) -> halls.HallState:
    """Take a hall out of service or back, if it is at the revision.

    If the hall already is in the requested state, nothing changes.

    :raises HallChanged: the hall was changed since that revision.
    """
    current = machine.halls.get(
        command.hall, halls.default_state(command.hall)
    )
    if current.is_out == command.is_out:
        return current
    if current.revision != command.revision:
        raise errors.HallChanged(
            f'at revision {current.revision}, not {command.revision}'
        )
    state = halls.HallState(command.hall, command.is_out, index, command.at_s)
    machine.halls[command.hall] = state
    key = views.HALL_PREFIX + command.hall
    machine.view.set(index, key, views.pack(state))
    if not command.is_out:
        _mark_cold(machine, index, command.hall)
    return state


def _mark_cold(machine: StateMachine, index: int, hall: str) -> None:
    """Consider the runners of a hall cold until their next heartbeat.

    They may have restarted while no requests were sent to them.
    """
    for instance in list(machine.instances.values()):
        if instance.hall == hall and not incarnations.has_ended(instance):
            cold = instance._replace(is_cold=True)
            _store_instance(machine, index, cold)


def _quarantine_request(
    machine: StateMachine, index: int, command: commands.QuarantineRequest
) -> quarantines.QuarantinedRequest:
    """Quarantine a request; the oldest ones are removed above the limit."""
    current = machine.quarantine.get(command.digest)
    if current is not None and current.is_held:
        return current
    before = current or quarantines.QuarantinedRequest(
        command.digest, False, 0, 0, 0.0
    )
    entry = quarantines.QuarantinedRequest(
        command.digest,
        True,
        before.crashes + command.crashes,
        before.holds + 1,
        command.at_s,
    )
    _store_quarantined(machine, index, entry)
    while len(machine.quarantine) > MAX_QUARANTINED:
        _remove_quarantined(machine, index, next(iter(machine.quarantine)))
    return entry


def _release_request(
    machine: StateMachine, index: int, command: commands.ReleaseRequest
) -> quarantines.QuarantinedRequest | None:
    """Release a request for a probe, or remove it from the quarantine."""
    current = machine.quarantine.get(command.digest)
    if current is None or not command.is_probe:
        _remove_quarantined(machine, index, command.digest)
        return None
    released = current._replace(is_held=False, since_s=command.at_s)
    _store_quarantined(machine, index, released)
    return released


def _store_quarantined(
    machine: StateMachine, index: int, entry: quarantines.QuarantinedRequest
) -> None:
    machine.quarantine.pop(entry.digest, None)
    machine.quarantine[entry.digest] = entry
    key = views.QUARANTINE_PREFIX + entry.digest.hex()
    machine.view.set(index, key, views.pack(entry))


def _remove_quarantined(
    machine: StateMachine, index: int, digest: bytes
) -> None:
    if machine.quarantine.pop(digest, None) is not None:
        key = views.QUARANTINE_PREFIX + digest.hex()
        machine.view.set(index, key, None)


def _next_version(
    machine: StateMachine, index: int, command: commands.NextVersion
) -> int:
    """Return the index of the entry, which no other entry has."""
    return index


def _store_instance(
    machine: StateMachine, index: int, instance: instances.Instance
) -> None:
    """Store a registration; only the newest ended ones are kept."""
    key = views.INSTANCE_PREFIX + instance.instance_id
    machine.instances.pop(instance.instance_id, None)
    machine.instances[instance.instance_id] = instance
    machine.view.set(index, key, views.pack(instance))
    ended = [
        each
        for each in machine.instances.values()
        if each.state == instances.LEFT
    ]
    for oldest in ended[:-MAX_ENDED]:
        del machine.instances[oldest.instance_id]
        key = views.INSTANCE_PREFIX + oldest.instance_id
        machine.view.set(index, key, None)


_APPLY: dict[type, typing.Callable] = {
    commands.PutTable: _put_table,
    commands.SetMember: _set_member,
    commands.OpenClaim: _open_claim,
    commands.CloseClaim: _close_claim,
    commands.ExpireClaims: _expire_claims,
    commands.PutRoutes: _put_routes,
    commands.SetInstance: _set_instance,
    commands.NextVersion: _next_version,
    commands.SetHall: _set_hall,
    commands.QuarantineRequest: _quarantine_request,
    commands.ReleaseRequest: _release_request,
}


def refusal(problem: errors.MountridgeError) -> messages.Failure:
    """Return the reply to a command that the state machine refused."""
    return messages.Failure(problem.code, str(problem), '')
