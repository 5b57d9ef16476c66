# SPDX-License-Identifier: Apache-2.0

"""Sockets between processes, and HTTP on both sides."""
