# SPDX-License-Identifier: Apache-2.0

"""Steps on what the scenarios start processes with."""

import json
import pathlib
import subprocess
import sys

from behave import then, when
import trio

from mountridge.documents import instances
from mountridge.routing import entryapi
from standins import engineserver

#: Prints ports that it has chosen, and ends once it is told to.
CHOOSE = """
import json, sys
from standins import ports
chosen = [ports.free_port() for _ in range(int(sys.argv[1]))]
print(json.dumps([chosen, ports.network()]))
sys.stdout.flush()
sys.stdin.read()
"""
KERNEL_RANGE = pathlib.Path('/proc/sys/net/ipv4/ip_local_port_range')


@when('{processes:d} processes choose {count:d} ports each at the same time')
def choose_ports(context, processes, count):
    started = [
        subprocess.Popen(
            [sys.executable, '-c', CHOOSE, str(count)],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
        )
        for _ in range(processes)
    ]
    told = [json.loads(each.stdout.readline()) for each in started]
    context.chosen = [ports for ports, _ in told]
    context.networks = [network for _, network in told]
    for each in started:
        each.communicate()


@then('no port is chosen twice')
def check_apart(context):
    listed = [port for chosen in context.chosen for port in chosen]
    assert len(set(listed)) == len(listed), sorted(listed)


@then('none is from the range that the kernel gives to connections')
def check_range(context):
    first, last = map(int, KERNEL_RANGE.read_text().split())
    found = [p for each in context.chosen for p in each if first <= p <= last]
    assert not found, found


@then('each has a loopback network of its own')
def check_networks(context):
    assert len(set(context.networks)) == len(context.networks)


@when('an emulated runner registers and tells nothing besides')
def register(context):
    context.bodies = []

    async def play():
        with trio.CancelScope() as scope:

            async def take(path, body):
                context.bodies.append(body)
                scope.cancel()
                return 200

            place = ('127.0.0.1:1', 4)
            await engineserver.register(take, 'i-1', 's', *place)

    trio.run(play)


@then('its heartbeat is one that an entry takes')
def check_heartbeat(context):
    heartbeat = entryapi.read_heartbeat('i-1', context.bodies[0])
    assert heartbeat.instance.state == instances.READY, heartbeat
