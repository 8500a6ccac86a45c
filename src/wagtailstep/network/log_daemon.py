"""A daemon that is configured through the platform's log service."""

from wagtailstep.controllers.announcements import AnnouncementController
from wagtailstep.controllers.dissemination import DisseminationController
from wagtailstep.controllers.ejection import EjectionController
from wagtailstep.controllers.evidence import EvidenceController
from wagtailstep.controllers.membership import MembershipController
from wagtailstep.controllers.server_notices import ServerNoticesController
from wagtailstep.controllers.suspects import CrashSuspects
from wagtailstep.controllers.table import TableController
from wagtailstep.models.events import Controller
from wagtailstep.models.log import LogService
from wagtailstep.network.daemon import Daemon
from wagtailstep.network.log_client import HttpLogService


class LogDaemon(Daemon):
    """A daemon that reads table edits from the log and agrees on ejections through it.

    See :class:`wagtailstep.network.daemon.Daemon` for the parameters.
    """

    def create_controllers(self) -> tuple[Controller, ...]:
        """Create the controllers in the order in which they handle each event."""
        parts = (self.settings, self.blackboard, self.clock, self.rng)
        return (
            TableController(*parts),
            MembershipController(*parts),
            AnnouncementController(*parts),
            DisseminationController(*parts),
            ServerNoticesController(*parts),
            CrashSuspects(*parts),
            EvidenceController(*parts),
            EjectionController(*parts),
            self.routing,
            self.guard,
            self.metrics,
        )

    def create_log_service(self) -> LogService:
        """Create the client of the log service."""
        return HttpLogService(self.settings.log)
