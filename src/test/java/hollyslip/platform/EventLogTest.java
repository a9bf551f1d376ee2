package hollyslip.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(30)
class EventLogTest {
  private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();

  private List<String> lines(EventLog log) throws InterruptedException {
    log.flush(10_000);
    return bytes.toString().lines().toList();
  }

  @Test
  void blockedReaderDoesNotBlockLogging() {
    CountDownLatch never = new CountDownLatch(1);
    OutputStream blocked = new OutputStream() {
      @Override
      public void write(int b) {
        try {
          never.await();
        } catch (InterruptedException e) {
          Thread.currentThread().interrupt();
        }
      }
    };
    try (EventLog log = new EventLog(new PrintStream(blocked, true))) {
      for (int i = 0; i < 100_000; i++) {
        log.event("event" + i % 100, "n", i);
      }
    }
  }

  @Test
  void floodOfOneNameIsSuppressedAndCountedWithoutAffectingOthers() throws InterruptedException {
    try (EventLog log = new EventLog(new PrintStream(bytes, true))) {
      for (int i = 0; i < 1000; i++) {
        log.event("flood", "n", i);
      }
      log.event("other", "n", 1);
      Thread.sleep(2000 / EventLog.LINES_PER_SECOND);
      log.event("flood", "n", "last");
      List<String> lines = lines(log);
      long floods = lines.stream().filter(l -> l.contains(" flood ")).count();
      assertTrue(floods >= EventLog.BURST_LINES && floods <= EventLog.BURST_LINES + 10, "" + floods);
      assertTrue(lines.stream().anyMatch(l -> l.contains(" other n=1")));
      assertTrue(lines.get(lines.size() - 1).matches(".* flood n=last left_out=9[0-9]{2}"), lines::toString);
    }
  }

  @Test
  void valueCannotForgeLineOrField() throws InterruptedException {
    try (EventLog log = new EventLog(new PrintStream(bytes, true))) {
      log.event("event", "reason", "a\nb c=\"d\"", "id", 7);
      List<String> lines = lines(log);
      assertEquals(1, lines.size());
      assertTrue(lines.get(0).endsWith(" event reason=\"a?b c='d'\" id=7"), lines::toString);
    }
  }
}
