# SPDX-License-Identifier: Apache-2.0

"""Dispatch of requests by the table, from gateways via agents to runners."""
