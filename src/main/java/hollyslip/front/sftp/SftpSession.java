package hollyslip.front.sftp;

import static hollyslip.front.sftp.SftpPackets.*;

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

/** The session of one SFTP client: each volume is a file of fixed size in a single directory. Requests go to
 * the engine and are answered in the order of completion, as the protocol allows (section 6.1 of the draft).
 * A write that does not cover whole blocks reads the blocks first; such writes of one session wait for each
 * other where they overlap. Runs on the channel's event loop. */
final class SftpSession extends SimpleChannelInboundHandler<ByteBuf> {
  private static final Logger LOG = LoggerFactory.getLogger(SftpSession.class);

  /** Maximum numbers of open handles and of requests in flight of one session. */
  private static final int MAX_HANDLES = 256, MAX_IN_FLIGHT = 64;

  private final RequestIntake engine;
  private final Map<String, Handle> handles = new HashMap<>();
  private final Set<FileOperation> inFlight = new HashSet<>();
  private final ArrayDeque<FileOperation> blockedOperations = new ArrayDeque<>();
  private final ArrayDeque<FileOperation> pendingWrites = new ArrayDeque<>();
  /** Packets that were read while the session was busy: those of one read of the socket, at most. */
  private final ArrayDeque<ByteBuf> waitingPackets = new ArrayDeque<>();
  private final Runnable capacityListener = this::offerBlocked;
  private ChannelHandlerContext context;
  private boolean initialized;
  private long nextHandleId;

  private static final class Handle {
    final String volume;
    final boolean readable, writable;
    boolean listed;

    Handle(String volume, boolean readable, boolean writable) {
      this.volume = volume;
      this.readable = readable;
      this.writable = writable;
    }
  }

  SftpSession(RequestIntake engine) {
    this.engine = engine;
  }

  @Override
  public void channelActive(ChannelHandlerContext c) {
    context = c;
    engine.addCapacityListener(capacityListener);
  }

  @Override
  public void channelInactive(ChannelHandlerContext c) {
    engine.removeCapacityListener(capacityListener);
    inFlight.forEach(operation -> engine.abandon(operation.currentRequest));
    blockedOperations.clear();
    pendingWrites.clear();
    waitingPackets.forEach(ByteBuf::release);
    waitingPackets.clear();
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext c) {
    handleWaitingPackets();
    c.fireChannelWritabilityChanged();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext c, Throwable e) {
    LOG.atWarn().addKeyValue("why", e.getMessage()).log("sftp.closed");
    c.close();
  }

  @Override
  protected void channelRead0(ChannelHandlerContext c, ByteBuf in) {
    if (isBusy() || !waitingPackets.isEmpty()) {
      waitingPackets.add(in.retain());
    } else {
      handlePacket(in);
    }
    stopReadingWhileBusy();
  }

  /** Whether no further request may be started: each takes memory until its response is written. */
  private boolean isBusy() {
    return inFlight.size() + pendingWrites.size() >= MAX_IN_FLIGHT || !blockedOperations.isEmpty() || !context
        .channel()
        .isWritable();
  }

  private void handleWaitingPackets() {
    while (!isBusy() && !waitingPackets.isEmpty()) {
      ByteBuf packet = waitingPackets.poll();
      try {
        handlePacket(packet);
      } finally {
        packet.release();
      }
    }
    stopReadingWhileBusy();
  }

  private void handlePacket(ByteBuf in) {
    if (!in.isReadable()) {
      throw new MalformedPacketException("packet: empty");
    }
    int type = in.readUnsignedByte();
    if (type == INIT) {
      if (initialized) {
        throw new MalformedPacketException("INIT: received twice");
      }
      initialized = true;
      readU32(in, "INIT.version");
      ByteBuf out = Unpooled.buffer().writeByte(VERSION).writeInt(3);
      writeString(out, FSYNC_EXTENSION);
      writeString(out, "1");
      send(out);
      return;
    }
    if (!initialized) {
      throw new MalformedPacketException("packet " + type + ": received before INIT");
    }
    handleRequest(type, readU32(in, "id"), in);
  }

  private void send(ByteBuf packet) {
    context.writeAndFlush(packet);
  }

