# SPDX-License-Identifier: Apache-2.0

"""The scenarios, their steps and the worlds they run in."""
