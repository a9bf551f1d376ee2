package hollyslip.node;

import hollyslip.recovery.EpochElection.NodeView;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** The client's side of NBD's fixed newstyle negotiation, free of I/O: bytes of the server in, bytes for the
 * server out. It asks for structured replies, sets the contexts of ours and ends with {@code NBD_OPT_GO}.
 * Source: doc/proto.md, "Fixed newstyle negotiation" and "Option types". */
final class NbdHandshake {
  private enum State {
    GREETING, STRUCTURED, CONTEXTS, GO, DONE
  }

  /** Whether contexts are set and the export opened, or contexts listed and the connection given up. */
  private enum Purpose {
    SERVE, ASK
  }

  private final String export;
  private final String client;
  private final List<String> contexts;
  private final Purpose purpose;
  private State state = State.GREETING;
  private ByteBuffer out = ByteBuffer.allocate(0);
  private boolean structured;
  private int loadContext = -1;
  private boolean fenced;
  private NodeView known;
  private long size = -1;
  private int flags;

  /** What was not what the protocol allows. */
  static final class Refused extends Exception {
    Refused(String what) {
      super(what);
    }
  }

  private NbdHandshake(String export, String client, List<String> contexts, Purpose purpose) {
    this.export = export;
    this.client = client;
    this.contexts = contexts;
    this.purpose = purpose;
  }

  /** One that ends ready for commands, with the fence standing. */
  NbdHandshake(String export, Fence fence) {
    this(export, fence.client(), List.of(Nbd.CONTEXT_LOAD, fence.text(), Fence.question(fence.client())),
        Purpose.SERVE);
  }

  /** One that only asks who holds a client's name, without an effect, and says goodbye. */
  static NbdHandshake asking(String export, String client) {
    return new NbdHandshake(export, client, List.of(Fence.question(client)), Purpose.ASK);
  }

  /** Reads what is whole in {@code in} and leaves the rest; whether the negotiation is over. */
  boolean feed(ByteBuffer in) throws Refused {
    while (state != State.DONE && step(in)) {
      // the next one
    }
    return state == State.DONE;
  }

  /** Bytes to be sent now. */
  ByteBuffer out() {
    ByteBuffer b = out;
    out = ByteBuffer.allocate(0);
    return b;
  }

  boolean structured() {
    return structured;
  }

  /** Id of the load context, -1: the node has none. */
  int loadContext() {
    return loadContext;
  }

  /** Whether the node holds to {@link Fence}. */
  boolean fenced() {
    return fenced;
  }

  /** Who holds the client's name there, null: the node does not say. */
  NodeView known() {
    return known;
  }

  long size() {
    return size;
  }

  boolean has(int flag) {
    return (flags & flag) != 0;
  }

  private boolean step(ByteBuffer in) throws Refused {
    if (state == State.GREETING) {
      return greeting(in);
    }
    if (in.remaining() < 20) {
      return false;
    }
    int at = in.position();
    if (in.getLong(at) != Nbd.OPTION_REPLY) {
      throw new Refused("option reply: wrong magic");
    }
    int option = in.getInt(at + 8);
    int type = in.getInt(at + 12);
    int length = in.getInt(at + 16);
    if (length < 0 || length > Nbd.MOST_OPTION) {
      throw new Refused("option reply: length " + Integer.toUnsignedString(length));
    }
    if (in.remaining() < 20 + length) {
      return false;
    }
    ByteBuffer data = in.slice(at + 20, length);
    in.position(at + 20 + length);
    reply(option, type, data);
    return true;
  }

  private boolean greeting(ByteBuffer in) throws Refused {
    if (in.remaining() < 18) {
      return false;
    }
    if (in.getLong() != Nbd.MAGIC || in.getLong() != Nbd.IHAVEOPT) {
      throw new Refused("greeting: not an NBD server of the newstyle");
    }
    int offered = Short.toUnsignedInt(in.getShort());
    if ((offered & Nbd.FLAG_FIXED_NEWSTYLE) == 0) {
      throw new Refused("greeting: flag FIXED_NEWSTYLE is not set");
    }
    ByteBuffer b = ByteBuffer.allocate(4 + 16);
    b.putInt(offered & (Nbd.FLAG_FIXED_NEWSTYLE | Nbd.FLAG_NO_ZEROES));
    option(b, Nbd.OPT_STRUCTURED_REPLY, new byte[0]);
    out = b.flip();
    state = State.STRUCTURED;
    return true;
  }

