"""A daemon that follows the platform's log service."""

from wagtailstep.controllers.announcements import AnnouncementController
from wagtailstep.controllers.dissemination import DisseminationController
from wagtailstep.controllers.ejection import EjectionController
from wagtailstep.controllers.evidence import EvidenceController
from wagtailstep.controllers.membership import MembershipController
from wagtailstep.controllers.table import TableController
from wagtailstep.models.events import Controller
from wagtailstep.models.log import LogService
from wagtailstep.network.daemon import Daemon
from wagtailstep.network.log_client import HttpLogService


class LogDaemon(Daemon):
    """Take edits of the table from the log, and agree on ejections through it.

    Parameters are those of :class:`wagtailstep.network.daemon.Daemon`.
    """

    def create_controllers(self) -> tuple[Controller, ...]:
        """Return the controllers; each sees what those before it wrote for an event."""
        parts = (self.settings, self.blackboard, self.clock, self.rng)
        return (
            TableController(*parts),
            MembershipController(*parts),
            AnnouncementController(*parts),
            DisseminationController(*parts),
            EvidenceController(*parts),
            EjectionController(*parts),
            self.routing,
            self.guard,
            self.metrics,
        )

    def create_log_service(self) -> LogService:
        """Return the platform's log service."""
        return HttpLogService(self.settings.log)
