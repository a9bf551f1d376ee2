package hollyslip.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandler;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.DecoderException;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Guards against peers that use up the memory of receive buffers, after which the event loop slept in each
 * read and answered nobody. */
@Timeout(120)
class ReceiveBuffersTest {
  private static final int READ_BYTES = 64 << 10, LONG_BODY_BYTES = 60_000;

  /** Enough to fill the 24 MB of direct memory with read buffers of 64 KiB. */
  private static final int STOPPING_CLIENTS = 450;

  /** How long a request waits, and how late its answer may be before it counts as lost, ms. */
  private static final int WAIT_MS = 1000, MAX_LATENESS_MS = 500;

  /** How long clients that stop are observed, ms: until the time limit for their requests has passed. */
  private static final long OBSERVATION_MS = 4000;

  private static String longRequest(String id) {
    return SchedulerFixture.writeRequest("put", id, "k-" + id, "x".repeat(LONG_BODY_BYTES));
  }

  /** Clients that stop in the middle of a request must not keep others from their answers. */
  @Test
  void clientsThatStopAfterALongRequestDoNotStallTheEventLoop() throws Exception {
    List<SchedulerFixture.Client> stopping = new ArrayList<>();
    try (SchedulerProcessFixture fixture = new SchedulerProcessFixture(1024, Map.of())) {
      fixture.startEcho();
      for (int i = 0; i < STOPPING_CLIENTS; i++) {
        SchedulerFixture.Client client = fixture.client();
        stopping.add(client);
        client.send(longRequest("long" + i));
        assertNotEquals(0, client.readStatus(), "the long request must be answered");
      }
      for (SchedulerFixture.Client client : stopping) {
        sendUnlessClosed(client, longRequest("half").substring(0, 100));
      }
      // Connected only now: a connection without a request may be closed after two seconds.
      SchedulerFixture.Client usual = fixture.client();
      stopping.add(usual);
      usual.socket.setSoTimeout(WAIT_MS + MAX_LATENESS_MS);
      long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(OBSERVATION_MS);
      for (int i = 0; System.nanoTime() < end; i++) {
        usual.send(SchedulerFixture.readRequest("usual" + i).replace("20000m", WAIT_MS + "m"));
        assertNotEquals(0, usual.readStatus(), "a usual request must be answered in time");
        Thread.sleep(20);
      }
      for (SchedulerFixture.Client client : stopping.subList(0, STOPPING_CLIENTS)) {
        assertAnsweredOrClosed(client.socket);
      }
    } finally {
      for (SchedulerFixture.Client client : stopping) {
        client.close();
      }
    }
  }

  /** Ignores that the scheduler may have closed the idle connection meanwhile. */
  private static void sendUnlessClosed(SchedulerFixture.Client client, String bytes) {
    try {
      client.send(bytes);
    } catch (IOException closed) {
      // The scheduler evicted the idle connection, which is allowed.
    }
  }

  private static void assertAnsweredOrClosed(Socket socket) throws IOException {
    socket.setSoTimeout(1);
    try {
      socket.getInputStream().read();
    } catch (java.net.SocketException reset) {
      // A reset also closes the connection.
    }
  }

  @Test
  void receivedBytesAreKeptOnTheHeap() {
    RecvByteBufAllocator.Handle handle = ReceiveBuffers.RECEIVE_ALLOCATOR.newHandle();
    ByteBuf buffer = handle.allocate(ReceiveBuffers.ALLOCATOR);
    assertFalse(buffer.isDirect());
    buffer.release();
  }

  /** A buffer of one read, filled with these bytes. */
  private static ByteBuf readBuffer(String bytes) {
    return Unpooled.buffer(READ_BYTES).writeBytes(bytes.getBytes(StandardCharsets.ISO_8859_1));
  }

  private static void assertKeepsOnly(int bytes, ChannelHandler decoder, String received) {
    EmbeddedChannel channel = new EmbeddedChannel(decoder);
    ByteBuf buffer = readBuffer(received);
    channel.writeInbound(buffer);
    channel.releaseInbound();
    channel.writeInbound(Unpooled.EMPTY_BUFFER);
    assertEquals(bytes, buffer.readableBytes());
    assertTrue(buffer.capacity() <= bytes + ReceiveBuffers.MAX_UNUSED_BYTES, "kept: " + buffer.capacity());
    channel.finishAndReleaseAll();
  }

  /** The first bytes of a message must not keep the memory of the long read that they came with. */
  @Test
  void anIncompleteHeadKeepsOnlyItsOwnBytes() {
    assertKeepsOnly(100, new RequestDecoder(), longRequest("t1") + longRequest("t2").substring(0, 100));
    String response = "HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\n" + "x".repeat(LONG_BODY_BYTES);
    assertKeepsOnly(30, new StrictResponseDecoder(), response + response.substring(0, 30));
  }

  /** A connection lingers after an invalid request; its input must not linger with it. */
  @Test
  void anInvalidRequestKeepsNoBytes() {
    EmbeddedChannel channel = new EmbeddedChannel(new RequestDecoder());
    ByteBuf buffer = readBuffer(" invalid" + "x".repeat(LONG_BODY_BYTES));
    assertThrows(DecoderException.class, () -> channel.writeInbound(buffer));
    assertEquals(0, buffer.refCnt());
    channel.finishAndReleaseAll();
  }
}
