# Settings of one gateway, in a subset of Starlark that docs/settings.md describes.
# Write times with us(), ms() and seconds(), and sizes with KiB, MiB and GiB.

load("fleet.star", "NODES")

# Identity of this gateway in the deployment, and the directories of its sockets and its state.
gateway(
    "gateway-a",
    index = 0,            # index of this gateway, from 0
    hosts = 1,            # number of gateways that share the nodes
    zone = "hall-a",
    socket_dir = "run",   # one socket per volume; relative to this file
    state_dir = "state",
    unit_bytes = 4 * KiB, # a request counts as one unit per 4 KiB
    most_requests = 8192, # beyond these limits, requests wait in the clients' rings
    most_bytes = 256 * MiB,
    sftp = True,
)

# Parameters of the seven service rules in this deployment.
rules(
    drain_grace = seconds(1),
    cold_from = 0.2, cold = seconds(5),        # a restarted node begins at a fifth of its capacity and is warm after 5 s
    fall_multiple = 3, fall = seconds(2),      # multiple of its capacity that overloads a cold node, and within how long
    settle = ms(300),                          # how long a node may still run commands of a closed connection
    budget_share = 0.5, budget_free = 20, budget_window = seconds(5),
    most_attempts = 4,
    most_retry_after = ms(500),
)

store(mean_units = 2, most_units = 16, cold_units = 60)

# Request classes: a request gets the first whose kinds and size match. Worth and aim set its priority.
request_class("lookup", kinds = ["read"], most_bytes = 16 * KiB, effect = "safe", aim = ms(150), deadline = seconds(2), worth = 2)
request_class("bulk-read", kinds = ["read"], effect = "safe", aim = ms(600), deadline = seconds(4), worth = 1)
request_class("update", kinds = ["write", "flush", "discard", "write_zeroes"], effect = "unsafe",
              aim = ms(250), deadline = seconds(2), worth = 3)

# Plans: rates in units per second. A limit applies to each volume, over all gateways.
plan("gold", rate = 800, reserve = 400, weight = 4, price = 1.4)
plan("silver", rate = 500, reserve = 200, weight = 2, price = 1.2)
plan("standard", rate = 300, reserve = 100, weight = 1, limit = 600, limit_burst = 120, limit_slack = 16)

for name, port, zone, shard, state in NODES:
    node(name, port = port, zone = zone, shard = shard, state = state)

# Three tenants with one volume each, striped over the shards in extents of 256 KiB.
def spread(name, tenant, plan, size, at):
    volume(name, tenant = tenant, plan = plan, size = size, extent = 256 * KiB,
           shards = [row[3] for row in NODES], at = at)

spread("orders", tenant = "corrib", plan = "gold", size = 24 * MiB, at = 0)
spread("catalogue", tenant = "lee", plan = "silver", size = 24 * MiB, at = 4 * MiB)
spread("returns", tenant = "shannon", plan = "standard", size = 24 * MiB, at = 8 * MiB)
