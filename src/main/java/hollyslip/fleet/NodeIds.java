package hollyslip.fleet;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** Assigns the ids under which a process knows its nodes. An id stands for one {@link Identity} until the
 * process ends: connections, the scheduler's state and unresolved writes are kept by id, and all of them
 * would be about another node if an id changed its meaning. Does no I/O. */
public final class NodeIds {
  /** What an id stands for. A node with another address, zone or shard is another node, whatever its name. */
  public record Identity(String name, String host, int port, String zone, int shard) {}

  private final Map<Identity, Long> idsByIdentity = new HashMap<>();
  private final Set<Long> used = new HashSet<>();
  private long lastId;

  /** Returns the id of a node: the one that it had before, else {@code preferred}, else an unused one if
   * {@code preferred} has stood for another node. */
  public long assign(Identity identity, long preferred) {
    return idsByIdentity.computeIfAbsent(identity, k -> firstUnused(preferred));
  }

  private long firstUnused(long preferred) {
    long id = used.contains(preferred) ? lastId + 1 : preferred;
    used.add(id);
    lastId = Math.max(lastId, id);
    return id;
  }
}
