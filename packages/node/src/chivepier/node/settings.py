"""Settings of chivepierd."""

import pathlib

import attrs


@attrs.frozen(kw_only=True)
class Settings:
    """Checked at start, from flags and environment variables.

    Addresses are ``ip:port``; keys are shared by all instances.
    """

    name: str
    region: str
    zone: str
    listen: str
    peer_listen: str
    advertise: str
    peer_advertise: str
    seeds: tuple[str, ...]
    data_dir: pathlib.Path | None
    cluster_key: str
    operator_key: str
    deployment_key: str
    address_ttl: float
    fault_hook: bool
