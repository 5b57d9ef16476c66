# SPDX-License-Identifier: Apache-2.0

"""Components of a leading controller: cluster, runners and halls."""
