"""Configurations as operators write them, by PROTOCOL.md."""

from typing import Any

from review.standins_2.client import HOST, KEY

MODEL = {
    "slots": 64,
    "kvCapacity": 428428,
    "kvTokenBytes": 163840,
    "linkMbps": 1100000.0,
    "migrations": True,
    "replicas": True,
    "stride": 5,
    "most": 12,
    "pinMs": 4000.0,
    "holdMs": 2000.0,
    "kvHandleS": 5.0,
    "modelList": [{"name": "m"}],
}


def make_route(service: str, prefix: str, kind: str, **fields: Any) -> dict[str, Any]:
    """Return a route to one service."""
    route = {
        "name": f"r-{prefix.strip('/')}",
        "hostname": HOST,
        "pathPrefix": prefix,
        "routeKind": kind,
        "timeoutMs": 2500,
        "latencyGoalMs": 150,
        "priority": 2,
        "service": service,
        "maxAttempts": 1,
        "anonymous": False,
        "sticky": False,
        "resumable": False,
    }
    return {**route, **fields}


def make_service(name: str, **fields: Any) -> dict[str, Any]:
    """Return a service."""
    service = {
        "name": name,
        "healthPath": "/healthz",
        "maxConns": 370,
        "protocol": "h1",
        "tls": False,
    }
    return {**service, **fields}


def make_configuration(
    routes: list[dict[str, Any]],
    services: list[dict[str, Any]],
    version: int = 7,
    reserved: int = 2_654_915,
) -> dict[str, Any]:
    """Return a configuration with one tenant."""
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [
            {"name": "hule930", "apiKeys": [KEY], "priority": 1, "reserved": reserved}
        ],
    }
