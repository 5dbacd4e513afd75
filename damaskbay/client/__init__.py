"""Client library for callers."""

from damaskbay.client.client import Client
from damaskbay.client.options import ClientOptions, DaemonAddress

__all__ = ["Client", "ClientOptions", "DaemonAddress"]
