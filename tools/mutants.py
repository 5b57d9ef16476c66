# SPDX-License-Identifier: Apache-2.0

"""Mutation tests: removes one mechanism at a time from a copy of the tree.

``make mutants`` changes one place and runs the named feature, of which at
least one scenario must fail. A mutant that survives shows a gap in the tests.
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
    """One mechanism removed: ``old`` becomes ``new`` in a module."""

    name: str
    module: str
    old: str
    new: str
    feature: str
    scenarios: str = ''  # pattern of scenario names, all if empty


MUTANTS = (
    Mutant(
        'no single vote per term', 'elections',
        "node.voted_for in ('', sender)", 'True', 'consensus',
    ),
    Mutant(
        'no refusal of votes during an active lease', 'elections',
        'if not message.leadership_transfer and not _no_active_lease('
        'node, now_s):',
        'if False:',
        'consensus',
    ),
    Mutant(
        'no leader check before denying leadership', 'elections',
        """    if node.role == LEADER:
        return []
    effects: list[Effect] = [Send(sender, NotLeading""",
        """    effects: list[Effect] = [Send(sender, NotLeading""",
        'consensus',
    ),
    Mutant(
        'no start id check on answers about leadership', 'elections',
        'message.start_id != node.start_id\n        or sender not in',
        'sender not in', 'consensus',
    ),
    Mutant(
        'no wait for possible leaders to deny leadership',
        'elections', 'and node.possible_leaders_known\n        and not '
        'node.possible_leaders\n', 'and node.possible_leaders_known\n',
        'consensus',
    ),
    Mutant(
        'no check that the possible leaders are known', 'elections',
        'node.possible_leaders_known = node.term == node.log.last_term',
        'node.possible_leaders_known = True', 'consensus',
    ),
    Mutant(
        'no fallback to all voters as possible leaders', 'elections',
        'return {leader_id} if leader_id else log.all_voters()',
        'return {leader_id} if leader_id else set()', 'consensus',
    ),
    Mutant(
        'no query to possible leaders after a restart', 'elections',
        'return [Send(voter, query) for voter in '
        'sorted(node.possible_leaders)]',
        'return []', 'consensus',
    ),
    Mutant(
        'no check that a sender may reply for an identity', 'replicas',
        "message.to.partition('.')[0] == self.app.name", 'True', 'consensus',
        'replies for',
    ),
    Mutant(
        'no log comparison on votes', 'elections',
        'return candidate_log >= (node.log.last_term, node.log.last_index)',
        'return True', 'consensus',
    ),
    Mutant(
        'no possible leaders after a restart', 'elections',
        'node.possible_leaders = _possible_leaders(node.log) - {node.node_id}',
        'node.possible_leaders = set()',
        'consensus',
    ),
    Mutant(
        'no quorum on commitment', 'replication',
        'index = min(matches[node.quorum() - 1], node.log.last_index)',
        'index = min(matches[0], node.log.last_index)', 'consensus',
    ),
    Mutant(
        'no term check on commitment', 'replication',
        'if index <= node.commit_index or node.log.term_at(index) != '
        'node.term:',
        'if index <= node.commit_index:', 'consensus',
    ),
    Mutant(
        "no wait for the leader's own sync on commitment", 'replication',
        'node.synced_index\n            if voter == node.node_id',
        'node.log.last_index\n            if voter == node.node_id',
        'consensus',
    ),
    Mutant(
        "no wait for a follower's sync before its answer", 'replication',
        'return effects + [Send(sender, reply)]\n\n\ndef _match_log',
        'return effects + [Send(sender, reply, before_sync=True)]\n\n\n'
        'def _match_log',
        'consensus',
    ),
    Mutant(
        'no end of the lease during a leadership transfer', 'replication',
        'if node.role != LEADER or node.transfer_target:',
        'if node.role != LEADER:', 'consensus', 'transfer',
    ),
    Mutant(
        "no expiry of the leader's lease", 'replication',
        'return now_s < quorum_ack_time(node, now_s) + span_s', 'return True',
        'consensus',
    ),
    Mutant(
        'no quorum confirmation of reads', 'replication',
        '        if requested_s <= confirmed_s\n', '', 'consensus',
    ),
    Mutant(
        'no grace before the first answers in check-quorum', 'replication',
        'contact_s = max(node.leader_since_s, quorum_ack_time(node, now_s))',
        'contact_s = quorum_ack_time(node, now_s)', 'consensus',
    ),
    Mutant(
        'no learner stage before a voter is added', 'replication',
        'if behind > MAX_LEARNER_LAG:', 'if False:', 'consensus',
    ),
    Mutant(
        'no limit of one voter per membership change', 'consensus',
        'if len(before ^ after) > 1:', 'if False:', 'consensus', 'refused',
    ),
    Mutant(
        'no sync of the journal', 'storage',
        'os.fdatasync(self._journal.fileno())', 'pass', 'storage',
    ),
    Mutant(
        'no checksum on frames', 'storage',
        'return body if zlib.crc32(body) == checksum else None',
        'return body', 'storage',
    ),
    Mutant(
        'no distinction between corruption and a torn tail', 'storage',
        'if _decode_frame_at(data, next_magic) is not None:', 'if False:',
        'storage',
    ),
    Mutant(
        'no refusal of writes after a failed write', 'storage',
        '        self._failed = True\n        return errors.',
        '        return errors.', 'storage',
    ),
    Mutant(
        'no truncation of a partial frame on a full disk', 'storage',
        '            self._journal.truncate(self._valid_bytes)\n'
        '            self._journal.seek(self._valid_bytes)\n        except',
        '            pass\n        except', 'storage',
    ),
    Mutant(
        'no recovery from a full disk', 'storage',
        'if problem.errno in DISK_FULL_ERRNOS:', 'if False:', 'storage',
    ),
    Mutant(
        'no handling of a full disk in the replica', 'replicas',
        'except errors.DiskFull as problem:\n                if not is_full:',
        'except errors.DiskFull as problem:\n                raise\n'
        '                if not is_full:', 'processes', 'full disk',
    ),
    Mutant(
        'no sync of a file before it is renamed', 'storage',
        '            out.flush()\n            os.fsync(out.fileno())\n',
        '            out.flush()\n', 'storage',
    ),
    Mutant(
        'no incarnation check on tickets', 'tickets',
        'if ticket.incarnation != self.incarnation:', 'if False:',
        'rules',
    ),
    Mutant(
        'no duplicate check on tickets', 'tickets',
        'if ticket.attempt_id in self._states:', 'if False:', 'requests',
        'Ticket',
    ),
    Mutant(
        'no age limit on tickets', 'tickets',
        'if now_s - ticket.sent_s > MAX_AGE_S:', 'if False:', 'rules',
    ),
    Mutant(
        'no record of revoked tickets', 'tickets',
        '            self.end(attempt_id, state, now_s)\n        return state',
        '        return state', 'requests', 'Ticket|revo',
    ),
    Mutant(
        'no exclusive grant of a claim', 'claims',
        'return _reply(found, granted and not found.outcome)',
        'return _reply(found, True)', 'requests', 'At most once',
    ),
    Mutant(
        'no claim before sending', 'dispatching',
        'if exchange.key:\n            claimed',
        'if False:\n            claimed', 'requests', 'At most once',
    ),
    Mutant(
        'no age limit on claim keys', 'claims',
        'if key_s < self.floor_s:', 'if False:', 'rules',
    ),
    Mutant(
        'no distinction of unknown outcomes from not run', 'errors',
        'status = 502\n    outcome = UNKNOWN',
        'status = 502\n    outcome = NOT_RUN', 'requests',
    ),
    Mutant(
        'no check that a stored answer is complete', 'agent',
        'succeeded = attempt.last is not None and not attempt.last.code',
        'succeeded = True', 'requests', 'not stored as',
    ),
    Mutant(
        'no distinction of answers too large to store', 'statemachine',
        "answer=b'', status=0)", "answer=b'')", 'requests', 'too large',
    ),
    Mutant(
        'no position check on frames', 'attempts',
        'if self.ended or frame.position != self.position:',
        'if self.ended:', 'rules',
    ),
    Mutant(
        'no error for a truncated response', 'attempts',
        '        if self.problem:\n            raise self.problem\n', '',
        'requests', 'Complete|not run',
    ),
    Mutant(
        'no detection of lost frames', 'links',
        'frames = load.frames_seq > expected', 'frames = False',
        'requests', 'Complete',
    ),
    Mutant(
        'no detection of lost tickets', 'links',
        'if now_s - sent_s > TICKET_TIMEOUT_S', 'if False', 'requests',
        'Complete',
    ),
    Mutant(
        'no cancellation after the caller disconnects', 'dispatching',
        'if cancel and found:', 'if False:', 'operations', 'vanished',
    ),
    Mutant(
        'no base version check on table updates', 'statemachine',
        'if command.base_version != machine.version:', 'if False:',
        'configuration', 'two puts',
    ),
    Mutant(
        'no operation id check on table updates', 'statemachine',
        '    if earlier_reply is not None:\n        return earlier_reply\n',
        '',
        'configuration',
    ),
    Mutant(
        'no index check on views', 'views',
        'if index < self.index:', 'if False:', 'rules',
    ),
    Mutant(
        'no fence check on lease grants', 'leases',
        'if grant.fence < self.fence:', 'if False:', 'rules',
    ),
    Mutant(
        'no exact expiry of held leases', 'leases',
        'self.until_s = max(self.until_s, sent_s + grant.lease_s)',
        'self.until_s = max(self.until_s, sent_s + 2 * grant.lease_s)',
        'configuration',
    ),
    Mutant(
        'no wait for leases before changes are in force', 'leases',
        'if granted.until_s > now_s\n        ]\n        return min',
        'if False\n        ]\n        return min', 'configuration',
    ),
    Mutant(
        'no wait for leases of an earlier leader', 'leases',
        'if now_s < self.quiet_until_s:\n            return 0',
        'if False:\n            return 0', 'configuration',
    ),
    Mutant(
        'no lease check at gateways', 'filters',
        'if not lease.is_valid(now_s):', 'if False:', 'configuration',
    ),
    Mutant(
        'no lease check at agents', 'agent',
        'if not self.lease.is_valid(now_s):', 'if False:', 'operations',
        'receives nothing from controllers',
    ),
    Mutant(
        'no refusal of work by a draining agent', 'agent',
        '        if self.draining:\n            raise errors.Draining()\n',
        '', 'operations', 'agent that drains|planned stop',
    ),
    Mutant(
        'no wait for cached addresses on a planned stop', 'gateway',
        "await trio.sleep(self.settings['address_ttl_s'])", 'pass',
        'operations', 'planned stop of a gateway',
    ),
    Mutant(
        'no slots reserved for pings', 'queues',
        'reserved = 0 if priority == 0 else self.reserved', 'reserved = 0',
        'rules',
    ),
    Mutant(
        'no priority classes', 'queues',
        'for priority in sorted(self._heaps):',
        'for priority in sorted(self._heaps, reverse=True):',
        'rules',
    ),
    Mutant(
        'no fair queueing between teams', 'queues',
        'self._finish_tags.get((priority, team), 0.0),', '0.0,',
        'operations', 'large team',
    ),
    Mutant(
        'no deduction of granted shares', 'limits',
        'free = row.concurrency - sum(share.concurrency for share in used)',
        'free = row.concurrency', 'operations', 'sum over',
    ),
    Mutant(
        'no wait before a new leader grants shares', 'limits',
        'if now_s < self._quiet_until_s:', 'if False:', 'rules',
    ),
    Mutant(
        'no deduction of shares of lapsed gateways', 'limits',
        'free -= self._still_running(key, now_s)', 'pass', 'rules',
    ),
    Mutant(
        'requests refused by limits while a renewal is late', 'gateway',
        'if is_granted and quiet_s <= 0:', 'if True:', 'operations',
        'first request',
    ),
    Mutant(
        'long waits for limits that others use', 'gateway',
        'min(exchange.row.queue_s, 2 * renew_s)', '10.0', 'operations',
        'first request',
    ),
    Mutant(
        'requests refused by limits while the leader is new', 'members',
        'if grant.fence.term != term:', 'if False:', 'operations',
        'first request',
    ),
    Mutant(
        'no lease check after the wait for a share', 'gateway',
        'filters.check_lease(self.lease, exchange, now_s)', 'pass',
        'operations', 'first request',
    ),
    Mutant(
        'no retry budget', 'retries',
        'if any(self._balances.get(key, INITIAL_BALANCE) < 1 '
        'for key in keys):',
        'if False:', 'operations', 'Retries',
    ),
    Mutant(
        'no ejection of slow runners', 'runners',
        'now_s < state.ejected_until_s or slowness > MAX_SLOWNESS', 'False',
        'rules',
    ),
    Mutant(
        'no arm phase at gates', 'gates',
        'if state.opened and step >= state.open_step:', 'if False:', 'maps',
        '',
    ),
    Mutant(
        'no fence check on orders at gates', 'gates',
        'if fence < self.fence:', 'if False:', 'maps',
    ),
    Mutant(
        'no refusal to arm for a step already entered', 'gates',
        'if self.entered >= state.open_step:', 'if False:', 'maps',
    ),
    Mutant(
        'no map history at gates', 'gates',
        'versions = [v for first, v in state.history if first <= step]',
        'versions = [state.history[-1][1]]', 'maps',
    ),
    Mutant(
        'no move cost in map planning', 'maps',
        'if best is None or best[0] * weights.skew * HORIZON_S <= cost:',
        'if best is None:', 'maps', 'A plan',
    ),
    Mutant(
        'entry: no wait until all ranks are armed', 'mapchanges',
        'return Phase.ARMING if self._unarmed else Phase.STARTING',
        'return Phase.STARTING', 'entry', 'One map',
    ),
    Mutant(
        'entry: no wait for the held pass before arming', 'mapchanges',
        'if not self._holding and self._unarmed:',
        'if self.change.step == ranks.NO_VERSION:', 'entry', 'One map',
    ),
    Mutant(
        'entry: no wait until all ranks have prepared', 'mapchanges',
        'if self.change.step == ranks.NO_VERSION and self._unprepared:',
        'if self.change.step == ranks.NO_VERSION and HOLD_RANK in '
        'self._unprepared:', 'entry', 'One map',
    ),
    Mutant(
        'entry: no takeover of a change with a held pass', 'mapchanges',
        'if not held:', 'if True:', 'entry', 'One map',
    ),
    Mutant(
        'maps: no push of orders', 'groups',
        'self.app.send(contact.route, pushed)', 'pass', 'entry',
        'as soon as',
    ),
    Mutant(
        'entry: no messages to seed addresses', 'formation',
        'for address in self.leader.seeds:', 'for address in ():', 'entry',
        'loss of power',
    ),
    Mutant(
        'entry: no replies to addresses learned from messages', 'replicas',
        'address = address or self._reply_addresses.get(effect.to)', '',
        'entry', 'lost disk',
    ),
    Mutant(
        'entry: no version check on routes', 'statemachine',
        'if command.version > machine.routes_version:', 'if True:', 'entry',
        'highest version',
    ),
    Mutant(
        'entry: no sequence check on heartbeats', 'incarnations',
        'if received.seq < registered.seq:', 'if False:',
        'entry', 'delayed heartbeat',
    ),
    Mutant(
        'entry: no refusal of runners that have left', 'incarnations',
        'if has_ended(registered) and not registered.may_return:\n'
        '        return Refusal',
        'if False:\n        return Refusal', 'entry', 'runner that left',
    ),
    Mutant(
        'budgets: no division of the slack among gateways', 'slackshares',
        'return 1 / len(self._gateways.halls)', 'return 1.0', 'retrybudget',
    ),
    Mutant(
        'budgets: a share of the slack without a settled lease', 'slackshares',
        'if self._held_for_s(now_s) < self._settled_s:', 'if False:',
        'retrybudget',
    ),
    Mutant(
        'budgets: a share of the slack from the first lease on', 'slackshares',
        'if self._held_for_s(now_s) < self._settled_s:',
        'if self._held_for_s(now_s) <= 0:', 'retrybudget',
    ),
    Mutant(
        'budgets: a share of the slack before older views have ended',
        'slackshares', 'leases.MAX_GAP_LEASES + 1', 'leases.MAX_GAP_LEASES',
        'retrybudget',
    ),
    Mutant(
        'budgets: gateways that left the view share nothing', 'gatewaysets',
        'RETENTION_S = 30.0', 'RETENTION_S = 0.0', 'retrybudget',
    ),
    Mutant(
        'budgets: no end of a lapsed lease', 'leases',
        'if now_s >= self.until_s + self._max_gap_s:', 'if False:',
        'retrybudget', 'share of',
    ),
    Mutant(
        'budgets: a lease lasts through any gap', 'leases',
        'if sent_s >= self.until_s + self._max_gap_s:',
        'if not self._since_s:', 'retrybudget',
    ),
    Mutant(
        'budgets: shares that do not know the view', 'entry',
        'self.slack_shares.update_gateways(halls, self.app.now_s())', 'pass',
        'retrybudget', 'share of',
    ),
    Mutant(
        'budgets: a full bucket at the start', 'budgets',
        'self.tokens = 0.0', 'self.tokens = 8.0', 'retrybudget',
    ),
    Mutant(
        'budgets: a sliding window without a record', 'budgets',
        'if now_s < self.started_s + self._window_s:', 'if False:',
        'retrybudget',
    ),
    Mutant(
        'budgets: retries that wait use no capacity of the bucket', 'budgets',
        'room = self._capacity(now_s) - counts.waiting_tokens',
        'room = self._capacity(now_s)', 'retrybudget',
    ),
    Mutant(
        'budgets: retries that wait for a runner do not count', 'budgets',
        'counts.waiting += 1', 'pass', 'retrybudget',
    ),
    Mutant(
        'budgets: retries count until a window after they are allowed',
        'budgets', 'self._counts.sent_s.append(now_s)',
        'self._counts.sent_s.append(self.allowed_s)', 'retrybudget',
    ),
    Mutant(
        'entry: no timeout for opening connections', 'sockets',
        'socket.setsockopt(zmq.CONNECT_TIMEOUT, CONNECT_MS)', '', 'entry',
        'SYN packet',
    ),
    Mutant(
        'entry: no end of unresponsiveness on a message', 'members',
        '                self._unresponsive_until_s.pop(address, None)',
        '                pass', 'entry',
        'responds again',
    ),
    Mutant(
        'placing: no estimate of requests sent by other gateways',
        'loadestimates',
        'return own_per_s * unreported_s * max(0, gateways - 1)',
        'return 0.0', 'placement',
    ),
    Mutant(
        'placing: no preferred subset', 'backends',
        'if self.report_interval_s <= FREQUENT_REPORT_S:', 'if True:',
        'placement', 'infrequent',
    ),
    Mutant(
        'placing: no restriction of preferred subsets to a hall', 'subsets',
        'if backend.instance.hall == hall', 'if True', 'placement',
        'Preferred subsets',
    ),
    Mutant(
        'maps: no delta encoding of maps', 'groups',
        'base, base_map = known_map, group.maps.get(known_map, [])',
        'base, base_map = ranks.NO_VERSION, []', 'manyranks', '',
    ),
    Mutant(
        'maps: no check of the dimensions of a base', 'groups',
        'if not mapdeltas.have_same_dimensions(base_map, order.placed):',
        'if not base_map:', 'manyranks', 'other',
    ),
    Mutant(
        'maps: no check that reports and routes fit', 'mapplans',
        'parameters)\n    load =', 'parameters) if None else None\n    load =',
        'mapplans', 'No map is planned',
    ),
    Mutant(
        'maps: no limit on the ranks that count choices', 'rankgroups',
        'return rank % math.ceil(max(1, self.size) / MAX_COUNTING_RANKS) == 0',
        'return True', 'manyranks',
    ),
    Mutant(
        'maps: no caching of the completeness of a group', 'rankgroups',
        'if now_s < self._complete_until_s:', 'if False:', 'manyranks',
        'checks all of them only',
    ),
    Mutant(
        'maps: no replanning after a shift during a search', 'mapplanning',
        'if group.epoch != state.epoch or has_step or group.has_held_pass:',
        'group.outdated = False\n'
        '        if group.epoch != state.epoch or has_step or '
        'group.has_held_pass:',
        'manyranks', 'shift of demand during',
    ),
    Mutant(
        'maps: no backoff after a search without a plan', 'mapplanning',
        'group.next_plan_s = self.app.now_s() + FUTILE_S', 'pass',
        'manyranks', 'Searches that find no',
    ),
    Mutant(
        'maps: no check for truncated maps', 'mapdeltas',
        'if len(data) != size or not stream.eof:', 'if False:', 'manyranks',
        'refused',
    ),
    Mutant(
        'maps: no minimum copy gain per number of ranks', 'mapplans',
        'MIN_COPY_GAIN / len(slowdowns),', 'MIN_COPY_GAIN / 12,', 'mapplans',
        'is balanced',
    ),
    Mutant(
        'placing: no avoidance of slow runners', 'backends',
        '[b for b in healthy if b.slowdown < AVOID_SLOWDOWN] or healthy',
        'healthy',
        'mapplans', 'slow runner',
    ),
    Mutant(
        'maps: no relief of slow ranks', 'mapplans',
        '_relieve(by_rank, set_load, slow, parameters, total_copies)',
        'by_rank', 'mapplans',
    ),
    Mutant(
        'maps: no even distribution of relief over ranks', 'mapplans',
        'if total_copies[r] == fewest]', ']', 'mapplans',
    ),
    Mutant(
        'maps: no limit on copies by copy time', 'mapplans',
        'if self.copy_s <= 0:', 'if True:', 'mapplans',
    ),
    Mutant(
        'demand: no detection of shifts', 'demand',
        '        if previous and distance > max(\n            '
        'MIN_SHIFT_DISTANCE, SHIFT_RATIO * self._usual_distance\n        ):',
        '        if False:', 'demand',
    ),
    Mutant(
        'demand: no reset of counts after a shift', 'demand',
        '            self._use_new_counts(part, self.mean)\n',
        '            self._mixed_parts = 0\n', 'demand',
    ),
    Mutant(
        'demand: no retention across epochs', 'rankgroups',
        '        self.progress = None\n        self._passes.clear()',
        '        self.progress = None\n        self._passes.clear()\n'
        '        self.demand = demand.Demand()', 'demand',
    ),
    Mutant(
        'maps: no protection of a change with a chosen pass', 'rankgroups',
        'return self.outdated and not has_step and',
        'return self.outdated and',
        'demand',
    ),
    Mutant(
        'maps: plans from reports before and after a change', 'mapplanning',
        'if not mapchanges.share_one_map(states):', 'if False:',
        'manyranks', 'No map is planned while',
    ),
    Mutant(
        'maps: plans that reports overtake', 'mapplanning',
        'if not mapchanges.share_one_map([state, *states]):', 'if False:',
        'manyranks', 'A plan is dropped',
    ),
    Mutant(
        'maps: plans from a map without some expert', 'mapplans',
        'if held_count < parameters.experts:', 'if False:', 'mapplans',
        'No map is planned',
    ),
    Mutant(
        'sidecar: refused maps are ordered again at once', 'sidecar',
        'if order == refused and now_s - refused_s < REFUSED_RETRY_S:',
        'if False:', 'refusedmaps', 'that an engine refuses',
    ),
    Mutant(
        'parts: the list after a commit has what was committed',
        'partquarantine', 'listed = {**self._entries(), key: entry}',
        'listed = self._entries()', 'partevidence', 'by an operator',
    ),
    Mutant(
        'maps: a search that fails unexpectedly ends its leader',
        'mapplanning', 'except Exception as problem:',
        'except KeyError as problem:', 'manyranks', 'fails unexpectedly',
    ),
    Mutant(
        'claims: no check of the holder after the call to its agent',
        'dispatching',
        '            # It may have left the view during the call.\n'
        '            self._check_holder(reply)\n', '', 'requests',
        'leaves the view',
    ),
    Mutant(
        'claims: no check of the selected agent', 'dispatching',
        'state = self.runners.state(choice.name)',
        'state = self.runners.states[choice.name]', 'requests',
        'leaves the view',
    ),
    Mutant(
        'maps: no change is abandoned', 'groups',
        'if self.planner.abandon_overdue(group, now_s):', 'if False:',
        'refusedmaps', 'does not prepare|another model',
    ),
    Mutant(
        'maps: changes are abandoned while experts are copied', 'mapplanning',
        '_prepare_timeout_s(group) + copy_s', '_prepare_timeout_s(group)',
        'refusedmaps', 'are copied',
    ),
    Mutant(
        'maps: pauses stay long once a map is in use', 'groups',
        'group.abandoned = 0', 'pass', 'refusedmaps', 'ends the pauses',
    ),
    Mutant(
        'last hop: statuses that HTTP does not have', 'lasthop',
        'if event.status_code not in FINAL_STATUSES:', 'if False:',
        'statuses', 'status 999',
    ),
    Mutant(
        'last hop: no reset of abandoned connections', 'lasthop',
        'connection.reset_on_close()', 'pass', 'forwarding',
        'A caller that disconnects',
    ),
    Mutant(
        'routes: no exemption of misdirected attempts', 'forwarding',
        'exchange.misdirected_attempts += 1', 'pass', 'forwarding',
        'do not use up',
    ),
    Mutant(
        'routes: no wait for a first runner', 'picking',
        'while picked is None and self._is_worth_waiting(exchange, until_s):',
        'while False:', 'forwarding', 'before any runner',
    ),
    Mutant(
        'maps: no comparison of a plan with the current map', 'mapplans',
        '        weights,\n        placement,\n', '        weights,\n',
        'mapplans',
    ),
    Mutant(
        'maps: no hold order through another box', 'groups',
        'if not self.send_remote_order(remote):', 'if True:', 'entry',
        'A freeze right after a hold',
    ),
    Mutant(
        'maps: no substitute for an unresponsive sidecar', 'groups',
        'if rank in group.unresponsive:',
        'if False:', 'entry', 'A freeze right after a hold',
    ),
    Mutant(
        'maps: no epoch check on delayed reports', 'groups',
        'if state.epoch == group.epoch:', 'if True:', 'manyranks',
    ),
    Mutant(
        'forwarding: no migration of streams from a slow runner', 'forwarding',
        'if backend.slowdown < backends.MIGRATE_SLOWDOWN:', 'if True:',
        'forwarding', 'becomes',
    ),
    Mutant(
        'forwarding: no slowdown threshold for migrating streams',
        'forwarding',
        'if backend.slowdown < backends.MIGRATE_SLOWDOWN:', 'if False:',
        'forwarding', 'becomes',
    ),
    Mutant(
        'forwarding: no wait for the first routes', 'forwarding',
        'with trio.move_on_after(ROUTES_WAIT_S):',
        'with trio.move_on_after(0):', 'forwarding', 'has no routes',
    ),
    Mutant(
        'picking: no wait for a closed group', 'picking',
        'and closed_for_s < groupstates.MAX_CLOSED_WAIT_S', 'and False',
        'forwarding', 'closed',
    ),
    Mutant(
        'picking: no limit on the wait for a closed group', 'picking',
        'and closed_for_s < groupstates.MAX_CLOSED_WAIT_S', '', 'forwarding',
        'closed',
    ),
    Mutant(
        'picking: no wait for another request that probes', 'picking',
        'return self.has_ranks(service) and self.backends.is_probing(service)',
        'return False', 'closedgroups',
    ),
    Mutant(
        'closures: no closing of all ranks of a group', 'grouptracker',
        'if other.group == backend.group', 'if other is backend',
        'closedgroups',
    ),
    Mutant(
        'closures: no distinction of a full rank', 'grouptracker',
        'if is_full and not backend.replaced:', 'if False:', 'closedgroups',
    ),
    Mutant(
        'closures: no wait of a refused request', 'groupstates',
        'return was_refused or now_s - self._refused_s < REFUSAL_VALID_S',
        'return now_s - self._refused_s < REFUSAL_VALID_S', 'closedgroups',
    ),
    Mutant(
        'forwarding: no handling of status 421', 'forwarding',
        'if head.status == MISDIRECTED:', 'if False:', 'forwarding',
    ),
    Mutant(
        'backoffs: no handling of Retry-After', 'backoffgates',
        'if head.backoff_s is not None:', 'if False:', 'rests',
    ),
    Mutant(
        'backoffs: no handling of leaving runners', 'backoffgates',
        'if head.is_leaving and self._states.mark_leaving(runner):',
        'if False:', 'rests',
    ),
    Mutant(
        'backoffs: no separation by incarnation', 'backoffs',
        'return runner.instance_id, lives, runner.born_ms',
        'return runner.instance_id, 0, 0', 'rests',
    ),
    Mutant(
        'backoffs: no check between selection and send', 'backoffgates',
        'if not self._states.may_send(self._backend.instance, now_s):',
        'if False:', 'rests',
    ),
    Mutant(
        'backoffs: no exemption of unsent attempts', 'forwarding',
        'exchange.unsent_attempts += is_unsent', 'pass', 'rests',
    ),
    Mutant(
        'backoffs: no single probe after the end', 'backoffstates',
        'return self.may_send(now_s) and not self.is_probing',
        'return self.may_send(now_s)', 'rests',
    ),
    Mutant(
        'backoffs: no confirmation when a runner accepts requests',
        'backends',
        'if self.backoffs.record_accepted(backend.instance, now_s):',
        'if False:', 'rests',
    ),
    Mutant(
        'backoffs: no exemption from closing the group', 'forwarding',
        'self.picker.has_ranks(exchange.service) and not is_backoff',
        'self.picker.has_ranks(exchange.service)', 'rests',
    ),
    Mutant(
        'backoffs: no preference of busy runners for retries', 'backends',
        'usable = [b for b in usable if self._is_working(b)] or usable',
        'pass', 'rests',
    ),
    Mutant(
        'backoffs: no wait for the end', 'picking',
        'if end_s is not None and end_s <= until_s:', 'if False:', 'rests',
    ),
    Mutant(
        'backoffs: no refusal of requests that cannot wait', 'picking',
        'if end_s is not None and end_s <= until_s:',
        'if end_s is not None:', 'rests',
    ),
    Mutant(
        'backoffs: no handling of Retry-After at agents', 'agent',
        'if head.backoff_s is not None:', 'if False:', 'rests', 'agent',
    ),
    Mutant(
        'backoffs: no refusal of tickets at agents', 'agent',
        'if not self.backoff_state.may_send(now_s):', 'if False:', 'rests',
        'agent',
    ),
    Mutant(
        'backoffs: no removal of queued requests at agents', 'agent',
        'for item in self.queue.pop_expired(math.inf):',
        'for item in self.queue.pop_expired(now_s):', 'rests', 'agent',
    ),
    Mutant(
        'backoffs: no handling of leaving runners at agents', 'agent',
        'elif head.is_leaving:', 'elif False:', 'rests', 'agent',
    ),
    Mutant(
        'backoffs: no error for refused requests at agents', 'agent',
        """        if head.not_run:
            raise errors.RunnerRefused""",
        """        if False:
            raise errors.RunnerRefused""", 'rests', 'agent',
    ),
    Mutant(
        'clocks: no correction for suspension', 'clocks',
        'now_s = self._real()', 'now_s = self._steady()', 'suspension',
    ),
    Mutant(
        'clocks: no adjustment after a reported gap', 'clocks',
        'self._offset_s += gap_s', 'pass', 'suspension',
    ),
    Mutant(
        'clocks: no exclusion of negative gaps', 'clocks',
        'if gap_s > MIN_SUSPENSION_S:',
        'if abs(gap_s) > MIN_SUSPENSION_S:', 'suspension',
    ),
    Mutant(
        'clocks: no cancellation of overdue requests', 'forwarding',
        'if until_s <= now_s:', 'if False:', 'suspension',
    ),
    Mutant(
        'clocks: no deadline check before sending', 'forwarding',
        'if now_s >= exchange.deadline_s:', 'if False:', 'suspension',
    ),
    Mutant(
        'quarantine: no refusal of quarantined requests', 'routefilters',
        'if records.is_quarantined(digest, now_s):', 'if False:', 'quarantine',
    ),
    Mutant(
        'quarantine: no count of crashes', 'crashwatch',
        'self._quarantine.record_crash(digest, runner, now_s)', 'pass',
        'quarantine',
    ),
    Mutant(
        'quarantine: no check that a runner has crashed', 'crashwatch',
        'if not await self.has_crashed(runner, pool):', 'if False:',
        'quarantine',
    ),
    Mutant(
        'quarantine: no wait of a suspect for the leader', 'crashwatch',
        'await self.on_crash()', 'self.on_crash().close()', 'quarantine',
    ),
    Mutant(
        'quarantine: no local crash count', 'quarantine',
        'return len(recent) >= quarantines.CRASH_THRESHOLD', 'return False',
        'quarantine',
    ),
    Mutant(
        'quarantine: no duplicate check on crash reports', 'quarantines',
        'return self.instance_id, self.lives, self.born_ms',
        'return self.instance_id, self.lives, self.age_s', 'quarantine',
    ),
    Mutant(
        'quarantine: no exemption of streams with progress', 'crashwatch',
        'exchange.is_suspect = _may_have_crashed(exchange, now_s)',
        'exchange.is_suspect = True', 'quarantine',
    ),
    Mutant(
        'backoffs: no removal of expired entries', 'backoffs',
        'now_s < state.until_s + UNCONFIRMED_S', 'True', 'rests',
    ),
    Mutant(
        'quarantine: no end of reports on suspects',
        'quarantine', 'if now_s - at_s < REPORT_FOR_S', 'if True',
        'quarantine',
    ),
    Mutant(
        'quarantine: no immediate report of success', 'entry',
        'crashes.on_success = self.crash_reporter.wake', 'pass',
        'quarantine',
    ),
    Mutant(
        'quarantine: no end of probing after success', 'quarantinemanager',
        'elif current is not None and (seen or not current.is_held):',
        'elif current is not None and seen:', 'quarantine',
    ),
    Mutant(
        'quarantine: no lower crash threshold while probing',
        'quarantinemanager',
        'threshold = 1 if is_probing else quarantines.CRASH_THRESHOLD',
        'threshold = quarantines.CRASH_THRESHOLD', 'quarantine',
    ),
    Mutant(
        'quarantine: no probing', 'quarantinemanager',
        'if now_s - since_s >= duration_s:', 'if False:', 'quarantine',
    ),
    Mutant(
        'quarantine: no report of success', 'quarantine',
        'self._unreported[digest] = self._success_at_s[digest]', 'pass',
        'quarantine',
    ),
    Mutant(
        'quarantine: no caller in the digest of a request', 'quarantines',
        'for part in (method, target, caller):',
        'for part in (method, target):', 'quarantine',
    ),
    Mutant(
        'quarantine: no state in snapshots', 'statemachine',
        'self.quarantine = {each.digest: each for each in listed}', 'pass',
        'quarantine',
    ),
    Mutant(
        'quarantine: no update of the view', 'entry',
        '        self._update_quarantine()\n', '', 'quarantine',
    ),
    Mutant(
        'admission: gateways that left a view no longer count', 'admission',
        'self._in_view.record(gateways, now_s)', 'gateways', 'admission',
        'No more is admitted',
    ),
    Mutant(
        'parts: no check right before a send', 'forwarding',
        'self.crashes.check_parts(exchange)', 'pass', 'harmfulparts',
        'while it connects',
    ),
    Mutant(
        'parts: no check on arrival', 'forwarding',
        'await self.crashes.admit(exchange)', 'pass', 'harmfulparts',
        'others use',
    ),
    Mutant(
        'parts: the last part counts too', 'dialects',
        "MAX_PREFIX_PARTS)[:-1]", 'MAX_PREFIX_PARTS)', 'harmfulparts',
        'The last part',
    ),
    Mutant(
        'parts: a request that crashes two runners holds its parts',
        'partevidence',
        'return not set.intersection(*(each.requests for each in '
        'seen.values()))',
        'return True', 'partevidence',
    ),
    Mutant(
        'parts: runners that crash together count apart', 'partevidence',
        'if at_s - last_s > SAME_CRASH_S:', 'if True:', 'partevidence',
    ),
    Mutant(
        'parts: a success clears nothing', 'partevidence',
        'if crash.at_s <= latest_s:', 'if False:', 'partevidence',
    ),
    Mutant(
        'parts: no higher threshold for proven parts', 'partevidence',
        'needed = CRASHES_IF_PROVEN', 'pass', 'partevidence',
    ),
    Mutant(
        'parts: crashes are explained by no other part', 'partevidence',
        'if incarnation not in explained', 'if True', 'partevidence',
    ),
    Mutant(
        'parts: a team holds the parts of all teams', 'partevidence',
        'teams = _common_teams(seen) or {promptparts.ALL_TEAMS}',
        'teams = {promptparts.ALL_TEAMS}', 'partevidence',
    ),
    Mutant(
        'parts: no quarantine for all teams', 'partevidence',
        'found = self._wider(held, now_s)', 'found = []', 'partevidence',
    ),
    Mutant(
        'parts: crashes count for ever', 'partevidence',
        'self._expire(now_s)', 'pass', 'partevidence',
    ),
    Mutant(
        'parts: no limit on probes', 'partquarantine',
        '>= partrecords.probe_wait_s(key, entries)', '>= 0', 'partevidence',
    ),
    Mutant(
        'parts: several probes at a time', 'partquarantine',
        'if not is_free or not self._may_probe(', 'if not self._may_probe(',
        'partevidence',
    ),
    Mutant(
        'parts: a failed probe is not quarantined again', 'partquarantine',
        'await self._quarantine(key, 1, self._app.wall_s())', 'pass',
        'partevidence',
    ),
    Mutant(
        'parts: a probe without a result is never ended', 'partquarantine',
        'if key in self._changing or not self._is_overdue(key, now_s):',
        'if True:', 'partevidence',
    ),
    Mutant(
        'parts: no release after a success', 'partquarantine',
        "await self._release(key, 'succeeded')", 'pass', 'partevidence',
    ),
    Mutant(
        'parts: no evidence of its own without a leader', 'partrecords',
        'own = self._own(now_s) if self._is_alone(now_s) else {}',
        'own = {}', 'harmfulparts', 'partitioned',
    ),
    Mutant(
        'parts: no report of crashes by part', 'crashreports',
        'parts = self._parts.make_report(now_s)', 'parts = None',
        'harmfulparts', 'a plain service, the middle one, while nothing',
    ),
    Mutant(
        'parts: no report of an earlier success', 'partrecords',
        'self._unreported[part] = self._evidence.success_s(part)', 'pass',
        'partevidence',
    ),
    Mutant(
        'parts: long answers are suspects too', 'crashwatch',
        'return began_s is not None and now_s - began_s < BEGUN_S',
        'return True', 'harmfulparts', 'An answer that',
    ),
    Mutant(
        'parts: a probe of all parts that are held together', 'partrecords',
        'if len(group) > 1 and group <= {', 'if False and {', 'partevidence',
    ),
    Mutant(
        'parts: no release of parts that a failed probe explains',
        'partquarantine', "await self._release(key, 'explained by another "
        "part')", 'pass', 'partevidence',
    ),
    Mutant(
        'parts: no check after callers that leave', 'forwarding',
        'self.crashes.check_abandoned(exchange, self.pool)', 'pass',
        'harmfulparts', 'leaves at once',
    ),
    Mutant(
        'parts: agents detect no crash', 'agent',
        'crashed_life = await self._detect_crash()', 'pass', 'harmfulparts',
        'behind agents',
    ),
    Mutant(
        'parts: no quarantine of requests behind agents', 'crashes',
        'if self._requests.is_quarantined(exchange.digest, now_s):',
        'if False:', 'harmfulparts', 'behind agents',
    ),
    Mutant(
        'last hop: no keep-alive timeout from the server', 'lasthop',
        'if announced_s is not None:', 'if False:',
        'lives', 'idle connections',
    ),
    Mutant(
        'forwarding: no check whether a failed request may have run',
        'forwarding',
        'if exchange.may_have_run and problem.outcome == errors.NOT_RUN:',
        'if False:', 'forwarding',
    ),
    Mutant(
        'incarnations: no order check for an older start', 'incarnations',
        'is_newer = received.born_ms > registered.born_ms',
        'is_newer = True', 'lives',
    ),
    Mutant(
        'incarnations: no order check for a newer start', 'incarnations',
        'is_newer = received.born_ms > registered.born_ms',
        'is_newer = False', 'lives',
    ),
    Mutant(
        'incarnations: no sequence check on heartbeats', 'incarnations',
        'if received.seq < registered.seq:',
        'if False:', 'lives',
    ),
    Mutant(
        'incarnations: no sequence number in the log', 'registry',
        'reported = heartbeat.instance._replace(seq=heartbeat.seq)',
        'reported = heartbeat.instance', 'lives',
    ),
    Mutant(
        'incarnations: no refusal of moves', 'incarnations',
        'if location != (registered.service, registered.address, '
        'registered.hall):',
        'if False:', 'lives',
    ),
    Mutant(
        'incarnations: no refusal of a missing start time', 'incarnations',
        'return Order.BACK if registered.may_return else Refusal.NO_START',
        'return Order.BACK', 'lives',
    ),
    Mutant(
        'incarnations: no check that a start is after a leave', 'incarnations',
        'if not has_ended(registered) or '
        'received.born_ms > registered.since_ms:',
        'if True:', 'lives',
    ),
    Mutant(
        'incarnations: no start order for a shared address', 'incarnations',
        'return other.born_ms < received.born_ms',
        'return True', 'lives',
    ),
    Mutant(
        'incarnations: no start order against ended holders', 'incarnations',
        'if other.born_ms and received.born_ms:',
        'if other.born_ms and received.born_ms and not has_ended(other):',
        'lives',
    ),
    Mutant(
        'incarnations: no protection of an address on a return',
        'incarnations',
        'return order is Order.NEWER and not other.born_ms',
        'return not other.born_ms', 'lives',
    ),
    Mutant(
        'incarnations: no protection of an address by start time',
        'incarnations',
        'return order is Order.NEWER and not other.born_ms',
        'return order is Order.NEWER', 'lives',
    ),
    Mutant(
        'incarnations: no start time check on leaves', 'incarnations',
        'return Refusal.OLDER_LIFE if born_ms < registered.born_ms else None',
        'return None', 'lives',
    ),
    Mutant(
        'incarnations: no view check on leaves', 'incarnations',
        'if lives and lives < registered.lives:',
        'if False:', 'lives',
    ),
    Mutant(
        'incarnations: no refusal of leaves after a restart', 'incarnations',
        'if is_fresh and registered.state == instances.READY:',
        'if False:', 'lives',
    ),
    Mutant(
        'incarnations: no early leave while draining', 'incarnations',
        'if is_fresh and registered.state == instances.READY:',
        'if is_fresh:', 'lives',
    ),
    Mutant(
        'incarnations: no early leave of a first incarnation', 'incarnations',
        'registered.lives > 1\n        and now_ms', 'now_ms', 'lives',
    ),
    Mutant(
        'incarnations: no return after a timeout', 'registry',
        'state=instances.LEFT, seq=0, may_return=True',
        'state=instances.LEFT, seq=0', 'lives',
    ),
    Mutant(
        'incarnations: no sequence reset on a timeout', 'registry',
        'state=instances.LEFT, seq=0, may_return=True',
        'state=instances.LEFT, may_return=True', 'lives',
    ),
    Mutant(
        'incarnations: no return after replacement', 'statemachine',
        'state=instances.LEFT, since_ms=now_ms, may_return=True',
        'state=instances.LEFT, since_ms=now_ms', 'lives',
    ),
    Mutant(
        'incarnations: no further leave by a later start', 'statemachine',
        'if is_final and proposed.born_ms <= registered.born_ms:',
        'if is_final:', 'lives',
    ),
    Mutant(
        'incarnations: no order check in the state machine', 'statemachine',
        'if isinstance(order, incarnations.Refusal):',
        'if False:', 'lives',
    ),
    Mutant(
        'incarnations: no incarnation check on applied leaves', 'statemachine',
        'if proposed.lives not in (0, registered.lives):',
        'if False:', 'lives',
    ),
    Mutant(
        'incarnations: no start time check on applied leaves',
        'statemachine',
        'if proposed.born_ms and proposed.born_ms < registered.born_ms:',
        'if False:', 'lives', 'before any registration',
    ),
    Mutant(
        'warmup: no hall in the ownership key', 'warmup',
        'return runner.instance_id, runner.service, runner.hall',
        "return runner.instance_id, '', ''", 'warmup', 'another hall',
    ),
    Mutant(
        'warmup: no check for halls without gateways', 'warmup',
        '    if not local:\n', '    if False:\n', 'warmup',
        'without gateways',
    ),
    Mutant(
        'incarnations: no limit on start times in the future', 'registry',
        'if reported.born_ms > (self.app.wall_s() + MAX_CLOCK_SKEW_S) * 1000:',
        'if False:', 'lives',
    ),
    Mutant(
        'incarnations: no check of the service', 'registry',
        'if not is_registered and not self.service_exists(reported.service):',
        'if False:', 'lives',
    ),
    Mutant(
        'incarnations: no draining for services no longer named', 'registry',
        'if not is_registered and not self.service_exists(reported.service):',
        'if not self.service_exists(reported.service):', 'lives',
    ),
    Mutant(
        'incarnations: no check of the hall', 'registry',
        'if halls and reported.hall not in halls:',
        'if False:', 'lives',
    ),
    Mutant(
        'incarnations: no replacement at gateways', 'runnerregistry',
        'if backend is None or not backend.is_same_incarnation(instance):',
        'if backend is None:', 'lives',
    ),
    Mutant(
        'incarnations: no incarnation check on delayed answers',
        'runnerregistry',
        'return self.by_id.get(backend.instance.instance_id) is backend',
        'return True', 'lives',
    ),
    Mutant(
        'incarnations: no eviction of connections of ended runners',
        'runnerregistry',
        'return sorted((before - after) | (before & ended))',
        'return sorted(before - after)', 'lives',
    ),
    Mutant(
        'incarnations: no eviction of connections in use', 'lasthop',
        'connection.opened_s <= evicted_s or', '', 'lives',
    ),
    Mutant(
        'incarnations: no handling of deeply nested bodies', 'instances',
        'except RecursionError:',
        'except ZeroDivisionError:', 'lives',
    ),
    Mutant(
        'incarnations: no UTF-8 check on bodies', 'instances',
        'body.decode()\n        return',
        'return', 'lives',
    ),
    Mutant(
        'incarnations: no check of addresses', 'instances',
        'if not (_is_ip(host) and _is_port(port)):',
        'if False:', 'lives',
    ),
    Mutant(
        'incarnations: no range check on numbers', 'instances',
        'if not 0 <= value <= limit:',
        'if False:', 'lives',
    ),
    Mutant(
        'incarnations: no check of states', 'instances',
        'if instance.state not in (READY, DRAINING):',
        'if False:', 'lives',
    ),
    Mutant(
        'incarnations: no range check on engine parameters', 'ranks',
        'if values and not (low <= min(values) and max(values) <= high):',
        'if False:', 'lives',
    ),
    Mutant(
        'incarnations: no check for counters that were reset', 'sidecar',
        'if min(new, default=0) < 0:',
        'if False:', 'lives',
    ),
    Mutant(
        'incarnations: no start time check on rank reports', 'groups',
        'if 0 < state.born_ms < self.registered_start_ms(report.instance_id):',
        'if False:', 'lives',
    ),
    Mutant(
        'losses: no search for the leader after a delayed call', 'members',
        'self._app.start_task(self._search, called)', 'pass', 'losses',
        'for the leader at once',
    ),
    Mutant(
        'losses: no cancellation of calls to a lost leader', 'members',
        '            if called != address:\n', '            if False:\n',
        'losses', 'Calls waiting',
    ),
    Mutant(
        'losses: no closing of connections after a search', 'members',
        'used = {self._current, *self._pending.values()}',
        'used = set(self._connections)', 'losses', 'opened by a search',
    ),
    Mutant(
        'losses: no record of attempted addresses', 'members',
        '            and named not in attempted\n', '', 'losses',
        'outdated leader name',
    ),
    Mutant(
        'losses: no exclusion of the lost leader',
        'leadership', 'if address and address != question.excluded:',
        'if address:',
        'losses', 'to a leader query',
    ),
    Mutant(
        'losses: no delayed reply until a leader is known', 'leadership',
        'await self.replica.wait_for_step()', 'break', 'losses',
        'to a leader query',
    ),
    Mutant(
        'losses: no update of the leader from the local replica', 'formation',
        'self.leader.set_leader(address)', 'pass', 'losses',
        'its replica follows',
    ),
    Mutant(
        'losses: no staggered elections', 'replication',
        'wait_s = ELECTION_STAGGER_S * (1 + position + node.rng.random() / 4)',
        'wait_s = node.timing.election_s * node.rng.random()', 'losses',
        'a new leader is elected soon',
    ),
    Mutant(
        'losses: no fast retry of a lost pre-vote', 'elections',
        'span_s = node.timing.heartbeat_s * 2**node.pre_vote_attempts',
        'span_s = 2 * node.timing.election_s', 'losses',
        'requests votes again',
    ),
    Mutant(
        'losses: no priority between concurrent pre-votes', 'elections',
        'granted = granted and not '
        '_has_priority(node, sender, message, now_s)',
        'pass', 'losses', 'at the same moment',
    ),
    Mutant(
        'losses: no deferral after granting a pre-vote', 'elections',
        '            _defer_election(node, now_s)\n', '            pass\n',
        'losses', 'at the same moment',
    ),
    Mutant(
        'losses: no placement check on replacements', 'voterplacement',
        'if voter in unresponsive and new_excess > current_excess:',
        'if False:', 'losses', 'Voters are placed',
    ),
    Mutant(
        'losses: no placement gain required for a change', 'voterplacement',
        'if voter not in unresponsive and new_excess >= current_excess:',
        'if False:', 'losses', 'Voters are placed',
    ),
    Mutant(
        'losses: no ranking of learners', 'voterplacement',
        'excess(changed, hall_losses),\n        voters_per_hall(changed)',
        '0,\n        {}', 'losses', 'Voters are placed',
    ),
    Mutant(
        'losses: no ranking of voters to remove', 'voterplacement',
        '            excess(changed, hall_losses),\n            node_id == ',
        '            node_id == ', 'losses', 'Voters are placed',
    ),
    Mutant(
        'losses: no promotion before a removal', 'formation',
        'return config.promote(learner) if is_full else',
        'return', 'losses', 'Voters are placed',
    ),
    Mutant(
        'losses: no second learner required for a fourth voter', 'formation',
        'if len(state.ready) < 2:', 'if False:', 'losses', 'A fourth voter',
    ),
    Mutant(
        'losses: no wait for a better learner', 'formation',
        'if excess > voterplacement.excess(better, state.hall_losses):',
        'if False:', 'losses', 'in a better hall',
    ),
    Mutant(
        'losses: no update of a hall missing from the log', 'formation',
        "if node.config.halls.get(node.node_id, '') != hall:", 'if False:',
        'losses', 'written without halls',
    ),
    Mutant(
        'losses: no compatible encoding without halls', 'entries',
        'self if any(self[2:]) else self[:2]', 'self', 'losses',
        'written without halls',
    ),
    Mutant(
        'losses: no metric for voter placement', 'formation',
        "self.app.metrics.gauge('controllers.hall_loss_stops', "
        'int(surplus < 0))', 'pass', 'losses', 'in one hall is reported',
    ),
    Mutant(
        'losses: no suppression of repeated placement logs', 'formation',
        '        if placement == self._reported:\n',
        '        if False:\n', 'losses', 'in one hall is reported',
    ),
    Mutant(
        'losses: no concurrent handling of boxes in a lost hall', 'controller',
        'nursery.start_soon(self._remove_member, name)',
        'await self._remove_member(name)', 'losses', 'A large hall',
    ),
    Mutant(
        'losses: no preference for recently renewed leases', 'controller',
        'rank = (is_overdue, name in controllers)',
        'rank = (False, name in controllers)', 'losses', 'Orders to ranks',
    ),
    Mutant(
        'incarnations: no sequence check on unchanged heartbeats', 'registry',
        '''if heartbeat.seq < max(
            registered.seq, self._newest_seq.get(incarnation, 0)
        ):''',
        'if False:', 'lives',
    ),
    Mutant(
        'halls: no revision check on orders', 'statemachine',
        'if current.revision != command.revision:', 'if False:', 'halls',
    ),
    Mutant(
        'halls: no acknowledgement of a state already set', 'statemachine',
        'if current.is_out == command.is_out:', 'if False:', 'halls',
        'state of halls',
    ),
    Mutant(
        'halls: no cold start after a restore', 'statemachine',
        'if not command.is_out:', 'if False:', 'halls', 'state of halls',
    ),
    Mutant(
        'halls: no state in snapshots', 'statemachine',
        'self.view.by_prefix(views.HALL_PREFIX)', "self.view.by_prefix('-')",
        'halls', 'state of halls',
    ),
    Mutant(
        'halls: no confirmation of leadership on reads', 'hallmanager',
        '        await self._replica.confirm_leadership()\n', '', 'halls',
        'deposed',
    ),
    Mutant(
        'halls: no age limit on orders', 'hallorders',
        '''            if self.app.now_s() - received_s >= MAX_ORDER_AGE_S:
                raise errors.NoController''',
        '''            if False:
                raise errors.NoController''',
        'halls', 'is suspended',
    ),
    Mutant(
        'halls: no retry after a conflict', 'hallorders',
        '                continue\n', '                raise\n',
        'halls', 'conflicts with a newer',
    ),
    Mutant(
        'halls: no detection of disconnected callers', 'httpserver',
        'if not data:\n            scope.cancel()',
        'if not data:\n            pass', 'halls', 'caller disconnects',
    ),
    Mutant(
        'halls: no update on reloaded settings', 'hallorders',
        "        self._halls = settings['halls']", '        pass',
        'halls', 'Reloaded settings',
    ),
    Mutant(
        'halls: no check of names', 'hallorders',
        'if configured and name not in configured:', 'if False:',
        'halls', 'name of a hall',
    ),
    Mutant(
        'halls: no exclusion from placement', 'runnerregistry',
        'if backend.instance.hall not in self.halls_out', 'if True',
        'halls', 'Two halls',
    ),
    Mutant(
        'halls: no refusal when all halls are out', 'picking',
        '''if self.backends.all_halls_out(exchange.service):
            return False''',
        '''if False:
            return False''',
        'halls', 'All halls',
    ),
    Mutant(
        'halls: no update of the view', 'entry',
        '        self._update_halls()\n        self._update_quarantine()',
        '        self._update_quarantine()', 'halls', 'Two halls',
    ),
    Mutant(
        'halls: no ramp-up after a restore', 'slowstart',
        'return max(0.0, 1.0 - restored_for_s / RAMP_S)', 'return 0.0',
        'halls', 'is ramped up',
    ),
    Mutant(
        'halls: no ramp-up of preferred subsets', 'backends',
        'best = self._pick_preferred(candidates, occupancy, rng)',
        '''best = self._pick_preferred(
            candidates,
            lambda b: b.occupancy(self.report_interval_s, now_s),
            rng,
        )''',
        'halls', 'is ramped up',
    ),
    Mutant(
        'forwarding: no unknown outcome for requests in flight', 'forwarding',
        'if exchange.may_have_run or exchange.is_in_flight:',
        'if exchange.may_have_run:', 'forwarding', 'never answers',
    ),
    Mutant(
        'forwarding: no refusal to repeat unsafe requests', 'forwarding',
        'if problem.outcome != errors.NOT_RUN and not route.repeatable:',
        'if False:', 'forwarding', 'unsafe request whose first',
    ),
    Mutant(
        'last hop: no detection of truncated responses', 'lasthop',
        'as problem:\n            raise errors.BadAnswer(str(problem))\n'
        '        except trio', 'as problem:\n            return\n'
        '        except trio', 'forwarding', 'truncates',
    ),
    Mutant(
        'events: a stream may end within an event', 'events',
        'if not _has_only_comments(self.remainder):', 'if False:',
        'forwarding', 'whose runner.s stream',
    ),
    Mutant(
        'events: comments at the end are an unfinished event', 'events',
        'if not _has_only_comments(self.remainder):', 'if self.remainder:',
        'forwarding', 'whose runner.s stream',
    ),
    Mutant(
        'events: comments count as events', 'events',
        'sum(not event.is_empty for event in found)', 'len(found)',
        'forwarding', 'closes after a',
    ),
    Mutant(
        'answers: a close ends a stream without events', 'routedanswers',
        'if not event_count and not is_end_known:', 'if False:', 'forwarding',
        'before its first event, with no length',
    ),
    Mutant(
        'answers: a crash ends an answer without a length', 'forwarding',
        'if await self.pool.refuses_connections(\n'
        '            backend.instance.address, timeout_s, '
        'lasthop.END_OF_ANSWER\n'
        '        ):',
        'if False:', 'forwarding', 'crashes|ends between',
    ),
    Mutant(
        'answers: two runners that end alike do not end a stream',
        'routedanswers', 'last is not None and last == exchange.closed_after',
        'False', 'forwarding', 'has no more events',
    ),
    Mutant(
        'answers: the check for a crash outlasts the deadline', 'forwarding',
        'max(0.0, min(CONFIRM_S, left_s))', 'CONFIRM_S', 'forwarding',
        'accepts no more in time',
    ),
    Mutant(
        'answers: a planned stop is a crash', 'crashwatch',
        'return not is_ready or self._backoffs.is_leaving(runner)',
        'return False', 'forwarding', 'counts as',
    ),
    Mutant(
        'answers: a stopping runner ends its answers as whole', 'forwarding',
        'if reply.framing != lasthop.CLOSE:',
        'if reply.framing != lasthop.CLOSE or self.crashes.is_stopping('
        'backend.instance):', 'forwarding', 'drains and ends',
    ),
    Mutant(
        'answers: a process that still ends is taken to run', 'lasthop',
        'END_OF_ANSWER = Probing(16, 0.05, 0.005)',
        'END_OF_ANSWER = Probing(16, 0.003, 0.005)', 'forwarding',
        'ends 20 ms later',
    ),
    Mutant(
        'last hop: the connection to a running runner is not kept', 'lasthop',
        'if self._keep(address, connection):\n                # It',
        'if False:\n                # It', 'forwarding',
        'shows that a runner still runs',
    ),
    Mutant(
        'last hop: a connection that is reset shows a running process',
        'lasthop', 'await trio.lowlevel.wait_readable(probe)\n'
        '                return False', 'return True', 'forwarding',
        'accepts one more',
    ),
    Mutant(
        'last hop: a close after a failed send ends an answer', 'lasthop',
        'connection.send_failed = True', 'pass', 'forwarding',
        'then a reset',
    ),
    Mutant(
        'forwarding: streams without numbers are resumed', 'forwarding',
        'return exchange.route.resumable and exchange.is_numbered',
        'return exchange.route.resumable', 'forwarding',
        'breaks off after events',
    ),
    Mutant(
        'answers: all answers on streaming routes have events',
        'routedanswers', 'return media_type in (None, events.MEDIA_TYPE)',
        'return True', 'forwarding', 'whose runner.s stream',
    ),
    Mutant(
        'budgets: the first send counts as a retry', 'forwarding',
        'if not exchange.is_sent or exchange.retry is not None:',
        'if exchange.retry is not None:', 'forwarding', 'no retries left',
    ),
    Mutant(
        'budgets: no send counts as a retry', 'forwarding',
        'if not exchange.is_sent or exchange.retry is not None:',
        'if True:', 'forwarding', 'no retries left',
    ),
    Mutant(
        'budgets: no limit on retries', 'budgets',
        'if retries + 1 > self._window_quota(now_s):', 'if False:',
        'retrybudget',
    ),
    Mutant(
        'entry: no wait for open requests on a planned stop', 'entry',
        'while self.front.open_requests and self.app.now_s() < until_s:',
        'while False:', 'entry',
    ),
    Mutant(
        'warmup: no send window', 'warmup',
        'return len(sent_s) < quota or sent_s[0] + WINDOW_S <= now_s',
        'return True', 'warmup',
    ),
    Mutant(
        'warmup: no limit on local owners', 'warmup',
        'return quotas.secondary if rank <= quotas.local_owners else 0',
        'return quotas.secondary', 'warmup',
    ),
    Mutant(
        'warmup: no limit on remote owners', 'warmup',
        'return quotas.secondary if rank < quotas.remote_owners else 0',
        'return quotas.secondary', 'warmup',
    ),
    Mutant(
        'warmup: no halving of the limit', 'warmup',
        'half = max(1, int(limit_per_s) // 2)', 'half = int(limit_per_s)',
        'warmup',
    ),
    Mutant(
        'warmup: no quiet period after a start', 'warmup',
        'if now_s < self._quiet_until_s:\n            return False',
        'if False:\n            return False', 'warmup',
    ),
    Mutant(
        'warmup: no settling time', 'warmup',
        'return found if now_s >= self._settled_s else min(1, found)',
        'return found', 'warmup',
    ),
    Mutant(
        'warmup: no owners in other halls', 'warmup',
        'Quotas(primary, 1, remaining // 2, remaining - remaining // 2)',
        'Quotas(primary, 1, remaining, 0)', 'warmup',
    ),
    Mutant(
        'warmup: no retention of lost gateways', 'gatewaysets',
        'RETENTION_S = 30.0', 'RETENTION_S = 0.0', 'warmup',
    ),
    Mutant(
        'warmup: no release of quota by refused requests', 'warmup',
        "self.at_s = float('-inf')", 'pass', 'warmup',
    ),
    Mutant(
        'warmup: no exemption of runners without a limit', 'warmup',
        'if per_s > 0', 'if per_s >= 0', 'placement',
    ),
    Mutant(
        'backends: no extra cost of cold runners', 'backends',
        'added += COLD_COST', 'pass', 'warmup',
    ),
    Mutant(
        'wait queues: no priorities', 'waitqueues',
        'waiter = Waiter((priority, next(self._arrivals)))',
        'waiter = Waiter((0, next(self._arrivals)))', 'warmup',
    ),
    Mutant(
        'picking: no refusal of requests that would be too late', 'picking',
        'if send_s != sendgates.NEVER and send_s > until_s:', 'if False:',
        'warmup',
    ),
    Mutant(
        'picking: no time limit where others own all runners', 'picking',
        'return now_s - since_s < groupstates.MAX_CLOSED_WAIT_S',
        'return True', 'warmup',
    ),
    Mutant(
        'runner limits: no gate at selection', 'backends',
        '            self._limit_gate,\n', '', 'runnerlimits',
    ),
    Mutant(
        'runner limits: no owners', 'runnerlimits',
        'return rank < self._share(limit).owners', 'return True',
        'runnerlimits',
    ),
    Mutant(
        'runner limits: no interval between sends', 'runnerlimits',
        'next_s = limit.last_s + self._interval_s(limit)', 'next_s = now_s',
        'runnerlimits',
    ),
    Mutant(
        'runner limits: no room for a second view', 'runnerlimits',
        'SENDS_PER_LIMIT = 3', 'SENDS_PER_LIMIT = 6', 'runnerlimits',
    ),
    Mutant(
        'runner limits: no division of sends by owners', 'runnerlimits',
        'min(max(1, gateways), total // each), each)',
        'min(max(1, gateways), total // each), total)', 'runnerlimits',
    ),
    Mutant(
        'runner limits: no settling time after a start', 'runnerlimits',
        'return max(next_s, self._settled_s)', 'return next_s',
        'runnerlimits',
    ),
    Mutant(
        'runner limits: an older answer raises the limit', 'runnerlimits',
        'if not is_lower and sent_s <= limit.named_s:', 'if False:',
        'runnerlimits',
    ),
    Mutant(
        'runner limits: an older answer ends the limit', 'runnerlimits',
        'if sent_s <= limit.named_s:\n            return False\n        limit',
        'limit', 'runnerlimits',
    ),
    Mutant(
        'runner limits: no check of requests selected before', 'limitgates',
        'if self._limits.next_send_s(self._runner, now_s) <= now_s:',
        'if True:', 'runnerlimits',
    ),
    Mutant(
        'runner limits: no check of the time since selection', 'runnerlimits',
        'if now_s - slot.selected_s > MAX_SEND_DELAY_S:', 'if False:',
        'runnerlimits',
    ),
    Mutant(
        'runner limits: no check of a lowered limit', 'runnerlimits',
        'return slot.selected_s >= slot.previous_s + self._interval_s(limit)',
        'return True', 'runnerlimits',
    ),
    Mutant(
        'runner limits: no check of the owner before a send', 'runnerlimits',
        'if not self._is_owner(runner, limit, now_s):\n'
        '            return False',
        'if False:\n            return False', 'runnerlimits',
    ),
    Mutant(
        'runner limits: requests under way do not count', 'runnerlimits',
        'self.last_s = now_s', "self.last_s = float('-inf')", 'runnerlimits',
    ),
    Mutant(
        'runner limits: no release of a slot', 'limitgates',
        'self._slot.release()', 'pass', 'runnerlimits',
    ),
    Mutant(
        'runner limits: full rate at once after the end', 'runnerlimits',
        'return limit.last_s + self._ramp_interval_s(limit, now_s)',
        'return now_s', 'runnerlimits',
    ),
    Mutant(
        'runner limits: no end', 'runnerlimits',
        'limit.ended_s = now_s', 'pass', 'runnerlimits',
    ),
    Mutant(
        'runner limits: trials without a pause', 'runnerlimits',
        'if is_trial:\n', 'if False:\n', 'runnerlimits',
    ),
    Mutant(
        'runner limits: no trials', 'runnerlimits',
        'return now_s + mean_s * self._rng.uniform(0.5, 1.5)',
        'return NEVER', 'runnerlimits',
    ),
    Mutant(
        'runner limits: kept for a later start', 'runnerlimits',
        'return runner.instance_id, runner.born_ms',
        'return runner.instance_id, 0', 'runnerlimits',
    ),
    Mutant(
        'runner limits: dropped when a registration returns', 'runnerlimits',
        'return runner.instance_id, runner.born_ms',
        'return runner.instance_id, runner.lives', 'runnerlimits',
    ),
    Mutant(
        'runner limits: nothing from answers of other runners', 'forwarding',
        'announced = self.backends.record_misdirected(head, now_s)',
        'announced = []', 'runnerlimits',
    ),
    Mutant(
        'runner limits: requests for other runners do not count',
        'limitgates',
        'self._limits.record_arrival(backend.instance, now_s)', 'pass',
        'runnerlimits',
    ),
    Mutant(
        'runner limits: malformed ones count', 'limitgates',
        'if per_s is not None and math.isnan(per_s):', 'if False:',
        'runnerlimits',
    ),
    Mutant(
        'runner limits: no huge ones', 'runnerlimits',
        'return per_s is None or per_s > MAX_PER_S', 'return per_s is None',
        'runnerlimits',
    ),
    Mutant(
        'runner limits: no wait for a slot', 'picking',
        'if limited_s is not None and limited_s <= until_s:', 'if False:',
        'runnerlimits',
    ),
    Mutant(
        'runner limits: no refusal of requests that would be too late',
        'picking',
        'if limited_s is not None and limited_s > until_s:', 'if False:',
        'runnerlimits',
    ),
    Mutant(
        'runner limits: no order of waiting requests', 'limitgates',
        'return bool(backends) and all(', 'return False and all(',
        'runnerlimits',
    ),
    Mutant(
        'runner limits: no time to return from the owners', 'runnerlimits',
        'return now_s + min(self._interval_s(limit) for _, limit in limited)',
        'return now_s + 1000.0', 'runnerlimits',
    ),
    Mutant(
        'runner limits: no wait while a limit ends', 'runnerlimits',
        'return self._current(runner, now_s) is not None',
        'limit = self._current(runner, now_s)\n'
        '        return limit is not None and limit.ended_s is None',
        'runnerlimits',
    ),
    Mutant(
        'runner limits: no second try at a runner that got nothing',
        'forwarding',
        'if is_limited and not exchange.unsent_attempts:', 'if False:',
        'runnerlimits',
    ),
    Mutant(
        'upgrades: longer records are refused', 'records',
        'value = _convert(_trimmed(kind, raw), kind)',
        'value = _convert(raw, kind)', 'upgrades',
    ),
    Mutant(
        'upgrades: stored records lose later fields', 'records',
        'if kind in kept and extra:', 'if False:', 'upgrades',
    ),
    Mutant(
        'upgrades: snapshots lose later fields', 'statemachine',
        '(*image, *self._later_fields)', 'image', 'upgrades',
    ),
    Mutant(
        'upgrades: leaders of later builds are followed', 'replicas',
        'if self._can_follow(message.sender, consensus_message):', 'if True:',
        'upgrades',
    ),
    Mutant(
        'upgrades: heartbeats of refused leaders are answered', 'replicas',
        'if self._refused_leader == (sender, message.term):', 'if False:',
        'upgrades',
    ),
    Mutant(
        'upgrades: unknown committed commands are skipped', 'replicas',
        'except errors.UnknownCommand:\n            raise',
        'except ZeroDivisionError:\n            raise', 'upgrades',
    ),
    Mutant(
        'upgrades: unknown kinds are not answered', 'application',
        'if problem.seq:', 'if False:', 'upgrades',
    ),
    Mutant(
        'upgrades: a field is added without a sample', 'route',
        'lives: int = 0', 'lives: int = 0\n    hall: str = ""', 'upgrades',
    ),
    Mutant(
        'upgrades: a kind of command is added without a sample', 'commands',
        '    ReleaseRequest,\n)\n_NUMBER',
        '    ReleaseRequest,\n    views.Member,\n)\n_NUMBER', 'upgrades',
    ),
    Mutant(
        'admission: no bound on requests', 'admission',
        'return self.requests < min(most, self.places)', 'return True',
        'admission',
    ),
    Mutant(
        'admission: no room reserved for the more urgent',
        'admissionpriorities',
        'MOST_URGENT - RESERVED * share_before', 'MOST_URGENT', 'admission',
    ),
    Mutant(
        'admission: no preference of returned requests',
        'admissionpriorities',
        'return min(part + RETURNED, MOST_URGENT) if is_returned else part',
        'return part', 'admission',
    ),
    Mutant(
        'admission: no floor', 'admissionpriorities',
        'return self._credit.get(key, 0.0) + FLOOR >= 1', 'return False',
        'admission',
    ),
    Mutant(
        'admission: refuses below half of the places', 'admission',
        'most = max(part * self.bound, least)', 'most = part * self.bound',
        'admission',
    ),
    Mutant(
        'admission: no turns for returns', 'admissionreturns',
        'self._next_s += 1 / (RETURN_SHARE * free_per_s)', 'pass',
        'admission',
    ),
    Mutant(
        'admission: reports older than five intervals do not count',
        'admission',
        'backend.load(interval_s, now_s), backend.reported_requests',
        'backend.load(interval_s, now_s), 0', 'admission',
    ),
    Mutant(
        'admission: no priority header to runners', 'forwarding',
        "added.append((names.priority, b'%d' % level))", 'pass',
        'admission',
    ),
    Mutant(
        'no group keeps requests in their hall', 'hallcosts',
        'or free_slots.get(backend.group, 0) <= taken', 'or True', 'balance',
    ),
    Mutant(
        'a queue in the hall rather than a hop', 'hallcosts',
        'return Hops(candidates, DEFAULT_HALL_COST)',
        'return Hops(candidates, hall_cost)', 'balance',
    ),
    Mutant(
        'no margin for requests of other gateways', 'hallcosts',
        'MARGIN * math.sqrt(taken)', '0', 'balance',
    ),
    Mutant(
        'the setting for hops is ignored', 'backends',
        'candidates, hop_cost = hops', 'candidates = hops.candidates',
        'balance',
    ),
    Mutant(
        'demand: no subtraction of counts from before a shift', 'demand',
        'max(0.0, new - scale * old) for new', 'new for new', 'turns',
    ),
    Mutant(
        'demand: no plan until counts are all from after a shift', 'demand',
        'self.is_shifting = 1 - former_share < MIN_NEW_SHARE',
        'self.is_shifting = True', 'turns',
    ),
    Mutant(
        'demand: plans from counts mostly before a shift', 'demand',
        'self.is_shifting = 1 - former_share < MIN_NEW_SHARE',
        'self.is_shifting = False', 'turns',
    ),
    Mutant(
        'demand: no windows that overlap', 'demand',
        'PART_S = SPAN_S / 2', 'PART_S = SPAN_S', 'turns',
    ),
    Mutant(
        'maps: no limit on copies by the time between shifts', 'mapplans',
        'MAX_COPY_S = 0.25', 'MAX_COPY_S = 0.45', 'mapplans',
    ),
    Mutant(
        'pauses: the view is trusted after a pause', 'members',
        'self._lease.distrust(self._app.now_s())', 'pass', 'pauses',
    ),
    Mutant(
        'pauses: not detected', 'clocks', 'if paused_s > MIN_PAUSE_S:',
        'if False:', 'pauses',
    ),
    Mutant(
        'pauses: no check right before the send', 'forwarding',
        'if exchange.pauses != self.view.pauses():\n            raise',
        'if False:\n            raise', 'pauses', 'assigned before',
    ),
    Mutant(
        'pauses: requests keep the route from before', 'forwarding',
        'if exchange.pauses == self.view.pauses():', 'if True:', 'pauses',
        'assigned before',
    ),
    Mutant(
        'pauses: an entry stays ready', 'entry',
        'return self.forwarder.view.is_current()', 'return True', 'pauses',
    ),
    Mutant(
        'pauses: an entry lists gateways of before', 'entry',
        'if not self.forwarder.view.is_current():', 'if False:', 'pauses',
    ),
    Mutant(
        'pauses: requests wait for a renewal for ever', 'viewguards',
        'trio.move_on_after(WAIT_S)', 'trio.move_on_after(100)', 'pauses',
    ),
    Mutant(
        'pauses: a renewal sent before confirms the view', 'leases',
        'return self.confirmed_s >= self._resumed_s',
        'return self.confirmed_s > 0', 'pauses',
    ),
    Mutant(
        'copies: too few voters acknowledge', 'copies',
        'if not losses or count >= full_size(losses):', 'if True:', 'copies',
    ),
    Mutant(
        'copies: no wait for voters that are joining', 'copies',
        'and steady_s >= FORMING_S', '', 'copies',
    ),
    Mutant(
        'copies: a missing voter is waited for without end', 'copies',
        'steady_s >= FORMING_S', 'False', 'copies',
    ),
    Mutant(
        'copies: a voter is removed before its replacement is one',
        'formation', 'if not ready or (count == max_voters and not'
        ' unresponsive):\n        return None',
        'if not ready or (count == max_voters and not unresponsive):\n'
        '        return None\n    if count == max_voters:\n'
        '        return node.config.without(unresponsive[0])', 'copies',
    ),
    Mutant(
        'answers: long ones are held', 'routedanswers',
        'return is_room and length <= READ_AHEAD_BYTES', 'return True',
        'endless', 'callers read|body in chunks',
    ),
    Mutant(
        'answers: as many are held as there are callers', 'routedanswers',
        'return is_room and length', 'return length', 'endless',
        'for whom 2 MB are held',
    ),
    Mutant(
        'answers: those that are sent count as held', 'routedanswers',
        'self.held_bytes -= counted', 'pass', 'forwarding',
        'counts nothing once',
    ),
    Mutant(
        'answers: events without end are held', 'routedanswers',
        'if len(splitter.remainder) > MAX_EVENT_BYTES:', 'if False:',
        'endless', 'body in chunks',
    ),
    Mutant(
        'turns: parts are parsed without a yield', 'turns',
        'if self._parts >= PARTS_PER_TURN:', 'if False:', 'endless',
        'arrives at once',
    ),
    Mutant(
        'last hop: each part of a body is handed on alone', 'lasthop',
        'parts.append(bytes(event.data))',
        'return bytes(event.data), None', 'endless', 'arrives at once',
    ),
    Mutant(
        'server: a response that is cancelled before a byte has started',
        'httpserver', 'await trio.lowlevel.checkpoint_if_cancelled()', 'pass',
        'endless', 'busy past the deadline',
    ),
    Mutant(
        'server: the limits of an idle connection are kept', 'httpserver',
        'limits = self._limits()\n            idle_s',
        'limits = first = locals().get("first") or self._limits()\n'
        '            idle_s', 'forwarding', 'A kept connection waits',
    ),
    Mutant(
        'server: a HEAD request gets a body', 'httpserver',
        "method == b'HEAD'", 'False', 'forwarding', 'A HEAD request',
    ),
    Mutant(
        'entry: limits for callers bound operators', 'entry',
        'entry.make_server(handlers.control, lambda: CONTROL_LIMITS)',
        'entry.make_server(handlers.control, entry.limits)', 'entry',
        'Limits for callers',
    ),
    Mutant(
        'entry: configurations that are not UTF-8 are taken', 'entry',
        'routes.check_encoding(source)', 'pass', 'entry', 'not UTF-8',
    ),
    Mutant(
        'parts: a report reads what was quarantined before its releases',
        'partquarantine',
        'entries = self._entries()\n'
        '        self._refresh(entries, now_s)\n        again', 'again',
        'partevidence', 'in one report',
    ),
    Mutant(
        'parts: one that is gone is looked up', 'partquarantine',
        'self._since.get(key, (True, now_s))', 'self._since[key]',
        'partevidence', 'as the other expires',
    ),
    Mutant(
        'replicas: proposals wait beyond a snapshot', 'replicas',
        '_send(waiter, errors.NotLeader())\n\n', 'pass\n\n', 'consensus',
        'a snapshot overtakes',
    ),
    Mutant(
        'sidecar: changed seeds are not used', 'sidecar',
        'app.tasks.append(settingswatch.task(app, path, update))', 'pass',
        'start', 'A sidecar uses the seeds',
    ),
    Mutant(
        'last hop: long bodies are copied', 'lasthop',
        'if len(body) <= MAX_COPIED_BYTES:', 'if True:', 'endless',
        'Runners read the bodies',
    ),
    Mutant(
        'server: request bodies are not bounded together', 'httpserver',
        'if self.held_bytes + count > self.max_bytes:', 'if False:',
        'endless', 'Runners read the bodies',
    ),
    Mutant(
        'answers: a long one that is cut is sent again', 'forwarding',
        'if exchange.is_body_begun:', 'if False:', 'endless',
        'breaks off',
    ),
    Mutant(
        'last hop: interim answers without end', 'lasthop',
        'for _ in range(MAX_ANSWERS):\n                event',
        'while True:\n                event', 'endless', 'interim',
    ),
    Mutant(
        'last hop: skipped answers without end', 'lasthop',
        'await reply.read_body(MAX_SKIPPED_BYTES)',
        'await reply.read_body(1 << 60)', 'endless', 'to another',
    ),
    Mutant(
        'last hop: answers that name no request are taken', 'lasthop',
        'if head.request_id is None and not self._are_answers_named:',
        'if head.request_id is None:', 'forwarding', 'no request',
    ),
    Mutant(
        'server: bodies are not bounded', 'httpserver',
        'if self.held_bytes + count > self.max_bytes:', 'if False:',
        'endless', 'send bodies',
    ),
    Mutant(
        'server: bodies of callers that leave stay counted', 'httpserver',
        'self._bodies.release(length)', 'pass', 'endless', 'send bodies',
    ),
    Mutant(
        'answers: events before a gap are dropped', 'routedanswers',
        'return new, problem', 'return [], problem', 'forwarding',
        'leaves out',
    ),
    Mutant(
        'storage: parts of snapshots are taken for older ones', 'storage',
        "path.suffix != '.part' and ", '', 'storage', 'rotated',
    ),
    Mutant(
        'start: a change during the start is missed', 'settingswatch',
        "applied = _reload(path, b'', apply)",
        'applied = pathlib.Path(path).read_bytes()', 'start',
        'change during',
    ),
    Mutant(
        'start: a reload signal ends the process', 'startup',
        'signal.signal(signal.SIGHUP, signal.SIG_IGN)', 'pass', 'start',
        'SIGHUP',
    ),
)  # fmt: skip


def path_in(tree: pathlib.Path, mutant: Mutant) -> pathlib.Path:
    """Return the path of a mutant's module in ``tree``."""
    return next((tree / 'mountridge').rglob(f'{mutant.module}.py'))


def copy_with(mutant: Mutant, tree: pathlib.Path) -> int:
    """Copy the sources to ``tree`` and apply a mutant.

    Returns how often the snippet to replace occurs, which must be once.
    """
    skip = shutil.ignore_patterns('.git', '.venv', '__pycache__', 'target')
    shutil.copytree(ROOT, tree, ignore=skip)
    path = path_in(tree, mutant)
    text = path.read_text()
    path.write_text(text.replace(mutant.old, mutant.new))
    return text.count(mutant.old)


def run(mutant: Mutant) -> tuple[str, list[str]]:
    """Return the result of a mutant, and the scenarios that failed."""
    with tempfile.TemporaryDirectory() as folder:
        tree = pathlib.Path(folder) / 'tree'
        count = copy_with(mutant, tree)
        if count != 1:
            return f'snippet found {count} times', []
        command = [sys.executable, '-m', 'behave', '--no-color', '-f', 'null']
        command.append(f'features/{mutant.feature}.feature')
        if mutant.scenarios:
            command += ['-n', mutant.scenarios]
        try:
            done = subprocess.run(
                command,
                cwd=tree,
                env={'PYTHONPATH': str(tree), 'PATH': '/usr/bin:/bin'},
                capture_output=True,
                text=True,
                timeout=TIMEOUT_S,
            )
        except subprocess.TimeoutExpired:
            return 'caught (time-out)', []
        failed = re.findall(r'^  (features/\S+)', done.stdout, re.M)
        return ('caught' if failed else 'LIVES'), failed


def main() -> int:
    """Run all mutants, or those whose name contains an argument.

    Returns 1 if a mutant survived.
    """
    wanted = sys.argv[1:]
    chosen = [
        m for m in MUTANTS if not wanted or any(w in m.name for w in wanted)
    ]
    with futures.ThreadPoolExecutor(6) as pool:
        results = list(pool.map(run, chosen))
    survived = 0
    for mutant, (state, failed) in zip(chosen, results):
        survived += not state.startswith('caught')
        first = ', '.join(failed[:3])
        print(f'{state:18} {mutant.name}: {len(failed)} scenarios {first}')
    print(f'{len(chosen) - survived} of {len(chosen)} caught')
    return 1 if survived else 0


if __name__ == '__main__':
    sys.exit(main())
