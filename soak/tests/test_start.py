"""Tests of signals to a process that has just started."""

import signal
import time

import pytest

from soak.blocks import reserve_block
from soak.process import Process


@pytest.mark.parametrize("role", ("voter", "entry"))
def test_sighup_while_a_process_loads_does_not_end_it(role, tmp_path):
    # No handler was installed yet, and the default action of SIGHUP ends the
    # process.
    with reserve_block() as block:
        ip = f"127.{block}.1.1"
        process = Process(role, ip, [f"{ip}:8748"], tmp_path)
        process.start(found=True)
        try:
            while not process.is_loading:
                time.sleep(0.001)
            assert process.handles_signal(signal.SIGHUP)
        finally:
            process.end()
