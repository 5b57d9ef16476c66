# SPDX-License-Identifier: Apache-2.0

"""Benchmarks, run by hand and not part of the tests."""
