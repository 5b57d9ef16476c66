# SPDX-License-Identifier: Apache-2.0

"""The subset of the runners in its hall that a gateway fills first.

The gateways of a hall share its runners out among them: each knows its own
requests on its subset without a report.
"""

import typing

from mountridge.routing import runnerstates

__all__ = ['Subset']


class Subset:
    """The preferred runners of the gateway ``name``."""

    def __init__(self, name: str):
        self._name = name
        self._halls: dict[str, str] = {}
        #: Ids of the runners that this gateway fills first.
        self.ids: set[str] = set()

    def update_gateways(self, halls: dict[str, str]) -> bool:
        """Set the hall of each gateway by its name; return if it changed."""
        if halls == self._halls:
            return False
        self._halls = dict(halls)
        return True

    def assign(
        self, by_service: typing.Mapping[str, list[runnerstates.Backend]]
    ) -> None:
        """Divide the runners of this gateway's hall among its gateways."""
        self.ids = set()
        hall = self._halls.get(self._name)
        if hall is None:
            return
        local = sorted(n for n, h in self._halls.items() if h == hall)
        position = local.index(self._name)
        for listed in by_service.values():
            ids = sorted(
                backend.instance.instance_id
                for backend in listed
                if backend.instance.hall == hall
            )
            self.ids.update(ids[position :: len(local)])
