# SPDX-License-Identifier: Apache-2.0

"""Groups of ranks that run in lock-step: reports, orders and map changes."""
