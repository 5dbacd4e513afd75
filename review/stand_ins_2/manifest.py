"""Manifests that the operator writes."""

from typing import Any

from stand_ins_2.backend import HEALTH_PATH
from stand_ins_2.client import HOST


def route(
    name: str,
    prefix: str,
    kind: str,
    service: str,
    *,
    attempts: int = 2,
    auth_exempt: bool = True,
    timeout_ms: int = 5000,
) -> dict[str, Any]:
    """Return a route."""
    spec = {
        "Host": HOST,
        "Prefix": prefix,
        "Kind": kind,
        "Timeout": f"{timeout_ms}ms",
        "TargetLatency": "1200ms",
        "Priority": 0,
        "Service": service,
        "NumAttempts": attempts,
        "AuthExempt": auth_exempt,
    }
    return {"Type": "Routes", "Metadata": {"Name": name}, "Spec": spec}


def service(name: str) -> dict[str, Any]:
    """Return a service with a health probe."""
    spec = {
        "HealthCheckPath": HEALTH_PATH,
        "MaxConnections": 730,
        "Protocol": "h1",
        "Tls": False,
    }
    return {"Type": "Services", "Metadata": {"Name": name}, "Spec": spec}


def tenant(name: str, keys: list[str], rate: float, burst: float) -> dict[str, Any]:
    """Return a tenant."""
    spec = {"ApiKeys": keys, "Priority": 1, "RatePerS": rate, "Burst": burst}
    return {"Type": "Tenants", "Metadata": {"Name": name}, "Spec": spec}


def manifest(version: int, *resources: dict[str, Any]) -> dict[str, Any]:
    """Return a manifest with the usual limits."""
    limits = {
        "Type": "Limits",
        "Metadata": {},
        "Spec": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 67108864,
            "HeaderTimeout": "3000ms",
            "IdleTimeout": "15000ms",
        },
    }
    return {"Version": version, "Resources": [*resources, limits]}
