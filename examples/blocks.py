"""Embeds the client-block table: python -m examples.blocks."""

import random
import socket

from nutmegshore import blocks
from nutmegshore.steering.plan import Origin


def main() -> None:
    """Look up one caller before and after a drain of its first site."""
    table = blocks.BlockTable()
    for network, sites in (('10.0.0.0/8', [2, 5]), ('10.1.0.0/16', [5, 2])):
        block = blocks.parse_block({'network': network, 'sites': sites})
        table.put(block)
    overlays = blocks.Overlays(
        random.Random(7), try_acquire=lambda origin: True
    )
    lookup = blocks.SiteLookup(table, overlays)
    caller = socket.inet_aton('10.1.2.3')
    print('sites', lookup.find(caller).sites)
    drain = Origin('drain', 'site-5', generation=1, author='ann')
    overlays.replace(drains=[blocks.SiteDrain(5, drain)])
    answer = lookup.find(caller)
    print('sites', answer.sites, 'because of', answer.origins[0].name)


if __name__ == '__main__':
    main()
