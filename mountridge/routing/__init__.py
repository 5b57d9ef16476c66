# SPDX-License-Identifier: Apache-2.0

"""A request by routes, from the caller to a runner and back."""
