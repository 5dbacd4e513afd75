"""Read accepted configuration sets from the platform, for a relay."""

from damaskbay.config.document import Document
from damaskbay.config.exceptions import LoadFailure, LoadProblem
from damaskbay.config.head import HeadRecord
from damaskbay.config.store import ConfigStore, Head as StoredHead
from damaskbay.daemon.config_messages import Head, InvalidSet, SourceUnavailable
from damaskbay.ports.platform import Platform


class PlatformSetSource:
    """SetSource that reads from the platform. Not thread-safe."""

    def __init__(self, platform: Platform) -> None:
        self._store = ConfigStore(platform)
        self._record: HeadRecord | None = None

    def watch(
        self, *, after_revision: int, timeout_s: float
    ) -> Head | SourceUnavailable | None:
        """Wait for a head above a revision; return None on timeout."""
        observed = self._store.watch_head(
            after_revision=after_revision, timeout_s=timeout_s
        )
        if isinstance(observed, StoredHead):
            self._record = observed.record
            return Head(
                observed.revision, observed.record.version, observed.record.digest
            )
        if isinstance(observed, LoadFailure):
            if observed.problem is LoadProblem.UNAVAILABLE:
                return SourceUnavailable(observed.detail)
            return Head(observed.revision, 0, "", observed.detail)
        return None

    def load(
        self, head: Head, held: Document | None, *, timeout_s: float
    ) -> Document | SourceUnavailable | InvalidSet:
        """
        Return the complete, validated set of a head.

        Parts that are equal in `held` are not read again.
        """
        record = self._record
        if record is None or record.version != head.version:
            return InvalidSet(
                f"the head record of version {head.version} has been replaced"
            )
        result = self._store.load(record, held, timeout_s=timeout_s)
        if isinstance(result, Document):
            return result
        if result.problem is LoadProblem.UNAVAILABLE:
            return SourceUnavailable(result.detail)
        return InvalidSet(f"{result.problem.value}: {result.detail}")
