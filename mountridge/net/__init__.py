# SPDX-License-Identifier: Apache-2.0

"""Sockets between processes, and HTTP to callers and to runners."""
