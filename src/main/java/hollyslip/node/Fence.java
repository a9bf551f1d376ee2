package hollyslip.node;

import hollyslip.recovery.EpochElection.Holder;
import hollyslip.recovery.EpochElection.NodeView;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/** What a connection says of itself and of its siblings:
 * {@code hollyslip:fence/CLIENT/EPOCH/INSTANCE/SERIAL/LIVE}. Once a node has answered the negotiation that
 * carries it, no command has an effect there any more that came over a connection of the same client with an
 * earlier epoch, or from the same holder with a smaller serial that is not named in LIVE. A connection that
 * is not the newest holder's itself is told so by the node's word on the client, {@link #parseHolderReply}.
 *
 * @param client
 *          name of the gateway instance, without a slash
 * @param holder
 *          which of its starts
 * @param serial
 *          grows with each connection it makes to the node
 * @param liveSerials
 *          serials of its other connections that go on */
public record Fence(String client, Holder holder, long serial, Set<Long> liveSerials) {
  public Fence {
    if (client.isEmpty() || client.contains("/")) {
      throw new IllegalArgumentException("client: must be a name without a slash, not '" + client + "'");
    }
    liveSerials = new TreeSet<>(liveSerials);
  }

  /** The context's name. */
  public String contextName() {
    List<String> names = new ArrayList<>();
    liveSerials.forEach(s -> names.add(Long.toString(s)));
    return Nbd.CONTEXT_FENCE + client + "/" + holder.epoch() + "/" + holder.instance() + "/" + serial + "/"
        + String.join(",", names);
  }

  /** Reads the name of a context; null if it is none of these. */
  public static Fence parse(String text) {
    String[] parts = splitName(text, Nbd.CONTEXT_FENCE, 5);
    if (parts == null) {
      return null;
    }
    try {
      Set<Long> live = new TreeSet<>();
      for (String s : parts[4].isEmpty() ? new String[0] : parts[4].split(",")) {
        live.add(Long.parseLong(s));
      }
      return new Fence(parts[0], holder(parts), Long.parseLong(parts[3]), live);
    } catch (IllegalArgumentException e) {
      return null;
    }
  }

  /** Name of the context that asks who holds a client's name. */
  public static String holderQueryName(String client) {
    return Nbd.CONTEXT_EPOCH + client;
  }

  /** Name of the context that answers it. */
  public static String answer(String client, NodeView known) {
    return holderQueryName(client) + "/" + known.holder().epoch() + "/" + known.holder().instance() + "/"
        + known
            .openConnections();
  }

  /** Reads the name of a context that answers; null if it is none of these, or of another client. */
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

  private static String[] splitName(String text, String start, int count) {
    String[] parts = text.startsWith(start) ? text.substring(start.length()).split("/", -1) : null;
    return parts == null || parts.length != count ? null : parts;
  }

  private static Holder holder(String[] parts) {
    return new Holder(Long.parseLong(parts[1]), Long.parseLong(parts[2]));
  }

  /** Whether a connection of the client is dead once this fence stands. */
  public boolean kills(Fence other) {
    if (!other.client.equals(client) || other.holder.epoch() > holder.epoch()) {
      return false;
    }
    return !other.holder.equals(holder) || other.serial < serial && !liveSerials.contains(other.serial);
  }

  /** Which of two fences of one client stands, this one being there before. */
  public Fence orNewer(Fence next) {
    boolean newer = next.holder.epoch() > holder.epoch() || next.holder.equals(holder)
        && next.serial > serial;
    return newer ? next : this;
  }
}
