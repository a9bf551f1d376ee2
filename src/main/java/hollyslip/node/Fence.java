package hollyslip.node;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/** What a connection says of itself and of its siblings: {@code hollyslip:fence/CLIENT/EPOCH/SERIAL/LIVE}.
 * Once a node has answered the negotiation that carries it, no command has an effect there any more that came
 * over a connection of the same client with an earlier epoch, or with the same epoch, a smaller serial and a
 * serial not named in LIVE.
 *
 * @param client
 *          name of the gateway instance, without a slash
 * @param epoch
 *          grows with each start of it
 * @param serial
 *          grows with each connection it makes to the node
 * @param live
 *          serials of its other connections that go on */
public record Fence(String client, long epoch, long serial, Set<Long> live) {
  public Fence {
    if (client.isEmpty() || client.contains("/")) {
      throw new IllegalArgumentException("client: must be a name without a slash, not '" + client + "'");
    }
    live = new TreeSet<>(live);
  }

  /** The context's name. */
  public String text() {
    List<String> names = new ArrayList<>();
    live.forEach(s -> names.add(Long.toString(s)));
    return Nbd.CONTEXT_FENCE + client + "/" + epoch + "/" + serial + "/" + String.join(",", names);
  }

  /** Reads the name of a context; null if it is none of these. */
  public static Fence parse(String text) {
    if (!text.startsWith(Nbd.CONTEXT_FENCE)) {
      return null;
    }
    String[] parts = text.substring(Nbd.CONTEXT_FENCE.length()).split("/", -1);
    if (parts.length != 4) {
      return null;
    }
    try {
      Set<Long> live = new TreeSet<>();
      for (String s : parts[3].isEmpty() ? new String[0] : parts[3].split(",")) {
        live.add(Long.parseLong(s));
      }
      return new Fence(parts[0], Long.parseLong(parts[1]), Long.parseLong(parts[2]), live);
    } catch (IllegalArgumentException e) {
      return null;
    }
  }

  /** Whether a connection of the client is dead once this fence stands. */
  public boolean kills(Fence other) {
    return other.client.equals(client) && (other.epoch < epoch || other.epoch == epoch
        && other.serial < serial && !live.contains(other.serial));
  }
}
