package hollyslip.e2e;

import static org.junit.jupiter.api.Assertions.assertEquals;

import hollyslip.gateway.Gateway;
import hollyslip.front.sys.Linux;
import hollyslip.load.RingClient;
import hollyslip.volume.IoKind;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.EdgeCasesMode;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.lifecycle.AfterContainer;
import net.jqwik.api.lifecycle.BeforeContainer;
import org.awaitility.Awaitility;

/** Random messages and random ring contents: whatever they are, the next client is served and nothing
 * leaks. */
class RingNoiseTest {
  private static TestDeployment site;
  private static Gateway gateway;

  /** A message; {@code fds}: how many copies of the memory's descriptor are sent with it. */
  record Message(int request, int flags, byte[] payload, int fds) {}

  @BeforeContainer
  static void start() throws IOException {
    Path dir = Files.createTempDirectory("hollyslip-noise-");
    site = new TestDeployment(dir, 1);
    gateway = site.startGateway();
  }

  @AfterContainer
  static void stop() {
    site.close();
  }

  @Provide
  Arbitrary<List<Message>> messages() {
    return Combinators.combine(Arbitraries.integers().between(0, 42), Arbitraries.integers().between(0, 15),
        Arbitraries.bytes().array(byte[].class).ofMaxSize(64), Arbitraries.integers().between(0, 2))
        .as(Message::new)
        .list()
        .ofMaxSize(8);
  }

  /** Words of a descriptor table: random values, addresses near the memory, and small lengths and flags. */
  @Provide
  Arbitrary<List<Long>> words() {
    return Arbitraries.oneOf(Arbitraries.longs(), Arbitraries.longs().between(0x1000_0000L, 0x1001_0000L),
        Arbitraries.longs().between(0, 8_192)).list().ofSize(32);
  }

  @Property(tries = 150, seed = "42", edgeCases = EdgeCasesMode.NONE)
  void randomInputAffectsNoOtherClient(@ForAll("messages") List<Message> messages,
      @ForAll("words") List<Long> words)
      throws IOException {
    int mappings = Linux.mappingCount();
    try (RingClient client = new RingClient(new RingClient.Options(1, 16, 4096, false, true, true, true))) {
      client.connect(gateway.socketPath("stock"));
      for (int i = 0; i < words.size(); i++) {
        client.queue(0).descriptors.putLong(8 * i, words.get(i));
      }
      client.makeAvailable(client.queue(0), (int) (words.get(0) & 15));
      client.kick();
      for (Message message : messages) {
        int[] fds = new int[message.fds];
        java.util.Arrays.fill(fds, client.memoryFd());
        client.send(message.request, message.flags, message.payload, fds);
      }
    } catch (IOException e) {
      // The device stopped before everything was sent, as it should.
    }
    Awaitility.await()
        .atMost(20, TimeUnit.SECONDS)
        .pollInterval(1, TimeUnit.MILLISECONDS)
        .until(() -> gateway.deviceCount("stock") == 0 && Linux.mappingCount() <= mappings);
    try (RingClient wellBehaved = new RingClient(RingClient.Options.allFeatures(1, 16, 4096))) {
      wellBehaved.connect(gateway.socketPath("orders"));
      assertEquals(0, RingRequests.execute(wellBehaved, IoKind.READ, 0, 4096, new byte[4096]));
    }
    Awaitility.await()
        .atMost(20, TimeUnit.SECONDS)
        .pollInterval(1, TimeUnit.MILLISECONDS)
        .until(() -> gateway.deviceCount("orders") == 0);
  }
}
