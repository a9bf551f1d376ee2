# Settings of one gateway, as a script: a subset of Starlark, described in docs/settings.md.
# Times are made with us(), ms() and seconds(); sizes with KiB, MiB and GiB.

load("fleet.star", "NODES")

# Who this process is among the gateways of the deployment, and where it keeps its sockets and its state.
gateway(
    "gateway-a",
    index = 0,            # number of this gateway...
    hosts = 1,            # ...and how many share the nodes
    zone = "hall-a",
    socket_dir = "run",   # one socket a volume; relative to this file
    state_dir = "state",
    unit_bytes = 4 * KiB, # a request counts one unit for each 4 KiB
    most_requests = 8192, # beyond these bounds clients' rings fill up and wait
    most_bytes = 256 * MiB,
    sftp = True,
)

# The figures of the seven rules, as this deployment promises them.
rules(
    drain_grace = seconds(1),
    cold_from = 0.2, cold = seconds(5),        # a started node begins at a fifth and is warm after 5 s
    fall_multiple = 3, fall = seconds(2),      # what pushes a cold one over
    settle = ms(300),                          # how long a node may still run what a dead connection brought
    budget_share = 0.5, budget_free = 20, budget_window = seconds(5),
    most_attempts = 4,
    most_retry_after = ms(500),
)

store(mean_units = 2, most_units = 16, cold_units = 60)

# Classes of requests: the first whose kinds and size fit. Worth and aims tell the scheduler what matters.
request_class("lookup", kinds = ["read"], most_bytes = 16 * KiB, effect = "safe", aim = ms(150), deadline = seconds(2), worth = 2)
request_class("bulk-read", kinds = ["read"], effect = "safe", aim = ms(600), deadline = seconds(4), worth = 1)
request_class("update", kinds = ["write", "flush", "discard", "write_zeroes"], effect = "unsafe",
              aim = ms(250), deadline = seconds(2), worth = 3)

# Plans: rates in units a second. A limit holds for each volume, over all gateways.
plan("gold", rate = 800, reserve = 400, weight = 4, price = 1.4)
plan("silver", rate = 500, reserve = 200, weight = 2, price = 1.2)
plan("standard", rate = 300, reserve = 100, weight = 1, limit = 600, limit_burst = 120, limit_slack = 16)

for name, port, zone, shard, state in NODES:
    node(name, port = port, zone = zone, shard = shard, state = state)

# Three tenants with a volume each, spread over the shards in extents of 256 KiB.
def spread(name, tenant, plan, size, at):
    volume(name, tenant = tenant, plan = plan, size = size, extent = 256 * KiB,
           shards = [row[3] for row in NODES], at = at)

spread("orders", tenant = "corrib", plan = "gold", size = 24 * MiB, at = 0)
spread("catalogue", tenant = "lee", plan = "silver", size = 24 * MiB, at = 4 * MiB)
spread("returns", tenant = "shannon", plan = "standard", size = 24 * MiB, at = 8 * MiB)
