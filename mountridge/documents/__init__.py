# SPDX-License-Identifier: Apache-2.0

"""What operators write and runners say: checked records, no I/O."""
