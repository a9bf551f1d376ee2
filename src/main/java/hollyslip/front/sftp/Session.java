package hollyslip.front.sftp;

import static hollyslip.front.sftp.Packets.*;

import hollyslip.engine.Answer;
import hollyslip.engine.RequestIntake;
import hollyslip.engine.IoRequest;
import hollyslip.volume.IoKind;
import hollyslip.volume.Volume;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** One client of file commands: each volume is a file of fixed size in one folder. Requests go to the engine
 * and are answered in the order in which their ends come, as the protocol allows (section 6.1 of the draft).
 * A change that does not fill whole blocks reads the blocks first; such changes of one session wait for each
 * other where they touch. Runs on the channel's event loop. */
final class Session extends SimpleChannelInboundHandler<ByteBuf> {
  private static final Logger LOG = LoggerFactory.getLogger(Session.class);

  /** Open handles and requests in flight of one session at most. */
  private static final int MOST_HANDLES = 256, MOST_FLIGHT = 64;

  private final RequestIntake engine;
  private final Map<String, Handle> handles = new HashMap<>();
  private final Set<Work> flight = new HashSet<>();
  private final ArrayDeque<Work> blocked = new ArrayDeque<>();
  private final ArrayDeque<Work> writers = new ArrayDeque<>();
  private final Runnable roomListener = this::room;
  private ChannelHandlerContext context;
  private boolean started;
  private long nextHandle;

  private static final class Handle {
    final String volume;
    final boolean reads, writes;
    boolean listed;

    Handle(String volume, boolean reads, boolean writes) {
      this.volume = volume;
      this.reads = reads;
      this.writes = writes;
    }
  }

  Session(RequestIntake engine) {
    this.engine = engine;
  }

  @Override
  public void channelActive(ChannelHandlerContext c) {
    context = c;
    engine.addCapacityListener(roomListener);
  }

  @Override
  public void channelInactive(ChannelHandlerContext c) {
    engine.removeCapacityListener(roomListener);
    flight.forEach(w -> engine.abandon(w.io));
    blocked.clear();
    writers.clear();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext c, Throwable e) {
    LOG.atWarn().addKeyValue("why", e.getMessage()).log("sftp.closed");
    c.close();
  }

  @Override
  protected void channelRead0(ChannelHandlerContext c, ByteBuf in) {
    if (!in.isReadable()) {
      throw new Bad("packet: empty");
    }
    int type = in.readUnsignedByte();
    if (type == INIT) {
      if (started) {
        throw new Bad("INIT: a second one");
      }
      started = true;
      u32(in, "INIT.version");
      ByteBuf out = Unpooled.buffer().writeByte(VERSION).writeInt(3);
      put(out, FSYNC);
      put(out, "1");
      send(out);
      return;
    }
    if (!started) {
      throw new Bad("packet " + type + ": before INIT");
    }
    request(type, u32(in, "id"), in);
  }

  private void send(ByteBuf packet) {
    context.writeAndFlush(packet);
  }

  private void status(int id, int code, String message) {
    send(Packets.status(Unpooled.buffer(), id, code, message));
  }

  private void request(int type, int id, ByteBuf in) {
    switch (type) {
      case REALPATH -> names(id, List.of(real(string(in, "REALPATH.path"))));
      case STAT, LSTAT -> stat(id, string(in, "STAT.path"));
      case FSTAT -> {
        Handle h = handle(id, in);
        if (h != null) {
          attributes(id, h.volume);
        }
      }
      case OPENDIR -> {
        if (real(string(in, "OPENDIR.path")).equals("/")) {
          open(id, new Handle(null, false, false));
        } else {
          status(id, NO_SUCH_FILE, "no such folder");
        }
      }
      case READDIR -> readDir(id, in);
      case OPEN -> openFile(id, in);
      case CLOSE -> {
        if (handles.remove(string(in, "handle")) == null) {
          status(id, FAILURE, "handle is not open");
        } else {
          status(id, OK, "");
        }
      }
      case READ -> read(id, in);
      case WRITE -> write(id, in);
      case EXTENDED -> extended(id, in);
      case SETSTAT, FSETSTAT -> status(id, OK, "");
      case REMOVE, MKDIR, RMDIR, RENAME, SYMLINK, READLINK -> status(id, PERMISSION_DENIED,
          "volumes are made and removed by the operator");
      default -> status(id, OP_UNSUPPORTED, "request " + type);
    }
  }

  // Names.

  private static String real(String path) {
    ArrayDeque<String> parts = new ArrayDeque<>();
    for (String p : path.split("/")) {
      if (p.equals("..")) {
        parts.pollLast();
      } else if (!p.isEmpty() && !p.equals(".")) {
        parts.add(p);
      }
    }
    return "/" + String.join("/", parts);
  }

