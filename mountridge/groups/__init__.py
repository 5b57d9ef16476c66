# SPDX-License-Identifier: Apache-2.0

"""Ranks in lock-step: reports, orders and changes of maps."""
