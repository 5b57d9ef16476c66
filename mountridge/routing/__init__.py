# SPDX-License-Identifier: Apache-2.0

"""Routing of requests from callers to runners, by the routes document."""
