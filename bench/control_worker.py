"""
Process with the control services of one daemon, without the request path.

Reads its plan as a JSON line from standard input, then writes its figures as a
JSON line for each further line.
"""

import json
import logging
import sys
from contextlib import ExitStack
from typing import Any

from damaskbay.adapters.peer_stream.options import PeerStreamOptions
from damaskbay.adapters.peer_stream.streams import PeerStreams
from damaskbay.adapters.platform_http.client import HttpPlatform
from damaskbay.config.objects import ConfigSet
from damaskbay.daemon.config_service import ConfigService
from damaskbay.daemon.membership import MembershipService
from damaskbay.daemon.rates import RateService
from damaskbay.helpers.clock import monotonic_s
from damaskbay.ports.fleet import ServerState
from damaskbay.ports.peer import PeerAddress, PeerIdentity

SECRET = b"bench peer secret of enough bytes"


class Worker:
    """Control services of one daemon, with the time each version became active."""

    def __init__(self, stack: ExitStack, plan: dict[str, Any]) -> None:
        identity = PeerIdentity(plan["instance"], 1, plan["failure_domain"])
        host = plan["host"]
        address = PeerAddress(host, plan["peer_port"])
        platform = stack.enter_context(
            HttpPlatform(
                plan["platform_host"], plan["platform_port"], name=identity.instance
            )
        )
        self._active_at_by_version: dict[int, float] = {}
        self._reverted = 0
        self._version = 0
        self._link = PeerStreams(
            identity, address, PeerStreamOptions(), secrets=[SECRET]
        )
        self._membership = MembershipService(
            identity,
            address,
            PeerAddress(host, plan["gossip_port"]),
            secrets=[SECRET],
            link=self._link,
            platform=platform,
            seed=plan["seed"],
        )
        self._config = ConfigService(
            identity,
            platform=platform,
            link=self._link,
            membership=self._membership,
            contacts=self._membership,
            seed=plan["seed"],
        )
        rates = RateService(
            identity=identity,
            platform=platform,
            link=self._link,
            membership=self._membership,
            config=self._config,
        )
        for service in (self._link, self._membership, self._config, rates):
            stack.enter_context(service)
        self._config.subscribe(self._on_config)
        self._membership.announce(
            pool=plan["pool"], state=ServerState.READY, slots=8, load=0.0
        )

    def figures(self) -> dict[str, Any]:
        """Return the figures for the measurements."""
        stats = self._link.stats()
        report = self._config.report()
        return {
            "now": monotonic_s(),
            "members": len(self._membership.members()),
            "domains": len(self._membership.contacts_by_domain()),
            "version": report.version,
            "relay": report.relay,
            "at_by_version": dict(self._active_at_by_version),
            "reverted": self._reverted,
            "gossip_bytes": self._membership.gossip_bytes,
            "stream_bytes": stats.bytes_sent + stats.bytes_received,
            "streams": stats.streams,
        }

    def _on_config(self, config: ConfigSet) -> None:
        self._reverted += config.version <= self._version
        self._version = config.version
        self._active_at_by_version.setdefault(config.version, monotonic_s())


def main() -> int:
    """Run until the end of standard input."""
    logging.basicConfig(level=logging.ERROR)
    plan = json.loads(sys.stdin.readline())
    with ExitStack() as stack:
        worker = Worker(stack, plan)
        for _ in sys.stdin:
            print(json.dumps(worker.figures()), flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
