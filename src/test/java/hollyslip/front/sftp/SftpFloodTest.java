package hollyslip.front.sftp;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import hollyslip.engine.Answer;
import hollyslip.engine.IoRequest;
import hollyslip.engine.RequestIntake;
import hollyslip.volume.Volume;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.UnixDomainSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.Channels;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Sessions that send a thousand packets behind the first, leave, or read no responses. The socket is a real
 * one; the engine only records what it is offered. */
@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class SftpFloodTest {
  private static final int INIT = 1, OPEN = 3, READ = 5, OPEN_READ = 1, DATA = 103;

  private static final int MAX_IN_FLIGHT = 64, PACKETS = 1_000, READ_BYTES = 200 << 10;

  /** After this long a client that has left is known to be gone, ms. */
  private static final long MAX_UNNOTICED_MS = 100;

  private static final long VOLUME_BYTES = 4 << 20;

  @TempDir
  Path dir;

  private final RecordingEngine engine = new RecordingEngine();
  private SftpServer server;
  private SocketChannel channel;
  private DataInputStream in;

  /** Keeps requests until the test answers them. */
  private static final class RecordingEngine implements RequestIntake {
    final Queue<IoRequest> open = new ConcurrentLinkedQueue<>(), abandoned = new ConcurrentLinkedQueue<>();
    volatile int offered;

    @Override
    public synchronized boolean offer(IoRequest io) {
      offered++;
      return open.add(io);
    }

    @Override
    public void abandon(IoRequest io) {
      open.remove(io);
      abandoned.add(io);
    }

    @Override
    public void addCapacityListener(Runnable listener) {}

    @Override
    public void removeCapacityListener(Runnable listener) {}

    @Override
    public Map<String, Volume> volumes() {
      return Map.of("stock", new Volume(1, "stock", "t", "gold", 1, VOLUME_BYTES, VOLUME_BYTES, List.of(
          new Volume.Extent(0, 0))));
    }

    /** Serves the oldest open request. */
    void serveOne() {
      IoRequest io = open.poll();
      if (io != null) {
        io.data().forEach(data -> data.position(data.limit()));
        io.listener().onAnswer(new Answer(Answer.Kind.SERVED, 0));
        io.listener().onRelease();
      }
    }
  }

  @BeforeEach
  void connect() throws IOException {
    server = new SftpServer(engine, dir.resolve("sftp.sock"));
    channel = SocketChannel.open(UnixDomainSocketAddress.of(server.path()));
    in = new DataInputStream(Channels.newInputStream(channel));
    send(ByteBuffer.allocate(5).put((byte) INIT).putInt(3));
    in.skipNBytes(in.readInt());
    byte[] path = "/stock".getBytes(StandardCharsets.UTF_8);
    send(ByteBuffer.allocate(13 + path.length + 4)
        .put((byte) OPEN)
        .putInt(1)
        .putInt(path.length)
        .put(path)
        .putInt(OPEN_READ)
        .putInt(0));
    in.skipNBytes(in.readInt());
  }

  @AfterEach
  void close() throws IOException {
    channel.close();
    server.close();
  }

  private void send(ByteBuffer packet) throws IOException {
    ByteBuffer framed = ByteBuffer.allocate(4 + packet.position())
        .putInt(packet.position())
        .put(packet.flip());
    framed.flip();
    while (framed.hasRemaining()) {
      channel.write(framed);
    }
  }

  /** Sends reads all at once. */
  private void sendReads(int count) throws IOException {
    byte[] handle = "h0".getBytes(StandardCharsets.UTF_8);
    int length = 21 + handle.length;
    ByteBuffer packets = ByteBuffer.allocate(count * (4 + length));
    for (int i = 0; i < count; i++) {
      packets.putInt(length)
          .put((byte) READ)
          .putInt(100 + i)
          .putInt(handle.length)
          .put(handle)
          .putLong(0)
          .putInt(READ_BYTES);
    }
    packets.flip();
    while (packets.hasRemaining()) {
      channel.write(packets);
    }
  }

  /** Each request in flight holds a buffer as long as its data. */
  @Test
  void packetsOfOneReadBeyondThoseInFlightWaitUnprocessed() throws Exception {
    sendReads(PACKETS);
    Awaitility.await().until(() -> engine.offered >= MAX_IN_FLIGHT);
    Thread.sleep(MAX_UNNOTICED_MS);
    assertEquals(MAX_IN_FLIGHT, engine.offered);
    for (int i = 0; i < PACKETS; i++) {
      Awaitility.await()
          .pollDelay(0, TimeUnit.MILLISECONDS)
          .pollInterval(1, TimeUnit.MILLISECONDS)
          .until(() -> !engine.open.isEmpty());
      engine.serveOne();
      assertEquals(9 + READ_BYTES, in.readInt());
      assertEquals(DATA, in.read());
      in.skipNBytes(8 + READ_BYTES);
    }
  }

  /** With all requests in flight reading is off, and nothing is written that would fail. */
  @Test
  void theEndOfAFullSessionIsSeenAtOnce() throws Exception {
    sendReads(PACKETS);
    Awaitility.await().until(() -> engine.offered >= MAX_IN_FLIGHT);
    Thread.sleep(MAX_UNNOTICED_MS);
    channel.close();
    int offeredBefore = engine.offered;
    Awaitility.await()
        .atMost(MAX_UNNOTICED_MS, TimeUnit.MILLISECONDS)
        .pollInterval(1, TimeUnit.MILLISECONDS)
        .until(() -> engine.open.isEmpty());
    assertEquals(offeredBefore, engine.offered, "started after the client had left");
  }

  /** Responses that a client does not read must not grow without end. */
  @Test
  void aSessionWhoseResponsesAreNotReadStartsNoMore() throws Exception {
    sendReads(PACKETS);
    long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(2);
    while (System.nanoTime() < end) {
      engine.serveOne();
      Thread.sleep(1);
    }
    assertTrue(engine.offered <= 2 * MAX_IN_FLIGHT, "started: " + engine.offered);
  }
}
