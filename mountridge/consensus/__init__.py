# SPDX-License-Identifier: Apache-2.0

"""The replicated log: consensus core, storage and replicas."""
