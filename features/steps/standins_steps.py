# SPDX-License-Identifier: Apache-2.0

"""Steps on port allocation and emulated runners."""

import json
import pathlib
import subprocess
import sys

from behave import then, when
import trio

from mountridge.documents import instances
from mountridge.routing import entryapi
from standins import engineserver

#: Allocates ports, prints them, and exits when its stdin is closed.
ALLOCATE = """
import json, sys
from standins import ports
allocated = [ports.free_port() for _ in range(int(sys.argv[1]))]
print(json.dumps([allocated, ports.network()]))
sys.stdout.flush()
sys.stdin.read()
"""
KERNEL_RANGE = pathlib.Path('/proc/sys/net/ipv4/ip_local_port_range')


@when('{processes:d} processes allocate {count:d} ports each at the same time')
def allocate_ports(context, processes, count):
    started = [
        subprocess.Popen(
            [sys.executable, '-c', ALLOCATE, str(count)],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
        )
        for _ in range(processes)
    ]
    printed = [json.loads(each.stdout.readline()) for each in started]
    context.allocated = [ports for ports, _ in printed]
    context.networks = [network for _, network in printed]
    for each in started:
        each.communicate()


@then('no port is allocated twice')
def check_unique(context):
    all_ports = [port for ports in context.allocated for port in ports]
    assert len(set(all_ports)) == len(all_ports), sorted(all_ports)


@then("no port is in the kernel's ephemeral range")
def check_range(context):
    first, last = map(int, KERNEL_RANGE.read_text().split())
    found = [
        p for each in context.allocated for p in each if first <= p <= last
    ]
    assert not found, found


@then('each process has a loopback network of its own')
def check_networks(context):
    assert len(set(context.networks)) == len(context.networks)


@when('an emulated runner registers with only the required fields')
def register(context):
    context.bodies = []

    async def play():
        with trio.CancelScope() as scope:

            async def post(path, body):
                context.bodies.append(body)
                scope.cancel()
                return 200

            address_and_slots = ('127.0.0.1:1', 4)
            await engineserver.register(post, 'i-1', 's', *address_and_slots)

    trio.run(play)


@then('its heartbeat is valid for an entry')
def check_heartbeat(context):
    heartbeat = entryapi.read_heartbeat('i-1', context.bodies[0])
    assert heartbeat.instance.state == instances.READY, heartbeat