  private void sendStatus(int id, int code, String message) {
    send(SftpPackets.writeStatus(Unpooled.buffer(), id, code, message));
  }

  private void handleRequest(int type, int id, ByteBuf in) {
    switch (type) {
      case REALPATH -> sendNames(id, List.of(normalizePath(readString(in, "REALPATH.path"))));
      case STAT, LSTAT -> sendPathAttributes(id, readString(in, "STAT.path"));
      case FSTAT -> {
        Handle handle = findHandle(id, in);
        if (handle != null) {
          sendVolumeAttributes(id, handle.volume);
        }
      }
      case OPENDIR -> {
        if (normalizePath(readString(in, "OPENDIR.path")).equals("/")) {
          openHandle(id, new Handle(null, false, false));
        } else {
          sendStatus(id, NO_SUCH_FILE, "no such folder");
        }
      }
      case READDIR -> handleReadDir(id, in);
      case OPEN -> handleOpen(id, in);
      case CLOSE -> {
        if (handles.remove(readString(in, "handle")) == null) {
          sendStatus(id, FAILURE, "handle is not open");
        } else {
          sendStatus(id, OK, "");
        }
      }
      case READ -> handleRead(id, in);
      case WRITE -> handleWrite(id, in);
      case EXTENDED -> handleExtended(id, in);
      case SETSTAT, FSETSTAT -> sendStatus(id, OK, "");
      case REMOVE, MKDIR, RMDIR, RENAME, SYMLINK, READLINK -> sendStatus(id, PERMISSION_DENIED,
          "volumes are made and removed by the operator");
      default -> sendStatus(id, OP_UNSUPPORTED, "request " + type);
    }
  }

  // Paths and attributes.

  private static String normalizePath(String path) {
    ArrayDeque<String> parts = new ArrayDeque<>();
    for (String part : path.split("/")) {
      if (part.equals("..")) {
        parts.pollLast();
      } else if (!part.isEmpty() && !part.equals(".")) {
        parts.add(part);
      }
    }
    return "/" + String.join("/", parts);
  }

  private Volume findVolume(String path) {
    String name = normalizePath(path).substring(1);
    // Hosted volumes, whose names contain a slash, belong to tenants, and SFTP clients are not authenticated.
    return name.indexOf('/') < 0 ? engine.volumes().get(name) : null;
  }

  private void sendNames(int id, List<String> names) {
    ByteBuf out = Unpooled.buffer().writeByte(NAME).writeInt(id).writeInt(names.size());
    for (String name : names) {
      Volume volume = engine.volumes().get(name);
      writeString(out, name);
      writeString(out, volume == null
          ? name
          : String.format("-rw-------    1 0        0        %12d Jan  1 00:00 %s", volume.bytes(), name));
      SftpPackets.writeAttributes(out, volume == null ? 0 : volume.bytes(), volume == null
          ? DIRECTORY_MODE
          : FILE_MODE);
    }
    send(out);
  }

  private void sendPathAttributes(int id, String path) {
    if (normalizePath(path).equals("/")) {
      sendVolumeAttributes(id, null);
    } else if (findVolume(path) == null) {
      sendStatus(id, NO_SUCH_FILE, "no such volume");
    } else {
      sendVolumeAttributes(id, normalizePath(path).substring(1));
    }
  }

  private void sendVolumeAttributes(int id, String volume) {
    ByteBuf out = Unpooled.buffer().writeByte(ATTRS).writeInt(id);
    Volume current = volume == null ? null : engine.volumes().get(volume);
    SftpPackets.writeAttributes(out, current == null ? 0 : current.bytes(), current == null
        ? DIRECTORY_MODE
        : FILE_MODE);
    send(out);
  }

  // Handles.

  private void openHandle(int id, Handle handle) {
    if (handles.size() >= MAX_HANDLES) {
      sendStatus(id, FAILURE, "too many handles are open");
      return;
    }
    String name = "h" + nextHandleId++;
    handles.put(name, handle);
    ByteBuf out = Unpooled.buffer().writeByte(HANDLE).writeInt(id);
    writeString(out, name);
    send(out);
  }

