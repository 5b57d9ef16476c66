# SPDX-License-Identifier: Apache-2.0

"""The leader's offices: runners that register, and controllers."""
