package hollyslip.e2e;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import hollyslip.gateway.Gateway;
import hollyslip.front.sys.Linux;
import hollyslip.front.vhost.Wire;
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

/** Clients that do what the specification does not allow: their device stops, nothing leaks, others are
 * served. */
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
    wellBehaved = new RingClient(RingClient.Options.usual(1, 16, 4096));
    wellBehaved.connect(gateway.socket("orders"));
    assertEquals(0, RingRequests.execute(wellBehaved, IoKind.READ, 0, 4096, new byte[4096]));
  }

  @AfterEach
  void stop() {
    wellBehaved.close();
    site.close();
  }

  private static void awaitUntil(java.util.concurrent.Callable<Boolean> what) {
    awaitUntil("", what);
  }

  private static void awaitUntil(String name, java.util.concurrent.Callable<Boolean> what) {
    Awaitility.await(name).pollInterval(2, TimeUnit.MILLISECONDS).atMost(30, TimeUnit.SECONDS).until(what);
  }

  private static long openDescriptors() throws IOException {
    try (var all = Files.list(Path.of("/proc/self/fd"))) {
      return all.count();
    }
  }

  private static RingClient rawClient() throws IOException {
    return new RingClient(new RingClient.Options(1, 16, 4096, false, true, true, true));
  }

  /** One evil client: its connection ends, all it brought is given back, the honest one is served on. */
  private void assertStopsDevice(String name, Violation evil) throws IOException {
    int mappings = Linux.mappings();
    long fds = openDescriptors();
    try (RingClient c = rawClient()) {
      c.connect(gateway.socket("stock"));
      evil.perform(c, c.queue(0));
      long until = System.nanoTime() + 20_000_000_000L;
      boolean open = true;
      while (open && System.nanoTime() < until) {
        open = c.await(100);
      }
      assertFalse(open, name + ": the device goes on");
    }
    awaitUntil(name + ": mappings", () -> Linux.mappings() == mappings);
    awaitUntil(name + ": descriptors", () -> openDescriptors() <= fds);
    assertEquals(0, RingRequests.execute(wellBehaved, IoKind.READ, 4096, 4096, new byte[4096]), name);
  }

  private static Violation descriptorChain(long address, int length, int flags, int next) {
    return (c, q) -> {
      RingClient.describe(q.table, 0, address, length, flags, next);
      c.publish(q, 0);
      c.kick();
    };
  }

  private static ByteBuffer littleEndian(int n) {
    return ByteBuffer.allocate(n).order(ByteOrder.LITTLE_ENDIAN);
  }

  @Test
  void specViolationStopsItsDeviceAndNoOther() throws IOException {
    Map<String, Violation> evils = new LinkedHashMap<>();
    evils.put("descriptor outside memory", descriptorChain(0xdead_0000L, 4096, 0, 0));
    evils.put("descriptor past the end of memory", descriptorChain(GUEST + 4096, 0x7fff_ffff, 0, 0));
    evils.put("address that overflows", descriptorChain(-8, 4096, 0, 0));
    evils.put("chain that loops", descriptorChain(GUEST, 16, 1, 0));
    evils.put("next outside the table", descriptorChain(GUEST, 16, 1, 5_000));
    evils.put("empty descriptor", descriptorChain(GUEST, 0, 0, 0));
    evils.put("writable header", descriptorChain(GUEST, 64, 2, 0));
    evils.put("no status", descriptorChain(GUEST, 16, 0, 0));
    evils.put("indirect with next", descriptorChain(GUEST, 64, 5, 1));
    evils.put("indirect of a crooked size", descriptorChain(GUEST, 40, 4, 0));
    evils.put("index that jumps", (c, q) -> {
      q.avail.putShort(2, (short) 100);
      Linux.signal(kickDescriptor(c));
    });
    evils.put("head outside the table", (c, q) -> {
      c.publish(q, 77);
      c.kick();
    });
    evils.put("message too long", (c, q) -> c.sendRaw(littleEndian(12).putInt(1)
        .putInt(1)
        .putInt(1 << 20)
        .array()));
    evils.put("message of another version", (c, q) -> c.sendRaw(littleEndian(12).putInt(1)
        .putInt(2)
        .putInt(0)
        .array()));
    evils.put("reply not asked for", (c, q) -> c.send(Wire.GET_FEATURES, Wire.REPLY, new byte[0]));
    evils.put("unknown request", (c, q) -> c.send(99, 0, new byte[0]));
    evils.put("wrong size", (c, q) -> c.send(Wire.SET_FEATURES, 0, new byte[4]));
    evils.put("features not offered", (c, q) -> c.send(Wire.SET_PROTOCOL_FEATURES, 0, Wire.u64(-1)));
    evils.put("owner twice", (c, q) -> c.send(Wire.SET_OWNER, 0, new byte[0]));
    evils.put("queue that is not there", (c, q) -> c.send(Wire.SET_VRING_ENABLE, 0, Wire.state(500, 1)));
    evils.put("size while it runs", (c, q) -> c.send(Wire.SET_VRING_NUM, 0, Wire.state(0, 8)));
    evils.put("kick without a descriptor", (c, q) -> c.send(Wire.SET_VRING_KICK, 0, Wire.u64(0)));
    evils.put("kick that is no eventfd", (c, q) -> c.send(Wire.SET_VRING_KICK, 0, Wire.u64(0), c.memoryFd()));
    evils.put("descriptors nobody asked for", (c, q) -> c.send(Wire.GET_FEATURES, 0, new byte[0], c
        .memoryFd(), c.memoryFd()));
    evils.put("region longer than its file", (c, q) -> c.send(Wire.ADD_MEM_REG, 0, littleEndian(40).putLong(0)
        .putLong(1L << 40)
        .putLong(1L << 30)
        .putLong(0)
        .putLong(0)
        .array(), c.memoryFd()));
    evils.put("region that overlaps", (c, q) -> c.send(Wire.ADD_MEM_REG, 0, littleEndian(40).putLong(0)
        .putLong(GUEST)
        .putLong(4096)
        .putLong(0)
        .putLong(0)
        .array(), c.memoryFd()));
    evils.put("region that is not there", (c, q) -> c.send(Wire.REM_MEM_REG, 0, littleEndian(40).putLong(0)
        .putLong(1)
        .putLong(1)
        .putLong(1)
        .putLong(0)
        .array()));
    evils.put("memory that goes while a ring runs in it", (c, q) -> c.send(Wire.SET_MEM_TABLE, 0,
        littleEndian(8)
            .putLong(0)
            .array()));
    evils.put("configuration written", (c, q) -> c.send(Wire.SET_CONFIG, 0, new byte[16]));
    evils.put("inflight region while a ring runs", (c, q) -> c.send(Wire.SET_INFLIGHT_FD, 0, littleEndian(24)
        .putLong(4096)
        .putLong(0)
        .putShort((short) 1)
        .putShort((short) 16)
        .array(), c.memoryFd()));
    evils.put("half a message, then gone", (c, q) -> {
      c.sendRaw(new byte[]{1, 0, 0});
      c.detach();
    });
    evils.put("memory cut short while in use", (c, q) -> {
      Linux.truncate(c.memoryFd(), 0);
      Linux.signal(kickDescriptor(c));
    });
    for (Map.Entry<String, Violation> e : evils.entrySet()) {
      if (e.getKey().equals("half a message, then gone") || e.getKey()
          .equals("memory cut short while in use")) {
        assertDeviceGoes(e.getKey(), e.getValue());
      } else {
        assertStopsDevice(e.getKey(), e.getValue());
      }
    }
  }

  /** The JVM tells of a touch of memory that is gone only later, often while what was read from it is being
   * turned down: not once may that leave a device half closed. */
  @Test
  void truncatedMemoryNeverLeavesDeviceHalfClosed() throws IOException {
    for (int i = 0; i < 60; i++) {
      int jump = i;
      assertDeviceGoes("cut short, round " + i, (c, q) -> {
        q.avail.putShort(2, (short) (jump % 3));
        Linux.truncate(c.memoryFd(), 0);
        Linux.signal(kickDescriptor(c));
      });
    }
  }

  /** The data of a read comes for memory that its client has cut short meanwhile: the node's connection,
   * which others use too, goes on. */
  @Test
  void readsIntoTruncatedMemoryAffectNoOtherClient() throws IOException {
    for (int round = 0; round < 10; round++) {
      long before = gateway.lanes().totals().attempts();
      try (RingClient c = rawClient()) {
        c.connect(gateway.socket("stock"));
        site.disks.get(0).stall(50_000);
        for (int i = 0; i < 4; i++) {
          assertTrue(c.submit(0, IoKind.READ, i * 4096L, 4096, null, (s, r, d) -> {}));
        }
        c.kick();
        awaitUntil(() -> gateway.lanes().totals().attempts() == before + 4);
        Linux.truncate(c.memoryFd(), 0);
        byte[] bytes = new byte[4096];
        for (int i = 0; i < 4; i++) {
          assertEquals(0, RingRequests.execute(wellBehaved, IoKind.READ, 0, 4096, bytes), "round " + round);
        }
      }
    }
  }

  /** Writes that wait until their client's memory is gone: the connections to the node, which others use too,
   * go on, and no bytes of anybody else are written in their place. */
  @Test
  void writesFromTruncatedMemoryAffectNoOtherClient() throws IOException {
    byte[] secret = new byte[4096];
    java.util.Arrays.fill(secret, (byte) 99);
    for (int round = 0; round < 5; round++) {
      assertEquals(0, RingRequests.execute(wellBehaved, IoKind.WRITE, 0, 4096, secret));
      long before = gateway.lanes().totals().attempts();
      try (RingClient c = rawClient()) {
        c.connect(gateway.socket("stock"));
        site.disks.get(0).stall(50_000);
        for (int i = 0; i < 5; i++) {
          assertTrue(c.submit(0, IoKind.WRITE, i * 4096L, 4096, java.nio.ByteBuffer.allocate(4096), (s, r,
              d) -> {}));
        }
        // The rest come when the first are sent, and are sent when those are answered.
        c.kick();
        awaitUntil(() -> gateway.lanes().totals().attempts() > before);
        Linux.truncate(c.memoryFd(), 0);
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
        .map(hollyslip.standin.Command::connection)
        .distinct()
        .count() <= 2, "no connection had to be made again");
    byte[] theirs = site.disks.get(0).read("shard-0", 0, 5 * 4096);
    for (byte b : theirs) {
      assertEquals(0, b, "bytes of another client");
    }
  }

  private static int kickDescriptor(RingClient c) {
    return c.kickFd(0);
  }

  /** As {@link #assertStopsDevice}, where the client cannot look itself any more. */
  private void assertDeviceGoes(String name, Violation evil) throws IOException {
    int mappings = Linux.mappings();
    int devices = gateway.devices("stock");
    try (RingClient c = rawClient()) {
      c.connect(gateway.socket("stock"));
      awaitUntil(() -> gateway.devices("stock") == devices + 1);
      evil.perform(c, c.queue(0));
      awaitUntil(() -> gateway.devices("stock") == devices);
    }
    awaitUntil(() -> Linux.mappings() == mappings);
    assertEquals(0, RingRequests.execute(wellBehaved, IoKind.READ, 4096, 4096, new byte[4096]), name);
  }

  @Test
  void duplicateHeadInFlightStopsTheDevice() throws IOException {
    site.disks.get(0).faults.silent = true;
    try (RingClient c = rawClient()) {
      c.connect(gateway.socket("stock"));
      c.submit(0, IoKind.READ, 0, 4096, null, (s, r, d) -> {});
      c.publish(c.queue(0), 0);
      c.kick();
      awaitUntil(() -> !c.await(50));
    } finally {
      site.disks.get(0).faults.clear();
    }
  }

  /** Messages changed at random, with descriptors at random, and rings full of noise: no crash, no hang, no
   * leak. */
  @Test
  void randomInputAffectsNoOtherClient() throws IOException {
    int mappings = Linux.mappings();
    long fds = openDescriptors();
    SplittableRandom random = new SplittableRandom(42);
    for (int round = 0; round < 400; round++) {
      try (RingClient c = rawClient()) {
        c.connect(gateway.socket("stock"));
        for (int i = 0; i < 6; i++) {
          if (random.nextInt(3) == 0) {
            Queue q = c.queue(0);
            for (int at = 0; at < q.table.capacity(); at += 8) {
              q.table.putLong(at, random.nextInt(2) == 0
                  ? GUEST + random.nextInt(65_536)
                  : random.nextLong());
            }
            c.publish(q, random.nextInt(16));
            c.kick();
          } else {
            byte[] payload = new byte[random.nextInt(4) * 8 + (random.nextInt(8) == 0 ? 3 : 0)];
            random.nextBytes(payload);
            int[] sent = new int[random.nextInt(3)];
            java.util.Arrays.fill(sent, c.memoryFd());
            c.send(random.nextInt(42), random.nextInt(4) == 0 ? random.nextInt(16) : 0, payload, sent);
          }
        }
        c.await(1);
      } catch (IOException e) {
        // The device has stopped before all was sent: that is what it is for.
        assertTrue(e.getMessage().contains("error") || e.getMessage().contains("closed"), e.getMessage());
      }
    }
    assertEquals(0, RingRequests.execute(wellBehaved, IoKind.READ, 0, 4096, new byte[4096]));
    awaitUntil(() -> Linux.mappings() == mappings);
    awaitUntil(() -> openDescriptors() <= fds);
  }
}
