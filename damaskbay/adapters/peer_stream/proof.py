"""Mutual authentication: each end proves a shared secret by an HMAC."""

import hashlib
import hmac
import secrets as random_source
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum

from damaskbay.adapters.peer_stream.const import (
    MAX_HANDSHAKE_FRAME_BYTES,
    NONCE_BYTES,
    PROTOCOL_VERSION,
)
from damaskbay.adapters.peer_stream.exceptions import ProofError
from damaskbay.adapters.peer_stream.frames import Frame, FrameKind, encode
from damaskbay.helpers.messages import message, pack, unpack
from damaskbay.ports.peer import PeerIdentity

_LABEL = b"damaskbay peer proof 1"


class Role(Enum):
    """End of a stream: the one that connected, or the one that accepted."""

    INITIATOR = b"initiator"
    ACCEPTOR = b"acceptor"

    @property
    def other(self) -> "Role":
        """Return the role of the peer."""
        return Role.ACCEPTOR if self is Role.INITIATOR else Role.INITIATOR


@message("peer.hello")
@dataclass(frozen=True, slots=True)
class Hello:
    """First message from each end; the nonce is new for each stream."""

    version: int
    instance: str
    incarnation: int
    failure_domain: str
    nonce: bytes


def compute_mac(secret: bytes, role: Role, initiator: bytes, acceptor: bytes) -> bytes:
    """Return the HMAC of the role and both hellos, each prefixed with its length."""
    digest = hmac.new(secret, _LABEL, hashlib.sha256)
    for part in (role.value, initiator, acceptor):
        digest.update(len(part).to_bytes(4, "big"))
        digest.update(part)
    return digest.digest()


class Handshake:
    """
    State of one end of the handshake, without I/O.

    The initiator sends its proof first; the acceptor sends nothing derived from
    the secret to an unauthenticated peer. `identity` is the identity that the
    peer claims; it can be trusted once `authenticated` is set.
    """

    def __init__(
        self, role: Role, identity: PeerIdentity, secrets: Sequence[bytes]
    ) -> None:
        self.role = role
        self.identity: PeerIdentity | None = None
        self.authenticated = False
        self._secrets = tuple(secrets)
        self._local_hello = pack(
            Hello(
                PROTOCOL_VERSION,
                identity.instance,
                identity.incarnation,
                identity.failure_domain,
                random_source.token_bytes(NONCE_BYTES),
            )
        )
        self._peer_hello: bytes | None = None

    def start(self) -> bytes:
        """Return the bytes to send first; the acceptor sends none."""
        if self.role is Role.INITIATOR:
            return encode(FrameKind.HELLO, payload=self._local_hello)
        return b""

    def handle(self, frame: Frame) -> bytes:
        """Process a frame and return the bytes to send; raise ProofError if invalid."""
        if frame.kind is FrameKind.HELLO and self._peer_hello is None:
            return self._handle_hello(frame.payload)
        if frame.kind is FrameKind.PROOF and self._peer_hello is not None:
            return self._handle_proof(frame.payload)
        raise ProofError(f"{frame.kind.name} before authentication")

    def _handle_hello(self, payload: bytes) -> bytes:
        hello = unpack(payload, max_bytes=MAX_HANDSHAKE_FRAME_BYTES)
        if not isinstance(hello, Hello):
            raise ProofError("invalid hello")
        if hello.version != PROTOCOL_VERSION:
            raise ProofError(f"protocol version {hello.version} is not supported")
        if len(hello.nonce) != NONCE_BYTES or payload == self._local_hello:
            raise ProofError("invalid nonce")
        self._peer_hello = payload
        self.identity = PeerIdentity(
            hello.instance, hello.incarnation, hello.failure_domain
        )
        if self.role is Role.ACCEPTOR:
            return encode(FrameKind.HELLO, payload=self._local_hello)
        return self._proof_frame()

    def _handle_proof(self, payload: bytes) -> bytes:
        if not self._matches_secret(payload):
            raise ProofError("proof does not match any secret")
        self.authenticated = True
        return self._proof_frame() if self.role is Role.ACCEPTOR else b""

    def _matches_secret(self, mac: bytes) -> bool:
        """
        Return whether a secret matches.

        Compares all secrets, so that the time taken does not show which one matched.
        """
        matches = [
            hmac.compare_digest(mac, self._mac(secret, self.role.other))
            for secret in self._secrets
        ]
        return any(matches)

    def _proof_frame(self) -> bytes:
        mac = self._mac(self._secrets[0], self.role)
        return encode(FrameKind.PROOF, payload=mac)

    def _mac(self, secret: bytes, role: Role) -> bytes:
        peer_hello = self._peer_hello or b""
        if self.role is Role.INITIATOR:
            return compute_mac(secret, role, self._local_hello, peer_hello)
        return compute_mac(secret, role, peer_hello, self._local_hello)
