# SPDX-License-Identifier: Apache-2.0

"""What the log decides, and the leases that spread it."""