  private void handleOpen(int id, ByteBuf in) {
    Volume volume = findVolume(readString(in, "OPEN.path"));
    int flags = readU32(in, "OPEN.flags");
    if (volume == null) {
      sendStatus(id, (flags & OPEN_CREAT) != 0 ? PERMISSION_DENIED : NO_SUCH_FILE, "no such volume");
    } else if ((flags & (OPEN_APPEND | OPEN_EXCL)) != 0) {
      sendStatus(id, OP_UNSUPPORTED, "a volume has a fixed size");
    } else {
      openHandle(id, new Handle(volume.name(), (flags & OPEN_READ) != 0, (flags & OPEN_WRITE) != 0));
    }
  }

  private Handle findHandle(int id, ByteBuf in) {
    Handle handle = handles.get(readString(in, "handle"));
    if (handle == null) {
      sendStatus(id, FAILURE, "handle is not open");
    }
    return handle;
  }

  private void handleReadDir(int id, ByteBuf in) {
    Handle handle = findHandle(id, in);
    if (handle == null) {
      return;
    }
    if (handle.volume != null) {
      sendStatus(id, FAILURE, "not a folder");
    } else if (handle.listed) {
      sendStatus(id, EOF, "");
    } else {
      handle.listed = true;
      sendNames(id, engine.volumes().keySet().stream().filter(n -> n.indexOf('/') < 0).sorted().toList());
    }
  }

  // Data.

  private void handleRead(int id, ByteBuf in) {
    Handle handle = findHandle(id, in);
    long offset = readU64(in, "READ.offset");
    int length = readU32(in, "READ.length");
    Volume volume = handle == null ? null : openVolume(id, handle, handle.readable);
    if (volume == null) {
      return;
    }
    if (length < 0 || offset >= volume.bytes()) {
      sendStatus(id, length < 0 ? BAD_MESSAGE : EOF, "");
      return;
    }
    int count = (int) Math.min(Math.min(length, MAX_DATA_BYTES), volume.bytes() - offset);
    if (count == 0) {
      send(Unpooled.buffer().writeByte(DATA).writeInt(id).writeInt(0));
      return;
    }
    startOperation(new FileOperation(id, volume, IoKind.READ, offset, count, null));
  }

  private void handleWrite(int id, ByteBuf in) {
    Handle handle = findHandle(id, in);
    long offset = readU64(in, "WRITE.offset");
    int length = readU32(in, "WRITE.length");
    if (length < 0 || length > in.readableBytes()) {
      throw new MalformedPacketException("WRITE.length: " + Integer.toUnsignedString(length));
    }
    Volume volume = handle == null ? null : openVolume(id, handle, handle.writable);
    if (volume == null) {
      return;
    }
    if (offset > volume.bytes() - length) {
      sendStatus(id, FAILURE, "past the end: a volume has a fixed size");
      return;
    }
    if (length == 0) {
      sendStatus(id, OK, "");
      return;
    }
    byte[] bytes = new byte[length];
    in.readBytes(bytes);
    FileOperation write = new FileOperation(id, volume, IoKind.WRITE, offset, length, bytes);
    pendingWrites.add(write);
    if (pendingWrites.stream().noneMatch(other -> other != write && other.overlaps(write))) {
      startOperation(write);
    }
  }

  private void handleExtended(int id, ByteBuf in) {
    if (!readString(in, "EXTENDED.request").equals(FSYNC_EXTENSION)) {
      sendStatus(id, OP_UNSUPPORTED, "extension");
      return;
    }
    Handle handle = findHandle(id, in);
    Volume volume = handle == null ? null : openVolume(id, handle, handle.writable || handle.readable);
    if (volume != null) {
      startOperation(new FileOperation(id, volume, IoKind.FLUSH, 0, 0, null));
    }
  }

  private Volume openVolume(int id, Handle handle, boolean allowed) {
    Volume volume = handle.volume == null ? null : engine.volumes().get(handle.volume);
    if (volume == null || !allowed) {
      sendStatus(id, volume == null ? FAILURE : PERMISSION_DENIED, volume == null
          ? "not a file"
          : "not opened for this");
      return null;
    }
    return volume;
  }

  private void startOperation(FileOperation operation) {
    inFlight.add(operation);
    operation.submit();
  }

