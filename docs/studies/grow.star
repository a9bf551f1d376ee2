# Service as a deployment grows: six hosts a node, the same load on every node, a tenth of the nodes in trouble.
experiment(day = "grow.day", seeds = 3)
sweep("hosts", values = [
    {"hosts": n, "nodes": n // 6, "gold": n // 2, "plain": n // 2} for n in [30, 100, 300, 1000]
])
sweep("trouble", values = ["stall", "vanish", "mass-restart"])
