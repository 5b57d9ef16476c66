# SPDX-License-Identifier: Apache-2.0

"""Managers run by the leader: runners, controllers, halls and quarantine."""
