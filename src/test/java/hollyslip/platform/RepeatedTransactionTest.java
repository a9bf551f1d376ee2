package hollyslip.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.io.IOException;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Transaction ids that come again after they were sent to a disk server. By the protocol an id comes a
 * second time only if the scheduler has not read it the first time, so what was sent may not be sent
 * again. */
@Timeout(60)
class RepeatedTransactionTest {
  /** How long a repeat is given to reach the disk server, ms. */
  private static final int OBSERVATION_MS = 400;

  private static final int CONFLICT = 409;

  private static String request(String className, String id) {
    return className.equals("scan")
        ? SchedulerFixture.readRequest(id).replace("/get/", "/scan/")
        : SchedulerFixture.writeRequest(className, id, "key-" + id, "body");
  }

  private static void assertRepeatIsNotSent(SchedulerProcessFixture fixture, String request)
      throws Exception {
    try (SchedulerFixture.Client again = fixture.client()) {
      again.send(request);
      ScriptedServer.ReceivedRequest attempt = fixture.diskServer.pollRequest(OBSERVATION_MS);
      assertNull(attempt, "sent again");
      assertEquals(CONFLICT, again.readStatus());
    }
  }

  @ParameterizedTest
  @ValueSource(strings = {"pay", "put", "scan"})
  void anIdDoesNotRunAgainWhileItsAttemptIsOutAndItsClientHasLeft(String className) throws Exception {
    try (SchedulerProcessFixture fixture = new SchedulerProcessFixture()) {
      String request = request(className, "left");
      SchedulerFixture.Client client = fixture.client().send(request);
      ScriptedServer.ReceivedRequest first = fixture.diskServer.nextRequest();
      client.close();
      assertRepeatIsNotSent(fixture, request);
      first.respondOk("late");
      assertRepeatIsNotSent(fixture, request);
    }
  }

  @ParameterizedTest
  @ValueSource(strings = {"pay", "put", "scan"})
  void anIdDoesNotRunAgainAfterItsAttemptBrokeAndItsClientHasLeft(String className) throws Exception {
    try (SchedulerProcessFixture fixture = new SchedulerProcessFixture()) {
      String request = request(className, "broken");
      SchedulerFixture.Client client = fixture.client().send(request);
      ScriptedServer.ReceivedRequest first = fixture.diskServer.nextRequest();
      client.close();
      Thread.sleep(OBSERVATION_MS);
      first.connection().close();
      Thread.sleep(OBSERVATION_MS);
      assertRepeatIsNotSent(fixture, request);
    }
  }

  @ParameterizedTest
  @ValueSource(strings = {"pay", "put", "scan"})
  void anIdDoesNotRunAgainAfterItWasAnswered(String className) throws Exception {
    try (SchedulerProcessFixture fixture = new SchedulerProcessFixture()) {
      String request = request(className, "answered");
      try (SchedulerFixture.Client client = fixture.client()) {
        client.send(request);
        fixture.diskServer.nextRequest().respondOk("x");
        assertEquals(200, client.readStatus());
      }
      assertRepeatIsNotSent(fixture, request);
    }
  }

  /** A refused request has not run, and its client may have sent the rest of it before it was refused. */
  @ParameterizedTest
  @ValueSource(strings = {"pay", "put", "scan"})
  void anIdThatWasNeverSentIsServedWhenItComesAgain(String className) throws IOException,
      InterruptedException {
    try (SchedulerProcessFixture fixture = new SchedulerProcessFixture()) {
      String request = request(className, "half");
      try (SchedulerFixture.Client client = fixture.client()) {
        client.send(request.substring(0, request.length() - 3));
      }
      try (SchedulerFixture.Client again = fixture.client()) {
        again.send(request);
        fixture.diskServer.nextRequest().respondOk("x");
        assertEquals(200, again.readStatus());
      }
    }
  }
}
