# The storage nodes of example.star. The demo writes a file like this one with the ports of its stand-ins.
# To take a node out of service, set its state to "draining" and send SIGHUP to the gateway.

NODES = [
    # name, port, zone, shard, state
    ("store-0", 10900, "hall-a", 0, "on"),
    ("store-1", 10901, "hall-b", 1, "on"),
    ("store-2", 10902, "hall-a", 2, "on"),
    ("store-3", 10903, "hall-b", 3, "on"),
    ("store-4", 10904, "hall-a", 4, "on"),
    ("store-5", 10905, "hall-b", 5, "on"),
]
