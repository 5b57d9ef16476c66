# SPDX-License-Identifier: Apache-2.0

"""The fault soak: real processes on loopback, harmed from outside.

``python -m tools.soak run --seed N --minutes M`` starts entries and sidecars
with emulated runners, plays callers and operators, injects the faults that
the seed draws, and checks what callers, runners and operators see. Everything
that a seed decides is in `schedule`; times of real processes differ a little
between two runs of one seed.
"""
