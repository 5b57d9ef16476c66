# SPDX-License-Identifier: Apache-2.0

"""Takes out one mechanism at a time and shows which scenarios notice.

``make mutants`` copies the tree, changes one place, and runs the features
named. A mutant that lives means that a proof can't fail: it is a finding.
"""

from concurrent import futures
import pathlib
import re
import shutil
import subprocess
import sys
import tempfile
import typing

ROOT = pathlib.Path(__file__).parent.parent
TIMEOUT_S = 400


class Mutant(typing.NamedTuple):
    """One mechanism taken out: ``old`` becomes ``new`` in a module."""

    name: str
    module: str
    old: str
    new: str
    feature: str
    scenarios: str = ''  # only those whose name matches


MUTANTS = (
    Mutant(
        'a second vote in a term', 'elections',
        "node.voted_for in ('', sender)", 'True', 'consensus',
    ),
    Mutant(
        'votes while a leader is heard', 'elections',
        'if not message.leadership_transfer and not _no_active_lease('
        'node, now_s):',
        'if False:',
        'consensus',
    ),
    Mutant(
        'a leader says that it does not lead', 'elections',
        """    if node.role == LEADER:
        return []
    effects: list[Effect] = [Send(sender, NotLeading""",
        """    effects: list[Effect] = [Send(sender, NotLeading""",
        'consensus',
    ),
    Mutant(
        'an answer to an earlier start counts', 'elections',
        'message.start_id != node.start_id\n        or sender not in',
        'sender not in', 'consensus',
    ),
    Mutant(
        'a vote before the leader has said that it does not lead',
        'elections', 'and node.possible_leaders_known\n        and not '
        'node.possible_leaders\n', 'and node.possible_leaders_known\n',
        'consensus',
    ),
    Mutant(
        'a vote where nothing tells who led', 'elections',
        'node.possible_leaders_known = node.term == node.log.last_term',
        'node.possible_leaders_known = True', 'consensus',
    ),
    Mutant(
        'who led is guessed behind a snapshot', 'elections',
        'return {leader_id} if leader_id else log.all_voters()',
        'return {leader_id} if leader_id else set()', 'consensus',
    ),
    Mutant(
        'one that starts anew does not ask who leads', 'elections',
        'return [Send(voter, query) for voter in '
        'sorted(node.possible_leaders)]',
        'return []', 'consensus',
    ),
    Mutant(
        'a box speaks for the identities of others', 'replicas',
        "message.to.partition('.')[0] == self.app.name", 'True', 'consensus',
        'replies for',
    ),
    Mutant(
        'votes for a shorter log', 'elections',
        'return candidate_log >= (node.log.last_term, node.log.last_index)',
        'return True', 'consensus',
    ),
    Mutant(
        'a vote at once after a restart', 'elections',
        'node.possible_leaders = _possible_leaders(node.log) - {node.node_id}',
        'node.possible_leaders = set()',
        'consensus',
    ),
    Mutant(
        'commitment without a quorum', 'replication',
        'index = min(matches[node.quorum() - 1], node.log.last_index)',
        'index = min(matches[0], node.log.last_index)', 'consensus',
    ),
    Mutant(
        'commitment of earlier terms', 'replication',
        'if index <= node.commit_index or node.log.term_at(index) != '
        'node.term:',
        'if index <= node.commit_index:', 'consensus',
    ),
    Mutant(
        'the leader counts what it has not synced', 'replication',
        'node.synced_index\n            if voter == node.node_id',
        'node.log.last_index\n            if voter == node.node_id',
        'consensus',
    ),
    Mutant(
        'a follower answers before its sync', 'replication',
        'return effects + [Send(sender, answer)]\n\n\ndef _match_log',
        'return effects + [Send(sender, answer, before_sync=True)]\n\n\n'
        'def _match_log',
        'consensus',
    ),
    Mutant(
        'the lease goes on during a hand-over', 'replication',
        'if node.role != LEADER or node.transfer_target:',
        'if node.role != LEADER:', 'consensus', 'transfer',
    ),
    Mutant(
        'the lease does not end', 'replication',
        'return now_s < quorum_ack_time(node, now_s) + span_s', 'return True',
        'consensus',
    ),
    Mutant(
        'reads that no quorum confirms', 'replication',
        '        if requested_s <= confirmed_s\n', '', 'consensus',
    ),
    Mutant(
        'check-quorum before the first answers', 'replication',
        'contact_s = max(node.leader_since_s, quorum_ack_time(node, now_s))',
        'contact_s = quorum_ack_time(node, now_s)', 'consensus',
    ),
    Mutant(
        'a voter with no learner stage', 'replication',
        'if behind > MAX_LEARNER_LAG:', 'if False:', 'consensus',
    ),
    Mutant(
        'two voters changed at once', 'consensus',
        'if len(before ^ after) > 1:', 'if False:', 'consensus', 'refused',
    ),
    Mutant(
        'no sync of the journal', 'storage',
        'os.fdatasync(self._journal.fileno())', 'pass', 'storage',
    ),
    Mutant(
        'no checksum', 'storage',
        'return body if zlib.crc32(body) == checksum else None',
        'return body', 'storage',
    ),
    Mutant(
        'damage cut like a torn tail', 'storage',
        'if _decode_frame_at(data, next_magic) is not None:', 'if False:',
        'storage',
    ),
    Mutant(
        'writes after a failed one', 'storage',
        '        self._failed = True\n        return errors.',
        '        return errors.', 'storage',
    ),
    Mutant(
        'half a frame left on a full disk', 'storage',
        '            self._journal.truncate(self._valid_bytes)\n'
        '            self._journal.seek(self._valid_bytes)\n        except',
        '            pass\n        except', 'storage',
    ),
    Mutant(
        'a full disk that is final', 'storage',
        'if problem.errno in DISK_FULL_ERRNOS:', 'if False:', 'storage',
    ),
    Mutant(
        'a full disk that ends the process', 'replicas',
        'except errors.DiskFull as problem:\n                if not is_full:',
        'except errors.DiskFull as problem:\n                raise\n'
        '                if not is_full:', 'processes', 'full disk',
    ),
    Mutant(
        'a file in place before its sync', 'storage',
        '            out.flush()\n            os.fsync(out.fileno())\n',
        '            out.flush()\n', 'storage',
    ),
    Mutant(
        'tickets for an earlier incarnation', 'tickets',
        'if ticket.incarnation != self.incarnation:', 'if False:',
        'rules',
    ),
    Mutant(
        'a ticket accepted twice', 'tickets',
        'if ticket.attempt_id in self._states:', 'if False:', 'requests',
        'Ticket',
    ),
    Mutant(
        'a ticket of any age', 'tickets',
        'if now_s - ticket.sent_s > MAX_AGE_S:', 'if False:', 'rules',
    ),
    Mutant(
        'a revocation that bars nothing', 'tickets',
        '            self.end(attempt_id, state, now_s)\n        return state',
        '        return state', 'requests', 'Ticket|revo',
    ),
    Mutant(
        'a claim granted to each asker', 'claims',
        'return _reply(found, granted and not found.outcome)',
        'return _reply(found, True)', 'requests', 'At most once',
    ),
    Mutant(
        'no claim at all', 'dispatching',
        'if exchange.key:\n            claimed',
        'if False:\n            claimed', 'requests', 'At most once',
    ),
    Mutant(
        'claims forgotten while their keys are good', 'claims',
        'if key_s < self.floor_s:', 'if False:', 'rules',
    ),
    Mutant(
        'not run said of what is unknown', 'errors',
        'status = 502\n    outcome = UNKNOWN',
        'status = 502\n    outcome = NOT_RUN', 'requests',
    ),
    Mutant(
        'cut answers kept as whole', 'agent',
        'succeeded = attempt.last is not None and not attempt.last.code',
        'succeeded = True', 'requests', 'not stored as',
    ),
    Mutant(
        'answers too large kept as empty', 'statemachine',
        "answer=b'', status=0)", "answer=b'')", 'requests', 'too large',
    ),
    Mutant(
        'frames of any place', 'attempts',
        'if self.ended or frame.position != self.position:',
        'if self.ended:', 'rules',
    ),
    Mutant(
        'a cut passed off as an end', 'attempts',
        '        if self.problem:\n            raise self.problem\n', '',
        'requests', 'Complete|not run',
    ),
    Mutant(
        'losses that no one counts', 'links',
        'frames = load.frames_seq > expected', 'frames = False',
        'requests', 'Complete',
    ),
    Mutant(
        'lost tickets that no one counts', 'links',
        'if now_s - sent_s > TICKET_TIMEOUT_S', 'if False', 'requests',
        'Complete',
    ),
    Mutant(
        'work of a vanished caller goes on', 'dispatching',
        'if cancel and found:', 'if False:', 'operations', 'vanished',
    ),
    Mutant(
        'puts with no base version', 'statemachine',
        'if command.base_version != machine.version:', 'if False:',
        'configuration', 'two puts',
    ),
    Mutant(
        'puts with no operation id', 'statemachine',
        '    if known is not None:\n        return known\n', '',
        'configuration',
    ),
    Mutant(
        'views that go back', 'views',
        'if index < self.index:', 'if False:', 'rules',
    ),
    Mutant(
        'grants of an earlier leader taken', 'leases',
        'if grant.fence < self.fence:', 'if False:', 'rules',
    ),
    Mutant(
        'a lease from the answer on', 'leases',
        'self.until_s = max(self.until_s, sent_s + grant.lease_s)',
        'self.until_s = max(self.until_s, sent_s + 2 * grant.lease_s)',
        'configuration',
    ),
    Mutant(
        'in force without waiting for leases', 'leases',
        'if granted.until_s > now_s\n        ]\n        return min',
        'if False\n        ]\n        return min', 'configuration',
    ),
    Mutant(
        'a new leader that does not wait', 'leases',
        'if now_s < self.quiet_until_s:\n            return 0',
        'if False:\n            return 0', 'configuration',
    ),
    Mutant(
        'gateways with no lease', 'filters',
        'if not lease.is_valid(now_s):', 'if False:', 'configuration',
    ),
    Mutant(
        'agents with no lease', 'agent',
        'if not self.lease.is_valid(now_s):', 'if False:', 'operations',
        'receives nothing from controllers',
    ),
    Mutant(
        'an agent that takes work while it leaves', 'agent',
        '        if self.draining:\n            raise errors.Draining()\n',
        '', 'operations', 'agent that drains|planned stop',
    ),
    Mutant(
        'no wait for kept addresses', 'gateway',
        "await trio.sleep(self.settings['address_ttl_s'])", 'pass',
        'operations', 'planned stop of a gateway',
    ),
    Mutant(
        'no slots kept for pings', 'queues',
        'reserved = 0 if priority == 0 else self.reserved', 'reserved = 0',
        'rules',
    ),
    Mutant(
        'no classes', 'queues',
        'for priority in sorted(self._heaps):',
        'for priority in sorted(self._heaps, reverse=True):',
        'rules',
    ),
    Mutant(
        'one queue for all teams', 'queues',
        'self._finish_tags.get((priority, team), 0.0),', '0.0,',
        'operations', 'large team',
    ),
    Mutant(
        'shares granted twice', 'limits',
        'free = row.concurrency - sum(share.concurrency for share in used)',
        'free = row.concurrency', 'operations', 'sum over',
    ),
    Mutant(
        'a new leader grants at once', 'limits',
        'if now_s < self._quiet_until_s:', 'if False:', 'rules',
    ),
    Mutant(
        'shares of lapsed gateways are free', 'limits',
        'free -= self._still_running(key, now_s)', 'pass', 'rules',
    ),
    Mutant(
        'retries with no budget', 'retries',
        'if any(self._balances.get(key, INITIAL_BALANCE) < 1 '
        'for key in keys):',
        'if False:', 'operations', 'Retries',
    ),
    Mutant(
        'no ejection', 'runners',
        'now_s < state.ejected_until_s or slowness > MAX_SLOWNESS', 'False',
        'rules',
    ),
    Mutant(
        'no arm phase', 'gates',
        'if state.opened and step >= state.open_step:', 'if False:', 'maps',
        '',
    ),
    Mutant(
        'older orders taken by a gate', 'gates',
        'if fence < self.fence:', 'if False:', 'maps',
    ),
    Mutant(
        'arming too late', 'gates',
        'if self.entered >= state.open_step:', 'if False:', 'maps',
    ),
    Mutant(
        'only the newest map known', 'gates',
        'versions = [v for first, v in state.history if first <= step]',
        'versions = [state.history[-1][1]]', 'maps',
    ),
    Mutant(
        'moves at any cost', 'maps',
        'if best is None or best[0] * weights.skew * HORIZON_S <= cost:',
        'if best is None:', 'maps', 'A plan',
    ),
    Mutant(
        'entry: go before all are armed', 'mapchanges',
        'return Phase.ARMING if self._unarmed else Phase.STARTING',
        'return Phase.STARTING', 'entry', 'One map',
    ),
    Mutant(
        'entry: arm with no pass held', 'mapchanges',
        'if not self._holding and self._unarmed:',
        'if self.change.step == ranks.NO_VERSION:', 'entry', 'One map',
    ),
    Mutant(
        'entry: hold before all have prepared', 'mapchanges',
        'if self.change.step == ranks.NO_VERSION and self._unprepared:',
        'if self.change.step == ranks.NO_VERSION and HOLD_RANK in '
        'self._unprepared:', 'entry', 'One map',
    ),
    Mutant(
        'entry: a held pass is not taken up', 'mapchanges',
        'if not held:', 'if True:', 'entry', 'One map',
    ),
    Mutant(
        'maps: orders wait for reports', 'groups',
        'self.app.send(contact.route, pushed)', 'pass', 'entry',
        'as soon as',
    ),
    Mutant(
        'entry: the seeds are told nothing', 'formation',
        'for address in self.leader.seeds:', 'for address in ():', 'entry',
        'loss of power',
    ),
    Mutant(
        'entry: answers only to known addresses', 'replicas',
        'address = address or self._reply_addresses.get(effect.to)', '',
        'entry', 'lost disk',
    ),
    Mutant(
        'entry: a lower version of routes', 'statemachine',
        'if command.version > machine.routes_version:', 'if True:', 'entry',
        'highest version',
    ),
    Mutant(
        'entry: late heartbeats count', 'lives',
        'if received.seq < known.seq:', 'if False:',
        'entry', 'delayed heartbeat',
    ),
    Mutant(
        'entry: left runners come back', 'lives',
        'if has_ended(known) and not known.may_return:\n'
        '        return Refusal',
        'if False:\n        return Refusal', 'entry', 'runner that left',
    ),
    Mutant(
        'entry: the whole slack for each gateway', 'budgets',
        'slack = self._slack / max(1, gateways)', 'slack = self._slack',
        'entry', 'budget',
    ),
    Mutant(
        'entry: hung connections are waited for', 'sockets',
        'socket.setsockopt(zmq.CONNECT_TIMEOUT, CONNECT_MS)', '', 'entry',
        'SYN packet',
    ),
    Mutant(
        'entry: silence lasts though one is heard', 'members',
        '                self._unresponsive_until_s.pop(address, None)',
        '                pass', 'entry',
        'responds again',
    ),
    Mutant(
        'placing: others send nothing', 'backends',
        'return own_per_s * unreported_s * max(0, gateways - 1)',
        'return 0.0', 'placement',
    ),
    Mutant(
        'placing: no part of its own', 'backends',
        'if self.report_interval_s <= FREQUENT_REPORT_S:', 'if True:',
        'placement', 'infrequent',
    ),
    Mutant(
        'placing: parts of all halls', 'backends',
        'if backend.instance.hall == hall', 'if True', 'placement',
        'Preferred subsets',
    ),
    Mutant(
        'maps: a map is sent whole each time', 'groups',
        'base = known if known in group.maps else ranks.NO_VERSION',
        'base = ranks.NO_VERSION', 'manyranks', '',
    ),
    Mutant(
        'maps: all ranks tell choices', 'rankgroups',
        'return rank % math.ceil(max(1, self.size) / MOST_COUNTING) == 0',
        'return True', 'manyranks',
    ),
    Mutant(
        'maps: each report looks at all ranks', 'rankgroups',
        'if now_s < self._complete_until_s:', 'if False:', 'manyranks',
        'checks all of them only',
    ),
    Mutant(
        'maps: shifts during a search forgotten', 'mapplanning',
        'if group.epoch != state.epoch or has_step or group.has_held_pass:',
        'group.outdated = False\n'
        '        if group.epoch != state.epoch or has_step or '
        'group.has_held_pass:',
        'manyranks', 'shift of demand during',
    ),
    Mutant(
        'maps: no rest after a search in vain', 'mapplanning',
        'group.next_plan_s = self.app.now_s() + FUTILE_S', 'pass',
        'manyranks', 'Searches that find no',
    ),
    Mutant(
        'maps: a cut map is taken', 'mapdeltas',
        'if len(data) != size or not stream.eof:', 'if False:', 'manyranks',
        'refused',
    ),
    Mutant(
        'maps: least gain of a copy whatever the ranks', 'mapplans',
        'MIN_COPY_GAIN / len(slowdowns),', 'MIN_COPY_GAIN / 12,', 'mapplans',
        'is balanced',
    ),
    Mutant(
        'placing: slow runners like others', 'backends',
        '[b for b in healthy if b.slowdown < AVOID_SLOWDOWN] or healthy',
        'healthy',
        'mapplans', 'slow runner',
    ),
    Mutant(
        'maps: slow ranks keep their experts', 'mapplans',
        '_relieve(by_rank, set_load, slow, parameters, total_copies)',
        'by_rank', 'mapplans',
    ),
    Mutant(
        'maps: a slow rank relieved by some, not by all alike', 'mapplans',
        'if total_copies[r] == fewest]', ']', 'mapplans',
    ),
    Mutant(
        'maps: copies bounded by set alone', 'mapplans',
        'if self.copy_s <= 0:', 'if True:', 'mapplans',
    ),
    Mutant(
        'demand: shifts not told', 'demand',
        '        if distance > max(\n            MIN_SHIFT_DISTANCE, '
        'SHIFT_RATIO * self._usual_distance\n        ):',
        '        if False:', 'demand',
    ),
    Mutant(
        'demand: counts of before a shift kept', 'demand',
        'if self.is_shifting or not self.mean:',
        'if not self.mean:', 'demand',
    ),
    Mutant(
        'demand: forgotten with the epoch', 'rankgroups',
        '        self.progress = None\n        self._passes.clear()',
        '        self.progress = None\n        self._passes.clear()\n'
        '        self.demand = demand.Demand()', 'demand',
    ),
    Mutant(
        'maps: a change gives way after a hold', 'rankgroups',
        'return self.outdated and not has_step and',
        'return self.outdated and',
        'demand',
    ),
    Mutant(
        'last hop: abandoned requests left to be read', 'lasthop',
        'connection.reset_on_close()', 'pass', 'forwarding',
        'A caller that disconnects',
    ),
    Mutant(
        'routes: tries that met another runner count', 'forwarding',
        'exchange.misdirected_attempts += 1', 'pass', 'forwarding',
        'do not use up',
    ),
    Mutant(
        'routes: no wait for a first runner', 'picking',
        'while picked is None and self._is_worth_waiting(exchange, until_s):',
        'while False:', 'forwarding', 'before any runner',
    ),
    Mutant(
        'maps: experts of a plan told anew', 'mapplans',
        '        weights,\n        placement,\n', '        weights,\n',
        'mapplans',
    ),
    Mutant(
        'maps: the held box holds', 'groups',
        'if not self.send_remote_order(remote):', 'if True:', 'entry',
        'Whoever is lost',
    ),
    Mutant(
        'maps: nobody stands in for a sidecar', 'groups',
        'if rank in group.unresponsive:',
        'if False:', 'entry', 'Whoever is lost',
    ),
    Mutant(
        'maps: a late report of an old epoch is a contact', 'groups',
        'if state.epoch == group.epoch:', 'if True:', 'manyranks',
    ),
    Mutant(
        'forwarding: streams stay at a slow runner', 'forwarding',
        'if backend.slowdown < backends.MIGRATE_SLOWDOWN:', 'if True:',
        'forwarding', 'becomes',
    ),
    Mutant(
        'forwarding: streams leave at any pace', 'forwarding',
        'if backend.slowdown < backends.MIGRATE_SLOWDOWN:', 'if False:',
        'forwarding', 'becomes',
    ),
    Mutant(
        'forwarding: no wait for the first routes', 'forwarding',
        'with trio.move_on_after(ROUTES_WAIT_S):',
        'with trio.move_on_after(0):', 'forwarding', 'has no routes',
    ),
    Mutant(
        'picking: a closed group is not waited for', 'picking',
        'and closed_for_s < groupstates.MAX_CLOSED_WAIT_S', 'and False',
        'forwarding', 'closed',
    ),
    Mutant(
        'picking: a group without hope is waited for', 'picking',
        'and closed_for_s < groupstates.MAX_CLOSED_WAIT_S', '', 'forwarding',
        'closed',
    ),
    Mutant(
        'picking: all requests find out about a view', 'picking',
        'return self.has_ranks(service) and self.known.is_probing(service)',
        'return False', 'closedgroups',
    ),
    Mutant(
        'closures: a refusal closes one rank alone', 'backends',
        'if other.group == backend.group', 'if other is backend',
        'closedgroups',
    ),
    Mutant(
        'closures: a full rank closes its group', 'backends',
        'if is_full and not backend.replaced:', 'if False:', 'closedgroups',
    ),
    Mutant(
        'closures: who was refused tries again blindly', 'groupstates',
        'return was_refused or now_s - self._refused_s < REFUSAL_VALID_S',
        'return now_s - self._refused_s < REFUSAL_VALID_S', 'closedgroups',
    ),
    Mutant(
        'forwarding: no 421 is understood', 'forwarding',
        'if head.status == MISDIRECTED:', 'if False:', 'forwarding',
    ),
    Mutant(
        'rests: none is heard', 'forwarding',
        'if head.backoff_s is not None:', 'if False:', 'rests',
    ),
    Mutant(
        'rests: no word of leaving is heard', 'forwarding',
        'if head.is_leaving and self.known.backoffs.mark_leaving(runner):',
        'if False:', 'rests',
    ),
    Mutant(
        'rests: a word is of the id, not of the life', 'backoffs',
        'return runner.instance_id, runner.lives, runner.born_ms',
        'return runner.instance_id, 0, 0', 'rests',
    ),
    Mutant(
        'rests: what was placed before is sent all the same', 'forwarding',
        'if not self.known.backoffs.may_send(backend.instance, now_s):',
        'if False:', 'rests',
    ),
    Mutant(
        'rests: what was not sent uses up a try', 'forwarding',
        'exchange.unsent_attempts += is_unsent', 'pass', 'rests',
    ),
    Mutant(
        'rests: all come at once when one is over', 'backoffstates',
        'return self.may_send(now_s) and not self.is_probing',
        'return self.may_send(now_s)', 'rests',
    ),
    Mutant(
        'rests: a runner that takes requests again stays in doubt',
        'backends',
        'if self.backoffs.record_accepted(backend.instance, now_s):',
        'if False:', 'rests',
    ),
    Mutant(
        'rests: one closes its group', 'forwarding',
        'self.picker.has_ranks(exchange.service) and not is_backoff',
        'self.picker.has_ranks(exchange.service)', 'rests',
    ),
    Mutant(
        'rests: second tries go to idle runners too', 'backends',
        'fit = [b for b in fit if self._is_working(b)] or fit', 'pass',
        'rests',
    ),
    Mutant(
        'rests: the end of one is not waited for', 'picking',
        'if end_s is not None and end_s <= until_s:', 'if False:', 'rests',
    ),
    Mutant(
        'rests: hopeless requests wait', 'picking',
        'if end_s is not None and end_s <= until_s:',
        'if end_s is not None:', 'rests',
    ),
    Mutant(
        'rests: an agent hears none', 'agent',
        'if head.backoff_s is not None:', 'if False:', 'rests', 'agent',
    ),
    Mutant(
        'rests: an agent takes tickets in one', 'agent',
        'if not self.backoff_state.may_send(now_s):', 'if False:', 'rests',
        'agent',
    ),
    Mutant(
        'rests: what waits at an agent waits on', 'agent',
        'for item in self.queue.pop_expired(math.inf):',
        'for item in self.queue.pop_expired(now_s):', 'rests', 'agent',
    ),
    Mutant(
        'rests: an agent hears no word of leaving', 'agent',
        'elif head.is_leaving:', 'elif False:', 'rests', 'agent',
    ),
    Mutant(
        'rests: a refusal is an answer to the caller', 'agent',
        """        if head.not_run:
            raise errors.RunnerRefused""",
        """        if False:
            raise errors.RunnerRefused""", 'rests', 'agent',
    ),
    Mutant(
        'clocks: time that was slept does not count', 'clocks',
        'now_s = self._real()', 'now_s = self._steady()', 'suspension',
    ),
    Mutant(
        'clocks: each look tells the same gap', 'clocks',
        'self._offset_s += gap_s', 'pass', 'suspension',
    ),
    Mutant(
        'clocks: a late reading sets them apart', 'clocks',
        'if gap_s > MIN_SUSPENSION_S:',
        'if abs(gap_s) > MIN_SUSPENSION_S:', 'suspension',
    ),
    Mutant(
        'clocks: requests past their time go on', 'forwarding',
        'if until_s <= now_s:', 'if False:', 'suspension',
    ),
    Mutant(
        'clocks: what woke late is sent', 'forwarding',
        'if now_s >= until_s:', 'if False:', 'suspension',
    ),
    Mutant(
        'quarantine: nothing is held back', 'routefilters',
        'if known.is_quarantined(digest, now_s):', 'if False:', 'quarantine',
    ),
    Mutant(
        'quarantine: no crash is counted', 'crashwatch',
        'self._quarantine.record_crash(digest, runner, now_s)', 'pass',
        'quarantine',
    ),
    Mutant(
        'quarantine: each broken connection is a crash', 'crashwatch',
        'if not await pool.refuses_connections(runner.address):', 'if False:',
        'quarantine',
    ),
    Mutant(
        'quarantine: a suspect does not wait for the leader', 'crashwatch',
        'await self.on_crash()', 'self.on_crash().close()', 'quarantine',
    ),
    Mutant(
        'quarantine: the own count does not hold', 'quarantine',
        'return len(recent) >= quarantines.CRASH_THRESHOLD', 'return False',
        'quarantine',
    ),
    Mutant(
        'quarantine: a crash that is told again counts again', 'quarantines',
        'return self.instance_id, self.lives, self.born_ms',
        'return self.instance_id, self.lives, self.age_s', 'quarantine',
    ),
    Mutant(
        'quarantine: streams that have run on are suspects', 'crashwatch',
        'exchange.is_suspect = exchange.events_sent == exchange.events_before',
        'exchange.is_suspect = True', 'quarantine',
    ),
    Mutant(
        'rests: one rest is remembered for ever', 'backoffs',
        'now_s < state.until_s + UNCONFIRMED_S', 'True', 'rests',
    ),
    Mutant(
        'quarantine: suspects are told for as long as they count',
        'quarantine', 'if now_s - at_s < REPORT_FOR_S', 'if True',
        'quarantine',
    ),
    Mutant(
        'quarantine: a good end is not told', 'entry',
        'self.forwarder.crashes.on_success = self.crash_reporter.wake', 'pass',
        'quarantine',
    ),
    Mutant(
        'quarantine: what ended well stays on trial', 'quarantinemanager',
        'elif known is not None and (seen or not known.is_held):',
        'elif known is not None and seen:', 'quarantine',
    ),
    Mutant(
        'quarantine: a trial that crashes takes two', 'quarantinemanager',
        'threshold = 1 if is_probing else quarantines.CRASH_THRESHOLD',
        'threshold = quarantines.CRASH_THRESHOLD', 'quarantine',
    ),
    Mutant(
        'quarantine: nothing is ever tried again', 'quarantinemanager',
        'if now_s - since_s >= duration_s:', 'if False:', 'quarantine',
    ),
    Mutant(
        'quarantine: a good end elsewhere clears nothing', 'quarantine',
        'self._unreported[digest] = self._success_at_s[digest]', 'pass',
        'quarantine',
    ),
    Mutant(
        'quarantine: the caller is not part of a request', 'quarantines',
        'for part in (method, target, caller):',
        'for part in (method, target):', 'quarantine',
    ),
    Mutant(
        'quarantine: what is held is lost with a snapshot', 'statemachine',
        'self.quarantine = {each.digest: each for each in listed}', 'pass',
        'quarantine',
    ),
    Mutant(
        'quarantine: the view of it is not followed', 'entry',
        '        self._update_quarantine()\n', '', 'quarantine',
    ),
    Mutant(
        'last hop: how long connections are kept is not heard', 'lasthop',
        'if announced_s is not None:', 'if False:',
        'lives', 'idle connections',
    ),
    Mutant(
        'forwarding: what ran is called not run', 'forwarding',
        'if exchange.may_have_run and problem.outcome == errors.NOT_RUN:',
        'if False:', 'forwarding',
    ),
    Mutant(
        'lives: an older start is a new life', 'lives',
        'is_newer = received.born_ms > known.born_ms',
        'is_newer = True', 'lives',
    ),
    Mutant(
        'lives: a newer start is an old life', 'lives',
        'is_newer = received.born_ms > known.born_ms',
        'is_newer = False', 'lives',
    ),
    Mutant(
        'lives: late counts count', 'lives',
        'if received.seq < known.seq:',
        'if False:', 'lives',
    ),
    Mutant(
        'lives: the log forgets counts', 'registry',
        'reported = heartbeat.instance._replace(seq=heartbeat.seq)',
        'reported = heartbeat.instance', 'lives',
    ),
    Mutant(
        'lives: one life moves', 'lives',
        'if place != (known.service, known.address, known.hall):',
        'if False:', 'lives',
    ),
    Mutant(
        'lives: no start goes before a told one', 'lives',
        'return Order.BACK if known.may_return else Refusal.NO_START',
        'return Order.BACK', 'lives',
    ),
    Mutant(
        'lives: a start from before the leave', 'lives',
        'if not has_ended(known) or received.born_ms > known.since_ms:',
        'if True:', 'lives',
    ),
    Mutant(
        'lives: an earlier start takes an address', 'lives',
        'return other.born_ms < received.born_ms',
        'return True', 'lives',
    ),
    Mutant(
        'lives: a later runner that left is forgotten', 'lives',
        'if other.born_ms and received.born_ms:',
        'if other.born_ms and received.born_ms and not has_ended(other):',
        'lives',
    ),
    Mutant(
        'lives: who is back takes its address', 'lives',
        'return order is Order.NEWER and not other.born_ms',
        'return not other.born_ms', 'lives',
    ),
    Mutant(
        'lives: no start takes an address', 'lives',
        'return order is Order.NEWER and not other.born_ms',
        'return order is Order.NEWER', 'lives',
    ),
    Mutant(
        'lives: a leave of a former life ends the new one', 'lives',
        'return Refusal.OLDER_LIFE if born_ms < known.born_ms else None',
        'return None', 'lives',
    ),
    Mutant(
        'lives: a leave from an old view ends the new life', 'lives',
        'if lives and lives < known.lives:',
        'if False:', 'lives',
    ),
    Mutant(
        'lives: a leave right after a restart ends it', 'lives',
        'if is_fresh and known.state == instances.READY:',
        'if False:', 'lives',
    ),
    Mutant(
        'lives: who drains can not leave', 'lives',
        'if is_fresh and known.state == instances.READY:',
        'if is_fresh:', 'lives',
    ),
    Mutant(
        'lives: a first life can not leave', 'lives',
        'is_fresh = known.lives > 1 and',
        'is_fresh =', 'lives',
    ),
    Mutant(
        'lives: silence is for good', 'registry',
        'state=instances.LEFT, seq=0, may_return=True',
        'state=instances.LEFT, seq=0', 'lives',
    ),
    Mutant(
        'lives: counts outlive silence', 'registry',
        'state=instances.LEFT, seq=0, may_return=True',
        'state=instances.LEFT, may_return=True', 'lives',
    ),
    Mutant(
        'lives: replaced is for good', 'statemachine',
        'state=instances.LEFT, since_ms=now_ms, may_return=True',
        'state=instances.LEFT, since_ms=now_ms', 'lives',
    ),
    Mutant(
        'lives: a second leave is lost', 'statemachine',
        'if is_final and proposed.born_ms <= known.born_ms:',
        'if is_final:', 'lives',
    ),
    Mutant(
        'lives: the log takes old words', 'statemachine',
        'if isinstance(order, lives.Refusal):',
        'if False:', 'lives',
    ),
    Mutant(
        'lives: the log takes old leaves', 'statemachine',
        'if proposed.lives not in (0, known.lives):',
        'if False:', 'lives',
    ),
    Mutant(
        'lives: a leave made on nothing held ends a later start',
        'statemachine',
        'if proposed.born_ms and proposed.born_ms < known.born_ms:',
        'if False:', 'lives', 'before any registration',
    ),
    Mutant(
        'warmup: a part goes with a runner to another hall', 'warmup',
        'return runner.instance_id, runner.service, runner.hall',
        "return runner.instance_id, '', ''", 'warmup', 'another hall',
    ),
    Mutant(
        'warmup: a first owner in a hall without gateways', 'warmup',
        '    if not local:\n', '    if False:\n', 'warmup',
        'without gateways',
    ),
    Mutant(
        'lives: a start in the future', 'registry',
        'if reported.born_ms > (self.app.wall_s() + MAX_CLOCK_SKEW_S) * 1000:',
        'if False:', 'lives',
    ),
    Mutant(
        'lives: any service is registered', 'registry',
        'if not is_registered and not self.service_exists(reported.service):',
        'if False:', 'lives',
    ),
    Mutant(
        'lives: who is named no more can not drain', 'registry',
        'if not is_registered and not self.service_exists(reported.service):',
        'if not self.service_exists(reported.service):', 'lives',
    ),
    Mutant(
        'lives: any hall is registered', 'registry',
        'if halls and reported.hall not in halls:',
        'if False:', 'lives',
    ),
    Mutant(
        'lives: a gateway keeps a former life', 'backends',
        'if backend is None or not backend.is_same_incarnation(instance):',
        'if backend is None:', 'lives',
    ),
    Mutant(
        'lives: late answers close a new life', 'backends',
        'return self.by_id.get(backend.instance.instance_id) is backend',
        'return True', 'lives',
    ),
    Mutant(
        'lives: connections to a former life are kept', 'backends',
        'return sorted((before - after) | (before & ended))',
        'return sorted(before - after)', 'lives',
    ),
    Mutant(
        'lives: connections in use are kept', 'lasthop',
        'is_current = connection.opened_s > evicted_s',
        'is_current = True', 'lives',
    ),
    Mutant(
        'lives: nested bodies end the connection', 'instances',
        'except RecursionError:',
        'except ZeroDivisionError:', 'lives',
    ),
    Mutant(
        'lives: unknown fields are no UTF-8', 'instances',
        'body.decode()\n        return',
        'return', 'lives',
    ),
    Mutant(
        'lives: any address', 'instances',
        'if not (_is_ip(host) and _is_port(port)):',
        'if False:', 'lives',
    ),
    Mutant(
        'lives: any number', 'instances',
        'if not 0 <= value <= limit:',
        'if False:', 'lives',
    ),
    Mutant(
        'lives: any state', 'instances',
        'if instance.state not in (READY, DRAINING):',
        'if False:', 'lives',
    ),
    Mutant(
        'lives: any number of an engine', 'ranks',
        'if values and not (low <= min(values) and max(values) <= high):',
        'if False:', 'lives',
    ),
    Mutant(
        'lives: counts anew are choices', 'sidecar',
        'if min(new, default=0) < 0:',
        'if False:', 'lives',
    ),
    Mutant(
        'lives: reports of a former life', 'groups',
        'if 0 < state.born_ms < self.registered_start_ms(report.instance_id):',
        'if False:', 'lives',
    ),
    Mutant(
        'losses: a late call looks for nobody', 'members',
        'self._app.start_task(self._search, called)', 'pass', 'losses',
        'for the leader at once',
    ),
    Mutant(
        'losses: calls wait on at a lost leader', 'members',
        '            if called != address:\n', '            if False:\n',
        'losses', 'Calls waiting',
    ),
    Mutant(
        'losses: a search leaves its connections open', 'members',
        'used = {self._current, *self._pending.values()}',
        'used = set(self._callers)', 'losses', 'opened by a search',
    ),
    Mutant(
        'losses: names are followed again and again', 'members',
        '            and named not in attempted\n', '', 'losses',
        'outdated leader name',
    ),
    Mutant(
        'losses: a lost leader is named to who looks for another',
        'leadership', 'if address and address != question.excluded:',
        'if address:',
        'losses', 'to a leader query',
    ),
    Mutant(
        'losses: an answer is not held', 'leadership',
        'await self.replica.wait_for_step()', 'break', 'losses',
        'to a leader query',
    ),
    Mutant(
        'losses: a box does not follow its own replica', 'formation',
        'self.leader.set_leader(address)', 'pass', 'losses',
        'its replica follows',
    ),
    Mutant(
        'losses: voters stand at random times', 'replication',
        'wait_s = ELECTION_STAGGER_S * (1 + position + node.rng.random() / 4)',
        'wait_s = node.timing.election_s * node.rng.random()', 'losses',
        'a new leader is elected soon',
    ),
    Mutant(
        'losses: a lost pre-vote costs an election time', 'elections',
        'span_s = node.timing.heartbeat_s * 2**node.pre_vote_attempts',
        'span_s = 2 * node.timing.election_s', 'losses',
        'requests votes again',
    ),
    Mutant(
        'losses: two pre-votes at once are both granted', 'elections',
        'granted = granted and not '
        '_has_priority(node, sender, message, now_s)',
        'pass', 'losses', 'at the same moment',
    ),
    Mutant(
        'losses: who granted a pre-vote stands too', 'elections',
        '            _defer_election(node, now_s)\n', '            pass\n',
        'losses', 'at the same moment',
    ),
    Mutant(
        'losses: a replacement gathers a majority', 'voterplacement',
        'if voter in unresponsive and new_excess > current_excess:',
        'if False:', 'losses', 'Voters are placed',
    ),
    Mutant(
        'losses: voters change places for nothing', 'voterplacement',
        'if voter not in unresponsive and new_excess >= current_excess:',
        'if False:', 'losses', 'Voters are placed',
    ),
    Mutant(
        'losses: any learner will do', 'voterplacement',
        'excess(changed, hall_losses),\n        voters_per_hall(changed)',
        '0,\n        {}', 'losses', 'Voters are placed',
    ),
    Mutant(
        'losses: whoever is removed', 'voterplacement',
        '            excess(changed, hall_losses),\n            node_id == ',
        '            node_id == ', 'losses', 'Voters are placed',
    ),
    Mutant(
        'losses: a place is made before it can be filled', 'formation',
        'return config.promote(learner) if is_full else',
        'return', 'losses', 'Voters are placed',
    ),
    Mutant(
        'losses: a fourth voter with no fifth', 'formation',
        'if len(state.ready) < 2:', 'if False:', 'losses', 'A fourth voter',
    ),
    Mutant(
        'losses: a better learner is not awaited', 'formation',
        'if excess > voterplacement.excess(better, state.hall_losses):',
        'if False:', 'losses', 'in a better hall',
    ),
    Mutant(
        'losses: a leader that no log tells the hall of', 'formation',
        "if node.config.halls.get(node.node_id, '') != hall:", 'if False:',
        'losses', 'written without halls',
    ),
    Mutant(
        'losses: sets with no halls are written anew', 'entries',
        'self if self.halls else self[:2]', 'self', 'losses',
        'written without halls',
    ),
    Mutant(
        'losses: the spread is not told', 'formation',
        "self.app.metrics.gauge('controllers.hall_loss_stops', "
        'int(surplus < 0))', 'pass', 'losses', 'in one hall is reported',
    ),
    Mutant(
        'losses: the spread is told at each look', 'formation',
        '        if placement == self._reported:\n',
        '        if False:\n', 'losses', 'in one hall is reported',
    ),
    Mutant(
        'losses: boxes of a lost hall are noted one by one', 'controller',
        'nursery.start_soon(self._remove_member, name)',
        'await self._remove_member(name)', 'losses', 'A large hall',
    ),
    Mutant(
        'losses: orders go to boxes of a hall that is cut off', 'controller',
        'rank = (is_late, name in controllers)',
        'rank = (False, name in controllers)', 'losses', 'Orders to ranks',
    ),
    Mutant(
        'lives: late counts that change nothing are heard', 'registry',
        '''if heartbeat.seq < max(
            registered.seq, self._newest_seq.get(incarnation, 0)
        ):''',
        'if False:', 'lives',
    ),
    Mutant(
        'halls: the last committed order holds', 'statemachine',
        'if known.revision != command.revision:', 'if False:', 'halls',
    ),
    Mutant(
        'halls: what holds already is not acknowledged', 'statemachine',
        'if known.is_out == command.is_out:', 'if False:', 'halls',
        'state of halls',
    ),
    Mutant(
        'halls: runners are warm after a return', 'statemachine',
        'if not command.is_out:', 'if False:', 'halls', 'state of halls',
    ),
    Mutant(
        'halls: a snapshot loses them', 'statemachine',
        'self.view.by_prefix(views.HALL_PREFIX)', "self.view.by_prefix('-')",
        'halls', 'state of halls',
    ),
    Mutant(
        'halls: a leader tells what no quorum confirms', 'hallmanager',
        '        await self._replica.confirm_leadership()\n', '', 'halls',
        'deposed',
    ),
    Mutant(
        'halls: an order of any age is sent', 'hallorders',
        '''            if self.app.now_s() - received_s >= MAX_ORDER_AGE_S:
                raise errors.NoController''',
        '''            if False:
                raise errors.NoController''',
        'halls', 'is suspended',
    ),
    Mutant(
        'halls: an order that met another is given up', 'hallorders',
        '                continue\n', '                raise\n',
        'halls', 'conflicts with a newer',
    ),
    Mutant(
        'halls: the caller is not watched', 'httpserver',
        'if not data:\n            scope.cancel()',
        'if not data:\n            pass', 'halls', 'caller disconnects',
    ),
    Mutant(
        'halls: settings that are read again change none', 'hallorders',
        "        self._halls = settings['halls']", '        pass',
        'halls', 'Reloaded settings',
    ),
    Mutant(
        'halls: any name is taken', 'hallorders',
        'if known and name not in known:', 'if False:',
        'halls', 'name of a hall',
    ),
    Mutant(
        'halls: gateways send there', 'backends',
        'if backend.instance.hall not in self.halls_out', 'if True',
        'halls', 'Two halls',
    ),
    Mutant(
        'halls: requests wait where all are out', 'picking',
        '''if self.known.all_halls_out(exchange.service):
            return False''',
        '''if False:
            return False''',
        'halls', 'All halls',
    ),
    Mutant(
        'halls: the view of halls is not followed', 'entry',
        '        self._update_halls()\n        self._update_quarantine()',
        '        self._update_quarantine()', 'halls', 'Two halls',
    ),
    Mutant(
        'halls: a return is a wave', 'slowstart',
        'return max(0.0, 1.0 - restored_for_s / RAMP_S)', 'return 0.0',
        'halls', 'is ramped up',
    ),
    Mutant(
        'halls: the own part knows no ramp', 'backends',
        'best = self._pick_preferred(candidates, occupancy, rng)',
        '''best = self._pick_preferred(
            candidates,
            lambda b: b.occupancy(self.report_interval_s, now_s),
            rng,
        )''',
        'halls', 'is ramped up',
    ),
    Mutant(
        'forwarding: what is under way is called not run', 'forwarding',
        'if exchange.may_have_run or exchange.is_in_flight:',
        'if exchange.may_have_run:', 'forwarding', 'never answers',
    ),
    Mutant(
        'forwarding: what may not be repeated is', 'forwarding',
        'if problem.outcome != errors.NOT_RUN and not route.repeatable:',
        'if False:', 'forwarding', 'unsafe request whose first',
    ),
    Mutant(
        'last hop: cut answers look whole', 'lasthop',
        'as problem:\n            raise errors.BadAnswer(str(problem))\n'
        '        except trio', 'as problem:\n            return\n'
        '        except trio', 'forwarding', 'truncates',
    ),
    Mutant(
        'budgets: no bound', 'budgets',
        'if len(retries) + 1 > quota:', 'if False:', 'entry', 'budget',
    ),
    Mutant(
        'entry: a planned stop waits for no answer', 'entry',
        'while self.front.open_requests and self.app.now_s() < until_s:',
        'while False:', 'entry',
    ),
    Mutant(
        'warmup: no window', 'warmup',
        'return len(sent_s) < quota or sent_s[0] + WINDOW_S <= now_s',
        'return True', 'warmup',
    ),
    Mutant(
        'warmup: all gateways own all runners', 'warmup',
        'return quotas.secondary if rank <= quotas.local_owners else 0',
        'return quotas.secondary', 'warmup',
    ),
    Mutant(
        'warmup: all gateways elsewhere own all runners', 'warmup',
        'return quotas.secondary if rank < quotas.remote_owners else 0',
        'return quotas.secondary', 'warmup',
    ),
    Mutant(
        'warmup: the whole bound for one view', 'warmup',
        'half = max(1, int(limit_per_s) // 2)', 'half = int(limit_per_s)',
        'warmup',
    ),
    Mutant(
        'warmup: a start forgets what was sent', 'warmup',
        'if now_s < self._quiet_until_s:\n            return False',
        'if False:\n            return False', 'warmup',
    ),
    Mutant(
        'warmup: no time to settle', 'warmup',
        'return found if now_s >= self._settled_s else min(1, found)',
        'return found', 'warmup',
    ),
    Mutant(
        'warmup: no owner elsewhere', 'warmup',
        'Quotas(primary, 1, remaining // 2, remaining - remaining // 2)',
        'Quotas(primary, 1, remaining, 0)', 'warmup',
    ),
    Mutant(
        'warmup: lost gateways are forgotten at once', 'warmup',
        'RETENTION_S = 30.0', 'RETENTION_S = 0.0', 'warmup',
    ),
    Mutant(
        'warmup: what was turned away counts', 'warmup',
        "self.at_s = float('-inf')", 'pass', 'warmup',
    ),
    Mutant(
        'warmup: also where runners bear any number', 'warmup',
        'if per_s > 0', 'if per_s >= 0', 'placement',
    ),
    Mutant(
        'backends: cold runners like others', 'backends',
        'added += COLD_COST', 'pass', 'warmup',
    ),
    Mutant(
        'lines: only in order of arrival', 'waitqueues',
        'waiter = Waiter((priority, next(self._arrivals)))',
        'waiter = Waiter((0, next(self._arrivals)))', 'warmup',
    ),
    Mutant(
        'picking: who comes late waits all the same', 'picking',
        'if send_s != warmup.NEVER and send_s > until_s:', 'if False:',
        'warmup',
    ),
    Mutant(
        'picking: all owned elsewhere is waited for', 'picking',
        'return now_s - since_s < groupstates.MAX_CLOSED_WAIT_S',
        'return True', 'warmup',
    ),
)  # fmt: skip


