package hollyslip.node;

import hollyslip.recovery.EpochElection.Holder;
import hollyslip.recovery.EpochElection.NodeView;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/** Identifies a connection and the live connections of the same client:
 * {@code hollyslip:fence/CLIENT/EPOCH/INSTANCE/SERIAL/LIVE}. Once a node has answered the negotiation that
 * carries it, no command takes effect there any more that arrived over a connection of the same client with
 * an earlier epoch, or over one of the same holder with a smaller serial that is not listed in LIVE. A
 * connection that does not belong to the newest holder learns this from the node's view of the client,
 * {@link #parseHolderReply}.
 *
 * @param client
 *          name of the gateway instance, without a slash
 * @param holder
 *          start of the gateway that made the connection
 * @param serial
 *          grows with each connection it makes to the node
 * @param liveSerials
 *          serials of its other connections that stay alive */
public record Fence(String client, Holder holder, long serial, Set<Long> liveSerials) {
  public Fence {
    if (client.isEmpty() || client.contains("/")) {
      throw new IllegalArgumentException("client: must be a non-empty name without a slash, not '" + client
          + "'");
    }
    liveSerials = new TreeSet<>(liveSerials);
  }

  /** Name of the metadata context. */
  public String contextName() {
    List<String> serials = new ArrayList<>();
    liveSerials.forEach(liveSerial -> serials.add(Long.toString(liveSerial)));
    return Nbd.CONTEXT_FENCE + client + "/" + holder.epoch() + "/" + holder.instance() + "/" + serial + "/"
        + String.join(",", serials);
  }

  /** Parses the name of a context; returns null if it is not a fence. */
  public static Fence parse(String text) {
    String[] parts = splitName(text, Nbd.CONTEXT_FENCE, 5);
    if (parts == null) {
      return null;
    }
    try {
      Set<Long> serials = new TreeSet<>();
      for (String liveSerial : parts[4].isEmpty() ? new String[0] : parts[4].split(",")) {
        serials.add(Long.parseLong(liveSerial));
      }
      return new Fence(parts[0], holder(parts), Long.parseLong(parts[3]), serials);
    } catch (IllegalArgumentException e) {
      return null;
    }
  }

  /** Name of the context that queries the holder of a client's name. */
  public static String holderQueryName(String client) {
    return Nbd.CONTEXT_EPOCH + client;
  }

  /** Name of the context that answers this query. */
  public static String holderReplyName(String client, NodeView known) {
    return holderQueryName(client) + "/" + known.holder().epoch() + "/" + known.holder().instance() + "/"
        + known
            .openConnections();
  }

  /** Parses the name of a context that answers the query; returns null if it is none or is for another
   * client. */
  public static NodeView parseHolderReply(String text, String client) {
    String[] parts = splitName(text, Nbd.CONTEXT_EPOCH, 4);
    if (parts == null || !parts[0].equals(client)) {
      return null;
    }
    try {
      return new NodeView(holder(parts), Integer.parseInt(parts[3]));
    } catch (IllegalArgumentException e) {
      return null;
    }
  }

  private static String[] splitName(String text, String prefix, int count) {
    String[] parts = text.startsWith(prefix) ? text.substring(prefix.length()).split("/", -1) : null;
    return parts == null || parts.length != count ? null : parts;
  }

  private static Holder holder(String[] parts) {
    return new Holder(Long.parseLong(parts[1]), Long.parseLong(parts[2]));
  }

  /** Returns whether a connection with the given fence is dead once this fence is in force. */
  public boolean invalidates(Fence other) {
    if (!other.client.equals(client) || other.holder.epoch() > holder.epoch()) {
      return false;
    }
    return !other.holder.equals(holder) || other.serial < serial && !liveSerials.contains(other.serial);
  }

  /** Returns which of two fences of one client is in force, where this one was there first. */
  public Fence newerOf(Fence next) {
    boolean newer = next.holder.epoch() > holder.epoch() || next.holder.equals(holder)
        && next.serial > serial;
    return newer ? next : this;
  }
}
