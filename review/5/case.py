"""Configurations with two routes whose hosts differ in case alone."""

import asyncio
import json
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "kit-2"))

import deployment  # noqa: E402


def make_config(version, host):
    routes = [
        ("orders", "non_idempotent", "a", {}),
        ("other", "idempotent", "b", {}),
    ]
    config = deployment.config(version, routes)
    # the same place as that of the first route, for another service
    config["routes"].append(
        config["routes"][0]
        | {"name": "orders-2", "host": host, "service": "b"}
    )
    return config


async def scenario(lab, trouble):
    lab.server(1, "a")
    lab.server(2, "b")
    plain = deployment.config(1, [
        ("orders", "non_idempotent", "a", {}),
        ("other", "idempotent", "b", {}),
    ])
    # sound: another host; invalid: the same host, written in capitals
    hosts = ["H.EXAMPLE", "H.Example"] if trouble else ["i.example"] * 2
    async with lab.run(plain):
        for n, host in enumerate(hosts):
            version = 10 * (n + 1)
            body = json.dumps(make_config(version, host)).encode()
            control = lab.controls[n % len(lab.controls)]
            lab.record("operator sends", version, body.decode())
            status, _, _ = await deployment.call(
                control, "PUT", "/chivepier/config", body
            )
            lab.record("operator gets", version, status)
            if trouble:
                lab.check(400 <= status < 500, "version", version,
                          "has two routes of one place, answer", status)
            elif status != 200:
                raise RuntimeError(f"a sound configuration got {status}")
            # config-apply-ms
            await asyncio.sleep(2.2)
            for entry in lab.entries:
                rid = f"v{version}-{entry.ip}"
                await lab.ask(entry, "POST", "/orders/x", rid, b"x")
                ran = [s.service for s in lab.servers
                       if any(got[1] == rid for got in s.arrived)]
                lab.check(ran == ["a"], rid, "to h.example/orders/ ran at",
                          "service", ran, "and has to run at a")
            status, _, body = await deployment.call(
                lab.controls[-1], "GET", "/chivepier/config"
            )
            found = json.loads(body)["version"] if status == 200 else None
            lab.record("operator reads", status, "version", found)
            if trouble:
                lab.check(found != version, "version", version,
                          "is invalid, version", found, "is read back")


deployment.play(FOLDER, scenario)
