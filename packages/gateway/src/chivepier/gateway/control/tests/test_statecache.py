"""Tests of the state that a voter keeps on disk."""

import asyncio
import os

import attrs
import cbor2
import pytest

from chivepier.gateway.control import statecache
from chivepier.gateway.control.statecache import FILE_NAME
from chivepier.gateway.control.statecache import StateCache
from chivepier.gateway.control.storedconfig import StoredConfig
from chivepier.gateway.eventlog import EventLog
from chivepier.gateway.origins import Origin
from chivepier.gateway.origins import OriginKey
from chivepier.gateway.origins import OriginTable
from chivepier.gateway.quarantine import CrashLedger
from chivepier.gateway.targets import Target
from chivepier.gateway.targets import TargetState
from chivepier.gateway.targets import TargetTable
from chivepier.state.records import pack_record
from chivepier.types import SystemClock

KEY = OriginKey("t1", "a1")


class NoConfig:
    """Stands for a store without a committed configuration."""

    def find_committed(self) -> None:
        """Return no configuration."""


def make_cache(folder) -> tuple[StateCache, TargetTable, OriginTable]:
    """Return a cache of a folder, and the state that it keeps."""
    table, origins = TargetTable(1.0), OriginTable()
    log = EventLog("v1", os.open(os.devnull, os.O_WRONLY))
    cache = StateCache(
        folder, table, CrashLedger(), origins, SystemClock(), log
    )
    return cache, table, origins


def make_target() -> Target:
    """Return a target that tells the version of its software."""
    return Target(
        instance="i1",
        service="s",
        address="a:1",
        zone="z",
        state=TargetState.READY,
        number=1,
        slots=4,
        heard=0.0,
        born=5,
        software_version="v1",
    )


def test_versions_of_software_survive_a_restart_of_all(tmp_path):
    # Without them, no stream could go on after a restart of all voters.
    async def work():
        cache, table, origins = make_cache(tmp_path)
        now = SystemClock().monotonic()
        origins.put(Origin(KEY, "s", "v1", now, now + 60.0), now)
        table.put(make_target())
        task = asyncio.create_task(cache.run(NoConfig()))
        while not (tmp_path / FILE_NAME).exists():
            await asyncio.sleep(0.01)
        task.cancel()

    asyncio.run(work())
    cache, table, origins = make_cache(tmp_path)
    cache.load()
    assert table.get("i1").software_version == "v1"
    found = origins.find(KEY, SystemClock().monotonic())
    assert (found.service, found.software_version) == ("s", "v1")


def test_versions_of_forgotten_targets_survive_a_restart_of_all(tmp_path):
    # Guards against streams that are taken for the one version left.
    async def work():
        cache, table, _ = make_cache(tmp_path)
        now = SystemClock().monotonic()
        table.put(attrs.evolve(make_target(), heard=now))
        table.expire(now + 60.0)
        assert table.get("i1") is None
        task = asyncio.create_task(cache.run(NoConfig()))
        while not (tmp_path / FILE_NAME).exists():
            await asyncio.sleep(0.01)
        task.cancel()
        return now

    before = asyncio.run(work())
    cache, table, _ = make_cache(tmp_path)
    cache.load()
    assert table.list_versions_since("s", before) == {"v1"}


def test_first_target_of_a_version_is_saved_at_once(tmp_path, monkeypatch):
    # Lost with all processes, its streams were taken for the other version's.
    monkeypatch.setattr(statecache, "MIN_WRITE_INTERVAL_SECONDS", 3600.0)

    def find_versions():
        cache, table, _ = make_cache(tmp_path)
        cache.load()
        return table.list_versions("s")

    async def work():
        cache, table, _ = make_cache(tmp_path)
        task = asyncio.create_task(cache.run(NoConfig()))
        for number in range(3):
            version = f"v{number}"
            table.put(
                attrs.evolve(
                    make_target(), instance=version, software_version=version
                )
            )
            while version not in find_versions():
                await asyncio.sleep(0.01)
        task.cancel()

    async def work_in_time():
        async with asyncio.timeout(60):
            await work()

    asyncio.run(work_in_time())


class OneConfig:
    """Stands for a store whose configuration changes."""

    def __init__(self) -> None:
        self.version = 0

    def find_committed(self) -> StoredConfig:
        """Return the newest configuration."""
        return StoredConfig(self.version, b"{}")


def test_configuration_is_saved_at_once(tmp_path, monkeypatch):
    # Guards against entries that serve by an older configuration until there
    # is a leader, after the end of all processes.
    monkeypatch.setattr(statecache, "MIN_WRITE_INTERVAL_SECONDS", 3600.0)

    async def work():
        cache, _, _ = make_cache(tmp_path)
        store = OneConfig()
        task = asyncio.create_task(cache.run(store))
        for store.version in range(1, 4):
            cache.note_config()
            saved = None
            while saved is None or saved.version != store.version:
                await asyncio.sleep(0.01)
                saved = make_cache(tmp_path)[0].load()
        task.cancel()

    async def work_in_time():
        async with asyncio.timeout(60):
            await work()

    asyncio.run(work_in_time())


@pytest.mark.parametrize("rest", [([],) * count for count in (0, 2, 3, 4, 5)])
def test_file_of_an_earlier_release_is_read(tmp_path, rest):
    # Earlier files have fewer fields, and none has versions.
    fields = ("i1", "s", "a:1", "z", "ready", 1, 4, 0.0, 0.0, 5)
    data = pack_record(cbor2.dumps((-1, b"", [fields], *rest)))
    (tmp_path / FILE_NAME).write_bytes(data)
    cache, table, _ = make_cache(tmp_path)
    cache.load()
    assert table.get("i1").software_version == ""
