# SPDX-License-Identifier: Apache-2.0

"""A request by the table, from a gateway over agents to a runner."""
