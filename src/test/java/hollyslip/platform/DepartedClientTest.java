package hollyslip.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.IntFunction;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Clients that leave while much of what they sent behind their request has not been read: the end of the
 * connection stands behind it, and no attempt may begin more than 0.1 s after the client has left. */
@Timeout(120)
class DepartedClientTest {
  /** An attempt may begin this long after its client has left, ms. */
  private static final long MAX_FORWARDING_MS = 100;

  /** What a client sends behind its request, bytes, and how long after its request it leaves, ms. */
  private static final int INPUT_BYTES = 8 << 20, LEAVE_AFTER_MS = 300;

  /** How long attempts are observed after the client has left, and how long a disk server takes to turn a
   * request away, ms. */
  private static final int OBSERVATION_MS = 2500, TURN_AWAY_MS = 150;

  private static final int ROUNDS = 2;

  private static final String TURNED_AWAY = "HTTP/1.1 503 Busy\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n";

  /** An attempt that was received too late, if any. */
  private static List<String> attemptsAfter(SchedulerProcessFixture fixture, long leftAtMs) throws Exception {
    List<String> late = new ArrayList<>();
    long until = leftAtMs + OBSERVATION_MS;
    while (nowMs() < until) {
      ScriptedServer.ReceivedRequest attempt = fixture.diskServer.pollRequest(until - nowMs());
      if (attempt == null) {
        break;
      }
      if (attempt.receivedAtMs() > leftAtMs + MAX_FORWARDING_MS) {
        late.add(attempt.header("X-Txn") + " after " + (attempt.receivedAtMs() - leftAtMs) + " ms");
      }
      Thread.sleep(TURN_AWAY_MS);
      respondUnlessGone(attempt);
    }
    return late;
  }

  private static void respondUnlessGone(ScriptedServer.ReceivedRequest attempt) {
    try {
      attempt.respond(TURNED_AWAY);
    } catch (IOException gone) {
      // The scheduler has abandoned this attempt.
    }
  }

  private static long nowMs() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
  }

  /** Sends a request and much more behind it, leaves, and has the first attempt break after that. */
  private static void assertNothingIsForwardedAfterLeaving(IntFunction<String> behind) throws Exception {
    List<String> late = new ArrayList<>();
    try (SchedulerProcessFixture fixture = new SchedulerProcessFixture(400, java.util.Map.of())) {
      for (int round = 0; round < ROUNDS; round++) {
        SchedulerFixture.Client client = fixture.client();
        client.send(SchedulerFixture.readRequest("open" + round).replace("/get/", "/scan/"));
        ScriptedServer.ReceivedRequest first = fixture.diskServer.nextRequest();
        Thread writer = new Thread(() -> writeUntilClosed(client, behind), "client");
        writer.setDaemon(true);
        writer.start();
        Thread.sleep(LEAVE_AFTER_MS);
        client.close();
        long leftAt = nowMs();
        Thread.sleep(MAX_FORWARDING_MS + 1);
        first.connection().close();
        late.addAll(attemptsAfter(fixture, leftAt));
      }
      assertEquals(List.of(), late, () -> String.join("\n", fixture.log));
    }
  }

  private static void writeUntilClosed(SchedulerFixture.Client client, IntFunction<String> behind) {
    try {
      int sent = 0;
      for (int i = 0; sent < INPUT_BYTES; i++) {
        byte[] bytes = behind.apply(i).getBytes(StandardCharsets.ISO_8859_1);
        client.socket.getOutputStream().write(bytes);
        sent += bytes.length;
      }
    } catch (IOException closed) {
      // The client has left.
    }
  }

  private static String repeated(int count, IntFunction<String> item) {
    StringBuilder text = new StringBuilder();
    for (int i = 0; i < count; i++) {
      text.append(item.apply(i));
    }
    return text.toString();
  }

  @Test
  void noAttemptBeginsAfterAClientLeftWithSoundRequestsUnread() throws Exception {
    assertNothingIsForwardedAfterLeaving(i -> repeated(200, k -> SchedulerFixture.readRequest("b" + i + "-"
        + k)));
  }

  @Test
  void noAttemptBeginsAfterAClientLeftWithUnsoundRequestsUnread() throws Exception {
    String unsound = "GET / HTTP/1.1\r\n\r\n".repeat(3000);
    assertNothingIsForwardedAfterLeaving(i -> unsound);
  }

  @Test
  void noAttemptBeginsAfterAClientLeftWithBytesOfNoRequestUnread() throws Exception {
    String noise = " \u0001\u0002noise".repeat(8000);
    assertNothingIsForwardedAfterLeaving(i -> noise);
  }

  /** One request whose chunks have long extensions: the queue never fills, and nothing of it is kept. */
  @Test
  void noAttemptBeginsAfterAClientLeftWithChunkExtensionsUnread() throws Exception {
    String head = SchedulerFixture.writeRequest("put", "long", "k", "")
        .replace("Content-Length: 0", "Transfer-Encoding: chunked");
    String chunks = ("1;e=" + "x".repeat(4000) + "\r\nx\r\n").repeat(10);
    assertNothingIsForwardedAfterLeaving(i -> i == 0 ? head + chunks : chunks);
  }
}
