# SPDX-License-Identifier: Apache-2.0

"""The replicated log: the core, its disk, and its driver."""
