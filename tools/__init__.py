# SPDX-License-Identifier: Apache-2.0

"""Tools for maintainers; not used by any daemon."""