  private Volume volume(String path) {
    String name = real(path).substring(1);
    // Hosted volumes, whose names have a slash, belong to tenants, and this front does not know its callers.
    return name.indexOf('/') < 0 ? engine.volumes().get(name) : null;
  }

  private void names(int id, List<String> names) {
    ByteBuf out = Unpooled.buffer().writeByte(NAME).writeInt(id).writeInt(names.size());
    for (String n : names) {
      Volume v = engine.volumes().get(n);
      put(out, n);
      put(out, v == null
          ? n
          : String.format("-rw-------    1 0        0        %12d Jan  1 00:00 %s", v.bytes(), n));
      Packets.attributes(out, v == null ? 0 : v.bytes(), v == null ? DIRECTORY : FILE);
    }
    send(out);
  }

  private void stat(int id, String path) {
    if (real(path).equals("/")) {
      attributes(id, null);
    } else if (volume(path) == null) {
      status(id, NO_SUCH_FILE, "no such volume");
    } else {
      attributes(id, real(path).substring(1));
    }
  }

  private void attributes(int id, String volume) {
    ByteBuf out = Unpooled.buffer().writeByte(ATTRS).writeInt(id);
    Volume v = volume == null ? null : engine.volumes().get(volume);
    Packets.attributes(out, v == null ? 0 : v.bytes(), v == null ? DIRECTORY : FILE);
    send(out);
  }

  // Handles.

  private void open(int id, Handle h) {
    if (handles.size() >= MOST_HANDLES) {
      status(id, FAILURE, "too many handles are open");
      return;
    }
    String name = "h" + nextHandle++;
    handles.put(name, h);
    ByteBuf out = Unpooled.buffer().writeByte(HANDLE).writeInt(id);
    put(out, name);
    send(out);
  }

  private void openFile(int id, ByteBuf in) {
    Volume v = volume(string(in, "OPEN.path"));
    int flags = u32(in, "OPEN.flags");
    if (v == null) {
      status(id, (flags & OPEN_CREAT) != 0 ? PERMISSION_DENIED : NO_SUCH_FILE, "no such volume");
    } else if ((flags & (OPEN_APPEND | OPEN_EXCL)) != 0) {
      status(id, OP_UNSUPPORTED, "a volume has a fixed size");
    } else {
      open(id, new Handle(v.name(), (flags & OPEN_READ) != 0, (flags & OPEN_WRITE) != 0));
    }
  }

  private Handle handle(int id, ByteBuf in) {
    Handle h = handles.get(string(in, "handle"));
    if (h == null) {
      status(id, FAILURE, "handle is not open");
    }
    return h;
  }

  private void readDir(int id, ByteBuf in) {
    Handle h = handle(id, in);
    if (h == null) {
      return;
    }
    if (h.volume != null) {
      status(id, FAILURE, "not a folder");
    } else if (h.listed) {
      status(id, EOF, "");
    } else {
      h.listed = true;
      names(id, engine.volumes().keySet().stream().filter(n -> n.indexOf('/') < 0).sorted().toList());
    }
  }

  // Data.

  private void read(int id, ByteBuf in) {
    Handle h = handle(id, in);
    long offset = u64(in, "READ.offset");
    int length = u32(in, "READ.length");
    Volume v = h == null ? null : file(id, h, h.reads);
    if (v == null) {
      return;
    }
    if (length < 0 || offset >= v.bytes()) {
      status(id, length < 0 ? BAD_MESSAGE : EOF, "");
      return;
    }
    int n = (int) Math.min(Math.min(length, MOST_DATA), v.bytes() - offset);
    if (n == 0) {
      send(Unpooled.buffer().writeByte(DATA).writeInt(id).writeInt(0));
      return;
    }
    start(new Work(id, v, IoKind.READ, offset, n, null));
  }

  private void write(int id, ByteBuf in) {
    Handle h = handle(id, in);
    long offset = u64(in, "WRITE.offset");
    int length = u32(in, "WRITE.length");
    if (length < 0 || length > in.readableBytes()) {
      throw new Bad("WRITE.length: " + Integer.toUnsignedString(length));
    }
    Volume v = h == null ? null : file(id, h, h.writes);
    if (v == null) {
      return;
    }
    if (offset > v.bytes() - length) {
      status(id, FAILURE, "past the end: a volume has a fixed size");
      return;
    }
    if (length == 0) {
      status(id, OK, "");
      return;
    }
    byte[] bytes = new byte[length];
    in.readBytes(bytes);
    Work w = new Work(id, v, IoKind.WRITE, offset, length, bytes);
    writers.add(w);
    if (writers.stream().noneMatch(o -> o != w && o.overlaps(w))) {
      start(w);
    }
  }

