package hollyslip.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import hollyslip.recovery.EpochElection.Holder;
import hollyslip.recovery.EpochElection.NodeView;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

/** Tests the parsers of the NBD client on well-formed, malformed and random input. */
class NbdParsersTest {
  private static final class RecordingSink implements NbdReplyParser.Sink {
    final List<String> events = new ArrayList<>();
    int data;

    @Override
    public long expectedBytes(long cookie) {
      return cookie == 7 ? 1_024 : cookie == 8 ? 0 : -1;
    }

    @Override
    public long requestOffset(long cookie) {
      return 4_096;
    }

    @Override
    public void onData(long cookie, long offset, ByteBuffer in, int length) {
      assertTrue(offset >= 0 && offset + length <= 1_024, offset + "+" + length);
      in.position(in.position() + length);
      data += length;
    }

    @Override
    public void onHole(long cookie, long offset, long length) {
      assertTrue(offset >= 0 && length > 0 && offset + length <= 1_024);
      data += (int) length;
    }

    @Override
    public void onBlockStatus(long cookie, int context, int index, int value) {
      events.add("status " + index + "=" + value);
    }

    @Override
    public void onDone(long cookie, int error, String message) {
      events.add(cookie + " " + error + message);
    }
  }

  private static ByteBuffer chunk(int flags, int type, long cookie, byte[] body) {
    return ByteBuffer.allocate(20 + body.length)
        .putInt(Nbd.STRUCTURED_REPLY_MAGIC)
        .putShort((short) flags)
        .putShort((short) type)
        .putLong(cookie)
        .putInt(body.length)
        .put(body)
        .flip();
  }

  private static byte[] data(long offset, int length) {
    return ByteBuffer.allocate(8 + length).putLong(offset).array();
  }

  private static RecordingSink feed(ByteBuffer... all) throws NbdReplyParser.MalformedReplyException {
    RecordingSink sink = new RecordingSink();
    NbdReplyParser replies = new NbdReplyParser(true, sink);
    ByteBuffer joined = ByteBuffer.allocate(100_000);
    for (ByteBuffer b : all) {
      joined.put(b);
      // Feeds the parts one by one, as they may arrive from a slow peer.
      joined.flip();
      replies.feed(joined);
      joined.compact();
    }
    return sink;
  }

  @Test
  void combinesChunksIntoOneReply() throws Exception {
    RecordingSink sink = feed(chunk(0, Nbd.CHUNK_DATA, 7, data(4_096, 512)), chunk(0, Nbd.CHUNK_HOLE, 7,
        ByteBuffer
            .allocate(12)
            .putLong(4_608)
            .putInt(512)
            .array()), chunk(1, Nbd.CHUNK_NONE, 7, new byte[0]));
    assertEquals(List.of("7 0"), sink.events);
    assertEquals(1_024, sink.data);
    assertEquals(List.of("8 5oh"), feed(chunk(1, Nbd.CHUNK_ERROR, 8, ByteBuffer.allocate(8)
        .putInt(5)
        .putShort((short) 2)
        .put("oh".getBytes())
        .array())).events);
  }

  @Test
  void rejectsUnexpectedReplies() {
    for (ByteBuffer bad : List.of(chunk(1, Nbd.CHUNK_DATA, 9, data(4_096, 8)), chunk(1, Nbd.CHUNK_DATA, 7,
        data(4_095, 8)), chunk(1, Nbd.CHUNK_DATA, 7, data(4_096, 1_025)), chunk(1, Nbd.CHUNK_DATA, 8, data(
            4_096, 1)), chunk(1, 77, 7, new byte[4]), chunk(1, Nbd.CHUNK_HOLE, 7, new byte[11]), ByteBuffer
                .allocate(16)
                .putInt(5), ByteBuffer.allocate(16)
                    .putInt(Nbd.SIMPLE_REPLY_MAGIC)
                    .putInt(0)
                    .putLong(7)
                    .flip())) {
      bad.rewind();
      assertThrows(NbdReplyParser.MalformedReplyException.class, () -> feed(bad));
    }
  }

  @Property(tries = 3_000, seed = "5")
  void replyParserHandlesArbitraryBytes(@ForAll @Size(max = 200) byte[] bytes, @ForAll boolean framed) {
    ByteBuffer in = framed && bytes.length > 30
        ? ByteBuffer.wrap(bytes)
            .putInt(0, Nbd.STRUCTURED_REPLY_MAGIC)
            .putLong(8, 7)
            .putInt(16, bytes[16] & 0x7f)
        : ByteBuffer.wrap(bytes);
    try {
      new NbdReplyParser(true, new RecordingSink()).feed(in);
      assertTrue(in.remaining() <= 20 + Nbd.MAX_OPTION_BYTES);
    } catch (NbdReplyParser.MalformedReplyException e) {
      assertFalse(e.getMessage().isEmpty());
    }
  }

  @Property(tries = 2_000, seed = "6")
  void handshakeHandlesArbitraryBytes(@ForAll @Size(max = 120) byte[] bytes, @ForAll boolean greeted) {
    NbdHandshake handshake = new NbdHandshake("x", new Fence("c", new Holder(1, 1), 1, Set.of()));
    ByteBuffer in = ByteBuffer.allocate(200);
    if (greeted) {
      in.putLong(Nbd.INIT_MAGIC)
          .putLong(Nbd.IHAVEOPT)
          .putShort((short) 3)
          .putLong(Nbd.OPTION_REPLY_MAGIC)
          .putInt(Nbd.OPT_STRUCTURED_REPLY);
    }
    in.put(bytes).flip();
    try {
      handshake.feed(in);
    } catch (NbdHandshake.NegotiationException e) {
      assertFalse(e.getMessage().isEmpty());
    }
  }

  @Test
  void fenceInvalidatesEarlierProcessesAndClosedConnections() {
    Holder holder = new Holder(3, 7);
    Fence fence = new Fence("gw", holder, 9, Set.of(5L));
    assertEquals(fence, Fence.parse(fence.contextName()));
    assertTrue(fence.invalidates(new Fence("gw", new Holder(2, 7), 50, Set.of())));
    assertTrue(fence.invalidates(new Fence("gw", holder, 8, Set.of())));
    assertFalse(fence.invalidates(new Fence("gw", holder, 5, Set.of())));
    assertFalse(fence.invalidates(fence));
    assertFalse(fence.invalidates(new Fence("gw", holder, 10, Set.of())));
    assertFalse(fence.invalidates(new Fence("other", new Holder(1, 1), 1, Set.of())));
    Fence twin = new Fence("gw", new Holder(3, 8), 20, Set.of());
    assertTrue(fence.invalidates(twin), "another process with the same epoch");
    assertEquals(fence, fence.newerOf(twin), "the first one stays in force");
    NodeView holderView = new NodeView(holder, 2);
    assertEquals(holderView, Fence.parseHolderReply(Fence.holderReplyName("gw", holderView), "gw"));
    assertNull(Fence.parseHolderReply(Fence.holderReplyName("gw", holderView), "other"));
    assertNull(Fence.parseHolderReply("hollyslip:epoch/gw/x/1/0", "gw"));
    for (String bad : List.of("", "hollyslip:fence/", "hollyslip:fence/a/b/c/d/", "hollyslip:fence/a/1/2",
        "x")) {
      assertNull(Fence.parse(bad));
    }
  }
}