  private void reply(int option, int type, ByteBuffer data) throws Refused {
    switch (state) {
      case STRUCTURED -> {
        expect(option, Nbd.OPT_STRUCTURED_REPLY);
        structured = type == Nbd.REP_ACK;
        if (structured) {
          sendContexts();
        } else {
          open();
        }
      }
      case CONTEXTS -> {
        expect(option, contextOption());
        if (type == Nbd.REP_META_CONTEXT) {
          context(data);
        } else {
          open();
        }
      }
      case GO -> { expect(option, Nbd.OPT_GO); go(type, data); }
      default -> throw new Refused("option reply: not asked for");
    }
  }

  private static void expect(int got, int wanted) throws Refused {
    if (got != wanted) {
      throw new Refused("option reply: of option " + got + ", not " + wanted);
    }
  }

  private void context(ByteBuffer data) throws Refused {
    if (data.remaining() < 4) {
      throw new Refused("context: too short");
    }
    int id = data.getInt();
    String name = StandardCharsets.UTF_8.decode(data).toString();
    if (name.equals(Nbd.CONTEXT_LOAD)) {
      loadContext = id;
    } else if (name.startsWith(Nbd.CONTEXT_FENCE)) {
      fenced = true;
    } else if (Fence.known(name, client) != null) {
      known = Fence.known(name, client);
    }
  }

  private void go(int type, ByteBuffer data) throws Refused {
    if (type == Nbd.REP_INFO && data.remaining() >= 2) {
      if (data.getShort() == Nbd.INFO_EXPORT) {
        if (data.remaining() != 10) {
          throw new Refused("info: export of " + data.remaining() + " bytes");
        }
        size = data.getLong();
        flags = Short.toUnsignedInt(data.getShort());
      }
    } else if (type == Nbd.REP_ACK) {
      if (size < 0) {
        throw new Refused("go: no size of the export");
      }
      state = State.DONE;
    } else {
      throw new Refused("export " + export + ": refused, " + StandardCharsets.UTF_8.decode(data));
    }
  }

  private void sendContexts() {
    byte[] name = export.getBytes(StandardCharsets.UTF_8);
    ByteBuffer d = ByteBuffer.allocate(8 + name.length + contexts.stream()
        .mapToInt(c -> 4 + c.length())
        .sum());
    d.putInt(name.length).put(name).putInt(contexts.size());
    for (String c : contexts) {
      byte[] bytes = c.getBytes(StandardCharsets.US_ASCII);
      d.putInt(bytes.length).put(bytes);
    }
    send(contextOption(), d.array());
    state = State.CONTEXTS;
  }

  private int contextOption() {
    return purpose == Purpose.SERVE ? Nbd.OPT_SET_META_CONTEXT : Nbd.OPT_LIST_META_CONTEXT;
  }

  /** After the contexts: the export, or goodbye. */
  private void open() {
    if (purpose == Purpose.SERVE) {
      sendGo();
    } else {
      send(Nbd.OPT_ABORT, new byte[0]);
      state = State.DONE;
    }
  }

  private void sendGo() {
    byte[] name = export.getBytes(StandardCharsets.UTF_8);
    ByteBuffer d = ByteBuffer.allocate(6 + name.length);
    d.putInt(name.length).put(name).putShort((short) 0);
    send(Nbd.OPT_GO, d.array());
    state = State.GO;
  }

  private void send(int option, byte[] data) {
    ByteBuffer b = ByteBuffer.allocate(16 + data.length);
    option(b, option, data);
    out = b.flip();
  }

  private static void option(ByteBuffer b, int option, byte[] data) {
    b.putLong(Nbd.IHAVEOPT).putInt(option).putInt(data.length).put(data);
  }
}
