# SPDX-License-Identifier: Apache-2.0

"""Expert maps: demand, planning, and the steps of a change; no I/O."""