  /** Stops reading from the session while it is busy: the socket provides the back-pressure. */
  private void stopReadingWhileBusy() {
    context.channel().config().setAutoRead(!isBusy() && waitingPackets.isEmpty());
  }

  private void offerBlocked() {
    context.executor().execute(() -> {
      for (Iterator<FileOperation> operations = blockedOperations.iterator(); operations.hasNext();) {
        if (!engine.offer(operations.next().currentRequest)) {
          return;
        }
        operations.remove();
      }
      handleWaitingPackets();
    });
  }

  /** A READ, WRITE or fsync. A write of partial blocks is a read of whole blocks followed by a write. */
  private final class FileOperation implements IoRequest.CompletionListener {
    final int id;
    final Volume volume;
    final IoKind kind;
    final long offset;
    final int length;
    final byte[] bytes;
    final long blocksStart, blocksEnd;
    final ByteBuffer blocks;
    boolean blocksComplete;
    IoKind currentKind;
    IoRequest currentRequest;

    FileOperation(int id, Volume volume, IoKind kind, long offset, int length, byte[] bytes) {
      this.id = id;
      this.volume = volume;
      this.kind = kind;
      this.offset = offset;
      this.length = length;
      this.bytes = bytes;
      blocksStart = offset / Volume.BLOCK_BYTES * Volume.BLOCK_BYTES;
      blocksEnd = (offset + length + Volume.BLOCK_BYTES - 1) / Volume.BLOCK_BYTES * Volume.BLOCK_BYTES;
      blocks = kind.carriesData() ? ByteBuffer.allocateDirect((int) (blocksEnd - blocksStart)) : null;
      blocksComplete = kind != IoKind.WRITE || blocksStart == offset && blocksEnd == offset + length;
    }

    boolean overlaps(FileOperation other) {
      return other.volume.name().equals(volume.name()) && other.blocksStart < blocksEnd
          && blocksStart < other.blocksEnd;
    }

    void submit() {
      currentKind = blocksComplete ? kind : IoKind.READ;
      if (currentKind == IoKind.WRITE) {
        blocks.put((int) (offset - blocksStart), bytes);
      }
      currentRequest = new IoRequest(volume.name(), currentKind, blocksStart, blocksEnd - blocksStart,
          blocks == null ? List.of() : List.of(blocks),
          0,
          this);
      if (!engine.offer(currentRequest)) {
        blockedOperations.add(this);
      }
    }

    @Override
    public void onAnswer(Answer answer) {
      context.executor().execute(() -> handleAnswer(answer));
    }

    @Override
    public void onRelease() {
      // The blocks are owned by this object and garbage collected with it.
    }

    private void handleAnswer(Answer answer) {
      if (!context.channel().isActive()) {
        return;
      }
      boolean served = answer.kind() == Answer.Kind.SERVED;
      if (served && !blocksComplete) {
        blocksComplete = true;
        submit();
        return;
      }
      inFlight.remove(this);
      if (served && kind == IoKind.READ) {
        blocks.limit((int) (offset - blocksStart) + length).position((int) (offset - blocksStart));
        send(Unpooled.buffer(length + 9).writeByte(DATA).writeInt(id).writeInt(length).writeBytes(blocks));
      } else {
        sendStatus(id, served ? OK : FAILURE, served
            ? ""
            : answer.kind() == Answer.Kind.REFUSED
                ? "refused; again is harmless, in " + (answer.retryAfterUs() + 999) / 1_000 + " ms"
                : "failed; it may have taken effect");
      }
      if (kind == IoKind.WRITE) {
        startWaitingWrites();
      }
      handleWaitingPackets();
    }

    /** Starts the writes that waited for this one. */
    private void startWaitingWrites() {
      pendingWrites.remove(this);
      List<FileOperation> waiting = pendingWrites.stream()
          .filter(write -> write.currentRequest == null)
          .toList();
      for (FileOperation write : waiting) {
        boolean free = true;
        for (FileOperation earlier : pendingWrites) {
          if (earlier == write) {
            break;
          }
          free &= !earlier.overlaps(write);
        }
        if (free) {
          startOperation(write);
        }
      }
    }
  }
}
