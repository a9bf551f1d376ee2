package hollyslip.node;

import hollyslip.recovery.EpochElection.NodeView;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** The client's side of NBD's fixed newstyle negotiation, without I/O: takes the server's bytes and produces
 * the bytes to send. It negotiates structured replies, sets this project's metadata contexts and ends with
 * {@code NBD_OPT_GO}. Source: doc/proto.md, "Fixed newstyle negotiation" and "Option types". */
final class NbdHandshake {
  private enum State {
    GREETING, STRUCTURED, CONTEXTS, GO, DONE
  }

  /** Whether the negotiation sets the contexts and opens the export, or only lists the contexts and
   * aborts. */
  private enum Purpose {
    TRANSMISSION, QUERY
  }

  private final String export;
  private final String client;
  private final List<String> contexts;
  private final Purpose purpose;
  private State state = State.GREETING;
  private ByteBuffer pendingOutput = ByteBuffer.allocate(0);
  private boolean structuredReplies;
  private int loadContextId = -1;
  private boolean supportsFence;
  private NodeView holderView;
  private long exportSize = -1;
  private int transmissionFlags;

  /** The server violated the protocol or refused the export. */
  static final class NegotiationException extends Exception {
    NegotiationException(String message) {
      super(message);
    }
  }

  private NbdHandshake(String export, String client, List<String> contexts, Purpose purpose) {
    this.export = export;
    this.client = client;
    this.contexts = contexts;
    this.purpose = purpose;
  }

  /** Creates a negotiation that ends ready for commands, with the fence in force. */
  NbdHandshake(String export, Fence fence) {
    this(export, fence.client(), List.of(Nbd.CONTEXT_LOAD, fence.contextName(), Fence.holderQueryName(fence
        .client())),
        Purpose.TRANSMISSION);
  }

  /** Creates a negotiation that only queries the holder of a client's name, changes nothing, and aborts. */
  static NbdHandshake forHolderQuery(String export, String client) {
    return new NbdHandshake(export, client, List.of(Fence.holderQueryName(client)), Purpose.QUERY);
  }

  /** Processes the complete messages in {@code in} and leaves the rest; returns whether the negotiation is
   * finished. */
  boolean feed(ByteBuffer in) throws NegotiationException {
    while (state != State.DONE && processMessage(in)) {
      // continue with the next message
    }
    return state == State.DONE;
  }

  /** Returns the bytes to send now and clears them. */
  ByteBuffer takeOutput() {
    ByteBuffer b = pendingOutput;
    pendingOutput = ByteBuffer.allocate(0);
    return b;
  }

  boolean structuredReplies() {
    return structuredReplies;
  }

  /** ID of the load context; -1 if the node has none. */
  int loadContextId() {
    return loadContextId;
  }

  /** Whether the node honors the {@link Fence}. */
  boolean supportsFence() {
    return supportsFence;
  }

  /** The node's view of the holder of the client's name; null if the node does not report one. */
  NodeView holderView() {
    return holderView;
  }

  long exportSize() {
    return exportSize;
  }

  boolean hasFlag(int flag) {
    return (transmissionFlags & flag) != 0;
  }

  private boolean processMessage(ByteBuffer in) throws NegotiationException {
    if (state == State.GREETING) {
      return processGreeting(in);
    }
    if (in.remaining() < 20) {
      return false;
    }
    int start = in.position();
    if (in.getLong(start) != Nbd.OPTION_REPLY_MAGIC) {
      throw new NegotiationException("option reply: wrong magic");
    }
    int option = in.getInt(start + 8);
    int type = in.getInt(start + 12);
    int length = in.getInt(start + 16);
    if (length < 0 || length > Nbd.MAX_OPTION_BYTES) {
      throw new NegotiationException("option reply: length " + Integer.toUnsignedString(length));
    }
    if (in.remaining() < 20 + length) {
      return false;
    }
    ByteBuffer data = in.slice(start + 20, length);
    in.position(start + 20 + length);
    processOptionReply(option, type, data);
    return true;
  }

  private boolean processGreeting(ByteBuffer in) throws NegotiationException {
    if (in.remaining() < 18) {
      return false;
    }
    if (in.getLong() != Nbd.INIT_MAGIC || in.getLong() != Nbd.IHAVEOPT) {
      throw new NegotiationException("greeting: not a newstyle NBD server");
    }
    int offered = Short.toUnsignedInt(in.getShort());
    if ((offered & Nbd.FLAG_FIXED_NEWSTYLE) == 0) {
      throw new NegotiationException("greeting: flag FIXED_NEWSTYLE is not set");
    }
    ByteBuffer b = ByteBuffer.allocate(4 + 16);
    b.putInt(offered & (Nbd.FLAG_FIXED_NEWSTYLE | Nbd.FLAG_NO_ZEROES));
    putOption(b, Nbd.OPT_STRUCTURED_REPLY, new byte[0]);
    pendingOutput = b.flip();
    state = State.STRUCTURED;
    return true;
  }

