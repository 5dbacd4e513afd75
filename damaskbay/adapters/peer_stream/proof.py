"""Mutual proof of a shared secret by HMAC over both hellos and the role."""

import hashlib
import hmac
import secrets as random_source
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum

from damaskbay.adapters.peer_stream.const import (
    MAX_UNPROVEN_FRAME_BYTES,
    NONCE_BYTES,
    PROTOCOL_VERSION,
)
from damaskbay.adapters.peer_stream.exceptions import ProofError
from damaskbay.adapters.peer_stream.frames import Frame, FrameKind, encode
from damaskbay.helpers.messages import message, pack, unpack
from damaskbay.ports.peer import PeerIdentity

_LABEL = b"damaskbay peer proof 1"


class Role(Enum):
    """Which end of a stream: the one that connected, or the one that listened."""

    INITIATOR = b"initiator"
    ACCEPTOR = b"acceptor"

    @property
    def other(self) -> "Role":
        """Return the role of the other end."""
        return Role.ACCEPTOR if self is Role.INITIATOR else Role.INITIATOR


@message("peer.hello")
@dataclass(frozen=True, slots=True)
class Hello:
    """The first frame from each end; the nonce is fresh for each stream."""

    version: int
    instance: str
    incarnation: int
    failure_domain: str
    nonce: bytes


def mac_of(secret: bytes, role: Role, initiator: bytes, acceptor: bytes) -> bytes:
    """Return the proof of one role; each hello goes in with its length."""
    digest = hmac.new(secret, _LABEL, hashlib.sha256)
    for part in (role.value, initiator, acceptor):
        digest.update(len(part).to_bytes(4, "big"))
        digest.update(part)
    return digest.digest()


class Handshake:
    """
    One end of the handshake, without a socket.

    The initiator proves itself first; the acceptor says nothing that depends on
    the secret to an unproven peer. `identity` is the peer's once `proven`.
    """

    def __init__(
        self, role: Role, identity: PeerIdentity, secrets: Sequence[bytes]
    ) -> None:
        self.role = role
        self.identity: PeerIdentity | None = None
        self.proven = False
        self._secrets = tuple(secrets)
        self._own = pack(
            Hello(
                PROTOCOL_VERSION,
                identity.instance,
                identity.incarnation,
                identity.failure_domain,
                random_source.token_bytes(NONCE_BYTES),
            )
        )
        self._peer: bytes | None = None

    def start(self) -> bytes:
        """Return the bytes to send first."""
        if self.role is Role.INITIATOR:
            return encode(FrameKind.HELLO, payload=self._own)
        return b""

    def handle(self, frame: Frame) -> bytes:
        """Take a frame and return the bytes to send; raise ProofError."""
        if frame.kind is FrameKind.HELLO and self._peer is None:
            return self._handle_hello(frame.payload)
        if frame.kind is FrameKind.PROOF and self._peer is not None:
            return self._handle_proof(frame.payload)
        raise ProofError(f"{frame.kind.name} before proof")

    def _handle_hello(self, payload: bytes) -> bytes:
        hello = unpack(payload, max_bytes=MAX_UNPROVEN_FRAME_BYTES)
        if not isinstance(hello, Hello):
            raise ProofError("bad hello")
        if hello.version != PROTOCOL_VERSION:
            raise ProofError(f"protocol version {hello.version} is not supported")
        if len(hello.nonce) != NONCE_BYTES or payload == self._own:
            raise ProofError("bad nonce")
        self._peer = payload
        self.identity = PeerIdentity(
            hello.instance, hello.incarnation, hello.failure_domain
        )
        if self.role is Role.ACCEPTOR:
            return encode(FrameKind.HELLO, payload=self._own)
        return self._own_proof()

    def _handle_proof(self, payload: bytes) -> bytes:
        if not self._accepts(payload):
            raise ProofError("proof does not match any secret")
        self.proven = True
        return self._own_proof() if self.role is Role.ACCEPTOR else b""

    def _accepts(self, mac: bytes) -> bool:
        """Compare with each secret, always all of them."""
        matches = [
            hmac.compare_digest(mac, self._mac(secret, self.role.other))
            for secret in self._secrets
        ]
        return any(matches)

    def _own_proof(self) -> bytes:
        mac = self._mac(self._secrets[0], self.role)
        return encode(FrameKind.PROOF, payload=mac)

    def _mac(self, secret: bytes, role: Role) -> bytes:
        peer = self._peer or b""
        if self.role is Role.INITIATOR:
            return mac_of(secret, role, self._own, peer)
        return mac_of(secret, role, peer, self._own)
