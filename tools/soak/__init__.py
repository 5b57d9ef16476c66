# SPDX-License-Identifier: Apache-2.0

"""Soak test with fault injection into real processes on loopback.

``python -m tools.soak run --seed N --minutes M`` starts entries and sidecars
with emulated runners, simulates callers and operators, injects the faults
drawn from the seed, and checks what callers, runners and operators observe.
Everything that depends on the seed is in `schedule`; the timing of real
processes differs a little between two runs of one seed.
"""
