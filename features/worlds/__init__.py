# SPDX-License-Identifier: Apache-2.0

"""Scripted clocks, networks and disks under the daemons own code."""
