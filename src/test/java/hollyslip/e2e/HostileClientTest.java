package hollyslip.e2e;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import hollyslip.gateway.Gateway;
import hollyslip.front.sys.Linux;
import hollyslip.front.vhost.VhostUserProtocol;
import hollyslip.load.RingClient;
import hollyslip.load.RingClient.Queue;
import hollyslip.volume.IoKind;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Clients that violate the specification: their device stops, nothing leaks, and others are served. */
@Timeout(value = 120, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class HostileClientTest {
  private static final long GUEST = 0x1000_0000L;

  @TempDir
  Path dir;
  private TestDeployment site;
  private Gateway gateway;
  private RingClient wellBehaved;

  private interface Violation {
    void perform(RingClient client, Queue queue) throws IOException;
  }

  @BeforeEach
  void start() throws IOException {
    site = new TestDeployment(dir, 1);
    gateway = site.startGateway();
    wellBehaved = new RingClient(RingClient.Options.allFeatures(1, 16, 4096));
    wellBehaved.connect(gateway.socketPath("orders"));
    assertEquals(0, RingRequests.execute(wellBehaved, IoKind.READ, 0, 4096, new byte[4096]));
  }

  @AfterEach
  void stop() {
    wellBehaved.close();
    site.close();
  }

  private static void awaitUntil(java.util.concurrent.Callable<Boolean> condition) {
    awaitUntil("", condition);
  }

  private static void awaitUntil(String name, java.util.concurrent.Callable<Boolean> condition) {
    Awaitility.await(name)
        .pollInterval(2, TimeUnit.MILLISECONDS)
        .atMost(30, TimeUnit.SECONDS)
        .until(condition);
  }

  private static long openDescriptors() throws IOException {
    try (var all = Files.list(Path.of("/proc/self/fd"))) {
      return all.count();
    }
  }

  private static RingClient rawClient() throws IOException {
    return new RingClient(new RingClient.Options(1, 16, 4096, false, true, true, true));
  }

  /** Runs a client that violates the specification: its connection ends, its memory and descriptors are
   * released, and the well-behaved client is still served. */
  private void assertStopsDevice(String name, Violation violation) throws IOException {
    int mappings = Linux.mappingCount();
    long fds = openDescriptors();
    try (RingClient client = rawClient()) {
      client.connect(gateway.socketPath("stock"));
      violation.perform(client, client.queue(0));
      long deadlineNanos = System.nanoTime() + 20_000_000_000L;
      boolean open = true;
      while (open && System.nanoTime() < deadlineNanos) {
        open = client.await(100);
      }
      assertFalse(open, name + ": the device does not stop");
    }
    awaitUntil(name + ": mappings", () -> Linux.mappingCount() == mappings);
    awaitUntil(name + ": descriptors", () -> openDescriptors() <= fds);
    assertEquals(0, RingRequests.execute(wellBehaved, IoKind.READ, 4096, 4096, new byte[4096]), name);
  }

  private static Violation descriptorChain(long address, int length, int flags, int next) {
    return (c, q) -> {
      RingClient.writeDescriptor(q.descriptors, 0, address, length, flags, next);
      c.makeAvailable(q, 0);
      c.kick();
    };
  }

  private static ByteBuffer littleEndian(int n) {
    return ByteBuffer.allocate(n).order(ByteOrder.LITTLE_ENDIAN);
  }

  @Test
  void specViolationStopsItsDeviceAndNoOther() throws IOException {
    Map<String, Violation> violations = new LinkedHashMap<>();
    violations.put("descriptor outside memory", descriptorChain(0xdead_0000L, 4096, 0, 0));
    violations.put("descriptor past the end of memory", descriptorChain(GUEST + 4096, 0x7fff_ffff, 0, 0));
    violations.put("address that overflows", descriptorChain(-8, 4096, 0, 0));
    violations.put("chain that loops", descriptorChain(GUEST, 16, 1, 0));
    violations.put("next outside the table", descriptorChain(GUEST, 16, 1, 5_000));
    violations.put("empty descriptor", descriptorChain(GUEST, 0, 0, 0));
    violations.put("writable header", descriptorChain(GUEST, 64, 2, 0));
    violations.put("no status", descriptorChain(GUEST, 16, 0, 0));
    violations.put("indirect with next", descriptorChain(GUEST, 64, 5, 1));
    violations.put("indirect of a crooked size", descriptorChain(GUEST, 40, 4, 0));
    violations.put("index that jumps", (c, q) -> {
      q.avail.putShort(2, (short) 100);
      Linux.signalEventfd(kickDescriptor(c));
    });
    violations.put("head outside the table", (c, q) -> {
      c.makeAvailable(q, 77);
      c.kick();
    });
    violations.put("message too long", (c, q) -> c.sendRaw(littleEndian(12).putInt(1)
        .putInt(1)
        .putInt(1 << 20)
        .array()));
    violations.put("message of another version", (c, q) -> c.sendRaw(littleEndian(12).putInt(1)
        .putInt(2)
        .putInt(0)
        .array()));
    violations.put("reply not asked for", (c, q) -> c.send(VhostUserProtocol.GET_FEATURES,
        VhostUserProtocol.FLAG_REPLY, new byte[0]));
    violations.put("unknown request", (c, q) -> c.send(99, 0, new byte[0]));
    violations.put("wrong size", (c, q) -> c.send(VhostUserProtocol.SET_FEATURES, 0, new byte[4]));
    violations.put("features not offered", (c, q) -> c.send(VhostUserProtocol.SET_PROTOCOL_FEATURES, 0,
        VhostUserProtocol.u64Payload(
            -1)));
    violations.put("owner twice", (c, q) -> c.send(VhostUserProtocol.SET_OWNER, 0, new byte[0]));
    violations.put("queue that is not there", (c, q) -> c.send(VhostUserProtocol.SET_VRING_ENABLE, 0,
        VhostUserProtocol
            .vringStatePayload(500, 1)));
    violations.put("size while it runs", (c, q) -> c.send(VhostUserProtocol.SET_VRING_NUM, 0,
        VhostUserProtocol.vringStatePayload(0,
            8)));
    violations.put("kick without a descriptor", (c, q) -> c.send(VhostUserProtocol.SET_VRING_KICK, 0,
        VhostUserProtocol.u64Payload(0)));
    violations.put("kick that is no eventfd", (c, q) -> c.send(VhostUserProtocol.SET_VRING_KICK, 0,
        VhostUserProtocol.u64Payload(0), c
            .memoryFd()));
    violations.put("descriptors nobody asked for", (c, q) -> c.send(VhostUserProtocol.GET_FEATURES, 0,
        new byte[0],
        c.memoryFd(), c.memoryFd()));
    violations.put("region longer than its file", (c, q) -> c.send(VhostUserProtocol.ADD_MEM_REG, 0,
        littleEndian(40).putLong(0).putLong(1L << 40).putLong(1L << 30).putLong(0).putLong(0).array(),
        c.memoryFd()));
    violations.put("region that overlaps", (c, q) -> c.send(VhostUserProtocol.ADD_MEM_REG, 0,
        littleEndian(40).putLong(0).putLong(GUEST).putLong(4096).putLong(0).putLong(0).array(),
        c.memoryFd()));
    violations.put("region that is not there", (c, q) -> c.send(VhostUserProtocol.REM_MEM_REG, 0,
        littleEndian(40).putLong(0).putLong(1).putLong(1).putLong(1).putLong(0).array()));
    violations.put("memory that goes while a ring runs in it", (c, q) -> c.send(
        VhostUserProtocol.SET_MEM_TABLE, 0,
        littleEndian(8)
            .putLong(0)
            .array()));
    violations.put("configuration written", (c, q) -> c.send(VhostUserProtocol.SET_CONFIG, 0, new byte[16]));
    violations.put("inflight region while a ring runs", (c, q) -> c.send(VhostUserProtocol.SET_INFLIGHT_FD, 0,
        littleEndian(24).putLong(4096).putLong(0).putShort((short) 1).putShort((short) 16).array(),
        c.memoryFd()));
    violations.put("half a message, then gone", (c, q) -> {
      c.sendRaw(new byte[]{1, 0, 0});
      c.detach();
    });
    violations.put("memory cut short while in use", (c, q) -> {
      Linux.truncate(c.memoryFd(), 0);
      Linux.signalEventfd(kickDescriptor(c));
    });
    for (Map.Entry<String, Violation> entry : violations.entrySet()) {
      if (entry.getKey().equals("half a message, then gone") || entry.getKey()
          .equals("memory cut short while in use")) {
        assertDeviceGoes(entry.getKey(), entry.getValue());
      } else {
        assertStopsDevice(entry.getKey(), entry.getValue());
      }
    }
  }

  /** The JVM reports an access to truncated memory only later, often while the value read from it is being
   * rejected. That must never leave a device half closed. */
  @Test
  void truncatedMemoryNeverLeavesDeviceHalfClosed() throws IOException {
    for (int i = 0; i < 60; i++) {
      int jump = i;
      assertDeviceGoes("cut short, round " + i, (c, q) -> {
        q.avail.putShort(2, (short) (jump % 3));
        Linux.truncate(c.memoryFd(), 0);
        Linux.signalEventfd(kickDescriptor(c));
      });
    }
  }

  /** The data of a read arrives for memory that its client has truncated meanwhile: the connection to the
   * node, which others use too, must stay open. */
  @Test
  void readsIntoTruncatedMemoryAffectNoOtherClient() throws IOException {
    for (int round = 0; round < 10; round++) {
      long before = gateway.lanes().totals().attempts();
      try (RingClient client = rawClient()) {
        client.connect(gateway.socketPath("stock"));
        site.disks.get(0).stall(50_000);
        for (int i = 0; i < 4; i++) {
          assertTrue(client.submit(0, IoKind.READ, i * 4096L, 4096, null, (s, r, d) -> {}));
        }
        client.kick();
        awaitUntil(() -> gateway.lanes().totals().attempts() == before + 4);
        Linux.truncate(client.memoryFd(), 0);
        byte[] bytes = new byte[4096];
        for (int i = 0; i < 4; i++) {
          assertEquals(0, RingRequests.execute(wellBehaved, IoKind.READ, 0, 4096, bytes), "round " + round);
        }
      }
    }
  }

  /** Writes are queued until their client's memory is truncated: the connections to the node, which others
   * use too, must stay open, and no data of another client may be written in their place. */
  @Test
  void writesFromTruncatedMemoryAffectNoOtherClient() throws IOException {
    byte[] secret = new byte[4096];
    java.util.Arrays.fill(secret, (byte) 99);
    for (int round = 0; round < 5; round++) {
      assertEquals(0, RingRequests.execute(wellBehaved, IoKind.WRITE, 0, 4096, secret));
      long before = gateway.lanes().totals().attempts();
      try (RingClient client = rawClient()) {
        client.connect(gateway.socketPath("stock"));
        site.disks.get(0).stall(50_000);
        for (int i = 0; i < 5; i++) {
          assertTrue(client.submit(0, IoKind.WRITE, i * 4096L, 4096,
              java.nio.ByteBuffer.allocate(4096), (s, r, d) -> {}));
        }
        // The rest arrive when the first are sent, and are sent when those are answered.
        client.kick();
        awaitUntil(() -> gateway.lanes().totals().attempts() > before);
        Linux.truncate(client.memoryFd(), 0);
        byte[] bytes = new byte[4096];
        for (int i = 0; i < 8; i++) {
          assertEquals(0, RingRequests.execute(wellBehaved, IoKind.READ, 0, 4096, bytes), "round " + round);
        }
        assertEquals(99, bytes[0]);
      }
    }
    assertTrue(site.disks.get(0)
        .commands()
        .stream()
        .map(hollyslip.standin.CommandRecord::connection)
        .distinct()
        .count() <= 2, "no connection was reopened");
    byte[] theirs = site.disks.get(0).read("shard-0", 0, 5 * 4096);
    for (byte b : theirs) {
      assertEquals(0, b, "data of another client");
    }
  }

  private static int kickDescriptor(RingClient c) {
    return c.kickFd(0);
  }

  /** Like {@link #assertStopsDevice}, for clients that cannot observe the end of the connection
   * themselves. */
  private void assertDeviceGoes(String name, Violation violation) throws IOException {
    int mappings = Linux.mappingCount();
    int devices = gateway.deviceCount("stock");
    try (RingClient client = rawClient()) {
      client.connect(gateway.socketPath("stock"));
      awaitUntil(() -> gateway.deviceCount("stock") == devices + 1);
      violation.perform(client, client.queue(0));
      awaitUntil(() -> gateway.deviceCount("stock") == devices);
    }
    awaitUntil(() -> Linux.mappingCount() == mappings);
    assertEquals(0, RingRequests.execute(wellBehaved, IoKind.READ, 4096, 4096, new byte[4096]), name);
  }

  @Test
  void duplicateHeadInFlightStopsTheDevice() throws IOException {
    site.disks.get(0).faults.silent = true;
    try (RingClient client = rawClient()) {
      client.connect(gateway.socketPath("stock"));
      client.submit(0, IoKind.READ, 0, 4096, null, (s, r, d) -> {});
      client.makeAvailable(client.queue(0), 0);
      client.kick();
      awaitUntil(() -> !client.await(50));
    } finally {
      site.disks.get(0).faults.clear();
    }
  }

  /** Random messages with random descriptors, and rings with random contents: no crash, no hang and no
   * leak. */
  @Test
  void randomInputAffectsNoOtherClient() throws IOException {
    int mappings = Linux.mappingCount();
    long fds = openDescriptors();
    SplittableRandom random = new SplittableRandom(42);
    for (int round = 0; round < 400; round++) {
      try (RingClient client = rawClient()) {
        client.connect(gateway.socketPath("stock"));
        for (int i = 0; i < 6; i++) {
          if (random.nextInt(3) == 0) {
            Queue queue = client.queue(0);
            for (int position = 0; position < queue.descriptors.capacity(); position += 8) {
              queue.descriptors.putLong(position, random.nextInt(2) == 0
                  ? GUEST + random.nextInt(65_536)
                  : random.nextLong());
            }
            client.makeAvailable(queue, random.nextInt(16));
            client.kick();
          } else {
            byte[] payload = new byte[random.nextInt(4) * 8 + (random.nextInt(8) == 0 ? 3 : 0)];
            random.nextBytes(payload);
            int[] sent = new int[random.nextInt(3)];
            java.util.Arrays.fill(sent, client.memoryFd());
            client.send(random.nextInt(42), random.nextInt(4) == 0 ? random.nextInt(16) : 0, payload, sent);
          }
        }
        client.await(1);
      } catch (IOException e) {
        // The device stopped before everything was sent, as it should.
        assertTrue(e.getMessage().contains("error") || e.getMessage().contains("closed"), e.getMessage());
      }
    }
    assertEquals(0, RingRequests.execute(wellBehaved, IoKind.READ, 0, 4096, new byte[4096]));
    awaitUntil(() -> Linux.mappingCount() == mappings);
    awaitUntil(() -> openDescriptors() <= fds);
  }
}