  private void processOptionReply(int option, int type, ByteBuffer data) throws NegotiationException {
    switch (state) {
      case STRUCTURED -> {
        requireOption(option, Nbd.OPT_STRUCTURED_REPLY);
        structuredReplies = type == Nbd.REP_ACK;
        if (structuredReplies) {
          sendContexts();
        } else {
          finishOptions();
        }
      }
      case CONTEXTS -> {
        requireOption(option, contextOption());
        if (type == Nbd.REP_META_CONTEXT) {
          processContext(data);
        } else {
          finishOptions();
        }
      }
      case GO -> { requireOption(option, Nbd.OPT_GO); processGoReply(type, data); }
      default -> throw new NegotiationException("option reply: unexpected");
    }
  }

  private static void requireOption(int actual, int expected) throws NegotiationException {
    if (actual != expected) {
      throw new NegotiationException("option reply: for option " + actual + " instead of " + expected);
    }
  }

  private void processContext(ByteBuffer data) throws NegotiationException {
    if (data.remaining() < 4) {
      throw new NegotiationException("metadata context: reply too short");
    }
    int id = data.getInt();
    String name = StandardCharsets.UTF_8.decode(data).toString();
    if (name.equals(Nbd.CONTEXT_LOAD)) {
      loadContextId = id;
    } else if (name.startsWith(Nbd.CONTEXT_FENCE)) {
      supportsFence = true;
    } else if (Fence.parseHolderReply(name, client) != null) {
      holderView = Fence.parseHolderReply(name, client);
    }
  }

  private void processGoReply(int type, ByteBuffer data) throws NegotiationException {
    if (type == Nbd.REP_INFO && data.remaining() >= 2) {
      if (data.getShort() == Nbd.INFO_EXPORT) {
        if (data.remaining() != 10) {
          throw new NegotiationException("info: export information of " + data.remaining() + " bytes");
        }
        exportSize = data.getLong();
        transmissionFlags = Short.toUnsignedInt(data.getShort());
      }
    } else if (type == Nbd.REP_ACK) {
      if (exportSize < 0) {
        throw new NegotiationException("go: the server sent no export size");
      }
      state = State.DONE;
    } else {
      throw new NegotiationException("export " + export + ": refused by the server, " + StandardCharsets.UTF_8
          .decode(
              data));
    }
  }

  private void sendContexts() {
    byte[] name = export.getBytes(StandardCharsets.UTF_8);
    ByteBuffer data = ByteBuffer.allocate(8 + name.length + contexts.stream()
        .mapToInt(c -> 4 + c.length())
        .sum());
    data.putInt(name.length).put(name).putInt(contexts.size());
    for (String c : contexts) {
      byte[] bytes = c.getBytes(StandardCharsets.US_ASCII);
      data.putInt(bytes.length).put(bytes);
    }
    sendOption(contextOption(), data.array());
    state = State.CONTEXTS;
  }

  private int contextOption() {
    return purpose == Purpose.TRANSMISSION ? Nbd.OPT_SET_META_CONTEXT : Nbd.OPT_LIST_META_CONTEXT;
  }

  /** Ends the option phase: opens the export or aborts. */
  private void finishOptions() {
    if (purpose == Purpose.TRANSMISSION) {
      sendGo();
    } else {
      sendOption(Nbd.OPT_ABORT, new byte[0]);
      state = State.DONE;
    }
  }

  private void sendGo() {
    byte[] name = export.getBytes(StandardCharsets.UTF_8);
    ByteBuffer data = ByteBuffer.allocate(6 + name.length);
    data.putInt(name.length).put(name).putShort((short) 0);
    sendOption(Nbd.OPT_GO, data.array());
    state = State.GO;
  }

  private void sendOption(int option, byte[] data) {
    ByteBuffer b = ByteBuffer.allocate(16 + data.length);
    putOption(b, option, data);
    pendingOutput = b.flip();
  }

  private static void putOption(ByteBuffer b, int option, byte[] data) {
    b.putLong(Nbd.IHAVEOPT).putInt(option).putInt(data.length).put(data);
  }
}
