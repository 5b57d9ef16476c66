# SPDX-License-Identifier: Apache-2.0

"""Validated records of operators' input and runners' registrations; no I/O."""