def path_in(place: pathlib.Path, mutant: Mutant) -> pathlib.Path:
    """Return the module of a mutant in the tree at ``place``."""
    return next((place / 'mountridge').rglob(f'{mutant.module}.py'))


def copy_with(mutant: Mutant, place: pathlib.Path) -> int:
    """Copy the tree to ``place`` with the fault put in.

    Returns how often what it replaces stands there; it must be once.
    """
    skip = shutil.ignore_patterns('.git', '.venv', '__pycache__', 'target')
    shutil.copytree(ROOT, place, ignore=skip)
    path = path_in(place, mutant)
    text = path.read_text()
    path.write_text(text.replace(mutant.old, mutant.new))
    return text.count(mutant.old)


def run(mutant: Mutant) -> tuple[str, list[str]]:
    """Return (what became of it, scenarios that failed)."""
    with tempfile.TemporaryDirectory() as folder:
        place = pathlib.Path(folder) / 'tree'
        found_times = copy_with(mutant, place)
        if found_times != 1:
            return f'stands {found_times} times', []
        command = [sys.executable, '-m', 'behave', '--no-color', '-f', 'null']
        command.append(f'features/{mutant.feature}.feature')
        if mutant.scenarios:
            command += ['-n', mutant.scenarios]
        try:
            done = subprocess.run(
                command,
                cwd=place,
                env={'PYTHONPATH': str(place), 'PATH': '/usr/bin:/bin'},
                capture_output=True,
                text=True,
                timeout=TIMEOUT_S,
            )
        except subprocess.TimeoutExpired:
            return 'caught (time-out)', []
        found = re.findall(r'^  (features/\S+)', done.stdout, re.M)
        return ('caught' if found else 'LIVES'), found


def main() -> int:
    """Run all, or those whose name holds an argument; 1 if one lives."""
    wanted = sys.argv[1:]
    chosen = [
        m for m in MUTANTS if not wanted or any(w in m.name for w in wanted)
    ]
    with futures.ThreadPoolExecutor(6) as pool:
        results = list(pool.map(run, chosen))
    living = 0
    for mutant, (state, found) in zip(chosen, results):
        living += not state.startswith('caught')
        cells = ', '.join(found[:3])
        print(f'{state:18} {mutant.name}: {len(found)} cells {cells}')
    print(f'{len(chosen) - living} of {len(chosen)} caught')
    return 1 if living else 0


if __name__ == '__main__':
    sys.exit(main())