  private void extended(int id, ByteBuf in) {
    if (!string(in, "EXTENDED.request").equals(FSYNC)) {
      status(id, OP_UNSUPPORTED, "extension");
      return;
    }
    Handle h = handle(id, in);
    Volume v = h == null ? null : file(id, h, h.writes || h.reads);
    if (v != null) {
      start(new Work(id, v, IoKind.FLUSH, 0, 0, null));
    }
  }

  private Volume file(int id, Handle h, boolean may) {
    Volume v = h.volume == null ? null : engine.volumes().get(h.volume);
    if (v == null || !may) {
      status(id, v == null ? FAILURE : PERMISSION_DENIED, v == null ? "not a file" : "not opened for this");
      return null;
    }
    return v;
  }

  private void start(Work w) {
    flight.add(w);
    w.step();
    stopReadingWhileFull();
  }

  /** A session with much in flight is read no further: the socket is its back-pressure. */
  private void stopReadingWhileFull() {
    context.channel().config().setAutoRead(flight.size() + writers.size() < MOST_FLIGHT && blocked.isEmpty());
  }

  private void room() {
    context.executor().execute(() -> {
      for (Iterator<Work> i = blocked.iterator(); i.hasNext();) {
        if (!engine.offer(i.next().io)) {
          return;
        }
        i.remove();
      }
      stopReadingWhileFull();
    });
  }

  /** One READ, WRITE or fsync; a write of parts of blocks is a read of whole ones and then a write. */
  private final class Work implements IoRequest.CompletionListener {
    final int id;
    final Volume volume;
    final IoKind kind;
    final long offset;
    final int length;
    final byte[] bytes;
    final long from, to;
    final ByteBuffer blocks;
    boolean filled;
    IoKind doing;
    IoRequest io;

    Work(int id, Volume volume, IoKind kind, long offset, int length, byte[] bytes) {
      this.id = id;
      this.volume = volume;
      this.kind = kind;
      this.offset = offset;
      this.length = length;
      this.bytes = bytes;
      from = offset / Volume.BLOCK_BYTES * Volume.BLOCK_BYTES;
      to = (offset + length + Volume.BLOCK_BYTES - 1) / Volume.BLOCK_BYTES * Volume.BLOCK_BYTES;
      blocks = kind.carriesData() ? ByteBuffer.allocateDirect((int) (to - from)) : null;
      filled = kind != IoKind.WRITE || from == offset && to == offset + length;
    }

    boolean overlaps(Work o) {
      return o.volume.name().equals(volume.name()) && o.from < to && from < o.to;
    }

    void step() {
      doing = filled ? kind : IoKind.READ;
      if (doing == IoKind.WRITE) {
        blocks.put((int) (offset - from), bytes);
      }
      io = new IoRequest(volume.name(), doing, from, to - from, blocks == null ? List.of() : List.of(blocks),
          0,
          this);
      if (!engine.offer(io)) {
        blocked.add(this);
      }
    }

    @Override
    public void onAnswer(Answer answer) {
      context.executor().execute(() -> end(answer));
    }

    @Override
    public void onRelease() {
      // The blocks are ours and garbage once nothing points to them.
    }

    private void end(Answer answer) {
      if (!context.channel().isActive()) {
        return;
      }
      boolean served = answer.kind() == Answer.Kind.SERVED;
      if (served && !filled) {
        filled = true;
        step();
        return;
      }
      flight.remove(this);
      if (served && kind == IoKind.READ) {
        blocks.limit((int) (offset - from) + length).position((int) (offset - from));
        send(Unpooled.buffer(length + 9).writeByte(DATA).writeInt(id).writeInt(length).writeBytes(blocks));
      } else {
        status(id, served ? OK : FAILURE, served
            ? ""
            : answer.kind() == Answer.Kind.REFUSED
                ? "refused; again is harmless, in " + (answer.retryAfterUs() + 999) / 1_000 + " ms"
                : "failed; it may have taken effect");
      }
      if (kind == IoKind.WRITE) {
        next();
      }
      stopReadingWhileFull();
    }

    /** Writes that waited for this one. */
    private void next() {
      writers.remove(this);
      List<Work> waiting = writers.stream().filter(w -> w.io == null).toList();
      for (Work w : waiting) {
        boolean free = true;
        for (Work before : writers) {
          if (before == w) {
            break;
          }
          free &= !before.overlaps(w);
        }
        if (free) {
          start(w);
        }
      }
    }
  }
}
