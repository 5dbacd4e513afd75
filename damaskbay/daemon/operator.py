"""Data that the operator listener serves: metrics, health, status and decisions."""

from collections.abc import Callable
from typing import Any

from damaskbay.adapters.telemetry.client import Telemetry
from damaskbay.cli.operator_models import DecisionModel, ExplainModel, StatusModel
from damaskbay.core.explain import Decision
from damaskbay.daemon.announcing import Announcer, ServerAnnouncement
from damaskbay.daemon.observer import DaemonObserver
from damaskbay.ports.fleet import ConfigSource, Membership, ServerState
from damaskbay.ports.operator import Health
from damaskbay.ports.peer import PeerIdentity

CUT_OFF_AFTER_S = 5.0
NO_CONFIGURATION = "no configuration set in force"
SERVER_NOT_READY = "the backend server is {state}"


class DaemonOperator:
    """Serves operators and backend server announcements (port: OperatorService)."""

    def __init__(
        self,
        identity: PeerIdentity,
        *,
        telemetry: Telemetry,
        observer: DaemonObserver,
        config: ConfigSource,
        membership: Membership,
        announcer: Announcer,
        clock: Callable[[], float],
    ) -> None:
        self._identity = identity
        self._telemetry = telemetry
        self._observer = observer
        self._config = config
        self._membership = membership
        self._announcer = announcer
        self._clock = clock

    def scrape(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
        return self._telemetry.scrape()

    def health(self) -> Health:
        """Return the reasons why the daemon is not ready, if any."""
        reasons = []
        if self._config.state() is None:
            reasons.append(NO_CONFIGURATION)
        state = self._announcer.state
        if state is not ServerState.READY:
            reasons.append(SERVER_NOT_READY.format(state=state.value))
        return Health(tuple(reasons))

    def status(self) -> dict[str, Any]:
        """Return the JSON document of `/status`."""
        state = self._config.state()
        health = self.health()
        age_s = None if state is None else self._clock() - state.proven_at
        for_all = state is not None and state.platform_unreachable_everywhere
        document = StatusModel(
            instance=self._identity.instance,
            incarnation=self._identity.incarnation,
            failure_domain=self._identity.failure_domain,
            set_version=0 if state is None else state.config.version,
            set_digest="" if state is None else state.config.digest,
            proven_age_s=None if age_s is None else round(age_s, 3),
            platform_outage_for_all=for_all,
            cut_off=age_s is not None and age_s > CUT_OFF_AFTER_S and not for_all,
            ready=health.ready,
            why_not_ready=health.reasons,
            backend_server=self._announcer.state.value,
            members=len(self._membership.members()),
        )
        return document.model_dump(mode="json")

    def explain(self, *, call_id: str | None, workspace: str | None) -> dict[str, Any]:
        """Return the JSON document of `/explain`."""
        decisions = self._observer.explain(call_id=call_id, workspace=workspace)
        document = ExplainModel(
            instance=self._identity.instance,
            decisions=tuple(_decision_model(decision) for decision in decisions),
        )
        return document.model_dump(mode="json")

    def announce(self, state: ServerState, slots: int, load: float) -> None:
        """Forward an announcement of the local backend server to the announcer."""
        self._announcer.post(ServerAnnouncement(state, slots, load))


def _decision_model(decision: Decision) -> DecisionModel:
    return DecisionModel(
        at=decision.at,
        call_id=decision.call_id,
        workspace=decision.workspace,
        decision=decision.decision,
        reason=decision.reason,
        set_version=decision.set_version,
        rule=decision.rule,
        detail=decision.detail,
        figures=dict(decision.figures),
    )
