"""A daemon that uses the platform's metadata store and heartbeats."""

from blacksheep import Application

from wagtailstep.controllers.announcements import AnnouncementController
from wagtailstep.controllers.call_ratios import CallRatios
from wagtailstep.controllers.departure_discovery import DepartureDiscovery
from wagtailstep.controllers.departure_responder import DepartureResponder
from wagtailstep.controllers.dissemination import DisseminationController
from wagtailstep.controllers.membership import MembershipController
from wagtailstep.controllers.path_watch import PathWatch
from wagtailstep.controllers.published_table import PublishedTableController
from wagtailstep.controllers.server_notices import ServerNoticesController
from wagtailstep.controllers.suspects import CrashSuspects
from wagtailstep.controllers.target_judge import TargetJudge
from wagtailstep.models.events import Controller
from wagtailstep.models.keyed_store import KeyedStore
from wagtailstep.models.settings import DaemonSettings
from wagtailstep.network.daemon import Daemon
from wagtailstep.network.departure_answers import DepartureAnswers
from wagtailstep.network.table_follower import follow_table
from wagtailstep.platform.configuration import build_table, find_document
from wagtailstep.platform.heartbeats import add_heartbeat_routes
from wagtailstep.platform.settings import PlatformSettings
from wagtailstep.platform.store import PlatformStore
from wagtailstep.utils.clock import Clock


class PlatformDaemon(Daemon):
    """Connects the controllers to the platform's store and heartbeats.

    :param settings: settings of the daemon and of the store.
    :param clock: clock of all components.
    """

    def __init__(self, settings: PlatformSettings, clock: Clock) -> None:
        self.store = PlatformStore(settings.store, clock)
        super().__init__(settings.build_daemon_settings(), clock)
        self.store.calls.on_end = self.metrics.record_store_call

    def apply_settings(self, settings: PlatformSettings) -> DaemonSettings:
        """Apply changes of the connection to the store as well."""
        daemon_settings = super().apply_settings(settings.build_daemon_settings())
        self.store.apply_settings(settings.store)
        return daemon_settings

    def get_keyed_store(self) -> KeyedStore:
        """Return the platform's store."""
        return self.store

    def create_controllers(self) -> tuple[Controller, ...]:
        """Return the controllers for a table that is published as one document.

        Each gate judges the standing of its own target.
        """
        parts = (self.settings, self.blackboard, self.clock, self.rng)
        self.table = PublishedTableController(*parts, build_table)
        self.announcements = AnnouncementController(*parts)
        dissemination = DisseminationController(*parts)
        return (
            self.table,
            MembershipController(*parts),
            DepartureDiscovery(*parts),
            self.announcements,
            dissemination,
            DepartureResponder(dissemination.leases, self.clock),
            ServerNoticesController(*parts),
            CrashSuspects(*parts),
            TargetJudge(*parts),
            CallRatios(*parts),
            PathWatch(*parts),
            self.routing,
            self.metrics,
        )

    def add_target_routes(self, app: Application) -> None:
        """Add the heartbeat endpoints in place of announcements."""
        answers = DepartureAnswers(
            self.departure_store, self.announcements.is_departure_settled
        )
        parts = (self.runtime.dispatch, self.settings, self.clock)
        add_heartbeat_routes(app, *parts, answers.answer)

    async def start(self) -> None:
        """Start the daemon and follow the operator's configuration."""
        await super().start()
        choose_wait = self.table.freshness.choose_wait
        parts = (self.clock, self.runtime, self.rng)
        follow_table(self.store, find_document, choose_wait, *parts)

    async def close(self) -> None:
        """Stop immediately and close the connections to the store."""
        await super().close()
        self.store.close()
