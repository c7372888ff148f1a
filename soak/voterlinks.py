"""The links from entries to voters, which can be cut."""

import random

from soak.process import Process
from soak.targetlink import TargetLink

# Port at which voters accept their peers; see the settings of the processes.
PEER_PORT = 7200


def link_to_voters(
    entries: list[Process], voters: list[Process], rng: random.Random
) -> dict[str, list[TargetLink]]:
    """Give each entry a link of its own to each voter.

    :param entries: entries, which are not started yet
    :param voters: the voters
    :param rng: random number generator of the links
    :returns: the links, to be entered, by the address of the entry
    """
    links = {}
    peers = [f"{voter.ip}:{PEER_PORT}" for voter in voters]
    for number, entry in enumerate(entries, 1):
        base = entry.ip.rsplit(".", 2)[0]
        own = [
            TargetLink(f"{base}.{40 + number}.{n}:{PEER_PORT}", address, rng)
            for n, address in enumerate(peers, 1)
        ]
        entry.links |= {
            address: link.address for address, link in zip(peers, own)
        }
        links[entry.ip] = own
    return links
