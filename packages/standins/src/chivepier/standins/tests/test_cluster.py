"""Tests of the ports that tests reserve for their processes."""

import pytest

from chivepier.standins import cluster
from chivepier.standins.cluster import find_port
from chivepier.standins.cluster import release_port


def test_ports_that_run_out_are_an_error(monkeypatch):
    # Guards against tests that look for a free port for ever.
    first = find_port()
    monkeypatch.setattr(cluster, "PORTS", (first,))
    with pytest.raises(RuntimeError):
        find_port()
    release_port(first)
    assert find_port() == first
    release_port(first)
