# SPDX-License-Identifier: Apache-2.0

"""Emulated runners, the demo, and tools that start real processes."""
