# SPDX-License-Identifier: Apache-2.0

"""The replicated state, and the leases by which it is distributed."""
